package sidecar

import (
	"slices"
	"time"

	"hollyfork.example/hollyfork/instance"
)

// NextPoll returns the next poll of the worker, and its number. The result ok is false while no instance of the
// worker is known or no holder has called.
func (c *Core) NextPoll(now time.Time) (poll PollRequest, number uint64, ok bool) {
	if c.heartbeat.Instance.IsZero() && len(c.unverified) == 0 || c.epoch == 0 {
		return PollRequest{}, 0, false
	}
	c.pollNumber++
	c.polledAt = now
	c.totalPauseAtPoll = c.totalPause
	if other, found := c.nextUnverified(); found {
		return PollRequest{Instance: other, Epoch: c.epoch}, c.pollNumber, true
	}
	poll = PollRequest{Instance: c.heartbeat.Instance, Epoch: c.epoch}
	if c.instanceEnded || c.hasUnverifiedNamesake() {
		// Another instance may answer, for which the lease and the committed number of this one are wrong.
		return poll, c.pollNumber, true
	}
	poll.LeaseEnd = c.extendWorkerLease(now)
	poll.Committed = c.forgettableEnd(now)
	if c.listingNumber > 0 && poll.Committed == 0 && !c.startsBlocked && !c.hasUndeliveredEnds() && !c.silent && c.pauseSinceListing() == 0 {
		poll.Wait = pollWait
	}
	return poll, c.pollNumber, true
}

// nextUnverified returns the unverified instance to poll next: one with another name than the current
// instance, or any if there is no current instance. While such an instance does not answer, polls alternate between
// it and the current instance, so that the lease of the current instance is still extended.
func (c *Core) nextUnverified() (instance.ID, bool) {
	polledLast := c.unverifiedPolledLast
	c.unverifiedPolledLast = false
	for _, u := range c.unverified {
		if c.heartbeat.Instance.IsZero() || !polledLast && !u.heartbeat.Instance.SharesName(c.heartbeat.Instance) {
			c.unverifiedPolledLast = true
			return u.heartbeat.Instance, true
		}
	}
	return instance.ID{}, false
}

// hasUnverifiedNamesake reports whether there is an unverified instance with the name of the current one.
func (c *Core) hasUnverifiedNamesake() bool {
	return slices.ContainsFunc(c.unverified, func(u unverifiedInstance) bool { return u.heartbeat.Instance.SharesName(c.heartbeat.Instance) })
}

// forgettableEnd returns the number of the last ended run that the next poll allows the worker to forget, or 0. A
// poll contains only the worker's name, and the worker's next instance, which numbers its ended runs from 1 again,
// would take the number for its own. So the number is sent only once, in a poll that is answered at once, and only if
// no pending start, of this incarnation or an earlier one, could run and end in the next instance. If each poll contained the number, a worker that restarts
// between two polls would always forget such an ended run before it has listed it.
func (c *Core) forgettableEnd(now time.Time) uint64 {
	if c.committed == c.deliveredCommitted || c.listingNumber == 0 || c.silent || c.earlierAgentsRecent(now) || c.heartbeat.Instance.NameMayRecur() && c.hasUnlistedStart(now) {
		return 0
	}
	return c.committed
}

// hasUndeliveredEnds reports whether the last listing has ended runs that the worker has not been allowed to forget.
// The worker would answer long polls at once while it has such runs.
func (c *Core) hasUndeliveredEnds() bool {
	ended := c.listing.Ended
	return len(ended) > 0 && ended[len(ended)-1].GetNumber() > c.deliveredCommitted
}
