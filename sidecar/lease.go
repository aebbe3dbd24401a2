package sidecar

import (
	"time"

	"hollyfork.example/hollyfork/instance"
)

// drainingLease is the longest lease of a worker that is draining. When the worker stops listening, its tasks run
// elsewhere only once its lease has ended, so it is short; it outlasts several polls.
const drainingLease = 2 * time.Second

type (
	// earlierLease is what the agent knows of leases that the current instance may have received from earlier
	// incarnations of the agent, or from calls for an earlier instance of the worker. It is one of unknownLease,
	// limitedLease and noLease.
	earlierLease interface {
		earlierLease()
	}

	// unknownLease means that an earlier incarnation of the agent may have extended the instance's lease at any time
	// before the agent's start. A nil earlierLease counts as unknown too.
	unknownLease struct{}

	// limitedLease means that calls for an earlier instance with the same name may have given the instance a lease
	// before its first listing. It ends no later than at a reading of the worker's clock.
	limitedLease struct {
		end time.Duration
	}

	// noLease means that nobody else can have given the instance a lease.
	noLease struct{}

	// leaseSummary describes, for the log, what the agent knows of the worker's lease.
	leaseSummary struct {
		agentAge time.Duration
		// sinceListing is the time since the last listing, and extendedBy the time after that listing up to which this
		// agent has extended the worker's lease. Both are 0 if there was none.
		sinceListing time.Duration
		extendedBy   time.Duration
		// earlier is what is known of other leases, and longest the time after that listing up to which the worker's
		// lease may last, other leases included.
		earlier string
		longest time.Duration
	}
)

func (unknownLease) earlierLease() {}
func (limitedLease) earlierLease() {}
func (noLease) earlierLease()      {}

// earlierLeaseAt returns what is known at the first listing of an instance. The agent knew the instance previous before
// it, or none. Nobody but this agent can have extended the lease of an instance that started after the agent. But calls
// for the previous instance reach it if the two have the same name; a lease that they have brought ends within maxLease.
func earlierLeaseAt(previous instance.ID, first Listing) earlierLease {
	switch {
	case previous.IsZero():
		return unknownLease{}
	case previous.SharesName(first.Instance):
		return limitedLease{end: first.Clock + maxLease}
	default:
		return noLease{}
	}
}

// extendWorkerLease returns the reading of the worker's clock up to which the worker's lease may be extended, and
// records it in extendedTo. It returns 0 if the lease may not be extended or the worker's clock is unknown. A worker
// that does not answer gets no extension, since one that arrives late would outlast the lease that the agent assumes.
// After a pause the reading of the worker's clock is unknown until the next listing.
func (c *Core) extendWorkerLease(now time.Time) time.Duration {
	if c.listedAt.IsZero() || c.silent || c.listingNumber == 0 || !now.Before(c.agentLeaseEnd) || c.pauseSinceListing() > 0 {
		return 0
	}
	leaseEnd := c.listing.Clock + c.leaseFromListing()
	c.extendedTo = max(c.extendedTo, leaseEnd)
	return leaseEnd
}

// leaseFromListing returns the length of the lease, from the last listing on, that the worker receives next.
func (c *Core) leaseFromListing() time.Duration {
	length := c.agentLeaseEnd.Sub(c.listedAt)
	if c.heartbeat.Draining {
		length = min(length, drainingLease)
	}
	return length
}

// workerLeaseEnd returns the latest reading of the worker's clock at which the lease of the current instance may end.
// The instance must have answered a poll.
func (c *Core) workerLeaseEnd() time.Duration {
	own := max(c.extendedTo, c.lateLeaseEnd)
	switch l := c.earlierLease.(type) {
	case limitedLease:
		return max(own, l.end)
	case noLease:
		return own
	default:
		return max(own, c.workerClockAtStart+c.longestAgentLease())
	}
}

// longestAgentLease returns the longest lease that an earlier incarnation of the agent may have had. Holders of all
// releases give leases of the same length (pool.Settings.AgentLease).
func (c *Core) longestAgentLease() time.Duration {
	if c.longestRenewal == 0 {
		return maxLease // No holder has told this incarnation the length.
	}
	return c.longestRenewal
}

// lastAgentLeaseEnd returns the time by which the leases of this agent and of all earlier incarnations end.
func (c *Core) lastAgentLeaseEnd() time.Time {
	if earlier := c.startedAt.Add(c.longestAgentLease()); earlier.After(c.agentLeaseEnd) {
		return earlier
	}
	return c.agentLeaseEnd
}

// workerLeaseLapsed reports whether the lease of a silent worker has certainly ended, even if its clock runs slow.
func (c *Core) workerLeaseLapsed(now time.Time) bool {
	if c.listingNumber == 0 {
		return now.Sub(c.startedAt) > maxLease+c.totalPause
	}
	length := time.Duration(float64(c.workerLeaseEnd()-c.listing.Clock) / (1 - maxClockDrift))
	return now.After(c.listedAt.Add(length).Add(c.pauseSinceListing()).Add(lapseMargin))
}

// leaseSummary returns a summary for the log.
func (c *Core) leaseSummary(now time.Time) leaseSummary {
	summary := leaseSummary{agentAge: now.Sub(c.startedAt)}
	if c.listingNumber > 0 {
		summary.sinceListing = now.Sub(c.listedAt)
		summary.extendedBy = max(0, c.extendedTo-c.listing.Clock)
		summary.earlier = nameOfLease(c.earlierLease)
		summary.longest = max(0, c.workerLeaseEnd()-c.listing.Clock)
	}
	return summary
}

// extensionOf returns how far after the last listing a poll extends the worker's lease; 0 if it does not.
func (c *Core) extensionOf(poll PollRequest) time.Duration {
	return max(0, poll.LeaseEnd-c.listing.Clock)
}
