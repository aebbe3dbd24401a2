package pool

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"hollyfork.example/hollyfork/job"
)

// preemptFor preempts groups of lower priority so that another fits. A job within its workspace's guarantee may
// always preempt; beyond the guarantee only while the work lost is at most DisplaceFactor times the work of its group.
// Within its guarantee it may also preempt equals of workspaces that use more than theirs, if nothing else suffices.
func (p *referencePass) preemptFor(g *group) {
	p.reclaiming = false
	best, ok := p.bestPlan(g)
	if !ok && p.guaranteed(g.job) && p.core.catalog.GuaranteedAccelerators(g.job.job.Workspace) > 0 {
		p.reclaiming = true
		best, ok = p.bestPlan(g)
	}
	if !ok {
		return
	}
	if !p.guaranteed(g.job) && best.cost > p.core.settings.DisplaceFactor*g.estimatedWork() {
		return
	}
	p.preempt(g, best.victims)
}

// bestPlan returns the plan that loses the least work: within one rack for a group that wants one, otherwise over all
// workers.
func (p *referencePass) bestPlan(g *group) (preemptionPlan, bool) {
	if !p.core.referenceWantsOneRack(g) {
		return p.planForWorkers(g, p.workers)
	}
	racks := map[string][]*worker{}
	var names []string
	for _, w := range p.workers {
		if len(racks[w.rack]) == 0 {
			names = append(names, w.rack)
		}
		racks[w.rack] = append(racks[w.rack], w)
	}
	var best preemptionPlan
	found := false
	for _, name := range names {
		next, ok := p.planForWorkers(g, racks[name])
		if ok && (!found || comparePlans(next, best) < 0) {
			best, found = next, true
		}
	}
	return best, found
}

// comparePlans orders plans: those of lower work alone first, those that take from a guarantee last, and then by the work lost.
func comparePlans(a, b preemptionPlan) int {
	return cmp.Or(cmp.Compare(a.right, b.right), cmp.Compare(a.cost, b.cost))
}

// planForWorkers returns the victims that make a group fit on some workers. It adds the cheapest victims for one more
// task until all tasks fit.
func (p *referencePass) planForWorkers(g *group, workers []*worker) (preemptionPlan, bool) {
	var chosen preemptionPlan
	capacity := p.freeAndReleasing(nil)
	for p.totalThatFit(g, workers, capacity) < g.size {
		next, ok := p.cheapestPlan(g, workers, capacity, chosen.victims)
		if !ok {
			return preemptionPlan{}, false
		}
		chosen.victims = append(chosen.victims, next.victims...)
		chosen.cost += next.cost
		chosen.right = max(chosen.right, next.right)
		capacity = p.freeAndReleasing(chosen.victims)
	}
	return chosen, true
}

// totalThatFit counts the tasks of a group that fit on some workers.
func (p *referencePass) totalThatFit(g *group, workers []*worker, capacity map[*worker]job.Shape) int {
	count := 0
	for _, w := range workers {
		count += p.tasksThatFit(g, w, capacity[w])
	}
	return count
}

// cheapestPlan returns the cheapest victims, beside the chosen ones, that make one more task fit on any of some
// workers.
func (p *referencePass) cheapestPlan(g *group, workers []*worker, capacity map[*worker]job.Shape, chosen []*group) (preemptionPlan, bool) {
	var best preemptionPlan
	found := false
	for _, w := range workers {
		next, ok := p.planForWorker(g, w, capacity[w], chosen)
		if ok && (!found || comparePlans(next, best) < 0) {
			best, found = next, true
		}
	}
	return best, found
}

// planForWorker returns the victims, beside the chosen ones, that make one more task fit on a worker.
func (p *referencePass) planForWorker(g *group, w *worker, capacity job.Shape, chosen []*group) (preemptionPlan, bool) {
	before := p.tasksThatFit(g, w, capacity)
	victims := p.victimsOn(g, w, chosen)
	taken := 0
	for p.tasksThatFit(g, w, capacity) <= before {
		if taken == len(victims) {
			return preemptionPlan{}, false
		}
		capacity = capacity.Add(victims[taken].referenceCapacityOn(w))
		taken++
	}
	needed := victims[:taken]
	for i := len(needed) - 2; i >= 0; i-- {
		without := capacity.Sub(needed[i].referenceCapacityOn(w))
		if p.tasksThatFit(g, w, without) > before {
			capacity = without
			needed = slices.Delete(needed, i, i+1)
		}
	}
	result := preemptionPlan{victims: needed}
	for i, v := range needed {
		result.cost += v.unsavedWork(p.now)
		if v.job.job.Terms.Priority == g.job.job.Terms.Priority {
			result.right = max(result.right, overBeyond)
			if v.spec().Shape.Accelerators*v.size > p.excess(v.job.job.Workspace, slices.Concat(chosen, needed[:i])) {
				result.right = overPartlyGuaranteed
			}
		}
	}
	return result, true
}

