package pool

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"hollyfork.example/hollyfork/job"
)

// pass is one round of placing. It works on a copy of what is free.
type pass struct {
	core *Core
	now  time.Time
	// free is the room that this pass may still give away.
	free map[*worker]job.Shape
	// releasing is the room that is about to become free.
	releasing map[*worker]job.Shape
	// held is room that is kept for a group that waits, until about heldUntil.
	held      map[*worker]job.Shape
	heldUntil time.Time
	// holds counts the groups that room is held for.
	holds int
	// workers are those that may be given work, by name.
	workers []*worker
	// keeping are those of them with room that is kept for urgent work.
	keeping []*worker
	// urgentNeed is what the jobs of priority 0 that have not ended still need, in
	// accelerators by workspace.
	urgentNeed map[string]int
}

// Decide places the groups that are ready, the most pressing first, and displaces others
// for those of priority 0.
func (c *Core) Decide(now time.Time) {
	c.roomChanged = false
	c.decidedAt = now
	ready := c.readyGroups()
	if len(ready) == 0 {
		return
	}
	p := c.newPass(now)
	slices.SortFunc(ready, p.compare)
	for _, g := range ready {
		p.try(g)
	}
}

func (c *Core) newPass(now time.Time) *pass {
	p := &pass{
		core:      c,
		now:       now,
		free:      map[*worker]job.Shape{},
		releasing: map[*worker]job.Shape{},
		held:      map[*worker]job.Shape{},

		urgentNeed: c.urgentNeed(),
	}
	for _, w := range c.workers {
		if w.usable(now, c.settings) {
			p.workers = append(p.workers, w)
			p.free[w] = w.free()
			p.releasing[w] = w.releasing()
			if len(w.retained) > 0 {
				p.keeping = append(p.keeping, w)
			}
		}
	}
	slices.SortFunc(p.workers, func(a, b *worker) int { return strings.Compare(a.agent, b.agent) })
	return p
}

// urgentNeed counts what the jobs of priority 0 still need, by workspace.
func (c *Core) urgentNeed() map[string]int {
	need := map[string]int{}
	for _, j := range c.live {
		if j.job.Terms.Priority != 0 || j.state.ended() {
			continue
		}
		for _, g := range j.groups {
			if !g.done {
				need[j.job.Workspace] += g.spec().Shape.Accelerators * g.size
			}
		}
	}
	return need
}

// guaranteed says whether all that the job's workspace has of priority 0 is within its
// guarantee.
func (p *pass) guaranteed(j *jobState) bool {
	return j.job.Terms.Priority == 0 && p.urgentNeed[j.job.Workspace] <= p.core.catalog.Guaranteed(j.job.Workspace)
}

// readyGroups returns what could be placed.
func (c *Core) readyGroups() []*group {
	var ready []*group
	for _, j := range c.live {
		if j.state.ended() {
			continue
		}
		for _, g := range j.groups {
			if g.waiting() && g.ready() {
				ready = append(ready, g)
			}
		}
	}
	return ready
}

// rank is the class in which a group is ordered: what is guaranteed first, then by
// priority.
func (p *pass) rank(g *group) int {
	if p.guaranteed(g.job) {
		return -1
	}
	return g.job.job.Terms.Priority
}

// compare orders groups by rank, then by when their jobs should be done.
func (p *pass) compare(a, b *group) int {
	return cmp.Or(
		cmp.Compare(p.rank(a), p.rank(b)),
		a.due().Compare(b.due()),
		cmp.Compare(a.job.job.ID, b.job.job.ID),
		cmp.Compare(a.round.number, b.round.number),
		cmp.Compare(a.step, b.step),
		cmp.Compare(a.first, b.first),
	)
}

// try places a group, or promises it room that is about to become free.
func (p *pass) try(g *group) {
	if places := p.fit(g, p.lent(g, p.unheld(g))); places != nil {
		p.place(g, places)
		return
	}
	if g.job.job.Terms.Priority != 0 {
		p.hold(g)
		return
	}
	if places := p.fit(g, p.withReleasing(nil)); places != nil {
		p.promise(g, places)
		return
	}
	p.displaceFor(g)
}

// place books a group on workers, one for each of its tasks. It starts once that is
// committed.
func (p *pass) place(g *group, places []*worker) {
	c := p.core
	shape := g.spec().Takes()
	g.run++
	g.ending = false
	g.progressAt = time.Time{}
	g.percent = 0
	names := make([]string, len(places))
	for i, w := range places {
		m := &member{group: g, index: g.first + i, worker: w, instance: w.instance, phase: memberPlaced}
		g.members = append(g.members, m)
		w.members[m] = struct{}{}
		p.free[w] = p.free[w].Sub(shape)
		if g.job.job.Terms.Priority == 0 {
			w.useRetained(shape)
		}
		names[i] = w.agent
	}
	if g.job.state == Queued {
		g.job.state = Active
	}
	c.markDirty(g.job)
	c.tell(Event{
		Kind:   EventPlaced,
		Job:    g.job.job.ID,
		Step:   g.step,
		First:  g.first,
		Run:    g.run,
		Worker: strings.Join(names, " "),
		Detail: fmt.Sprintf("priority %d, %d tasks of %s, expected to take %s, due in %s, waited %s",
			g.job.job.Terms.Priority, g.size, g.spec().Shape, g.spec().Estimate,
			g.due().Sub(p.now).Round(time.Millisecond), p.now.Sub(g.readySince).Round(time.Millisecond)),
	})
}

// promise keeps room for a group that waits for others to end.
func (p *pass) promise(g *group, places []*worker) {
	shape := g.spec().Takes()
	for _, w := range places {
		p.free[w] = p.free[w].Sub(shape)
	}
}

// withReleasing is the free room, with what is about to become free and what victims take.
func (p *pass) withReleasing(victims []*group) map[*worker]job.Shape {
	room := make(map[*worker]job.Shape, len(p.free))
	for w, free := range p.free {
		room[w] = free.Add(p.releasing[w])
	}
	for _, v := range victims {
		for _, m := range v.members {
			if _, usable := room[m.worker]; usable && m.phase != memberGone {
				room[m.worker] = room[m.worker].Add(v.spec().Takes())
			}
		}
	}
	return room
}
