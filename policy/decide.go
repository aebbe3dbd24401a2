package policy

import "time"

// Decide returns the actions to take now. Its cost grows with the number of job kinds for which
// capacity may have been freed since the last call, not with the length of the queue.
func (h *Hall) Decide(now time.Time) []Action {
	var actions []Action
	for _, r := range h.refused {
		actions = append(actions, r)
	}
	h.refused = nil
	h.enqueueDelayed(now)
	h.endQuarantines(now)
	h.renewReservation(now)
	h.decayHeadroom(now)
	actions = append(actions, h.occupyReady()...)
	for _, b := range h.orderedBuckets() {
		actions = append(actions, h.placeFromBucket(now, b)...)
	}
	h.reserve(now)
	return actions
}

// placeFromBucket places jobs of one kind in order until one does not fit.
func (h *Hall) placeFromBucket(now time.Time, b *bucket) []Action {
	var actions []Action
	for {
		q := b.head()
		if q == nil {
			return actions
		}
		p := h.bookQueued(now, q)
		if p == nil {
			b.blockedGeneration = h.generation
			b.reason = h.waitReason(q)
			return actions
		}
		b.pop()
		delete(h.waiting, q.job.ID)
		h.placed[q.job.ID] = p
		h.workspace(q.job.Workspace).allocated += p.accelerators()
		actions = append(actions, h.occupyOrPreempt(p)...)
	}
}

// bookQueued books cells for a waiting job. The job may use reserved cells if the reservation is its
// own, or as backfill.
func (h *Hall) bookQueued(now time.Time, q *queuedJob) *placedJob {
	if h.reservation != nil && h.reservation.job == q {
		return h.bookReserved(now, q)
	}
	if !h.overtakes(q) {
		if p := h.book(now, q); p != nil {
			return p
		}
	}
	return h.bookBackfill(now, q)
}

// occupyOrPreempt places a booked job at once if its cells are free. Otherwise it preempts the jobs on
// them, and the booking stays a claim until they have stopped.
func (h *Hall) occupyOrPreempt(p *placedJob) []Action {
	actions := h.preemptVictims(p)
	if p.pendingVictims > 0 {
		return actions
	}
	h.occupy(p)
	return []Action{p.placeAction()}
}

func (h *Hall) occupyReady() []Action {
	var actions []Action
	for _, p := range h.readyClaims {
		if p.phase == claiming && p.pendingVictims == 0 && h.placed[p.job.ID] == p {
			h.occupy(p)
			actions = append(actions, p.placeAction())
		}
	}
	h.readyClaims = nil
	return actions
}

func (p *placedJob) placeAction() Place {
	cells := make([]Cell, len(p.bookings))
	for i, b := range p.bookings {
		cells[i] = b.cell()
	}
	return Place{Job: p.job.ID, Cells: cells, Borrowed: p.mode == borrowing}
}

func (h *Hall) enqueueDelayed(now time.Time) {
	rest := h.delayed[:0]
	for _, q := range h.delayed {
		switch {
		case q.cancelled:
		case q.notBefore.After(now):
			rest = append(rest, q)
		default:
			h.enqueue(q)
		}
	}
	h.delayed = rest
}
