package policy

import "time"

// Modes of allocation with regard to guarantees. A guaranteed job runs inside cells that are bound for
// its workspace.
const (
	guaranteed allocationMode = iota
	// A borrowing job runs beyond the guarantee and can be preempted.
	borrowing
	// A surplus job runs on cells that no guarantee needs and cannot be preempted.
	surplus
)

// Phases of a placed job. A claiming job waits for its victims, a placing one for the caller's report
// of its start.
const (
	claiming phase = iota
	placing
	running
	stopping
)

// searchLimit bounds the racks or workers that one search examines.
const searchLimit = 64

type (
	allocationMode int
	phase          int
)

// placedJob is a job with booked cells or slots.
type placedJob struct {
	job      Job
	queued   *queuedJob
	mode     allocationMode
	phase    phase
	bookings []booking
	started  time.Time
	// pendingVictims counts the jobs that must stop before this one can occupy its cells.
	pendingVictims int
	// claimants are the jobs that wait for this one to stop.
	claimants []*placedJob
}

// booking is the allocation of one task.
type booking struct {
	worker  *worker
	first   int
	size    int
	slots   int
	binding *binding
}

func (b booking) mask() uint8 {
	if b.size == 0 {
		return 0
	}
	return cellMask(b.first, b.size)
}

func (b booking) cell() Cell {
	return Cell{Worker: b.worker.spec.Name, First: b.first, Size: b.size, Slots: b.slots}
}

// attempt is one try to book all tasks of a job in one mode.
type attempt struct {
	hall   *Hall
	now    time.Time
	placed *placedJob
	mode   allocationMode
	// preempt allows the preemption of other jobs.
	preempt bool
	// mixed books tasks inside the guarantee first, with preemption, and the others beyond it without.
	mixed bool
	// rack and worker restrict the search; if both are nil, it covers the whole hall.
	rack   *rack
	worker *worker
}

// strategy is one way to try to book a job: a mode, with or without preemption.
type strategy struct {
	mode    allocationMode
	preempt bool
	mixed   bool
}

// strategies returns the strategies to try for a job, the preferred ones first. A preemptible job
// borrows free cells rather than preempt others, unless it was preempted before.
func strategies(q *queuedJob, hasGuarantee bool) []strategy {
	var list []strategy
	if hasGuarantee {
		list = append(list, strategy{mode: guaranteed})
	}
	if hasGuarantee && q.preemptions > 0 {
		list = append(list, strategy{mode: guaranteed, preempt: true})
	}
	beyond := surplus
	if q.job.Preemptible() {
		beyond = borrowing
	}
	list = append(list, strategy{mode: beyond})
	if hasGuarantee {
		list = append(list, strategy{mode: guaranteed, preempt: true})
	}
	if hasGuarantee && q.job.Tasks > 1 {
		list = append(list, strategy{mode: beyond, preempt: true, mixed: true})
	}
	if q.job.Priority == Urgent {
		list = append(list, strategy{mode: beyond, preempt: true})
	}
	return list
}

// book books cells for all tasks of a job, or returns nil if they do not fit.
func (h *Hall) book(now time.Time, q *queuedJob) *placedJob {
	ws := h.workspace(q.job.Workspace)
	hasGuarantee := ws.guaranteed != cellCounts{}
	for _, strategy := range strategies(q, hasGuarantee) {
		if p := h.bookWith(now, q, strategy); p != nil {
			return p
		}
	}
	return nil
}

func (h *Hall) bookWith(now time.Time, q *queuedJob, strategy strategy) *placedJob {
	if !strategy.preempt && !h.hasFreeCapacity(q.job) {
		return nil
	}
	base := attempt{hall: h, now: now, mode: strategy.mode, preempt: strategy.preempt, mixed: strategy.mixed}
	switch q.job.Adjacency {
	case SameRack:
		return h.bookRack(base, q)
	case SameWorker:
		return h.bookWorker(base, q)
	default:
		return base.run(q)
	}
}

// hasFreeCapacity reports whether the free cells and slots of the hall are enough for a job, regardless
// of adjacency. This cheap check avoids booking a gang task by task if that cannot succeed.
func (h *Hall) hasFreeCapacity(j Job) bool {
	capacity := 0
	for _, c := range h.classes {
		capacity += c.freeCapacity(j.Shape)
	}
	return capacity >= j.Tasks
}

