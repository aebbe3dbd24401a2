package sidecar

import (
	"slices"
	"time"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/wire/poolpb"
)

// pendingStart is a start that was sent to the worker. The request contains only the worker's name, so the next
// instance with that name may carry it out. A start that was not answered may be carried out later.
type pendingStart struct {
	task string
	run  int32
	// expiresAt is the time after which the start cannot be carried out any more.
	expiresAt time.Time
	// answered is set if the worker has answered the start. pollAtAnswer is then the number of the last poll that was
	// sent before the answer; the answer to any later poll shows the effect of the start.
	answered     bool
	pollAtAnswer uint64
	// listed is set if a listing has contained the run.
	listed bool
}

// StartSent records that a start is being sent to the worker.
func (c *Core) StartSent(now time.Time, order *poolpb.StartOrder) {
	c.pendingStarts = append(c.pendingStarts, pendingStart{task: order.GetTask(), run: order.GetRun(), expiresAt: now.Add(lateCallLimit)})
}

// StartAnswered records the result of a start. If the result is UNSETTLED, the outcome is unknown, and the start
// stays unanswered.
func (c *Core) StartAnswered(order *poolpb.StartOrder, result poolpb.OrderResult_Value) {
	if result == poolpb.OrderResult_UNSETTLED {
		return
	}
	for i, s := range c.pendingStarts {
		if s.task == order.GetTask() && s.run == order.GetRun() && !s.answered {
			c.pendingStarts[i].answered = true
			c.pendingStarts[i].pollAtAnswer = c.pollNumber
			return
		}
	}
}

// hasUnlistedStart reports whether there is a pending start whose run no listing has contained.
func (c *Core) hasUnlistedStart(now time.Time) bool {
	c.pendingStarts = slices.DeleteFunc(c.pendingStarts, func(s pendingStart) bool { return now.After(s.expiresAt) })
	return slices.ContainsFunc(c.pendingStarts, func(s pendingStart) bool { return !s.listed })
}

// resolveStarts updates the pending starts from the listing that answers a poll. Starts without an answer may still
// reach the next instance, so they are kept until they expire.
func (c *Core) resolveStarts(number uint64, listing Listing) {
	c.pendingStarts = slices.DeleteFunc(c.pendingStarts, func(s pendingStart) bool { return s.answered && number > s.pollAtAnswer })
	for i, s := range c.pendingStarts {
		c.pendingStarts[i].listed = s.listed || listing.contains(s.task, s.run)
	}
}

// revokeStarts prepares stop orders for the current instance after an instance change. They are for starts that were
// sent to the previous instance and not answered, if the two instances have the same name and the current one does
// not list the runs. A worker refuses a start whose run was stopped before the start arrives. Without these orders a
// start whose answer was lost could be carried out again by the next instance after its task had succeeded. The
// starts stay pending, since a later instance does not receive these stop orders.
func (c *Core) revokeStarts(now time.Time, previous instance.ID, listing Listing) {
	if !previous.SharesName(listing.Instance) {
		c.pendingStarts = nil
		c.startsBlockedUntil = time.Time{}
		c.earlierLeasesUntil = time.Time{}
		return
	}
	for _, s := range c.pendingStarts {
		if !s.answered && now.Before(s.expiresAt) && !listing.contains(s.task, s.run) {
			c.revokedStarts = append(c.revokedStarts, &poolpb.StopOrder{Task: s.task, Run: s.run})
			c.earlierLeasesUntil = laterOf(c.earlierLeasesUntil, s.expiresAt)
		}
	}
	c.pendingStarts = slices.DeleteFunc(c.pendingStarts, func(s pendingStart) bool { return s.answered })
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// TakeRevokedStarts returns the stop orders that the current instance needs for starts sent to the previous one. It
// returns each once, and again after revokeAgain.
func (c *Core) TakeRevokedStarts() []*poolpb.StopOrder {
	revoked := c.revokedStarts
	c.revokedStarts = nil
	return revoked
}

// revokeAgain records that an instance has not answered the stop orders for starts that it may still carry out.
func (c *Core) revokeAgain(id instance.ID, unanswered []*poolpb.StopOrder) {
	if id == c.heartbeat.Instance {
		c.revokedStarts = append(c.revokedStarts, unanswered...)
	}
}

// contains reports whether the listing has a run among its running or ended runs.
func (l Listing) contains(task string, run int32) bool {
	for _, r := range l.Running {
		if r.GetTask() == task && r.GetRun() == run {
			return true
		}
	}
	for _, e := range l.Ended {
		if e.GetTask() == task && e.GetRun() == run {
			return true
		}
	}
	return false
}