// victimsOn returns the groups on a worker that may be preempted beside the chosen ones, ordered by the work lost for
// the capacity that they take there, the least first.
func (p *referencePass) victimsOn(g *group, w *worker, chosen []*group) []*group {
	var list []*group
	for _, m := range w.members {
		v := m.group
		lower := v.job.job.Terms.Priority > g.job.job.Terms.Priority
		if !lower && p.excess(v.job.job.Workspace, chosen) <= 0 || v.ending || v.done || m.phase == memberStopping {
			continue
		}
		if !slices.Contains(list, v) && !slices.Contains(chosen, v) && p.mayPreempt(v, g, slices.Concat(chosen, list)) {
			list = append(list, v)
		}
	}
	value := func(v *group) float64 { return v.unsavedWork(p.now) / (v.referenceCapacityOn(w).Cores() + 1) }
	equal := func(v *group) bool { return v.job.job.Terms.Priority == g.job.job.Terms.Priority }
	takesGuaranteed := func(v *group) bool {
		return equal(v) && v.spec().Shape.Accelerators*v.size > p.excess(v.job.job.Workspace, chosen)
	}
	slices.SortFunc(list, func(a, b *group) int {
		return cmp.Or(
			compareBool(takesGuaranteed(a), takesGuaranteed(b)),
			compareBool(equal(a), equal(b)),
			cmp.Compare(value(a), value(b)),
			strings.Compare(string(a.job.job.ID), string(b.job.job.ID)),
			cmp.Compare(a.step, b.step),
			cmp.Compare(a.first, b.first),
		)
	})
	var left []*group
	for _, v := range list {
		if !equal(v) || p.excess(v.job.job.Workspace, slices.Concat(chosen, left)) > 0 {
			left = append(left, v)
		}
	}
	return left
}

// excess returns how many accelerators the urgent runs of a workspace use beyond its guarantee once some victims have
// stopped; 0 unless the pass reclaims.
func (p *referencePass) excess(workspace string, victims []*group) int {
	if !p.reclaiming {
		return 0
	}
	used := 0
	for _, j := range p.core.liveJobs {
		for _, g := range j.groups {
			if j.job.Workspace == workspace && j.job.Terms.Priority == 0 && g.placed() && !g.ending && !g.done && !slices.Contains(victims, g) {
				used += g.spec().Shape.Accelerators * g.size
			}
		}
	}
	return used - p.core.catalog.GuaranteedAccelerators(workspace)
}

// preempt stops the victims and assigns the capacity that they release to a group.
func (p *referencePass) preempt(g *group, victims []*group) {
	for _, v := range victims {
		if v.ending {
			continue
		}
		for _, m := range v.members {
			if _, usable := p.free[m.worker]; usable && m.phase != memberGone {
				p.releasing[m.worker] = p.releasing[m.worker].Add(v.spec().Demand())
			}
		}
		p.core.emit(v.event(EventPreempted, preemptionDetail(g, v)))
		p.core.abort(p.now, v)
	}
	if places := p.fit(g, p.freeAndReleasing(nil)); places != nil {
		p.promise(g, places)
	}
}

// reserve reserves the capacity in which a large group will fit soonest, so that smaller groups do not take it bit by
// bit. At most maxReservations groups have a reservation at a time.
func (p *referencePass) reserve(g *group) {
	if p.reservations >= maxReservations || !p.isLarge(g) || p.largeInTime && p.isLate(g) {
		return
	}
	capacity := p.freeAndReleasing(nil)
	for w, reserved := range p.reserved {
		capacity[w] = capacity[w].Sub(reserved)
	}
	ends := p.expectedEnds()
	// Capacity only grows with time, so the first time at which the group fits is found by binary search.
	first, found := slices.BinarySearchFunc(ends, true, func(e expectedEnd, _ bool) int {
		if p.fit(g, p.capacityAt(capacity, ends, e.at)) != nil {
			return 0
		}
		return -1
	})
	if !found {
		return
	}
	p.reservations++
	at := ends[first].at
	if p.reservations == 1 || at.Before(p.reservationStart) {
		p.reservationStart = at
	}
	for _, w := range p.fit(g, p.capacityAt(capacity, ends, at)) {
		p.reserved[w] = p.reserved[w].Add(g.spec().Demand())
	}
}

