package pool

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"hollyfork.example/hollyfork/job"
)

const (
	// checkpointInterval is the longest time between two checkpoints of a task that saves its progress.
	checkpointInterval = time.Second
	// startCost is the cost of a start, as run time of its task. It keeps a group that has just been placed
	// from being preempted for free.
	startCost = 300 * time.Millisecond
)

type (
	// preemptionPlan is a set of groups to preempt so that another group fits.
	preemptionPlan struct {
		victims []*group
		// right is the weakest right by which any victim is preempted.
		right preemptionRight
		// cost is the work that would be lost, in core-seconds.
		cost float64
	}

	// preemptionPlanner makes a plan for a group on a set of workers. Results for a worker stay valid until a
	// victim is chosen that runs there, so a plan for a gang of 8 on 240 workers examines each worker once, and
	// again only the few that changed.
	preemptionPlanner struct {
		pass     *pass
		group    *group
		workers  []*worker
		capacity capacityBySlot
		chosen   preemptionPlan
		// beyond is the use of each workspace beyond its guarantee, once the chosen victims have stopped; nil if only
		// work of lower priority may be preempted.
		beyond map[string]int
		// fitting holds the number of the group's tasks that fit on each worker once the chosen victims have
		// stopped, by slot. total is their sum. options holds the cheapest way to fit one more task on each
		// worker.
		fitting []int
		total   int
		options []workerOption
	}

	// workerOption is the cheapest plan to fit one more task on a worker; it is valid if known is set. found
	// reports whether there is such a plan.
	workerOption struct {
		plan  preemptionPlan
		known bool
		found bool
	}

	// victim is a group that may be preempted, with the capacity that it takes on a worker and the work lost
	// per core of that capacity.
	victim struct {
		group       *group
		right       preemptionRight
		takes       job.Shape
		costPerCore float64
	}
)

// preemptFor preempts groups of lower priority so that a group fits, and reports whether it did. A job within
// its workspace's guarantee may preempt any amount of work and, if that of lower priority does not suffice, urgent
// work that is beyond the guarantees of other workspaces. Beyond the guarantee, the lost work must not exceed
// DisplaceFactor times the group's own work.
func (p *pass) preemptFor(g *group, d *demandState) bool {
	best, ok := p.bestPlan(g, d, false)
	if !ok && d.reclaims && !g.avoidsSlow {
		best, ok = p.bestPlan(g, d, true)
	}
	if !ok {
		return false
	}
	if !d.guaranteed && best.cost > p.core.settings.DisplaceFactor*g.estimatedWork() {
		return false
	}
	p.preempt(g, d, best.victims)
	return true
}

// bestPlan returns the plan that loses the least work: within any one rack for a group that is kept in one
// rack, else over all workers. If reclaims is set, victims include urgent work beyond guarantees.
func (p *pass) bestPlan(g *group, d *demandState, reclaims bool) (preemptionPlan, bool) {
	if !d.oneRack || d.anyRack {
		return p.newPreemptionPlanner(g, p.workers, reclaims).plan()
	}
	racks := make([][]*worker, len(p.racks))
	for i, w := range p.workers {
		racks[p.rackOf[i]] = append(racks[p.rackOf[i]], w)
	}
	var best preemptionPlan
	found := false
	for _, workers := range racks {
		next, ok := p.newPreemptionPlanner(g, workers, reclaims).plan()
		if ok && (!found || next.compare(best) < 0) {
			best, found = next, true
		}
	}
	return best, found
}

// compare orders plans by right, then by the work that would be lost.
func (p preemptionPlan) compare(other preemptionPlan) int {
	return cmp.Or(cmp.Compare(p.right, other.right), cmp.Compare(p.cost, other.cost))
}

func (p *pass) newPreemptionPlanner(g *group, workers []*worker, reclaims bool) *preemptionPlanner {
	pl := &preemptionPlanner{
		pass:     p,
		group:    g,
		workers:  workers,
		capacity: p.freeAndReleasing(),
		fitting:  make([]int, len(p.workers)),
		options:  make([]workerOption, len(p.workers)),
	}
	if reclaims {
		pl.beyond = p.beyondGuarantees()
	}
	for _, w := range workers {
		pl.recount(w)
	}
	return pl
}

// recount updates the number of the group's tasks that fit on a worker.
func (pl *preemptionPlanner) recount(w *worker) {
	next := pl.pass.tasksThatFit(pl.group, w, pl.capacity[w.slot])
	pl.total += next - pl.fitting[w.slot]
	pl.fitting[w.slot] = next
}

// plan adds the cheapest option for one more task until the whole group fits.
func (pl *preemptionPlanner) plan() (preemptionPlan, bool) {
	for pl.total < pl.group.size {
		next, ok := pl.cheapest()
		if !ok {
			return preemptionPlan{}, false
		}
		pl.choose(next)
	}
	return pl.chosen, true
}

// choose adds the victims of a plan to the chosen ones, and their capacity to all workers that they run on.
func (pl *preemptionPlanner) choose(next preemptionPlan) {
	pl.chosen.victims = append(pl.chosen.victims, next.victims...)
	pl.chosen.cost += next.cost
	pl.chosen.right = max(pl.chosen.right, next.right)
	for _, v := range next.victims {
		for _, m := range v.members {
			if !pl.pass.inPass(m.worker) || m.phase == memberGone {
				continue
			}
			pl.capacity[m.worker.slot] = pl.capacity[m.worker.slot].Add(v.taskShape)
			pl.options[m.worker.slot].known = false
			if slices.Contains(pl.workers, m.worker) {
				pl.recount(m.worker)
			}
		}
		pl.recordReclaimed(v)
		if v.spec().LongRunning {
			clear(pl.options) // fewer tasks of its step may be preempted now
		}
	}
}

