package pool

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"hollyfork.example/hollyfork/job"
)

// This file has a reference implementation of the decisions without their optimisations. Tests compare the pool's
// decisions with it.

// referencePass is one pass that places groups. It works on a copy of the free capacity.
type referencePass struct {
	core *Core
	now  time.Time
	// free is the capacity that this pass may still assign.
	free map[*worker]job.Shape
	// releasing is the capacity that stopping runs will release.
	releasing map[*worker]job.Shape
	// reserved is the capacity that is reserved for waiting groups, until about reservationStart.
	reserved         map[*worker]job.Shape
	reservationStart time.Time
	// reservations counts the groups with reserved capacity. largeInTime means that a large group waits that can be in
	// time.
	reservations int
	largeInTime  bool
	// workers are the workers that may be given work, by name.
	workers []*worker
	// headroomWorkers are those of the workers that have urgent headroom.
	headroomWorkers []*worker
	// reclaiming means that victims include urgent work beyond guarantees.
	reclaiming bool
	// urgentNeed is the capacity that unfinished jobs of priority 0 still need, in accelerators by workspace.
	urgentNeed map[string]int
}

// referenceDecide places the ready groups in the order of compare, and preempts other work for groups of priority 0.
func (c *Core) referenceDecide(now time.Time) {
	c.capacityChanged = false
	c.lastDecision = now
	c.urgentPlacements.expire(now, c.settings.RetainFor)
	ready := c.referenceReadyGroups()
	if len(ready) == 0 {
		return
	}
	p := c.newReferencePass(now)
	slices.SortFunc(ready, p.compare)
	p.largeInTime = slices.ContainsFunc(ready, func(g *group) bool {
		return g.job.job.Terms.Priority != 0 && p.isLarge(g) && !p.isLate(g)
	})
	for _, g := range ready {
		p.tryGroup(g)
	}
}

func (c *Core) newReferencePass(now time.Time) *referencePass {
	p := &referencePass{
		core:      c,
		now:       now,
		free:      map[*worker]job.Shape{},
		releasing: map[*worker]job.Shape{},
		reserved:  map[*worker]job.Shape{},

		urgentNeed: c.referenceUrgentNeed(),
	}
	for _, w := range c.workers {
		if w.usable(now, c.settings) {
			p.workers = append(p.workers, w)
			p.free[w] = w.freeCapacity()
			p.releasing[w] = w.releasingCapacity()
			if len(w.urgentHeadroom) > 0 {
				p.headroomWorkers = append(p.headroomWorkers, w)
			}
		}
	}
	slices.SortFunc(p.workers, func(a, b *worker) int { return strings.Compare(a.agent, b.agent) })
	return p
}

