package policy

// maxCachedShapes bounds the caches by shape.
const maxCachedShapes = 1000

// workerClass is the set of workers that differ only in name and rack, with indices of their cells.
type workerClass struct {
	spec    Worker
	workers []*worker

	// free indexes the cells that are neither occupied, claimed nor reserved.
	free cellIndex
	// freeUnbound indexes the free cells outside bound cells.
	freeUnbound cellIndex
	// bindable indexes the cells to which guarantees can still be bound: those outside bound cells that
	// are free or can be freed by preemption.
	bindable cellIndex
	// footprintCache caches the results of footprints.
	footprintCache map[Shape][]footprint
	// bySlots indexes the workers by their number of free CPU slots.
	bySlots []bitset
}

// rack is a set of workers that are close to each other.
type rack struct {
	name    string
	workers []*worker
}

// worker is a backend server with its bookings. The masks have a bit for each accelerator.
type worker struct {
	spec  Worker
	class *workerClass
	rack  *rack
	index int
	// schedulable reports whether the worker takes new work: the caller has enabled it and it is not
	// quarantined.
	schedulable bool
	enabled     bool
	health      health

	occupied uint8
	// lent is the part of occupied that can be preempted.
	lent uint8
	// claimed is the part that jobs have booked but do not occupy yet.
	claimed uint8
	// pinnedClaim is the part of claimed whose jobs cannot be preempted.
	pinnedClaim uint8
	// bound is the part inside bound cells.
	bound uint8
	// reserved is the part that is reserved for a waiting gang.
	reserved uint8
	// freeSlots is the number of free CPU slots.
	freeSlots int

	occupants [MaxCell]*placedJob
	bindings  []*binding
}

// footprint is what a task takes on a worker of a class: a cell or CPU slots.
type footprint struct {
	// size is the number of accelerators of the cell, 0 for none.
	size int
	// slots is the number of CPU slots.
	slots int
}

// cpuSlots returns the number of CPU slots of a worker: those that belong to no accelerator.
func (c *workerClass) cpuSlots() int {
	return max(0, c.spec.Slots-c.spec.Accelerators)
}

// slotUnits returns the number of slots whose share of processors and memory is enough for a shape.
func (c *workerClass) slotUnits(shape Shape) int {
	units := 1
	if c.spec.Slots == 0 {
		return units
	}
	if shape.CPUMillis > 0 {
		units = max(units, ceilDiv(shape.CPUMillis*c.spec.Slots, max(1, c.spec.CPUMillis)))
	}
	if shape.MemoryMB > 0 {
		units = max(units, ceilDiv(shape.MemoryMB*c.spec.Slots, max(1, c.spec.MemoryMB)))
	}
	return units
}

// footprints returns the alternative footprints of a task on workers of the class, the preferred ones
// first. A task without accelerators takes CPU slots, or else a cell.
func (c *workerClass) footprints(shape Shape) []footprint {
	footprints, ok := c.footprintCache[shape]
	if !ok {
		footprints = c.computeFootprints(shape)
		c.cacheFootprints(shape, footprints)
	}
	return footprints
}

func (c *workerClass) cacheFootprints(shape Shape, footprints []footprint) {
	if c.footprintCache == nil || len(c.footprintCache) >= maxCachedShapes {
		c.footprintCache = map[Shape][]footprint{}
	}
	c.footprintCache[shape] = footprints
}

func (c *workerClass) computeFootprints(shape Shape) []footprint {
	units := c.slotUnits(shape)
	var footprints []footprint
	if shape.Accelerators == 0 && units <= c.cpuSlots() {
		footprints = append(footprints, footprint{slots: units})
	}
	size := max(units, shape.Accelerators)
	if size <= c.spec.Accelerators {
		footprints = append(footprints, footprint{size: 1 << levelOf(size)})
	}
	return footprints
}

// usableMask returns the mask of all accelerators, or 0 if the worker takes no new work.
func (w *worker) usableMask() uint8 {
	if !w.schedulable {
		return 0
	}
	return workerMask(w.spec.Accelerators)
}

func (w *worker) freeMask() uint8 {
	return w.usableMask() &^ (w.occupied | w.claimed | w.reserved)
}

// pinnedMask returns the accelerators that are in use and cannot be freed by preemption.
func (w *worker) pinnedMask() uint8 {
	return w.occupied&^w.lent | w.pinnedClaim
}

func (w *worker) bindableMask() uint8 {
	return w.usableMask() &^ w.bound &^ w.pinnedMask()
}

// updateIndices updates the indices of the class from the worker's masks.
func (w *worker) updateIndices() {
	free := w.freeMask()
	w.class.free.update(w.index, free)
	w.class.freeUnbound.update(w.index, free&^w.bound)
	w.class.bindable.update(w.index, w.bindableMask())
}

// setFreeSlots sets the number of free CPU slots.
func (w *worker) setFreeSlots(slots int) {
	if w.freeSlots >= 0 && w.freeSlots < len(w.class.bySlots) {
		w.class.bySlots[w.freeSlots].set(w.index, false)
	}
	w.freeSlots = slots
	w.indexSlots()
}

func (w *worker) indexSlots() {
	for w.freeSlots >= len(w.class.bySlots) {
		w.class.bySlots = append(w.class.bySlots, nil)
	}
	w.class.bySlots[w.freeSlots].set(w.index, w.schedulable)
}

// setSchedulable sets whether the worker takes new work.
func (w *worker) setSchedulable(schedulable bool) {
	w.schedulable = schedulable
	w.updateIndices()
	w.indexSlots()
}

// eachWithSlots visits the workers with enough free CPU slots, the tightest first, until visit returns
// false.
func (c *workerClass) eachWithSlots(slots int, visit func(*worker) bool) {
	for have := slots; have < len(c.bySlots); have++ {
		set := c.bySlots[have]
		for i := set.next(0); i >= 0; i = set.next(i + 1) {
			if !visit(c.workers[i]) {
				return
			}
		}
	}
}

func (c *workerClass) addWorker(spec Worker, r *rack) *worker {
	w := &worker{spec: spec, class: c, rack: r, index: len(c.workers)}
	c.workers = append(c.workers, w)
	r.workers = append(r.workers, w)
	w.freeSlots = c.cpuSlots()
	w.enabled = true
	w.setSchedulable(true)
	return w
}

func sameClass(a, b Worker) bool {
	return a.Accelerators == b.Accelerators && a.CPUMillis == b.CPUMillis &&
		a.MemoryMB == b.MemoryMB && a.Slots == b.Slots
}

func ceilDiv(a, b int) int {
	return (a + b - 1) / b
}
