package policy

// occupy turns the claims of a job into occupied cells.
func (h *Hall) occupy(p *placedJob) {
	p.phase = placing
	for _, b := range p.bookings {
		mask := b.mask()
		b.worker.claimed &^= mask
		b.worker.pinnedClaim &^= mask
		b.worker.occupied |= mask
		if p.mode == borrowing && b.binding == nil {
			b.worker.lent |= mask
		}
		for i := b.first; i < b.first+b.size; i++ {
			b.worker.occupants[i] = p
		}
		b.worker.updateIndices()
	}
	h.workspace(p.job.Workspace).borrowed += p.borrowed()
}

// release frees the cells of a placed job. A claimant that waits for no other victim becomes ready to
// occupy its cells.
func (h *Hall) release(p *placedJob) {
	delete(h.placed, p.job.ID)
	h.workspace(p.job.Workspace).allocated -= p.accelerators()
	if p.phase != claiming {
		h.workspace(p.job.Workspace).borrowed -= p.borrowed()
	}
	h.releaseBookings(p)
	for _, claimant := range p.claimants {
		claimant.pendingVictims--
		if claimant.pendingVictims == 0 {
			h.readyClaims = append(h.readyClaims, claimant)
		}
	}
	p.claimants = nil
	h.bumpGeneration()
}

// releaseBookings frees the cells and slots that a job has booked, whether it has claimed or occupied
// them.
func (h *Hall) releaseBookings(p *placedJob) {
	for _, b := range p.bookings {
		if b.size == 0 {
			b.worker.setFreeSlots(b.worker.freeSlots + b.slots)
			continue
		}
		b.clearMasks(p)
		if b.binding != nil {
			b.binding.tasks--
			if b.binding.tasks == 0 {
				h.unbind(b.binding)
			}
		}
		b.worker.updateIndices()
	}
	p.bookings = nil
}

// clearMasks clears the bits of a booking in the masks of its worker.
func (b booking) clearMasks(p *placedJob) {
	w := b.worker
	mask := b.mask()
	if p.phase == claiming {
		w.claimed &^= mask
		w.pinnedClaim &^= mask
		return
	}
	w.occupied &^= mask
	w.lent &^= mask
	for i := b.first; i < b.first+b.size; i++ {
		if w.occupants[i] == p {
			w.occupants[i] = nil
		}
	}
}
