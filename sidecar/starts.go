package sidecar

import (
	"slices"
	"time"

	"hollyfork.example/wire/poolpb"
)

// openStart is a start that was given to the worker and that no listing has shown yet. A call names the worker
// alone, so it may be carried out by the next instance, and without an answer also later.
type openStart struct {
	task string
	run  int32
	// until is when it can't be carried out any more.
	until time.Time
	// settledAfter, once it was answered, is the number of the last listing that had been asked for by then. Any
	// later one shows what came of it.
	answered     bool
	settledAfter uint64
}

// StartGiven notes that a start is given to the worker.
func (c *Core) StartGiven(now time.Time, order *poolpb.StartOrder) {
	c.open = append(c.open, openStart{task: order.GetTask(), run: order.GetRun(), until: now.Add(longestLease)})
}

// StartAnswered notes what came of a start.
func (c *Core) StartAnswered(order *poolpb.StartOrder, result poolpb.OrderResult_Value) {
	if result == poolpb.OrderResult_UNSETTLED {
		return
	}
	for i, s := range c.open {
		if s.task == order.GetTask() && s.run == order.GetRun() {
			c.open[i].answered = true
			c.open[i].settledAfter = c.asked
		}
	}
}

// startsOpen says whether a start may be under way to the worker.
func (c *Core) startsOpen(now time.Time) bool {
	c.open = slices.DeleteFunc(c.open, func(s openStart) bool { return now.After(s.until) })
	return len(c.open) > 0
}

// settleStarts drops the starts of which a listing with a number tells.
func (c *Core) settleStarts(now time.Time, number uint64, listing Listing) {
	if !c.startsOpen(now) {
		return
	}
	c.open = slices.DeleteFunc(c.open, func(s openStart) bool {
		return s.answered && number > s.settledAfter || listing.shows(s.task, s.run)
	})
}

// shows says whether a run is on a listing, or its end is.
func (l Listing) shows(task string, run int32) bool {
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