// referenceUrgentNeed returns the capacity that the jobs of priority 0 still need, in accelerators by workspace.
func (c *Core) referenceUrgentNeed() map[string]int {
	need := map[string]int{}
	for _, j := range c.liveJobs {
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

// guaranteed reports whether all work of priority 0 of the job's workspace is within its guarantee.
func (p *referencePass) guaranteed(j *jobState) bool {
	return j.job.Terms.Priority == 0 && p.urgentNeed[j.job.Workspace] <= p.core.catalog.GuaranteedAccelerators(j.job.Workspace)
}

// referenceReadyGroups returns the groups that are ready to be placed.
func (c *Core) referenceReadyGroups() []*group {
	var ready []*group
	for _, j := range c.liveJobs {
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

// rank returns the class by which a group is ordered: guaranteed groups first, then by priority.
func (p *referencePass) rank(g *group) int {
	if p.guaranteed(g.job) {
		return -1
	}
	return g.job.job.Terms.Priority
}

// compare orders groups by rank, then by the time at which their jobs are due.
func (p *referencePass) compare(a, b *group) int {
	return cmp.Or(
		cmp.Compare(p.rank(a), p.rank(b)),
		compareBool(p.isDeprioritised(a), p.isDeprioritised(b)),
		a.due().Compare(b.due()),
		cmp.Compare(a.job.job.ID, b.job.job.ID),
		cmp.Compare(a.round.number, b.round.number),
		cmp.Compare(a.step, b.step),
		cmp.Compare(a.first, b.first),
	)
}

// isDeprioritised reports whether urgent work is sorted after other urgent work because it is late.
func (p *referencePass) isDeprioritised(g *group) bool {
	return p.rank(g) == 0 && p.isLate(g)
}

// isLate reports whether work can no longer be in time. It returns false for work that is overdue by ten times the
// time that it was allowed, so that late work is not starved.
func (p *referencePass) isLate(g *group) bool {
	allowed := g.job.job.RoundDue(g.round.number).Sub(g.job.job.EarliestStart(g.round.number))
	if p.now.Sub(g.due()) >= 10*allowed {
		return false
	}
	for _, other := range g.job.groups {
		if other.round == g.round && !g.round.stepDone(other.step) && p.now.Add(other.spec().Estimate*4/5).After(g.due()) {
			return true
		}
	}
	return false
}

// tryGroup places a group on free capacity. Failing that, it assigns an urgent group capacity that is being released,
// or preempts other work for it; a group of lower priority may get a reservation.
func (p *referencePass) tryGroup(g *group) {
	if places := p.fit(g, p.withoutHeadroom(g, p.unreserved(g))); places != nil {
		p.place(g, places)
		return
	}
	if g.job.job.Terms.Priority != 0 {
		p.reserve(g)
		return
	}
	if places := p.fit(g, p.freeAndReleasing(nil)); places != nil {
		p.promise(g, places)
		return
	}
	p.preemptFor(g)
}

// place assigns workers to the tasks of a group. The group starts once that is committed.
func (p *referencePass) place(g *group, places []*worker) {
	c := p.core
	shape := g.spec().Demand()
	g.run++
	g.ending = false
	g.progressAt = time.Time{}
	g.percent = 0
	names := make([]string, len(places))
	for i, w := range places {
		g.addMember(w, g.first+i)
		p.free[w] = p.free[w].Sub(shape)
		if g.job.job.Terms.Priority == 0 {
			w.consumeHeadroom(shape)
			c.urgentPlacements.add(p.now, shape.Accelerators)
		}
		names[i] = w.agent
	}
	if g.job.state == Queued {
		g.job.state = Active
	}
	c.markDirty(g.job)
	c.emit(Event{
		Kind:   EventPlaced,
		Job:    g.job.job.ID,
		Task:   g.task(g.first),
		Run:    g.run,
		Worker: strings.Join(names, " "),
		Detail: fmt.Sprintf("priority %d, %d tasks of %s, expected to take %s, due in %s, waited %s",
			g.job.job.Terms.Priority, g.size, g.spec().Shape, g.spec().Estimate,
			g.due().Sub(p.now).Round(time.Millisecond), p.now.Sub(g.readySince).Round(time.Millisecond)),
	})
}

// promise subtracts capacity from the pass for a group that waits until other runs have stopped.
func (p *referencePass) promise(g *group, places []*worker) {
	shape := g.spec().Demand()
	for _, w := range places {
		p.free[w] = p.free[w].Sub(shape)
	}
}

// freeAndReleasing returns the free capacity plus the capacity that is being released and that of the given victims.
func (p *referencePass) freeAndReleasing(victims []*group) map[*worker]job.Shape {
	capacity := make(map[*worker]job.Shape, len(p.free))
	for w, free := range p.free {
		capacity[w] = free.Add(p.releasing[w])
	}
	for _, v := range victims {
		for _, m := range v.members {
			if _, usable := capacity[m.worker]; usable && m.phase != memberGone {
				capacity[m.worker] = capacity[m.worker].Add(v.spec().Demand())
			}
		}
	}
	return capacity
}

// referenceCandidate is a worker with the number of a group's tasks that fit on it.
type referenceCandidate struct {
	worker *worker
	count  int
	// left is the capacity that stays free when it takes all of them.
	left job.Shape
}

// fit returns a worker for each task of a group, or nil if the capacity does not hold the group.
func (p *referencePass) fit(g *group, capacity map[*worker]job.Shape) []*worker {
	candidates := p.candidates(g, capacity)
	if p.core.referenceWantsOneRack(g) {
		return p.fitRack(g, candidates)
	}
	return referenceFill(g, candidates)
}

// fitRack places a group in the rack with the least capacity left.
func (p *referencePass) fitRack(g *group, candidates []referenceCandidate) []*worker {
	racks := map[string][]referenceCandidate{}
	for _, c := range candidates {
		racks[c.worker.rack] = append(racks[c.worker.rack], c)
	}
	var best []referenceCandidate
	bestLeft, bestHealthy := 0, 0
	for _, rack := range racks {
		count, left, healthy := 0, 0, 0
		for _, c := range rack {
			count += c.count
			left += c.left.Accelerators + c.count*g.spec().Shape.Accelerators
			if c.worker.health.failuresInRow == 0 {
				healthy += c.count
			}
		}
		if count < g.size {
			continue
		}
		healthy = min(healthy, g.size)
		better := left < bestLeft || left == bestLeft && best != nil && rack[0].worker.rack < best[0].worker.rack
		if best == nil || healthy > bestHealthy || healthy == bestHealthy && better {
			best, bestLeft, bestHealthy = rack, left, healthy
		}
	}
	if best == nil {
		return nil
	}
	return referenceFill(g, best)
}

// referenceFill places a group's tasks on the workers with the least capacity left.
func referenceFill(g *group, candidates []referenceCandidate) []*worker {
	slices.SortFunc(candidates, func(a, b referenceCandidate) int {
		return cmp.Or(
			cmp.Compare(min(1, a.worker.health.failuresInRow), min(1, b.worker.health.failuresInRow)),
			cmp.Compare(a.left.Accelerators, b.left.Accelerators),
			cmp.Compare(a.left.CPUMillis, b.left.CPUMillis),
			strings.Compare(a.worker.agent, b.worker.agent),
		)
	})
	places := make([]*worker, 0, g.size)
	for _, c := range candidates {
		for i := 0; i < c.count && len(places) < g.size; i++ {
			places = append(places, c.worker)
		}
	}
	if len(places) < g.size {
		return nil
	}
	return places
}

// candidates returns the workers that could take any of a group's tasks.
func (p *referencePass) candidates(g *group, capacity map[*worker]job.Shape) []referenceCandidate {
	shape := g.spec().Demand()
	var candidates []referenceCandidate
	for _, w := range p.workers {
		if count := p.tasksThatFit(g, w, capacity[w]); count > 0 {
			candidates = append(candidates, referenceCandidate{worker: w, count: count, left: capacity[w].Sub(shape.Times(count))})
		}
	}
	return candidates
}

// tasksThatFit returns the number of a group's tasks that a worker with the given capacity can take.
func (p *referencePass) tasksThatFit(g *group, w *worker, capacity job.Shape) int {
	if !p.core.referenceEligible(p.now, g, w) {
		return 0
	}
	step := g.spec()
	count := min(capacity.FitCount(step.Demand()), g.size)
	if step.MaxPerWorker > 0 {
		count = min(count, step.MaxPerWorker-w.tasksOfStep(g.round, g.step))
	}
	if w.health.onProbation {
		count = min(count, 1-len(w.members))
	}
	return max(count, 0)
}

// referenceEligible reports whether a group can be placed on a worker, capacity aside.
func (c *Core) referenceEligible(now time.Time, g *group, w *worker) bool {
	step := g.spec()
	switch {
	case !w.hasLabel(step.Label):
		return false
	case step.DataRack != "" && w.rack != step.DataRack && c.referenceRackExists(step.DataRack):
		return false
	case g.job.job.Terms.Advised && !g.round.ticket(g.step, w.instance).validForPlacement(now):
		return false
	case w.interferes(step):
		return false
	case now.Before(g.avoided[w]):
		return false
	case g.failedOn[w.agent] > 0 && c.referenceHasUntriedWorkers(g):
		return false
	case w.health.onProbation && (g.size > 1 || g.failures > 0):
		return false
	case g.failures > 0 && g.failures == g.job.job.Terms.Attempts-1 && !w.health.proven && c.referenceAnyProven(now):
		return false
	}
	return true
}

// referenceRackExists reports whether a rack has a worker.
func (c *Core) referenceRackExists(rack string) bool {
	for _, w := range c.workers {
		if !w.instance.IsZero() && w.rack == rack {
			return true
		}
	}
	return false
}

// referenceHasUntriedWorkers reports whether there are enough workers on which a group has not failed.
func (c *Core) referenceHasUntriedWorkers(g *group) bool {
	return len(g.failedOn) < len(c.workers)/2
}

func (c *Core) referenceAnyProven(now time.Time) bool {
	for _, w := range c.workers {
		if w.health.proven && w.usable(now, c.settings) {
			return true
		}
	}
	return false
}

// referenceWantsOneRack reports whether a group is to be kept in one rack: it asks for that, and a rack is large
// enough.
func (c *Core) referenceWantsOneRack(g *group) bool {
	step := g.spec()
	if !step.SameRack || g.size == 1 {
		return false
	}
	racks := map[string]int{}
	for _, w := range c.workers {
		if w.instance.IsZero() {
			continue
		}
		racks[w.rack] += w.capacity.FitCount(step.Demand())
		if racks[w.rack] >= g.size {
			return true
		}
	}
	return false
}

// referenceCapacityOn returns the capacity that a group takes on a worker.
func (g *group) referenceCapacityOn(w *worker) job.Shape {
	shape := job.Shape{}
	for _, m := range g.members {
		if m.worker == w && m.phase != memberGone {
			shape = shape.Add(g.spec().Demand())
		}
	}
	return shape
}
