package sidecar

import (
	"slices"
	"time"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/wire/poolpb"
)

// openStart is a start that was given to the worker. A call names the worker alone, so it may be carried out by the
// next instance, and without an answer also later.
type openStart struct {
	task string
	run  int32
	// until is when it can't be carried out any more.
	until time.Time
	// settledAfter, once it was answered, is the number of the last listing that had been asked for by then. Any
	// later one shows what came of it.
	answered     bool
	settledAfter uint64
	// shown says that a listing has told of the run.
	shown bool
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
		if s.task == order.GetTask() && s.run == order.GetRun() && !s.answered {
			c.open[i].answered = true
			c.open[i].settledAfter = c.asked
			return
		}
	}
}

// startsOpen says whether a start may be under way to the worker of which no listing has told.
func (c *Core) startsOpen(now time.Time) bool {
	c.open = slices.DeleteFunc(c.open, func(s openStart) bool { return now.After(s.until) })
	return slices.ContainsFunc(c.open, func(s openStart) bool { return !s.shown })
}

// settleStarts notes of which starts a listing with a number tells. Those without an answer may come again to the next
// instance, so they are kept until that can't be any more.
func (c *Core) settleStarts(number uint64, listing Listing) {
	c.open = slices.DeleteFunc(c.open, func(s openStart) bool { return s.answered && number > s.settledAfter })
	for i, s := range c.open {
		c.open[i].shown = s.shown || listing.shows(s.task, s.run)
	}
}

// recallStarts has the starts that were given to the former instance and not answered stopped on the living one, if that has
// its name and does not list them: what was stopped there before it came is refused. A start of which the answer was lost
// was carried out again by the next instance otherwise, after the task had ended well. They stay open: the instance after
// that knows of no stop.
func (c *Core) recallStarts(now time.Time, former instance.ID, listing Listing) {
	if !former.SharesName(listing.Instance) {
		c.open = nil
		c.exposedUntil = time.Time{}
		return
	}
	for _, s := range c.open {
		if !s.answered && now.Before(s.until) && !listing.shows(s.task, s.run) {
			c.recalled = append(c.recalled, &poolpb.StopOrder{Task: s.task, Run: s.run})
		}
	}
	c.open = slices.DeleteFunc(c.open, func(s openStart) bool { return s.answered })
}

// TakeRecalled returns the stops that the living instance is to be given, each once.
func (c *Core) TakeRecalled() []*poolpb.StopOrder {
	recalled := c.recalled
	c.recalled = nil
	return recalled
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
