package sidecar

import (
	"slices"
	"time"

	"hollyfork.example/hollyfork/instance"
)

// NextHold returns the next question to the worker, with its number; ok is false while
// there is no worker or no holder.
func (c *Core) NextHold(now time.Time) (h Hold, number uint64, ok bool) {
	if c.beat.Instance.IsZero() && len(c.unverified) == 0 || c.epoch == 0 {
		return Hold{}, 0, false
	}
	c.asked++
	c.askedAt = now
	if other, asks := c.toVerify(); asks {
		return Hold{Instance: other, Epoch: c.epoch}, c.asked, true
	}
	h = Hold{Instance: c.beat.Instance, Epoch: c.epoch}
	if c.gone || c.mayBeAnother() {
		// What is known of this instance may not hold for the one that answers.
		return h, c.asked, true
	}
	h.Until = c.extend(now)
	h.Committed = c.toForget(now)
	if c.listed > 0 && h.Committed == 0 && !c.untold() && !c.silent && c.suspendedSinceHeld() == 0 {
		h.Wait = holdWait
	}
	return h, c.asked, true
}

// toVerify returns an instance with another name than the living one, or any if none lives, that is to be asked
// next. While it can't be asked the living one is still asked, by turns, so that its lease is kept up.
func (c *Core) toVerify() (instance.ID, bool) {
	wasAsked := c.unverifiedAsked
	c.unverifiedAsked = false
	for _, u := range c.unverified {
		if c.beat.Instance.IsZero() || !wasAsked && !u.beat.Instance.SharesName(c.beat.Instance) {
			c.unverifiedAsked = true
			return u.beat.Instance, true
		}
	}
	return instance.ID{}, false
}

// mayBeAnother says whether a heartbeat names another instance of the living one's name.
func (c *Core) mayBeAnother() bool {
	return slices.ContainsFunc(c.unverified, func(u unverified) bool { return u.beat.Instance.SharesName(c.beat.Instance) })
}

// toForget returns the number of the last end that the worker is to be told that it may forget, or 0. A question names the
// worker alone, and its next instance, whose numbers begin anew, takes it for its own. So the number is told once, in
// a question that is answered at once, and only when no start may be under way that could run, and end, in the
// next instance. When it was told with each question, such an end was forgotten before it was listed, in each run of a
// test with a worker that starts again between two questions.
func (c *Core) toForget(now time.Time) uint64 {
	if c.committed == c.toldCommitted || c.listed == 0 || c.silent || c.beat.Instance.MayReturn() && c.startsOpen(now) {
		return 0
	}
	return c.committed
}

// untold says whether the worker lists ends that it was not told that it may forget: it would answer at once,
// again and again.
func (c *Core) untold() bool {
	ended := c.listing.Ended
	return len(ended) > 0 && ended[len(ended)-1].GetNumber() > c.toldCommitted
}
