package policy

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// maxUsages bounds the number of workspaces that a reason lists.
const maxUsages = 4

// Explain returns the reason why a job is not running, with the workspaces that hold the most
// accelerators and the estimated time at which enough cells are free. ok is false if the job is running
// or unknown. The cost grows with the size of the hall; ExplainBriefly is cheaper and leaves these two
// details out.
func (h *Hall) Explain(now time.Time, id string) (reason Reason, ok bool) {
	reason, ok = h.ExplainBriefly(id)
	waiting, is := reason.(WaitingForCapacity)
	if !is {
		return reason, ok
	}
	waiting.HeldBy = h.largestUsages()
	_, waiting.FreeAt = h.soonestCells(now, h.waiting[id].job)
	return waiting, true
}

// largestUsages returns the workspaces that hold the most accelerators, the largest first.
func (h *Hall) largestUsages() []WorkspaceUsage {
	var list []WorkspaceUsage
	for name, ws := range h.workspaces {
		if ws.allocated > 0 {
			list = append(list, WorkspaceUsage{Workspace: name, Accelerators: ws.allocated})
		}
	}
	slices.SortFunc(list, func(a, b WorkspaceUsage) int {
		if c := cmp.Compare(b.Accelerators, a.Accelerators); c != 0 {
			return c
		}
		return strings.Compare(a.Workspace, b.Workspace)
	})
	return list[:min(len(list), maxUsages)]
}

// ExplainBriefly returns the reason why a job is not running. ok is false if the job is running or
// unknown.
func (h *Hall) ExplainBriefly(id string) (reason Reason, ok bool) {
	if p, found := h.placed[id]; found {
		if p.phase != claiming {
			return nil, false
		}
		return Preempting{Victims: p.pendingVictims}, true
	}
	q, found := h.waiting[id]
	if !found {
		return nil, false
	}
	b := q.bucket
	if b == nil {
		return BackingOff{Failures: q.startFailures}, true
	}
	if b.head() != q || b.reason == nil {
		return QueuedBehind{Ahead: h.countAhead(q)}, true
	}
	return b.reason, true
}

// countAhead counts the jobs of the same kind that go before a job, without cancelled ones.
func (h *Hall) countAhead(q *queuedJob) int {
	count := 0
	for _, other := range q.bucket.jobs {
		if other != q && !other.cancelled && before(other, q) {
			count++
		}
	}
	return count
}

// waitReason returns the reason for a job that does not fit at present.
func (h *Hall) waitReason(q *queuedJob) Reason {
	free := 0
	for _, c := range h.classes {
		free += c.freeCapacity(q.job.Shape)
	}
	ws := h.workspace(q.job.Workspace)
	size := 0
	if q.job.Shape.Accelerators > 0 {
		size = 1 << levelOf(q.job.Shape.Accelerators)
	}
	return WaitingForCapacity{
		Accelerators: size,
		Needed:       q.job.Tasks,
		Free:         free,
		Adjacency:    q.job.Adjacency,
		Guaranteed:   size > 0 && ws.covers(levelOf(size), q.job.Tasks),
	}
}

// CanRun reports whether the hall could run a job if it were empty.
func (h *Hall) CanRun(j Job) bool {
	_, never := h.neverFits(j)
	return !never
}

// neverFits reports whether a job could not run even in an empty hall, with the reason. A hall without
// workers refuses nothing, since its workers are not known yet.
func (h *Hall) neverFits(j Job) (Reason, bool) {
	if len(h.workers) == 0 {
		return nil, false
	}
	if detail := h.topologyRefusal(j); detail != "" {
		return NeverFits{Detail: detail}, true
	}
	if detail := h.guaranteeRefusal(j); detail != "" {
		return NeverFits{Detail: detail}, true
	}
	return nil, false
}

