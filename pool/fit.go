package pool

import (
	"cmp"
	"slices"

	"hollyfork.example/hollyfork/job"
)

// candidate is a worker with the number of a group's tasks that fit on it.
type candidate struct {
	worker *worker
	count  int
	// objection is an unmet preference of the group that its relaxation permits.
	objection objection
	// left is the capacity that remains free if the worker takes all of these tasks.
	left job.Shape
}

// fit returns a worker for each task of a group, or nil if the group does not fit into the free capacity.
func (p *pass) fit(g *group, d *demandState, free capacityBySlot) []*worker {
	candidates, total := p.candidates(g, free)
	if total < g.size {
		return nil
	}
	g.fastFirst = p.prefersFast(g)
	if d.oneRack {
		if places := p.fitRack(g, candidates); places != nil || g.relaxation < relaxAll && !g.anyRack {
			return places
		}
	}
	return fill(g, candidates)
}

// fitRack places a group within one rack: the one with the lowest rackRank.
func (p *pass) fitRack(g *group, candidates []candidate) []*worker {
	byRack := make([][]candidate, len(p.racks))
	for _, c := range candidates {
		number := p.rackOf[c.worker.slot]
		byRack[number] = append(byRack[number], c)
	}
	var best []candidate
	var bestRank rackRank
	for _, rack := range byRack {
		if rank, ok := rankRack(g, rack); ok && (best == nil || rank.compare(bestRank) < 0) {
			best, bestRank = rack, rank
		}
	}
	if best == nil {
		return nil
	}
	return fill(g, best)
}

// rackRank is the sort key of racks in which a group fits; the lowest is the best.
type rackRank struct {
	// unsoundCount is the number of tasks that would run on workers whose last run failed or to which the group
	// has an objection.
	unsoundCount int
	// free is the number of free accelerators in the rack.
	free int
	name string
}

// rankRack returns the rank of a rack for a group; ok is false if the group does not fit there.
func rankRack(g *group, rack []candidate) (rank rackRank, ok bool) {
	count, soundCount := 0, 0
	for _, c := range rack {
		count += c.count
		if c.objection == objectionNone && !c.worker.health.lastRunFailed() {
			soundCount += c.count
		}
		rank.free += c.left.Accelerators + c.count*g.spec().Shape.Accelerators
		rank.name = c.worker.rack
	}
	rank.unsoundCount = max(0, g.size-soundCount)
	return rank, count >= g.size
}

func (r rackRank) compare(other rackRank) int {
	return cmp.Or(
		cmp.Compare(r.unsoundCount, other.unsoundCount),
		cmp.Compare(r.free, other.free),
		cmp.Compare(r.name, other.name),
	)
}

// fill assigns the group's tasks to candidates. It prefers workers without objections, then workers whose last run
// did not fail, then those that run the fewest tasks of suspect groups, then the order of compareForSuspect. Among
// equals it prefers the pace that suits the group and then the best fit, which leaves the least capacity free.
func fill(g *group, candidates []candidate) []*worker {
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.objection, b.objection),
			compareBool(a.worker.health.lastRunFailed(), b.worker.health.lastRunFailed()),
			cmp.Compare(a.worker.suspectTasks, b.worker.suspectTasks),
			g.compareForSuspect(a.worker, b.worker),
			g.comparePace(a.worker, b.worker),
			cmp.Compare(a.left.Accelerators, b.left.Accelerators),
			cmp.Compare(a.left.CPUMillis, b.left.CPUMillis),
			cmp.Compare(a.worker.slot, b.worker.slot),
		)
	})
	places := make([]*worker, 0, g.size)
	for _, c := range candidates {
		for i := 0; i < c.count && len(places) < g.size; i++ {
			places = append(places, c.worker)
		}
		if len(places) == g.size {
			return places
		}
	}
	return nil
}

// candidates returns the workers that can take at least one task of a group, and how many tasks fit on all of
// them together.
func (p *pass) candidates(g *group, free capacityBySlot) ([]candidate, int) {
	shape := g.taskShape
	candidates := p.candidateBuffer[:0]
	total := 0
	for i, w := range p.workers {
		if count := p.tasksThatFit(g, w, free[i]); count > 0 {
			candidates = append(candidates, candidate{worker: w, count: count, objection: p.relaxedObjection(g, w, free[i]), left: free[i].Sub(shape.Times(count))})
			total += count
		}
	}
	p.candidateBuffer = candidates
	return candidates, total
}

