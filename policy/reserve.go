package policy

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// reservation reserves cells for a gang that does not fit, so that smaller jobs do not take each cell
// that becomes free. Jobs that are expected to end in time may backfill it.
type reservation struct {
	job   *queuedJob
	cells []reservedCell
	// ready is the estimated time at which all cells are free, as of when they were chosen. It is not
	// updated later: otherwise each backfilled job would postpone it and so admit another one.
	ready time.Time
	// since is the start of the reservation.
	since time.Time
	// renewAt is the next time at which the choice of cells is reviewed.
	renewAt time.Time
}

// maxOverdueLoss is the most work per accelerator that a gang may cause others to lose by preempting
// them on its reserved cells. It also bounds the run time of preemptible backfill jobs.
const maxOverdueLoss = 15 * time.Minute

type reservedCell struct {
	worker *worker
	mask   uint8
}

// freeingCell is a cell with the estimated time at which it is free.
type freeingCell struct {
	worker *worker
	mask   uint8
	at     time.Time
}

// reserve reserves cells for the first waiting job in order that qualifies. There is at most one
// reservation at a time.
func (h *Hall) reserve(now time.Time) {
	if !h.settings.Reserve || h.reservation != nil || now.Before(h.nextReserve) {
		return
	}
	h.nextReserve = now.Add(h.settings.ReserveInterval)
	q := h.nextToReserve(now)
	if q == nil {
		return
	}
	cells, ready := h.soonestCells(now, q.job)
	if cells == nil {
		return
	}
	h.reservation = &reservation{job: q, cells: cells, ready: ready, since: now, renewAt: now.Add(h.settings.ReservationRefresh)}
	h.markReserved(true)
}

// nextToReserve returns the first job in order that qualifies for a reservation, or nil.
func (h *Hall) nextToReserve(now time.Time) *queuedJob {
	var first bucketCandidate
	for _, b := range h.buckets {
		head := b.head()
		if head == nil || !h.qualifiesForReservation(now, head.job) {
			continue
		}
		c := bucketCandidate{bucket: b, key: h.orderKey(head), head: head}
		if first.head == nil || compareCandidates(c, first) < 0 {
			first = c
		}
	}
	return first.head
}

// qualifiesForReservation reports whether a waiting job may get a reservation: a large one after
// ReserveAfter, any other after ReserveAnyAfter.
func (h *Hall) qualifiesForReservation(now time.Time, j Job) bool {
	waited := now.Sub(j.Submitted)
	return h.isLarge(j) && waited >= h.settings.ReserveAfter || waited >= h.settings.ReserveAnyAfter
}

// isLarge reports whether a job has at least LargeGangAccelerators accelerators.
func (h *Hall) isLarge(j Job) bool {
	return j.Tasks*j.Shape.Accelerators >= h.settings.LargeGangAccelerators
}

// markReserved sets or clears the reserved masks of the workers.
func (h *Hall) markReserved(reserved bool) {
	for _, c := range h.reservation.cells {
		if reserved {
			c.worker.reserved |= c.mask
		} else {
			c.worker.reserved &^= c.mask
		}
		c.worker.updateIndices()
	}
}

// releaseReservation ends the reservation, if there is one.
func (h *Hall) releaseReservation() {
	if h.reservation == nil {
		return
	}
	h.markReserved(false)
	h.reservation = nil
	h.bumpGeneration()
}

// renewReservation periodically moves the reservation to other cells if they are free much sooner. It
// ends the reservation if its job is no longer waiting.
func (h *Hall) renewReservation(now time.Time) {
	r := h.reservation
	if r == nil {
		return
	}
	if r.job.cancelled || h.waiting[r.job.job.ID] != r.job {
		h.releaseReservation()
		return
	}
	if now.Before(r.renewAt) {
		return
	}
	r.renewAt = now.Add(h.settings.ReservationRefresh)
	longWait := now.Sub(r.job.job.Submitted) >= h.settings.ReserveAnyAfter
	if longWait && !r.lostWorker() && now.Sub(r.since) > h.settings.ReservationSwitchGain {
		// With repeated changes the gang might never get all of its cells.
		return
	}
	cells, ready := h.soonestCells(now, r.job.job)
	if cells == nil || !h.muchSooner(now, ready, h.readyAt(now, r.cells)) {
		return
	}
	h.markReserved(false)
	r.cells, r.ready = cells, ready
	h.markReserved(true)
	h.bumpGeneration()
}

// After a long wait the cells stay as they are: with repeated changes the job might never get all of
// them.
func (r *reservation) lostWorker() bool {
	return slices.ContainsFunc(r.cells, func(c reservedCell) bool { return !c.worker.schedulable })
}

// readyAt returns the estimated time at which all cells of a reservation are free.
func (h *Hall) readyAt(now time.Time, cells []reservedCell) time.Time {
	ready := now
	for _, c := range cells {
		if c.worker.usableMask()&c.mask != c.mask {
			return now.Add(defaultRunTime)
		}
		ready = latest(ready, h.freeAt(now, c.worker, c.mask))
	}
	return ready
}

// muchSooner reports whether other cells are ready so much sooner that a switch pays off. The margin is
// large because estimates are imprecise and other jobs refill cells that are released.
func (h *Hall) muchSooner(now, other, present time.Time) bool {
	return present.Sub(now) > 2*other.Sub(now)+h.settings.ReservationSwitchGain
}

