package pool

import (
	"slices"
	"time"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/hollyfork/job"
)

// newInstance handles a report of a new instance and marks the runs of the ended instance as lost.
//
// A call to a worker's address reaches whichever instance is current, so a start meant for the ended
// instance may have been carried out by the new one, or may still be. Runs that the new instance lists
// therefore continue, and starts that it may yet carry out are revoked before they count as lost.
// Without that, 20 runs were started beside another run of the same task in 40 random histories (in
// virtual time, with six workers that were restarted).
func (c *Core) newInstance(now time.Time, w *worker, r Report) {
	if r.Instance.Matches(w.instance) {
		c.renameInstance(w, r.Instance)
		return
	}
	for _, m := range w.members {
		if m.instance.Matches(r.Instance) || r.lists(m) {
			m.instance = r.Instance
		}
	}
	if ended, crashed := w.crashedInstance(r.Instance); crashed {
		c.workerCrashed(now, w, ended, r.Instance, "it is back as "+r.Instance.String())
	}
	for _, m := range slices.Clone(w.members) {
		switch {
		case m.instance == r.Instance:
		case r.Instance.SharesName(m.instance) && m.mayStillStart(r.Listing):
			c.revoke(now, m, r.Instance)
		default:
			c.memberLost(now, m, "the worker was restarted")
		}
	}
	c.resolveCrashes(now, w, r.Instance)
	if !w.instance.IsZero() {
		c.paces.forgetWorker(w)
	}
	w.instance = r.Instance
	w.maxCapacity = job.Shape{}
	w.orphans = map[runKey]*orphanRun{}
	c.forgetEnds(w)
	w.listing = 0
	// The failures may be due to the runs that crashed the ended instance, so the record starts anew. A
	// worker that was proven and not quarantined stays proven.
	w.health = health{proven: w.health.proven && !w.health.inQuarantine(now)}
	c.emit(Event{Kind: EventInstance, Worker: w.agent, Detail: r.Instance.String()})
}

// renameInstance replaces the ID of an instance by one that differs only in whether it contains the
// start time. Agents of releases without start times are replaced by newer ones, and the other way
// round. The worker's list of ended runs is processed again, which has no effect if it is the same.
func (c *Core) renameInstance(w *worker, id instance.ID) {
	for _, m := range w.members {
		if m.instance == w.instance {
			m.instance = id
		}
	}
	w.instance = id
	c.forgetEnds(w)
	w.listing = 0
}

// lists reports whether the report contains the member's run, as running or ended.
func (r Report) lists(m *member) bool {
	runs := slices.ContainsFunc(r.Running, func(x Running) bool { return x.Task == m.task() && x.Run == m.group.run })
	return runs || slices.ContainsFunc(r.Ended, func(x Ended) bool { return x.Task == m.task() && x.Run == m.group.run })
}

// mayStillStart reports whether a start that was sent may yet be carried out by the worker's current
// instance: it was not answered, or it was answered after the given listing was requested and no
// listing contains the run.
func (m *member) mayStillStart(listing uint64) bool {
	if !m.maybeSent {
		return false
	}
	return !m.seenRunning || m.floorKnown && listing <= m.listingFloor && !m.listed
}

// revoke has a run stopped on the instance that may yet start it. A worker refuses the start of a run
// that it was ordered to stop before.
func (c *Core) revoke(now time.Time, m *member, id instance.ID) {
	m.instance = id
	m.floorKnown = false
	m.missingFrom = 0
	m.stopConfirmed = false
	m.nextSendAt = now
	m.phase = memberStopping
	m.revoked = true
	c.ordersDue = true
	c.emit(m.event(EventRevoked, id.String()))
	if m.group.placed() && !m.group.ending {
		c.abort(now, m.group)
	}
}

// workerEnded marks the runs on a worker whose process has ended as lost. If a later instance of the
// same name may still carry out a start, its run is revoked instead, until the instance refuses the
// start or the order expires.
func (c *Core) workerEnded(now time.Time, w *worker, reason string) {
	for _, m := range slices.Clone(w.members) {
		switch {
		case m.revoked:
		case m.instance.NameMayRecur() && m.mayStillStart(w.listing):
			c.revoke(now, m, m.instance)
		default:
			c.memberLost(now, m, reason)
		}
	}
	c.forgetRuns(w)
}

// forgetRuns discards the runs and ends that a worker listed.
func (c *Core) forgetRuns(w *worker) {
	w.orphans = map[runKey]*orphanRun{}
	c.forgetEnds(w)
	w.listing = 0
}

// expireRevoked marks revoked runs as lost when their orders have expired and the agent has sent no
// listing.
func (c *Core) expireRevoked(now time.Time, w *worker) {
	for _, m := range slices.Clone(w.members) {
		if m.revoked && w.listing == 0 && now.After(m.startDeadline) {
			c.memberLost(now, m, "its order has ended")
		}
	}
}
