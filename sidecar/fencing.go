package sidecar

import (
	"time"

	"hollyfork.example/wire/poolpb"
)

// Each call to the worker contains a fencing number, and the worker does nothing for a call with a lower number than one
// that it has accepted. A holder gives the agent the number with its messages. It raises it when it learns of another
// incarnation of the agent or another instance of the worker, so that the worker refuses calls of earlier incarnations
// and for earlier instances once it has accepted one with the raised number. Holders of earlier releases don't raise it.

// ObserveOrder records the fencing number of orders. It reports whether they are stale.
func (c *Core) ObserveOrder(request *poolpb.OrderRequest) (stale bool) {
	c.recordOwnNumber(request.GetEpoch(), request.GetIncarnation())
	return c.ObserveEpoch(request.GetEpoch())
}

// recordOwnNumber records the first number that only this incarnation has been given. A holder learns an incarnation's
// name from the reply to an earlier message. So a message that has the name and a higher number than all before it is of
// a holder that has raised the number for this incarnation.
func (c *Core) recordOwnNumber(number uint64, incarnation string) {
	if c.ownEpoch == 0 && c.epoch > 0 && number > c.epoch && incarnation == c.incarnation {
		c.ownEpoch = number
	}
}

// refusesEarlierAgents reports whether the current instance refuses the calls of earlier incarnations of the agent.
func (c *Core) refusesEarlierAgents() bool {
	return c.ownEpoch > 0 && c.answeredEpoch >= c.ownEpoch
}

// refusesEarlierCalls reports whether the current instance refuses the calls of this incarnation for earlier instances.
func (c *Core) refusesEarlierCalls() bool {
	return c.answeredEpoch > c.epochAtSwitch
}

// earlierAgentsCallsMayArrive reports whether calls of earlier incarnations for an earlier instance may still reach the
// current one. They name only the worker, so this matters if the current instance began no longer than lateCallLimit
// before the agent.
func (c *Core) earlierAgentsCallsMayArrive(now time.Time) bool {
	return c.earlierAgentsRecent(now) && c.workerClockAtStart < lateCallLimit && !c.refusesEarlierAgents()
}

// earlierAgentsRecent reports whether calls of earlier incarnations of the agent may still be under way, and the worker's
// name may recur.
func (c *Core) earlierAgentsRecent(now time.Time) bool {
	return c.heartbeat.Instance.NameMayRecur() && !now.After(c.earlierCallsUntil)
}

// earlierLeaseMayArrive reports whether a call for an earlier instance may still extend the lease of the current one.
func (c *Core) earlierLeaseMayArrive(now time.Time) bool {
	return now.Before(c.earlierLeasesUntil) && !c.refusesEarlierCalls() || c.earlierAgentsCallsMayArrive(now)
}

// earlierForgetMayArrive reports whether a poll that lets an earlier instance forget ended runs may still reach the
// current one. It would take the number for its own.
func (c *Core) earlierForgetMayArrive(now time.Time) bool {
	return now.Before(c.startsBlockedUntil) && !c.refusesEarlierCalls() || c.earlierAgentsCallsMayArrive(now)
}

// recordAnsweredNumber records the number of a poll that the current instance has answered. Until then a call for an
// earlier instance may have extended the lease by the longest time, and may still do so unless it is refused from now on.
func (c *Core) recordAnsweredNumber(now time.Time, poll PollRequest, listing Listing) {
	mayHaveArrived := c.earlierLeaseMayArrive(now)
	c.answeredEpoch = max(c.answeredEpoch, poll.Epoch)
	if !mayHaveArrived {
		return
	}
	c.lateLeaseEnd = listing.Clock + maxLease
	if !c.refusesEarlierCalls() {
		c.lateLeaseEnd += max(0, c.earlierLeasesUntil.Sub(now))
	}
}
