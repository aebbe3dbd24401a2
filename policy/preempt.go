package policy

import "time"

const (
	// minPreemptionLoss is the least work lost by a preemption, because a checkpoint or a new start
	// takes time.
	minPreemptionLoss = 30 * time.Second
	// reservedCost is the cost of taking a reserved accelerator from the gang that waits for it.
	reservedCost = 30 * time.Minute
)

// victimSearch finds the cell for which preemption loses the least work.
type victimSearch struct {
	attempt attempt
	class   *workerClass
	// level is the level of the wanted cell.
	level int
	// bindLevel is the level of the guaranteed cell to bind around the wanted one, or -1 for none.
	bindLevel int

	best       *worker
	first      int
	outerFirst int
	cost       float64
	tries      int
}

// bookPreempting claims the cell for which preemption loses the least work. If bindLevel is given, it
// binds a guaranteed cell of that level there. Otherwise it preempts only jobs of lower priority.
func (a attempt) bookPreempting(c *workerClass, level int, bindLevel *int) bool {
	if !a.preempt || bindLevel != nil && !a.staysWithinGuarantee(1<<level) {
		return false
	}
	s := victimSearch{attempt: a, class: c, level: level, bindLevel: -1}
	if bindLevel != nil {
		s.bindLevel = *bindLevel
	}
	a.each(c, &c.bindable, max(level, s.bindLevel), s.visit)
	if s.best == nil {
		return false
	}
	var b *binding
	if s.bindLevel >= 0 {
		ws := a.hall.workspace(a.placed.job.Workspace)
		b = a.hall.bind(ws, s.best, s.outerFirst, s.bindLevel)
		a.recordBound(ws, s.bindLevel)
	}
	a.claim(s.best, s.first, 1<<level, b)
	return true
}

// staysWithinGuarantee reports whether the workspace stays within its guarantee with another cell of a
// size. Borrowed cells count too: a workspace must not preempt jobs, not even its own, to get more than
// its guarantee.
func (a attempt) staysWithinGuarantee(size int) bool {
	ws := a.hall.workspace(a.placed.job.Workspace)
	return ws.allocated+a.placed.accelerators()+size <= ws.guaranteedAccelerators()
}

// visit evaluates the cells of one worker and reports whether to continue the search.
func (s *victimSearch) visit(w *worker) bool {
	s.tries++
	outerLevel := max(s.level, s.bindLevel)
	mask := s.class.bindable.masks[w.index] &^ w.claimed
	size := 1 << outerLevel
	for outer := 0; outer+size <= w.spec.Accelerators; outer += size {
		cell := cellMask(outer, size)
		if mask&cell == cell && s.keepsGuarantees(w, outer, outerLevel) {
			s.weighInner(w, outer, size)
		}
	}
	return s.tries < searchLimit && (s.best == nil || s.cost > 0)
}

// keepsGuarantees reports whether all unbound guarantees still fit if the cell is taken.
func (s *victimSearch) keepsGuarantees(w *worker, outer, level int) bool {
	a := s.attempt
	switch {
	case s.bindLevel >= 0:
		return a.canBind(w, outer, level)
	case a.mode == surplus:
		return a.leavesGuarantees(w, cellMask(outer, 1<<level))
	default:
		return true
	}
}

// weighInner evaluates the cells of the wanted level inside an outer cell.
func (s *victimSearch) weighInner(w *worker, outer, size int) {
	step := 1 << s.level
	for first := outer; first < outer+size; first += step {
		cost, ok := s.attempt.preemptionCost(w, cellMask(first, step), s.bindLevel >= 0)
		if ok && (s.best == nil || cost < s.cost) {
			s.best, s.first, s.outerFirst, s.cost = w, first, outer, cost
		}
	}
}

// preemptionCost returns the work, in accelerator seconds, that is lost if all jobs on a cell are
// preempted. ok is false if one of them must not be preempted for this job.
func (a attempt) preemptionCost(w *worker, cell uint8, withinGuarantee bool) (cost float64, ok bool) {
	var last *placedJob
	for i := range w.spec.Accelerators {
		if cell&(1<<i) == 0 {
			continue
		}
		if w.reserved&(1<<i) != 0 {
			cost += reservedCost.Seconds()
		}
		victim := w.occupants[i]
		if victim == nil || victim == last {
			continue
		}
		last = victim
		if !withinGuarantee && victim.job.Priority >= a.placed.job.Priority {
			return 0, false
		}
		cost += a.lostWork(victim)
	}
	return cost, true
}

// lostWork returns the work, in accelerator seconds, that is lost if a job is preempted.
func (a attempt) lostWork(victim *placedJob) float64 {
	if victim.phase == stopping {
		return 0
	}
	lost := minPreemptionLoss
	if !victim.job.Checkpointable && !victim.started.IsZero() {
		lost += a.now.Sub(victim.started)
	}
	if victim.queued.preemptions > 0 {
		lost += a.hall.settings.RepeatPreemptionCost
	}
	return lost.Seconds() * float64(victim.accelerators())
}

// borrowed returns the number of accelerators that a job holds outside bound cells.
func (p *placedJob) borrowed() int {
	total := 0
	for _, b := range p.bookings {
		if b.binding == nil {
			total += b.size
		}
	}
	return total
}

// accelerators returns the number of accelerators that a job holds.
func (p *placedJob) accelerators() int {
	total := 0
	for _, b := range p.bookings {
		total += b.size
	}
	return total
}

// victimsOf returns the jobs that occupy the claimed cells of a job, each once.
func victimsOf(p *placedJob) []*placedJob {
	var victims []*placedJob
	seen := map[*placedJob]bool{}
	for _, b := range p.bookings {
		for i := b.first; i < b.first+b.size; i++ {
			victim := b.worker.occupants[i]
			if victim != nil && !seen[victim] {
				seen[victim] = true
				victims = append(victims, victim)
			}
		}
	}
	return victims
}

// preemptVictims registers a job as claimant of the jobs on its cells. It returns the actions that stop
// those victims that are not stopping already.
func (h *Hall) preemptVictims(p *placedJob) []Action {
	var actions []Action
	for _, victim := range victimsOf(p) {
		p.pendingVictims++
		victim.claimants = append(victim.claimants, p)
		if victim.phase == stopping {
			continue
		}
		victim.phase = stopping
		actions = append(actions, Preempt{
			Job:        victim.job.ID,
			Preemptor:  p.job.ID,
			Checkpoint: victim.job.Checkpointable,
		})
	}
	return actions
}
