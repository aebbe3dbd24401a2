package policy

import (
	"fmt"
	"slices"
)

// workspace is a tenant with the state of its guarantee and its usage.
type workspace struct {
	name string
	// guaranteed and unbound count all guaranteed cells, and those not bound yet, by level.
	guaranteed cellCounts
	unbound    cellCounts
	bindings   []*binding
	// borrowed counts the accelerators that its jobs occupy outside bound cells.
	borrowed int
	// allocated counts all accelerators that its jobs occupy or have claimed.
	allocated int
	// recentUse determines the headroom for its short jobs.
	recentUse recentUse
}

// binding maps a guaranteed cell to a physical one.
type binding struct {
	workspace *workspace
	worker    *worker
	first     int
	level     int
	// tasks counts the tasks that are booked inside the cell.
	tasks int
}

// Shortage describes the part of the guarantees that cannot be met at present.
type Shortage struct {
	// Accelerators is the number of missing accelerators.
	Accelerators int
}

func (b *binding) mask() uint8 {
	return cellMask(b.first, 1<<b.level)
}

// levelCounts returns the guaranteed cells by level.
func levelCounts(guarantees []Guarantee) cellCounts {
	var counts cellCounts
	for _, g := range guarantees {
		counts[levelOf(max(1, g.Size))] += g.Cells
	}
	return counts
}

// shortage returns the number of accelerators that are missing to cut the wanted cells from the given
// maximal cells. It is 0 if all fit.
func shortage(have, want cellCounts) int {
	missing := 0
	spare := 0
	for level := levels - 1; level >= 0; level-- {
		spare = spare*2 + have[level] - want[level]
		if spare < 0 {
			missing += -spare << level
			spare = 0
		}
	}
	return missing
}

// Feasible checks that the guarantees of all workspaces fit into the workers at the same time. The
// error names the first workspace whose guarantee does not fit beside the preceding ones.
func Feasible(workers []Worker, workspaces []Workspace) error {
	var have, want cellCounts
	for _, w := range workers {
		for level, n := range maximalCells[workerMask(w.Accelerators)] {
			have[level] += n
		}
	}
	for _, ws := range workspaces {
		for level, n := range levelCounts(ws.Guarantees) {
			want[level] += n
		}
		if missing := shortage(have, want); missing > 0 {
			detail := fmt.Errorf("the guarantee of workspace %q does not fit beside those before it: %d accelerators are missing", ws.Name, missing)
			return &Error{Op: "check guarantees", Kind: KindInfeasible, Err: detail}
		}
	}
	return nil
}

// demand returns the number of unbound guaranteed cells of all workspaces by level.
func (h *Hall) demand() cellCounts {
	return h.unboundTotal
}

// bindable returns the number of cells by level to which unbound guarantees can be bound.
func (h *Hall) bindable() cellCounts {
	var counts cellCounts
	for _, c := range h.classes {
		for level, n := range c.bindable.counts {
			counts[level] += n
		}
	}
	return counts
}

// shortageIf returns the shortage for a given demand if a worker had the given bindable mask.
func (h *Hall) shortageIf(w *worker, bindable uint8, demand cellCounts) int {
	counts := h.bindable()
	old := w.class.bindable.masks[w.index]
	for level := range levels {
		counts[level] += maximalCells[bindable][level] - maximalCells[old][level]
	}
	return shortage(counts, demand)
}

// Shortage returns the part of the unbound guarantees that could not be met if all were claimed now. It
// is zero unless workers failed or the guarantees were just increased.
func (h *Hall) Shortage() Shortage {
	return Shortage{Accelerators: shortage(h.bindable(), h.demand())}
}

// bindLevel returns the level of the smallest unbound guaranteed cell that can contain a cell of the
// given level.
func (ws *workspace) bindLevel(level int) (int, bool) {
	for l := level; l < levels; l++ {
		if ws.unbound[l] > 0 {
			return l, true
		}
	}
	return 0, false
}

// guaranteedAccelerators returns the total size of the guaranteed cells.
func (ws *workspace) guaranteedAccelerators() int {
	total := 0
	for level, n := range ws.guaranteed {
		total += n << level
	}
	return total
}

// covers reports whether the guarantee has enough cells of a level if the workspace runs nothing else.
func (ws *workspace) covers(level, cells int) bool {
	var want cellCounts
	want[level] = cells
	return fits(ws.guaranteed, want)
}

// bind binds a guaranteed cell of a level to the physical cell that starts at accelerator first of a
// worker.
func (h *Hall) bind(ws *workspace, w *worker, first, level int) *binding {
	b := &binding{workspace: ws, worker: w, first: first, level: level}
	ws.unbound[level]--
	h.unboundTotal[level]--
	ws.bindings = append(ws.bindings, b)
	w.bindings = append(w.bindings, b)
	w.bound |= b.mask()
	return b
}

// unbind returns a bound cell without tasks to the unbound ones.
func (h *Hall) unbind(b *binding) {
	ws := b.workspace
	same := func(other *binding) bool { return other == b }
	ws.bindings = slices.DeleteFunc(ws.bindings, same)
	b.worker.bindings = slices.DeleteFunc(b.worker.bindings, same)
	b.worker.bound &^= b.mask()
	ws.unbound[b.level]++
	h.unboundTotal[b.level]++
}

// SetWorkspaces makes a configuration of workspaces active. If a guarantee shrinks, excess cells stay
// bound until their jobs end.
func (h *Hall) SetWorkspaces(workspaces []Workspace) {
	declared := map[string]bool{}
	for _, spec := range workspaces {
		declared[spec.Name] = true
		h.workspace(spec.Name).guaranteed = levelCounts(spec.Guarantees)
	}
	h.unboundTotal = cellCounts{}
	for name, ws := range h.workspaces {
		if !declared[name] {
			ws.guaranteed = cellCounts{}
		}
		ws.unbound = ws.guaranteed
		for _, b := range ws.bindings {
			ws.unbound[b.level]--
		}
		for level, n := range ws.unbound {
			h.unboundTotal[level] += n
		}
	}
	h.bumpGeneration()
}

// workspace returns the workspace with a name, and creates one without a guarantee if it is new.
func (h *Hall) workspace(name string) *workspace {
	ws, ok := h.workspaces[name]
	if !ok {
		ws = &workspace{name: name}
		h.workspaces[name] = ws
	}
	return ws
}
