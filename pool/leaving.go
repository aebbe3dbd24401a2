package pool

import (
	"fmt"
	"time"
)

// saveBefore is how long before its worker leaves a task is stopped that saves its
// progress: above the time that a stop takes (0.9 s at most) and an order's way.
const saveBefore = 1200 * time.Millisecond

// checkLeaving moves a group that will not be done before one of its workers leaves: at
// once, or, if it saves its progress, as late as it can be saved.
func (c *Core) checkLeaving(now time.Time, g *group) {
	leaves, leaving := g.leavesAt()
	if !leaving || g.spec().LongRunning || !g.expectedEnd(now).After(leaves) {
		return
	}
	if g.spec().Checkpoint && now.Before(leaves.Add(-saveBefore)) {
		return
	}
	c.tell(Event{
		Kind:   EventMoved,
		Job:    g.job.job.ID,
		Step:   g.step,
		First:  g.first,
		Run:    g.run,
		Detail: fmt.Sprintf("at %d%%, its worker leaves in %s", g.percent, leaves.Sub(now).Round(time.Millisecond)),
	})
	c.abort(now, g)
}

// leavesAt is when the first of a group's workers may be gone.
func (g *group) leavesAt() (leaves time.Time, leaving bool) {
	for _, m := range g.members {
		at := m.worker.leavesAt
		if !at.IsZero() && (!leaving || at.Before(leaves)) {
			leaves, leaving = at, true
		}
	}
	return leaves, leaving
}
