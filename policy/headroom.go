package policy

import "time"

// Headroom is the part of the guarantees that is not lent: as many cells as the workspaces recently
// used at once for short jobs. A workspace with frequent short jobs then finds free cells instead of
// preempting borrowers each time.

// recentUse records the recent peak number of bound cells of a workspace by level.
type recentUse struct {
	peak cellCounts
}

// maxShortRun is the longest estimated run time of the jobs that count for headroom.
const maxShortRun = 5 * time.Minute

// recordBound updates the peak after a cell was bound, if the job is short.
func (a attempt) recordBound(ws *workspace, level int) {
	if a.hall.estimate(a.placed.job, medianQuantile) > maxShortRun {
		return
	}
	bound := ws.guaranteed[level] - ws.unbound[level]
	ws.recentUse.peak[level] = max(ws.recentUse.peak[level], bound)
}

// decayHeadroom moves the recorded peaks halfway towards the current use once per half-life.
func (h *Hall) decayHeadroom(now time.Time) {
	if h.settings.HeadroomHalfLife == 0 || now.Before(h.nextHeadroomDecay) {
		return
	}
	h.nextHeadroomDecay = now.Add(h.settings.HeadroomHalfLife)
	for _, ws := range h.workspaces {
		for level, peak := range ws.recentUse.peak {
			bound := ws.guaranteed[level] - ws.unbound[level]
			ws.recentUse.peak[level] = max(bound, (peak+bound)/2)
		}
	}
	h.bumpGeneration()
}

// headroom returns the number of free cells by level that must not be lent.
func (h *Hall) headroom() cellCounts {
	var counts cellCounts
	if h.settings.HeadroomHalfLife == 0 {
		return counts
	}
	for _, ws := range h.workspaces {
		for level, peak := range ws.recentUse.peak {
			bound := ws.guaranteed[level] - ws.unbound[level]
			counts[level] += max(0, min(peak-bound, ws.unbound[level]))
		}
	}
	return counts
}

// leavesHeadroom reports whether the headroom stays free if a cell of a worker is lent.
func (h *Hall) leavesHeadroom(w *worker, cell uint8) bool {
	wanted := h.headroom()
	if wanted == (cellCounts{}) {
		return true
	}
	var free cellCounts
	for _, c := range h.classes {
		for level, n := range c.freeUnbound.counts {
			free[level] += n
		}
	}
	old := w.class.freeUnbound.masks[w.index]
	for level := range levels {
		free[level] += maximalCells[old&^cell][level] - maximalCells[old][level]
	}
	return shortage(free, wanted) == 0
}
