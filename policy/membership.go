package policy

import (
	"cmp"
	"math/bits"
	"slices"
)

// AddWorker adds a worker that takes new work. It does nothing if a worker with that name exists.
func (h *Hall) AddWorker(spec Worker) {
	if _, ok := h.workers[spec.Name]; ok {
		return
	}
	w := h.classFor(spec).addWorker(spec, h.rackFor(spec.Rack))
	h.workers[spec.Name] = w
	h.accelerators += spec.Accelerators
	h.emptyCapacities = map[Shape]emptyCapacity{}
	h.bumpGeneration()
}

func (h *Hall) classFor(spec Worker) *workerClass {
	for _, c := range h.classes {
		if sameClass(c.spec, spec) {
			return c
		}
	}
	c := &workerClass{spec: spec}
	h.classes = append(h.classes, c)
	// Tasks go to the smallest workers that fit, since the classes are searched in this order.
	slices.SortStableFunc(h.classes, func(a, b *workerClass) int {
		return cmp.Compare(a.spec.Accelerators, b.spec.Accelerators)
	})
	return c
}

func (h *Hall) rackFor(name string) *rack {
	for _, r := range h.racks {
		if r.name == name {
			return r
		}
	}
	r := &rack{name: name}
	h.racks = append(h.racks, r)
	return r
}

// SetWorkerUp sets whether a worker takes new work. Claims on a worker that goes down are cancelled and
// their jobs queued again. The caller has to end the jobs that run there.
func (h *Hall) SetWorkerUp(name string, up bool) {
	w, ok := h.workers[name]
	if !ok {
		return
	}
	w.enabled = up
	h.updateSchedulable(w)
}

// updateSchedulable derives whether a worker takes new work from the caller's setting and its health.
func (h *Hall) updateSchedulable(w *worker) {
	up := w.enabled && !w.health.quarantined
	if w.schedulable == up {
		return
	}
	w.setSchedulable(up)
	if !up {
		h.cancelClaims(w)
	}
	h.bumpGeneration()
}

func (h *Hall) cancelClaims(w *worker) {
	for _, p := range h.sortedPlaced() {
		if p.phase == claiming && p.uses(w) {
			h.release(p)
			h.waiting[p.job.ID] = p.queued
			h.enqueue(p.queued)
		}
	}
}

func (p *placedJob) uses(w *worker) bool {
	return slices.ContainsFunc(p.bookings, func(b booking) bool { return b.worker == w })
}

func (h *Hall) sortedPlaced() []*placedJob {
	list := make([]*placedJob, 0, len(h.placed))
	for _, p := range h.placed {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *placedJob) int { return cmp.Compare(a.queued.sequence, b.queued.sequence) })
	return list
}

// FreeAccelerators returns the number of accelerators of a worker that are neither occupied nor
// claimed, whether or not the worker takes new work.
func (h *Hall) FreeAccelerators(name string) int {
	w, ok := h.workers[name]
	if !ok {
		return 0
	}
	return bits.OnesCount8(workerMask(w.spec.Accelerators) &^ (w.occupied | w.claimed))
}
