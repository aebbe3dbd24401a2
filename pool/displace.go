package pool

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"hollyfork.example/hollyfork/job"
)

const (
	// savedEvery is how often tasks that save their progress do so, at most.
	savedEvery = time.Second
	// startCost is what a start costs in the time of its task, so that what has just been
	// placed is not stopped for nothing.
	startCost = 300 * time.Millisecond
)

// plan is a set of groups to be stopped so that another finds room.
type plan struct {
	victims []*group
	// cost is the work that would be lost, in core-seconds.
	cost float64
}

// displaceFor stops groups of lesser priority so that another finds room. Within its
// workspace's guarantee a job always gets it; beyond that, only while it does more work
// itself than would be lost.
func (p *pass) displaceFor(g *group) {
	best, ok := p.bestPlan(g)
	if !ok {
		return
	}
	if !p.guaranteed(g.job) && best.cost > p.core.settings.DisplaceFactor*g.work() {
		return
	}
	p.stop(g, best.victims)
}

// bestPlan returns the plan that loses the least work: in any one rack for a group that
// wants one, else over all workers.
func (p *pass) bestPlan(g *group) (plan, bool) {
	if !p.core.wantsOneRack(g) {
		return p.planOn(g, p.workers)
	}
	racks := map[string][]*worker{}
	for _, w := range p.workers {
		racks[w.rack] = append(racks[w.rack], w)
	}
	var best plan
	found := false
	for _, workers := range racks {
		next, ok := p.planOn(g, workers)
		if ok && (!found || next.cost < best.cost) {
			best, found = next, true
		}
	}
	return best, found
}

// planOn finds groups to stop so that another fits on some workers. It takes the cheapest
// place for one more task until there are enough.
func (p *pass) planOn(g *group, workers []*worker) (plan, bool) {
	var chosen plan
	room := p.withReleasing(nil)
	for p.places(g, workers, room) < g.size {
		next, ok := p.cheapestPlace(g, workers, room, chosen.victims)
		if !ok {
			return plan{}, false
		}
		chosen.victims = append(chosen.victims, next.victims...)
		chosen.cost += next.cost
		room = p.withReleasing(chosen.victims)
	}
	return chosen, true
}

// places counts the tasks of a group that fit on some workers.
func (p *pass) places(g *group, workers []*worker, room map[*worker]job.Shape) int {
	count := 0
	for _, w := range workers {
		count += p.count(g, w, room[w])
	}
	return count
}

// cheapestPlace finds the groups to stop, beside those that were chosen, for one more task
// on any of some workers.
func (p *pass) cheapestPlace(g *group, workers []*worker, room map[*worker]job.Shape, chosen []*group) (plan, bool) {
	var best plan
	found := false
	for _, w := range workers {
		next, ok := p.placeOn(g, w, room[w], chosen)
		if ok && (!found || next.cost < best.cost) {
			best, found = next, true
		}
	}
	return best, found
}

// placeOn finds the groups to stop, beside those that were chosen, for one more task on a
// worker.
func (p *pass) placeOn(g *group, w *worker, room job.Shape, chosen []*group) (plan, bool) {
	before := p.count(g, w, room)
	victims := p.victimsOn(g, w, chosen)
	taken := 0
	for p.count(g, w, room) <= before {
		if taken == len(victims) {
			return plan{}, false
		}
		room = room.Add(victims[taken].takes(w))
		taken++
	}
	needed := victims[:taken]
	for i := len(needed) - 2; i >= 0; i-- {
		without := room.Sub(needed[i].takes(w))
		if p.count(g, w, without) > before {
			room = without
			needed = slices.Delete(needed, i, i+1)
		}
	}
	result := plan{victims: needed}
	for _, v := range needed {
		result.cost += v.unsaved(p.now)
	}
	return result, true
}

// victimsOn returns the groups on a worker that may be stopped, beside those that were
// chosen, those that lose least for the room that they take there first.
func (p *pass) victimsOn(g *group, w *worker, chosen []*group) []*group {
	var list []*group
	for m := range w.members {
		v := m.group
		if v.job.job.Terms.Priority <= g.job.job.Terms.Priority || v.ending || v.done || m.phase == memberStopping {
			continue
		}
		if !slices.Contains(list, v) && !slices.Contains(chosen, v) && p.mayStop(v, g, slices.Concat(chosen, list)) {
			list = append(list, v)
		}
	}
	value := func(v *group) float64 { return v.unsaved(p.now) / (v.takes(w).Cores() + 1) }
	slices.SortFunc(list, func(a, b *group) int {
		return cmp.Or(
			cmp.Compare(value(a), value(b)),
			strings.Compare(string(a.job.job.ID), string(b.job.job.ID)),
			cmp.Compare(a.step, b.step),
			cmp.Compare(a.first, b.first),
		)
	})
	return list
}

// takes is the room that a group takes on a worker.
func (g *group) takes(w *worker) job.Shape {
	shape := job.Shape{}
	for _, m := range g.members {
		if m.worker == w && m.phase != memberGone {
			shape = shape.Add(g.spec().Takes())
		}
	}
	return shape
}

// stop stops groups and promises the room to another.
func (p *pass) stop(g *group, victims []*group) {
	for _, v := range victims {
		if v.ending {
			continue
		}
		for _, m := range v.members {
			if _, usable := p.free[m.worker]; usable && m.phase != memberGone {
				p.releasing[m.worker] = p.releasing[m.worker].Add(v.spec().Takes())
			}
		}
		p.core.tell(Event{
			Kind:   EventDisplaced,
			Job:    v.job.job.ID,
			Step:   v.step,
			First:  v.first,
			Run:    v.run,
			Detail: "for job " + string(g.job.job.ID),
		})
		p.core.abort(p.now, v)
	}
	if places := p.fit(g, p.withReleasing(nil)); places != nil {
		p.promise(g, places)
	}
}

// work is what a group will do, by its caller's guess, in core-seconds.
func (g *group) work() float64 {
	return g.spec().Estimate.Seconds() * g.spec().Shape.Cores() * float64(g.size)
}

// unsaved is the work of a group's present run that a stop would lose, in core-seconds.
func (g *group) unsaved(now time.Time) float64 {
	length := startCost
	if !g.began.IsZero() {
		length += now.Sub(g.began)
	}
	if g.spec().Checkpoint {
		length = min(length, savedEvery)
	}
	return length.Seconds() * g.spec().Shape.Cores() * float64(g.size)
}
