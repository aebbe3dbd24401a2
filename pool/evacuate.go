package pool

import (
	"fmt"
	"time"

	"hollyfork.example/hollyfork/catalog"
)

// evacuationMargin is subtracted from the time within which an evacuation has to take effect: a feed of the
// store may stall for 1 s before it breaks, an order takes up to 0.2 s at the worker, and timers fire late.
const evacuationMargin = 1500 * time.Millisecond

// SetEvacuations sets the evacuated data centres. Only new starts avoid them: runs there continue, since a
// stopped run would have to repeat its work.
func (c *Core) SetEvacuations(next catalog.Evacuations) {
	if next.ConfirmedAt().Before(c.evacuations.ConfirmedAt()) {
		return
	}
	before := c.evacuations
	c.evacuations = next
	if next.SameRequests(before) {
		return
	}
	for _, w := range c.workers {
		w.evacuated = next.Contains(w.dataCentre)
	}
	c.capacityChanged = true
	c.ordersDue = true
	for _, name := range next.DataCentres() {
		if !before.Contains(name) {
			c.emit(Event{Kind: EventEvacuated, Detail: fmt.Sprintf("%s, guarantees are short of %d accelerators until it is taken back", name, c.guaranteeShortfall())})
		}
	}
	for _, name := range before.DataCentres() {
		if !next.Contains(name) {
			c.emit(Event{Kind: EventEvacuationEnded, Detail: name})
		}
	}
}

// setDataCentre sets the data centre of a worker.
func (c *Core) setDataCentre(w *worker, name string) {
	w.dataCentre = name
	w.evacuated = c.evacuations.Contains(name)
}

// startsDeadline returns the time until which starts may be carried out given the freshness of the known
// evacuations, or the zero time if there is no limit.
func (c *Core) startsDeadline() time.Time {
	if c.settings.EvacuateWithin == 0 {
		return time.Time{}
	}
	return c.evacuations.ConfirmedAt().Add(c.settings.EvacuateWithin - evacuationMargin)
}

// startsFor returns how long starts may be carried out, counted from the last reading of the agent's clock that
// the holder received. That reading was taken before the holder received it, so the period ends on the agent no
// later than end. An order that is delayed on its way thus expires together with the confirmation that its data
// centre is not evacuated.
func (c *Core) startsFor(w *worker, end time.Time) time.Duration {
	if end.IsZero() {
		return c.settings.AgentLease
	}
	return min(c.settings.AgentLease, end.Sub(w.lastReplyAt))
}

// hasEvacuatedStarts reports whether a member of the group has still to be started in an evacuated data centre.
func (g *group) hasEvacuatedStarts() bool {
	for _, m := range g.members {
		if m.worker.evacuated && m.unstarted() {
			return true
		}
	}
	return false
}

// unstarted reports whether a member is not running as far as is known, and neither a start in flight nor the
// first listing of its worker can still report that it is.
func (m *member) unstarted() bool {
	switch m.phase {
	case memberPlaced:
		return true
	case memberOrdered:
		return !m.orderInFlight && m.worker.listing > 0
	default:
		return false
	}
}

// abortEvacuated aborts a run with a member that can no longer be started, so that the group is placed
// elsewhere.
func (c *Core) abortEvacuated(now time.Time, g *group) {
	c.emit(g.event(EventStartRejected, "its data centre is evacuated"))
	c.abort(now, g)
}

// guaranteeShortfall returns how many accelerators the workers outside of evacuated data centres lack to meet
// all guarantees; it returns 0 if no data centre is evacuated.
func (c *Core) guaranteeShortfall() int {
	if len(c.evacuations.DataCentres()) == 0 {
		return 0
	}
	short := 0
	for _, ws := range c.catalog.Workspaces {
		short += ws.GuaranteedAccelerators
	}
	for _, w := range c.workers {
		if !w.instance.IsZero() && !w.evacuated {
			short -= w.capacity.Accelerators
		}
	}
	return max(0, short)
}
