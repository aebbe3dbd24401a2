package policy

import (
	"fmt"
	"time"
)

// Restore books the cells of a job that is already running, for a holder that takes over the hall.
// It fails with KindInvalid, and books nothing, if a worker of the job is unknown.
func (h *Hall) Restore(j Job, cells []Cell, borrowed bool, started time.Time) error {
	p := &placedJob{job: j, queued: h.newQueued(j), phase: claiming, started: started}
	ws := h.workspace(j.Workspace)
	p.mode = restoredMode(ws, borrowed)
	for _, cell := range cells {
		w, ok := h.workers[cell.Worker]
		if !ok {
			h.releaseBookings(p)
			return &Error{Op: "restore " + j.ID, Kind: KindInvalid, Err: fmt.Errorf("unknown worker %q", cell.Worker)}
		}
		h.restoreCell(p, ws, w, cell)
	}
	h.occupy(p)
	p.phase = running
	h.placed[j.ID] = p
	ws.allocated += p.accelerators()
	return nil
}

func restoredMode(ws *workspace, borrowed bool) allocationMode {
	switch {
	case borrowed:
		return borrowing
	case ws.guaranteed != cellCounts{}:
		return guaranteed
	default:
		return surplus
	}
}

func (h *Hall) restoreCell(p *placedJob, ws *workspace, w *worker, cell Cell) {
	if cell.Size == 0 {
		w.setFreeSlots(w.freeSlots - cell.Slots)
		p.bookings = append(p.bookings, booking{worker: w, slots: cell.Slots})
		return
	}
	var b *binding
	if p.mode == guaranteed {
		b = h.bindAround(ws, w, cell)
	}
	attempt{hall: h, placed: p, mode: p.mode}.claim(w, cell.First, cell.Size, b)
}

// bindAround returns the binding of a workspace that contains a cell. It creates one if the guarantee
// allows, and otherwise returns nil.
func (h *Hall) bindAround(ws *workspace, w *worker, cell Cell) *binding {
	mask := cellMask(cell.First, cell.Size)
	for _, b := range ws.bindings {
		if b.worker == w && b.mask()&mask == mask {
			return b
		}
	}
	for level := levelOf(cell.Size); level < levels; level++ {
		size := 1 << level
		first := cell.First / size * size
		if ws.unbound[level] > 0 && first+size <= w.spec.Accelerators && w.bound&cellMask(first, size) == 0 {
			return h.bind(ws, w, first, level)
		}
	}
	return nil
}