// cheapest returns the cheapest option for one more task on any of the workers, in addition to the victims
// already chosen.
func (pl *preemptionPlanner) cheapest() (preemptionPlan, bool) {
	var best preemptionPlan
	found := false
	for _, w := range pl.workers {
		o := &pl.options[w.slot]
		if !o.known {
			o.plan, o.found = pl.planForWorker(w)
			o.known = true
		}
		if o.found && (!found || o.plan.compare(best) < 0) {
			best, found = o.plan, true
		}
	}
	return best, found
}

// planForWorker returns the plan to fit one more task on a worker, in addition to the victims already chosen. It
// adds victims in the order of victimsOn until the task fits, and then drops those that turn out not to be needed.
func (pl *preemptionPlanner) planForWorker(w *worker) (preemptionPlan, bool) {
	p, g, free := pl.pass, pl.group, pl.capacity[w.slot]
	before := pl.fitting[w.slot]
	needed := pl.victimsOn(w)
	if len(needed) == 0 {
		return preemptionPlan{}, false
	}
	taken := 0
	for p.tasksThatFit(g, w, free) <= before {
		if taken == len(needed) {
			return preemptionPlan{}, false
		}
		free = free.Add(needed[taken].takes)
		taken++
	}
	needed = needed[:taken]
	for i := len(needed) - 2; i >= 0; i-- {
		without := free.Sub(needed[i].takes)
		if p.tasksThatFit(g, w, without) > before {
			free = without
			needed = slices.Delete(needed, i, i+1)
		}
	}
	result := preemptionPlan{right: pl.weakestRight(needed)}
	for _, v := range needed {
		result.victims = append(result.victims, v.group)
		result.cost += v.group.unsavedWork(p.now)
	}
	return result, true
}

// victimsOn returns the groups on a worker that may be preempted and are not chosen yet: those of lower priority first,
// and among them those that lose the least work per core.
func (pl *preemptionPlanner) victimsOn(w *worker) []victim {
	var list []victim
	for _, m := range w.members {
		v := m.group
		if !pl.isVictim(v) || v.ending || v.done || m.phase == memberStopping {
			continue
		}
		i := slices.IndexFunc(list, func(other victim) bool { return other.group == v })
		if i < 0 {
			if slices.Contains(pl.chosen.victims, v) || !pl.mayPreempt(v, list) {
				continue
			}
			i = len(list)
			list = append(list, victim{group: v})
		}
		list[i].takes = list[i].takes.Add(v.taskShape)
	}
	for i, v := range list {
		list[i].right = pl.rightOver(v.group)
		list[i].costPerCore = v.group.unsavedWork(pl.pass.now) / (v.takes.Cores() + 1)
	}
	slices.SortFunc(list, func(a, b victim) int {
		return cmp.Or(
			cmp.Compare(a.right, b.right),
			cmp.Compare(a.costPerCore, b.costPerCore),
			strings.Compare(string(a.group.job.job.ID), string(b.group.job.job.ID)),
			cmp.Compare(a.group.step, b.group.step),
			cmp.Compare(a.group.first, b.group.first),
		)
	})
	return pl.withinGuarantees(list)
}

// mayPreempt reports whether a group may be preempted together with the chosen victims and those in beside.
func (pl *preemptionPlanner) mayPreempt(v *group, beside []victim) bool {
	if v.extraStarts > 0 {
		return false // one of its last starts would be spent; a run that lasts clears it
	}
	if !v.spec().LongRunning {
		return true
	}
	chosen := slices.Clone(pl.chosen.victims)
	for _, other := range beside {
		chosen = append(chosen, other.group)
	}
	return pl.pass.mayPreempt(v, pl.group, chosen)
}

// preempt stops the victims and assigns the capacity that they release to the group.
func (p *pass) preempt(g *group, d *demandState, victims []*group) {
	p.preemptions++
	for _, v := range victims {
		if v.ending {
			continue
		}
		for _, m := range v.members {
			if p.inPass(m.worker) && m.phase != memberGone {
				p.releasing[m.worker.slot] = p.releasing[m.worker.slot].Add(v.taskShape)
			}
		}
		detail := "for job " + string(g.job.job.ID)
		if v.job.job.Terms.Priority == g.job.job.Terms.Priority {
			detail += ", from beyond the guarantee of workspace " + v.job.job.Workspace
		}
		p.core.emit(v.event(EventPreempted, detail))
		p.core.abort(p.now, v)
	}
	if places := p.fit(g, d, p.freeAndReleasing()); places != nil {
		p.promise(g, places)
	}
}

// estimatedWork returns the work of the whole group by its estimated run time, in core-seconds.
func (g *group) estimatedWork() float64 {
	return g.spec().Estimate.Seconds() * g.spec().Shape.Cores() * float64(g.size)
}

// unsavedWork returns the work of the group's current run that a stop would lose, in core-seconds.
func (g *group) unsavedWork(now time.Time) float64 {
	length := startCost
	if !g.orderedAt.IsZero() {
		length += g.runTime(now)
	}
	if g.spec().Checkpoint {
		length = min(length, checkpointInterval)
	}
	return length.Seconds() * g.spec().Shape.Cores() * float64(g.size)
}
