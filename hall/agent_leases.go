package hall

import "time"

// agentLeases bounds the leases that a holder gives to agents by the length that the hall's row records, so that the
// next holder knows how long they last, whatever number of agents it counts.
type agentLeases struct {
	// earlier is the longest lease that an agent may have from an earlier holder. All such leases have ended at
	// earlierEndBy, which is zero until an agent has met this holder: before, nobody can tell an earlier one of it.
	earlier      time.Duration
	earlierEndBy time.Time
	// recorded is the longest lease that the row allows, whichever of the transactions in flight is carried out.
	recorded time.Duration
}

func newAgentLeases(earlier time.Duration) agentLeases {
	return agentLeases{earlier: earlier, recorded: earlier}
}

// agentLease returns the length of the leases that the holder gives now.
func (c *Core) agentLease() time.Duration {
	return min(c.settings.agentLease(len(c.agents)), c.leases.recorded)
}

// earlierLeaseBound returns how long, on the holder's clock, leases may last that an earlier holder gave.
func (c *Core) earlierLeaseBound() time.Duration {
	return c.settings.withDrift(c.leases.earlier)
}

// agentMet records that an agent has met this holder. Earlier holders learn it from this agent within noticeTime.
func (c *Core) agentMet(now time.Time) {
	if c.leases.earlierEndBy.IsZero() {
		c.leases.earlierEndBy = c.earlierLeasesEndBy(now)
	}
}

// earlierLeasesEndBy returns when all leases of earlier holders have ended if an agent meets this holder now.
func (c *Core) earlierLeasesEndBy(now time.Time) time.Time {
	return now.Add(c.settings.withDrift(noticeTime(c.leases.earlier) + c.leases.earlier))
}

// leasesEndBy returns when an agent's leases have ended, given when those of this holder have.
func (c *Core) leasesEndBy(now, own time.Time) time.Time {
	earlier := c.leases.earlierEndBy
	if earlier.IsZero() {
		earlier = c.earlierLeasesEndBy(now)
	}
	if earlier.After(own) {
		return earlier
	}
	return own
}

// LeaseToRecord returns the longest lease that an agent may have, for the next transaction to record. Shorter leases
// than recorded before are recorded once the leases of earlier holders have ended.
func (c *Core) LeaseToRecord(now time.Time) time.Duration {
	lease := c.settings.agentLease(len(c.agents))
	if c.leases.earlierEndBy.IsZero() || !now.After(c.leases.earlierEndBy) {
		lease = max(lease, c.leases.earlier)
	}
	return lease
}

// NeedsLongerLease reports whether a transaction is due because the holder gives shorter leases than the hall's number
// of agents requires.
func (c *Core) NeedsLongerLease() bool {
	return c.leases.recorded < c.settings.agentLease(len(c.agents))
}

// RecordingLease bounds the leases by the length that a transaction which is about to be sent records.
func (c *Core) RecordingLease(lease time.Duration) {
	c.leases.recorded = min(c.leases.recorded, lease)
}

// LeaseRecorded allows leases of a length that a transaction has recorded.
func (c *Core) LeaseRecorded(lease time.Duration) {
	c.leases.recorded = lease
}