// bookReserved books the job that has the reservation, on the reserved cells or on others.
func (h *Hall) bookReserved(now time.Time, q *queuedJob) *placedJob {
	h.markReserved(false)
	p := h.book(now, q)
	if p == nil {
		p = h.bookPreemptingReserved(now, q)
	}
	if p == nil {
		h.markReserved(true)
		return nil
	}
	h.reservation = nil
	h.bumpGeneration()
	return p
}

// bookPreemptingReserved preempts jobs of lower priority that borrow the reserved cells, if nothing
// else occupies them and little work is lost: many idle reserved accelerators cost more than that work.
func (h *Hall) bookPreemptingReserved(now time.Time, q *queuedJob) *placedJob {
	r := h.reservation
	if !q.job.Preemptible() {
		return nil
	}
	a := attempt{hall: h, now: now, mode: borrowing}
	a.placed = &placedJob{job: q.job, queued: q, mode: borrowing}
	lost := 0.0
	for _, c := range r.cells {
		cost, ok := a.preemptionCost(c.worker, c.mask, false)
		if !ok || c.worker.bindableMask()&c.mask != c.mask || c.worker.claimed&c.mask != 0 {
			return nil
		}
		lost += cost
	}
	if lost > maxOverdueLoss.Seconds()*float64(q.job.Tasks*q.job.Shape.Accelerators) {
		return nil
	}
	for _, c := range r.cells {
		a.claim(c.worker, bits.TrailingZeros8(c.mask), bits.OnesCount8(c.mask), nil)
	}
	return a.placed
}

// overtakes reports whether a large job would overtake an earlier job of its own workspace that has the
// reservation. It would use up the guarantee that both share.
func (h *Hall) overtakes(q *queuedJob) bool {
	r := h.reservation
	return r != nil && q.job.Workspace == r.job.job.Workspace && before(r.job, q) &&
		h.isLarge(q.job)
}

// bookBackfill books a job that may use reserved cells: it is expected to end before they are needed,
// or it is short and the gang can preempt it.
func (h *Hall) bookBackfill(now time.Time, q *queuedJob) *placedJob {
	r := h.reservation
	if r == nil {
		return nil
	}
	inTime := !now.Add(h.estimate(q.job, safeQuantile)).After(r.ready)
	preemptible := q.job.Preemptible() && q.job.Priority < r.job.job.Priority &&
		h.estimate(q.job, medianQuantile) <= maxOverdueLoss
	if !inTime && !preemptible {
		return nil
	}
	h.markReserved(false)
	p := h.book(now, q)
	h.markReserved(true)
	return p
}

// soonestCells returns the cells for all tasks of a job that are expected to be free first, and the
// time at which the last of them is. It returns no cells if there are too few.
func (h *Hall) soonestCells(now time.Time, j Job) ([]reservedCell, time.Time) {
	cells := h.freeingCells(now, j)
	switch j.Adjacency {
	case SameRack:
		return soonestGroup(cells, j.Tasks, func(w *worker) string { return w.rack.name })
	case SameWorker:
		return soonestGroup(cells, j.Tasks, func(w *worker) string { return w.spec.Name })
	default:
		return soonestGroup(cells, j.Tasks, func(*worker) string { return "" })
	}
}

// soonestGroup returns the first count cells of the group that has that many first. The cells must be
// sorted by time.
func soonestGroup(cells []freeingCell, count int, group func(*worker) string) ([]reservedCell, time.Time) {
	groups := map[string][]reservedCell{}
	for _, c := range cells {
		name := group(c.worker)
		groups[name] = append(groups[name], reservedCell{worker: c.worker, mask: c.mask})
		if len(groups[name]) == count {
			return groups[name], c.at
		}
	}
	return nil, time.Time{}
}

// freeingCells returns all cells that could take a task of a job, sorted by the estimated time at which
// they are free. Cells bound for other workspaces are included, since they are unbound once they are
// free.
func (h *Hall) freeingCells(now time.Time, j Job) []freeingCell {
	var cells []freeingCell
	for _, c := range h.classes {
		for _, f := range c.footprints(j.Shape) {
			if f.size == 0 {
				continue
			}
			for _, w := range c.workers {
				cells = h.appendFreeing(cells, now, w, f.size)
			}
		}
	}
	slices.SortStableFunc(cells, func(a, b freeingCell) int { return a.at.Compare(b.at) })
	return cells
}

func (h *Hall) appendFreeing(cells []freeingCell, now time.Time, w *worker, size int) []freeingCell {
	full := w.usableMask()
	for first := 0; first+size <= w.spec.Accelerators; first += size {
		mask := cellMask(first, size)
		if full&mask != mask || w.claimed&mask != 0 {
			continue
		}
		cells = append(cells, freeingCell{worker: w, mask: mask, at: h.freeAt(now, w, mask)})
	}
	return cells
}

// freeingCells returns the unclaimed cells that could take a task of a job, sorted by the estimated
// time at which they are free. Cells bound for other workspaces are included, since they are unbound
// once they are free.
func (h *Hall) freeAt(now time.Time, w *worker, mask uint8) time.Time {
	at := now
	for i := range w.spec.Accelerators {
		if p := w.occupants[i]; mask&(1<<i) != 0 && p != nil {
			at = latest(at, h.expectedEnd(now, p))
		}
	}
	return at
}

func latest(a, b time.Time) time.Time {
	if cmp.Compare(a.UnixNano(), b.UnixNano()) < 0 {
		return b
	}
	return a
}