// bookRack tries the racks with enough capacity, the tightest first.
func (h *Hall) bookRack(base attempt, q *queuedJob) *placedJob {
	for _, r := range h.racksFor(q.job, base.preempt) {
		base.rack = r
		if p := base.run(q); p != nil {
			return p
		}
	}
	return nil
}

// bookWorker tries the workers with enough capacity, the tightest first.
func (h *Hall) bookWorker(base attempt, q *queuedJob) *placedJob {
	for _, w := range h.workersFor(q.job, base.preempt) {
		base.worker = w
		if p := base.run(q); p != nil {
			return p
		}
	}
	return nil
}

// run books all tasks of a job, or none.
func (a attempt) run(q *queuedJob) *placedJob {
	a.placed = &placedJob{job: q.job, queued: q, mode: a.mode}
	for range q.job.Tasks {
		if !a.bookTask() {
			a.hall.releaseBookings(a.placed)
			return nil
		}
	}
	return a.placed
}

func (a attempt) bookTask() bool {
	for _, c := range a.hall.classes {
		for _, f := range c.footprints(a.placed.job.Shape) {
			if a.bookFootprint(c, f) {
				return true
			}
		}
	}
	return false
}

func (a attempt) bookFootprint(c *workerClass, f footprint) bool {
	if f.size == 0 {
		return a.bookSlots(c, f.slots)
	}
	if a.mixed {
		if a.bookGuaranteed(c, f.size) {
			return true
		}
		a.preempt = false
	}
	switch a.mode {
	case guaranteed:
		return a.bookGuaranteed(c, f.size)
	case borrowing:
		return a.bookBorrowed(c, f.size)
	default:
		return a.bookSurplus(c, f.size)
	}
}

// bookSlots books CPU slots, to which guarantees do not apply.
func (a attempt) bookSlots(c *workerClass, slots int) bool {
	done := false
	c.eachWithSlots(slots, func(w *worker) bool {
		if !a.eligible(w) {
			return true
		}
		w.setFreeSlots(w.freeSlots - slots)
		a.placed.bookings = append(a.placed.bookings, booking{worker: w, slots: slots})
		done = true
		return false
	})
	return done
}

// eligible reports whether the job may be placed on a worker: the search covers the worker, and the
// worker is not suspect if the job is not repeatable.
func (a attempt) eligible(w *worker) bool {
	if w.health.suspect && !a.placed.job.Repeatable {
		return false
	}
	if a.worker != nil {
		return w == a.worker
	}
	return a.rack == nil || w.rack == a.rack
}

// each visits the eligible workers of a class that have a cell of a level in an index.
func (a attempt) each(c *workerClass, index *cellIndex, level int, visit func(*worker) bool) {
	visitIndex := func(i int) bool {
		w := c.workers[i]
		return !a.eligible(w) || visit(w)
	}
	if a.rack == nil && a.worker == nil {
		index.each(level, visitIndex)
		return
	}
	for _, w := range a.searchedWorkers() {
		if w.class == c && countCells(index.masks[w.index], level) > 0 && !visit(w) {
			return
		}
	}
}

func (a attempt) searchedWorkers() []*worker {
	if a.worker != nil {
		return []*worker{a.worker}
	}
	return a.rack.workers
}

// bookBorrowed claims a free cell, preferably outside bound cells.
func (a attempt) bookBorrowed(c *workerClass, size int) bool {
	level := levelOf(size)
	for _, index := range []*cellIndex{&c.freeUnbound, &c.free} {
		done := false
		tries := 0
		a.each(c, index, level, func(w *worker) bool {
			first, ok := bestCell(index.masks[w.index], level)
			tries++
			if ok && a.hall.leavesHeadroom(w, cellMask(first, size)) {
				a.claim(w, first, size, nil)
				done = true
			}
			return !done && tries < searchLimit
		})
		if done {
			return true
		}
	}
	return a.preempt && a.bookPreempting(c, level, nil)
}

// bookSurplus claims a free cell if all unbound guarantees still fit without it.
func (a attempt) bookSurplus(c *workerClass, size int) bool {
	level := levelOf(size)
	done := false
	tries := 0
	a.each(c, &c.freeUnbound, level, func(w *worker) bool {
		first, ok := bestCell(c.freeUnbound.masks[w.index], level)
		tries++
		if ok && a.leavesGuarantees(w, cellMask(first, size)) {
			a.claim(w, first, size, nil)
			done = true
		}
		return !done && tries < searchLimit
	})
	return done || a.preempt && a.bookPreempting(c, level, nil)
}

