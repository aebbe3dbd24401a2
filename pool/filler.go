package pool

import (
	"slices"

	"hollyfork.example/hollyfork/job"
)

// displaceFillers makes room for a group with a target on workers that fillers keep it from: what fills gives way to what
// serves. It reports whether the group has room once they have stopped.
func (p *pass) displaceFillers(g *group, d *demandState) bool {
	if g.spec().LatencyTarget == 0 {
		return false
	}
	free := slices.Clone(p.availableTo(d))
	for _, w := range p.workers {
		free[w.slot] = p.freeWithoutFillers(g, w, free[w.slot])
	}
	g.displacesFillers = true
	defer func() { g.displacesFillers = false }()
	places := p.fit(g, d, free)
	if places == nil {
		return false
	}
	victims, ok := p.fillersOn(g, places)
	if ok {
		p.preempt(g, d, victims)
	}
	return ok
}

// freeWithoutFillers returns the free capacity of a worker once its fillers have stopped: none if one of them may not be
// stopped for the group, or if it has none and the group is a single task, which does not fit there.
func (p *pass) freeWithoutFillers(g *group, w *worker, free job.Shape) job.Shape {
	fillers := 0
	for _, m := range w.members {
		v := m.group
		if !v.spec().Filler {
			continue
		}
		if !v.ending && !p.mayDisplace(v, g, nil) {
			return job.Shape{}
		}
		fillers++
		free = free.Add(v.taskShape)
	}
	if fillers == 0 && g.size == 1 {
		return job.Shape{}
	}
	return free
}

// fillersOn returns the fillers on workers; ok is false if they may not all be stopped for the group.
func (p *pass) fillersOn(g *group, places []*worker) (victims []*group, ok bool) {
	for _, w := range places {
		for _, m := range w.members {
			v := m.group
			if !v.spec().Filler || v.ending || slices.Contains(victims, v) {
				continue
			}
			if !p.mayDisplace(v, g, victims) {
				return nil, false
			}
			victims = append(victims, v)
		}
	}
	return victims, true
}

// mayDisplace reports whether a filler may be stopped for a group with a target, in addition to the chosen ones: it is of no
// higher rank, and its step permits it or has no limit.
func (p *pass) mayDisplace(v, g *group, chosen []*group) bool {
	if v.extraStarts > 0 || p.rank(v.job) < p.rank(g.job) {
		return false
	}
	return v.spec().MaxUnavailable == 0 || p.mayPreempt(v, g, chosen)
}

// onlyFills reports whether all of the round's ready groups are fillers.
func (r readyRound) onlyFills() bool {
	return !slices.ContainsFunc(r.ready, func(g *group) bool { return !g.spec().Filler })
}