// isLarge reports whether the tasks of a group together take at least half of a worker's accelerators, which makes the
// group hard to place.
func (p *referencePass) isLarge(g *group) bool {
	for _, w := range p.workers {
		if float64(w.capacity.Accelerators)*largeShare <= float64(g.spec().Shape.Accelerators*g.size) {
			return true
		}
	}
	return false
}

// unreserved returns the free capacity that a group may take: all of it if the group will have ended before a
// reservation starts, otherwise without reserved capacity.
func (p *referencePass) unreserved(g *group) map[*worker]job.Shape {
	if len(p.reserved) == 0 {
		return p.free
	}
	length := time.Duration(backfillMargin * float64(g.spec().Estimate))
	if p.now.Add(length).Before(p.reservationStart) {
		return p.free
	}
	available := make(map[*worker]job.Shape, len(p.free))
	for w, free := range p.free {
		available[w] = free.Sub(p.reserved[w])
	}
	return available
}

// expectedEnds returns the times at which the current runs should end, the soonest first. Tasks that last don't.
func (p *referencePass) expectedEnds() []expectedEnd {
	var list []expectedEnd
	for _, j := range p.core.liveJobs {
		for _, g := range j.groups {
			if g.placed() && !g.ending && !g.spec().LongRunning {
				list = append(list, expectedEnd{group: g, at: g.expectedEnd(p.now)})
			}
		}
	}
	slices.SortFunc(list, func(a, b expectedEnd) int { return a.at.Compare(b.at) })
	return list
}

// capacityAt adds the capacity of all runs that should have ended at a time.
func (p *referencePass) capacityAt(capacity map[*worker]job.Shape, ends []expectedEnd, at time.Time) map[*worker]job.Shape {
	later := make(map[*worker]job.Shape, len(capacity))
	for w, shape := range capacity {
		later[w] = shape
	}
	for _, e := range ends {
		if e.at.After(at) {
			break
		}
		for _, m := range e.group.members {
			if _, usable := later[m.worker]; usable && m.phase != memberGone && m.phase != memberStopping {
				later[m.worker] = later[m.worker].Add(e.group.spec().Demand())
			}
		}
	}
	return later
}

// mayUseHeadroom reports whether a group may use urgent headroom: each of its tasks takes at least half of the
// smallest worker, and it can be in time.
func (p *referencePass) mayUseHeadroom(g *group) bool {
	for _, w := range p.workers {
		if w.maxCapacity.Accelerators > 0 && float64(w.maxCapacity.Accelerators)*largeShare <= float64(g.spec().Shape.Accelerators) {
			return !p.isLate(g)
		}
	}
	return false
}

// withoutHeadroom subtracts urgent headroom from a capacity for a group that is not urgent. For a group that may use
// headroom it subtracts headroom only for as many tasks of each size as urgent work has placed within RetainFor, on
// the workers with the least free capacity first.
func (p *referencePass) withoutHeadroom(g *group, capacity map[*worker]job.Shape) map[*worker]job.Shape {
	if g.job.job.Terms.Priority == 0 || len(p.headroomWorkers) == 0 {
		return capacity
	}
	available := maps.Clone(capacity)
	mayUse := p.mayUseHeadroom(g)
	counts := map[int]int{}
	for _, placement := range p.core.urgentPlacements {
		counts[placement.accelerators]++
	}
	fullest := slices.Clone(p.headroomWorkers)
	slices.SortFunc(fullest, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(p.free[a].Accelerators, p.free[b].Accelerators), strings.Compare(a.agent, b.agent))
	})
	for _, w := range fullest {
		for _, h := range w.urgentHeadroom {
			if !mayUse || counts[h.shape.Accelerators] > 0 {
				counts[h.shape.Accelerators]--
				available[w] = available[w].Sub(h.shape)
			}
		}
	}
	return available
}

func (p *referencePass) mayPreempt(v, g *group, chosen []*group) bool {
	return (&pass{core: p.core, now: p.now, urgentNeed: p.urgentNeed}).mayPreempt(v, g, chosen)
}

// preemptionDetail returns what the log says of the preemption of a group for another.
func preemptionDetail(g, v *group) string {
	if v.job.job.Terms.Priority == g.job.job.Terms.Priority {
		return "for job " + string(g.job.job.ID) + ", from beyond the guarantee of workspace " + v.job.job.Workspace
	}
	return "for job " + string(g.job.job.ID)
}