// leavesGuarantees reports whether all unbound guarantees still fit if a job that is not preemptible
// takes a cell.
func (a attempt) leavesGuarantees(w *worker, cell uint8) bool {
	h := a.hall
	return h.shortageIf(w, w.bindableMask()&^cell, h.demand()) == 0
}

// bookGuaranteed claims a cell inside a cell that is bound for the workspace, or binds another one.
func (a attempt) bookGuaranteed(c *workerClass, size int) bool {
	ws := a.hall.workspace(a.placed.job.Workspace)
	level := levelOf(size)
	if a.bookBound(ws, c, level) {
		return true
	}
	bindLevel, ok := ws.bindLevel(level)
	if !ok {
		return false
	}
	if a.bindFree(ws, c, bindLevel, level) {
		return true
	}
	return a.bookPreempting(c, level, &bindLevel)
}

// bookBound claims a cell inside an existing binding of the workspace.
func (a attempt) bookBound(ws *workspace, c *workerClass, level int) bool {
	size := 1 << level
	for _, b := range ws.bindings {
		if b.worker.class != c || !b.worker.schedulable || !a.eligible(b.worker) {
			continue
		}
		mask := b.worker.freeMask() & b.mask()
		if a.preempt && a.staysWithinGuarantee(size) {
			mask = b.mask() &^ (b.worker.occupied &^ b.worker.lent) &^ b.worker.claimed &^ b.worker.reserved
		}
		if first, ok := bestCell(mask, level); ok {
			a.claim(b.worker, first, size, b)
			return true
		}
	}
	return false
}

// bindFree binds a guaranteed cell to a free one and claims a part of it.
func (a attempt) bindFree(ws *workspace, c *workerClass, bindLevel, level int) bool {
	done := false
	tries := 0
	a.each(c, &c.freeUnbound, bindLevel, func(w *worker) bool {
		first, ok := bestCell(c.freeUnbound.masks[w.index], bindLevel)
		tries++
		if ok && a.canBind(w, first, bindLevel) {
			b := a.hall.bind(ws, w, first, bindLevel)
			a.recordBound(ws, bindLevel)
			a.claim(w, first, 1<<level, b)
			done = true
		}
		return !done && tries < searchLimit
	})
	return done
}

// canBind reports whether the other unbound guarantees still fit after a cell is bound there. If
// workers are missing already, the shortage must not grow.
func (a attempt) canBind(w *worker, first, level int) bool {
	h := a.hall
	demand := h.demand()
	demand[level]--
	after := h.shortageIf(w, w.bindableMask()&^cellMask(first, 1<<level), demand)
	return after <= h.Shortage().Accelerators
}

// claim claims a cell for the job.
func (a attempt) claim(w *worker, first, size int, b *binding) {
	p := a.placed
	cell := cellMask(first, size)
	w.claimed |= cell
	if p.mode != borrowing || b != nil {
		w.pinnedClaim |= cell
	}
	if b != nil {
		b.tasks++
	}
	p.bookings = append(p.bookings, booking{worker: w, first: first, size: size, binding: b})
	w.updateIndices()
}

// racksFor returns the racks with enough capacity for a job, the tightest first.
func (h *Hall) racksFor(j Job, preempt bool) []*rack {
	var found []ranked[*rack]
	for _, r := range h.racks {
		capacity := 0
		for _, w := range r.workers {
			capacity += w.taskCapacity(j.Shape, preempt)
		}
		if capacity >= j.Tasks {
			found = append(found, ranked[*rack]{item: r, capacity: capacity})
		}
	}
	return tightest(found)
}

// workersFor returns the workers with enough capacity for all tasks of a job, the tightest first.
func (h *Hall) workersFor(j Job, preempt bool) []*worker {
	var found []ranked[*worker]
	for _, c := range h.classes {
		for _, w := range c.workers {
			if capacity := w.taskCapacity(j.Shape, preempt); capacity >= j.Tasks {
				found = append(found, ranked[*worker]{item: w, capacity: capacity})
			}
		}
	}
	return tightest(found)
}

// taskCapacity returns how many tasks of a shape the worker can take, with or without preemption.
func (w *worker) taskCapacity(shape Shape, preempt bool) int {
	mask := w.freeMask()
	if preempt {
		mask = w.usableMask() &^ w.pinnedMask()
	}
	capacity := 0
	for _, f := range w.class.footprints(shape) {
		if f.size == 0 && w.schedulable {
			capacity += w.freeSlots / f.slots
		}
		if f.size > 0 {
			capacity += countCells(mask, levelOf(f.size))
		}
	}
	return capacity
}
