package pool

import (
	"fmt"
	"time"
)

const (
	// leaveSlack is a tolerance for runs without checkpoints, since workers often stay longer than
	// announced and expected ends are inexact. Such a run is moved only if it is expected to end later
	// than leaveSlack plus half of the time left after the announced earliest departure of a worker.
	leaveSlack = time.Second
)

// recordLeaving records the announced minimum time that a draining worker stays, if the announcement has
// changed.
func (w *worker) recordLeaving(now time.Time, r Report) {
	switch {
	case !r.Draining:
		w.leavesAt, w.remaining = time.Time{}, 0
	case r.Remaining > 0 && r.Remaining != w.remaining:
		w.leavesAt, w.remaining = now.Add(r.Remaining), r.Remaining
	}
}

// checkLeaving moves a run that will not end before one of its workers leaves. Work that is not saved
// is lost in any case; moving the run now avoids further work that would be lost as well. Long-running
// tasks are not moved here: their jobs limit how many tasks may be unavailable at once.
func (c *Core) checkLeaving(now time.Time, g *group) {
	if g.spec().LongRunning {
		return
	}
	leaves := g.leavesAt()
	if leaves.IsZero() {
		return
	}
	if !g.spec().Checkpoint {
		leaves = leaves.Add(leaveSlack + max(0, leaves.Sub(now))/2)
	}
	ends := g.expectedEnd(now)
	if !ends.After(leaves) {
		return
	}
	c.emit(g.event(EventMovedOffLeaving, fmt.Sprintf("at %d%%, would end %s after a worker leaves", g.percent, ends.Sub(leaves).Round(time.Millisecond))))
	c.abort(now, g)
}

// leavesAt returns the earliest announced departure among the run's workers; zero if none leaves.
func (g *group) leavesAt() time.Time {
	first := time.Time{}
	for _, m := range g.members {
		at := m.worker.leavesAt
		if m.phase != memberGone && !at.IsZero() && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}