// topologyRefusal describes the requirement of a job that the workers cannot meet even when empty, or
// returns an empty string.
func (h *Hall) topologyRefusal(j Job) string {
	capacity := h.emptyCapacity(j.Shape)
	switch {
	case capacity.hall == 0:
		return "no worker is large enough for one task"
	case capacity.hall < j.Tasks:
		return fmt.Sprintf("all workers together have room for %d of its %d tasks", capacity.hall, j.Tasks)
	case j.Adjacency == SameRack && capacity.rack < j.Tasks:
		return fmt.Sprintf("the largest rack has room for %d of its %d tasks", capacity.rack, j.Tasks)
	case j.Adjacency == SameWorker && capacity.worker < j.Tasks:
		return fmt.Sprintf("the largest worker has room for %d of its %d tasks", capacity.worker, j.Tasks)
	default:
		return ""
	}
}

// emptyCapacity is the number of tasks of a shape that fit if nothing runs: in the whole hall, in the
// best rack and on the best worker.
type emptyCapacity struct {
	hall, rack, worker int
}

// emptyCapacity returns the capacity of the empty hall for a shape. It caches the result until a worker
// is added.
func (h *Hall) emptyCapacity(shape Shape) emptyCapacity {
	if capacity, ok := h.emptyCapacities[shape]; ok {
		return capacity
	}
	capacity := emptyCapacity{}
	for _, r := range h.racks {
		inRack := 0
		for _, w := range r.workers {
			n := w.emptyCapacity(shape)
			inRack += n
			capacity.worker = max(capacity.worker, n)
		}
		capacity.hall += inRack
		capacity.rack = max(capacity.rack, inRack)
	}
	if len(h.emptyCapacities) >= maxCachedShapes {
		h.emptyCapacities = map[Shape]emptyCapacity{}
	}
	h.emptyCapacities[shape] = capacity
	return capacity
}

// freeCapacity returns how many tasks of a shape fit into the free cells and slots of a class.
func (c *workerClass) freeCapacity(shape Shape) int {
	capacity := 0
	for _, f := range c.footprints(shape) {
		if f.size == 0 {
			for slots, set := range c.bySlots {
				capacity += slots / f.slots * set.count()
			}
			continue
		}
		level := levelOf(f.size)
		for l := level; l < levels; l++ {
			capacity += c.free.counts[l] << (l - level)
		}
	}
	return capacity
}

// emptyCapacity returns how many tasks of a shape fit on the worker when it is empty.
func (w *worker) emptyCapacity(shape Shape) int {
	capacity := 0
	for _, f := range w.class.footprints(shape) {
		if f.size == 0 {
			capacity += w.class.cpuSlots() / f.slots
			continue
		}
		capacity += countCells(workerMask(w.spec.Accelerators), levelOf(f.size))
	}
	return capacity
}

// fitsCPUSlots reports whether all tasks of a job fit into the CPU slots of one worker.
func (h *Hall) fitsCPUSlots(j Job) bool {
	for _, c := range h.classes {
		for _, f := range c.footprints(j.Shape) {
			if f.size == 0 && c.cpuSlots()/f.slots >= j.Tasks {
				return true
			}
		}
	}
	return false
}

// guaranteeRefusal explains why a job that is not preemptible can never be placed because of the
// guarantees of other workspaces, or returns an empty string.
func (h *Hall) guaranteeRefusal(j Job) string {
	if j.Preemptible() || j.Shape.Accelerators == 0 && h.fitsCPUSlots(j) {
		return ""
	}
	level := levelOf(max(1, j.Shape.Accelerators))
	if h.workspace(j.Workspace).covers(level, j.Tasks) {
		return ""
	}
	var have, want cellCounts
	for _, w := range h.workers {
		for l, n := range maximalCells[workerMask(w.spec.Accelerators)] {
			have[l] += n
		}
	}
	for _, ws := range h.workspaces {
		for l, n := range ws.guaranteed {
			want[l] += n
		}
	}
	want[level] += j.Tasks
	if fits(have, want) {
		return ""
	}
	return "it can be neither repeated nor checkpointed, its workspace's guarantee is too small for it, and all else is guaranteed to others"
}
