package pool

import (
	"slices"
	"time"

	"hollyfork.example/hollyfork/job"
)

// retained is room that urgent work has left and that is not lent to other work for a while.
type retained struct {
	shape job.Shape
	until time.Time
}

// retain keeps the room of a task of priority 0 that has just left its worker.
func (c *Core) retain(now time.Time, m *member) {
	if m.group.job.job.Terms.Priority != 0 {
		return
	}
	m.worker.retained = append(m.worker.retained, retained{shape: m.group.spec().Takes(), until: now.Add(c.settings.RetainFor)})
}

// lendRetained gives the room free for all work that was kept for long enough.
func (c *Core) lendRetained(now time.Time, w *worker) {
	before := len(w.retained)
	w.retained = slices.DeleteFunc(w.retained, func(r retained) bool { return !now.Before(r.until) })
	c.roomChanged = c.roomChanged || len(w.retained) < before
}

// useRetained takes room for a task of priority 0 out of what is kept, the oldest first.
func (w *worker) useRetained(shape job.Shape) {
	for len(w.retained) > 0 && shape.Accelerators > 0 {
		shape = shape.Sub(w.retained[0].shape)
		w.retained = w.retained[1:]
	}
}

// offered is the free room that may be given to a demand.
func (p *pass) offered(d *prospect) room {
	if d.relaxation == relaxAll {
		return p.free
	}
	return p.lent(d, p.unheld(d))
}

// lent is the room out of some room that may be given to a demand: what is kept for urgent
// work is left out for others.
func (p *pass) lent(d *prospect, free room) room {
	if d.priority == 0 || len(p.keeping) == 0 {
		return free
	}
	lent := slices.Clone(free)
	for _, w := range p.keeping {
		for _, r := range w.retained {
			lent[w.slot] = lent[w.slot].Sub(r.shape)
		}
	}
	return lent
}
