package pool

import (
	"slices"
	"time"
)

const (
	// largeShare is the share of the smallest worker's accelerators from which a group counts as large. Such a
	// group rarely fits if smaller tasks take capacity bit by bit as it is released.
	largeShare = 0.5
	// maxReservations is the maximum number of groups with a reservation at a time.
	maxReservations = 4
	// backfillMargin is the factor by which a backfilled task may exceed its estimate and still end before the
	// reserved capacity is needed.
	backfillMargin = 1.3
)

// reserve reserves capacity for a large group on the workers where it will fit first, so that smaller groups do
// not take the capacity bit by bit. Only a few groups have a reservation at a time.
func (p *pass) reserve(g *group, d *demandState, noHistory bool) {
	if len(p.reservations) >= maxReservations || !p.isLarge(g) || noHistory && d.unreservable || p.skipsReservation(g) {
		return
	}
	later := p.freeAndReleasing()
	for i, reserved := range p.reserved {
		later[i] = later[i].Sub(reserved)
	}
	at, found := p.earliestFit(g, d, later)
	if !found {
		d.unreservable = d.unreservable || noHistory
		return
	}
	p.reservations = append(p.reservations, reservation{group: g, at: at})
	if len(p.reservations) == 1 || at.Before(p.reservationStart) {
		p.reservationStart = at
	}
	for _, w := range p.fit(g, d, later) {
		p.reserved[w.slot] = p.reserved[w.slot].Add(g.taskShape)
	}
}

// skipsReservation reports whether the group gets no reservation because it can no longer finish in time while
// other large groups can.
func (p *pass) skipsReservation(g *group) bool {
	return p.largeInTime && g.round.deprioritised(p.now, g.job.job)
}

// detectLargeInTime sets largeInTime if a large group of lower than urgent priority waits that is not
// deprioritised.
func (p *pass) detectLargeInTime(rounds []readyRound) {
	for _, r := range rounds {
		if r.job.job.Terms.Priority == 0 || r.round.deprioritised(p.now, r.job.job) {
			continue
		}
		if slices.ContainsFunc(r.ready, p.isLarge) {
			p.largeInTime = true
			return
		}
	}
}

// earliestFit returns the earliest time at which a group fits as the current runs end, and adds the capacity
// that they release until then to later.
func (p *pass) earliestFit(g *group, d *demandState, later capacityBySlot) (time.Time, bool) {
	count := p.newFitCounter(g, d, later)
	ends := p.expectedEnds()
	for i, e := range ends {
		for _, m := range e.group.members {
			if p.inPass(m.worker) && m.phase != memberGone && m.phase != memberStopping {
				later[m.worker.slot] = later[m.worker.slot].Add(e.group.taskShape)
				count.update(m.worker)
			}
		}
		last := i+1 == len(ends) || ends[i+1].at.After(e.at)
		if last && count.fits() {
			return e.at, true
		}
	}
	return time.Time{}, false
}

// isLarge reports whether the group is large enough for a reservation.
func (p *pass) isLarge(g *group) bool {
	return float64(p.smallestWorker)*largeShare <= float64(g.spec().Shape.Accelerators*g.size)
}

// unreserved returns the free capacity that reservations leave to a demand. That is all of it if a run of the
// demand is expected to end before the earliest reservation is used.
func (p *pass) unreserved(d *demandState) capacityBySlot {
	if len(p.reservations) == 0 {
		return p.free
	}
	length := time.Duration(backfillMargin * float64(d.estimate))
	if p.now.Add(length).Before(p.reservationStart) {
		return p.free
	}
	unreserved := make(capacityBySlot, len(p.free))
	for i, free := range p.free {
		unreserved[i] = free.Sub(p.reserved[i])
	}
	return unreserved
}