// tasksThatFit returns the number of a group's tasks that a worker with the given free capacity can take.
func (p *pass) tasksThatFit(g *group, w *worker, free job.Shape) int {
	step := g.spec()
	count := min(free.FitCount(g.taskShape), g.size)
	if count == 0 || !p.eligible(g, w) || !g.relaxation.lifts(p.isolationObjection(g, w, free), w) {
		return 0
	}
	if step.MaxPerWorker > 0 {
		count = min(count, step.MaxPerWorker-w.tasksOfStep(g.round, g.step))
	}
	if w.health.onProbation && g.relaxation < relaxUnproven {
		count = min(count, 1-len(w.members))
	}
	return max(count, 0)
}

// tasksOfStep counts the tasks of a round's step that are placed on the worker.
func (w *worker) tasksOfStep(r *round, step int) int {
	count := 0
	for _, m := range w.members {
		if m.group.round == r && m.group.step == step {
			count++
		}
	}
	return count
}

// eligible reports whether the group can be placed on the worker, capacity aside.
func (p *pass) eligible(g *group, w *worker) bool {
	return p.unmetRequirement(g, w) == objectionNone && p.preferencesLifted(g, w)
}

// preferencesLifted reports whether the group's relaxation permits the worker despite its unmet preferences.
func (p *pass) preferencesLifted(g *group, w *worker) bool {
	return g.relaxation.lifts(p.healthObjection(g, w), w) && (g.anyRack || g.relaxation.lifts(p.rackObjection(g, w), w))
}

// unmetRequirement returns the reason why a group cannot run on a worker at all, if any.
func (p *pass) unmetRequirement(g *group, w *worker) objection {
	step := g.spec()
	switch {
	case !w.hasLabel(step.Label):
		return objectionLabel
	case p.core.needsTicket(p.now, g.job) && !g.round.ticket(g.step, w.instance).validForPlacement(p.now):
		return objectionTicket
	case !g.displacesFillers && w.interferes(step):
		return objectionInterferes
	case p.now.Before(g.avoided[w]):
		return objectionRefused
	case g.avoidsSlow && w.pace.slow():
		return objectionSlow
	}
	return objectionNone
}

// unmetPreference returns the strongest reason why a group prefers other workers, if any.
func (p *pass) unmetPreference(g *group, w *worker) objection {
	return max(p.healthObjection(g, w), p.rackObjection(g, w))
}

// relaxedObjection returns the strongest objection to a worker that the group's relaxation permits.
func (p *pass) relaxedObjection(g *group, w *worker, free job.Shape) objection {
	if g.relaxation == relaxNone && !g.anyRack {
		return objectionNone
	}
	return max(p.unmetPreference(g, w), p.isolationObjection(g, w, free))
}

// healthObjection returns the objection that follows from the results of runs on the worker.
func (p *pass) healthObjection(g *group, w *worker) objection {
	switch {
	case w.health.inQuarantine(p.now):
		return objectionQuarantined
	case w.health.onProbation && (g.size > 1 || g.failures > 0):
		return objectionProbation
	case g.failedOn[w.agent] > 0 && p.core.hasUntriedWorkers(g):
		return objectionFailed
	case g.failures > 0 && !w.health.proven && (p.failuresWidespread() || p.anyProven && g.onLastAttempt()):
		return objectionUnproven
	}
	return objectionNone
}

// rackObjection returns objectionRack if the worker is outside of the rack with the group's data.
func (p *pass) rackObjection(g *group, w *worker) objection {
	rack := g.spec().DataRack
	if rack != "" && w.rack != rack && p.core.rackAvailable(rack) {
		return objectionRack
	}
	return objectionNone
}

// rackAvailable reports whether the rack has a worker that is not draining and is outside of evacuated data
// centres. Evacuated racks do not count because an evacuation may last for long, and a task that waits for its
// data's rack would wait as long.
func (c *Core) rackAvailable(rack string) bool {
	for _, w := range c.workers {
		if w.inService() && w.rack == rack {
			return true
		}
	}
	return false
}

// hasUntriedWorkers reports whether the group has failed on less than half of the workers, so that it can
// still prefer the others.
func (c *Core) hasUntriedWorkers(g *group) bool {
	return len(g.failedOn) < len(c.workers)/2
}

// anyRackFits reports whether the given number of tasks would fit into one rack if all capacity of its workers
// were free. Workers that are draining or in evacuated data centres do not count.
func (c *Core) anyRackFits(shape job.Shape, tasks int) bool {
	racks := map[string]int{}
	for _, w := range c.workers {
		if !w.inService() {
			continue
		}
		racks[w.rack] += w.capacity.FitCount(shape)
		if racks[w.rack] >= tasks {
			return true
		}
	}
	return false
}
