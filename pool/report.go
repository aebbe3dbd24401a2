package pool

import (
	"slices"
	"time"
)

// maxListedEnds is the largest number of ended runs that a worker lists at once.
const maxListedEnds = 500

// Report processes an agent's report on its worker.
func (c *Core) Report(now time.Time, agent string, r Report) {
	w := c.worker(now, agent)
	w.reported = true
	if r.Incarnation != w.incarnation {
		c.agentRestarted(now, w, r.Incarnation)
	}
	if r.Instance.IsZero() {
		if r.Lapsed {
			c.workerLapsed(now, w, r.Lapse)
		}
		return
	}
	if r.Instance != w.instance {
		c.newInstance(now, w, r)
	}
	if r.Draining != w.draining || r.NotReady != w.notReady || w.listing == 0 {
		c.capacityChanged = true
		c.ordersDue = true
	}
	c.setCapacity(w, r.Capacity)
	w.labels = r.Labels
	w.rack = r.Rack
	c.setDataCentre(w, r.DataCentre)
	w.draining = r.Draining
	w.recordLeaving(now, r)
	w.notReady = r.NotReady
	if r.Lapsed {
		c.workerLapsed(now, w, r.Lapse)
		return
	}
	c.resolveCrashes(now, w, r.Instance)
	if r.Listing <= w.listing {
		return
	}
	w.listing = r.Listing
	w.listedAt = now
	c.recordEnds(now, w, r.Ended)
	c.reconcile(now, w, r)
}

// agentRestarted discards state that depends on the listing numbers, and the orders in flight, of the
// agent's previous incarnation.
func (c *Core) agentRestarted(now time.Time, w *worker, incarnation string) {
	w.incarnation = incarnation
	w.listing = 0
	for _, m := range w.members {
		m.floorKnown = false
		m.missingFrom = 0
		m.orderInFlight = false
		m.nextSendAt = now
		m.stopConfirmed = false
		if m.phase == memberRunning {
			m.phase = memberUnknown
		}
	}
}

// reconcile compares the runs that a worker lists with the members placed on it. A run that is missing from a listing
// with as many ends as possible may have ended with an end that comes with a later one.
func (c *Core) reconcile(now time.Time, w *worker, r Report) {
	listed := make(map[runKey]Running, len(r.Running))
	for _, run := range r.Running {
		listed[runKey{run.Task, run.Run}] = run
	}
	complete := len(r.Ended) < maxListedEnds
	for _, m := range slices.Clone(w.members) {
		key := runKey{m.task(), m.group.run}
		run, runs := listed[key]
		delete(listed, key)
		switch {
		case runs:
			c.memberListed(now, m, run)
			m.setFloor(r.Listing)
		case complete:
			c.memberNotListed(now, m, r.Listing)
		}
	}
	c.updateOrphans(now, w, listed)
}

// memberListed records the progress of a member that its worker lists.
func (c *Core) memberListed(now time.Time, m *member, run Running) {
	m.missingFrom = 0
	m.recordPercent(now, run.Percent)
	if run.Saved != "" {
		m.saved = run.Saved
		c.recordSaved(m.group, run.Saved)
	}
	m.starts.seen = m.starts.seen || !m.revoked // the next instance lists a revoked run, not the one that crashed
	if m.phase == memberOrdered || m.phase == memberUnknown {
		c.memberStarted(now, m)
	}
	if m.group.running() {
		m.group.recordProgress(now)
	}
}

// recordPercent records the progress of a member. If its run resumed from saved progress, or an earlier
// holder started it, the length of the run counts from its first listing.
func (m *member) recordPercent(now time.Time, percent int) {
	if !m.listed && (m.restored || m.group.resumeFrom != "") {
		m.startedAt, m.startPercent = now, percent
	}
	if !m.listed || percent != m.percent {
		m.percentAt = now
	}
	m.listed = true
	m.percent = percent
}

// memberNotListed handles a member that is missing from a listing. The run is known to have ended only
// if the listing is later than a confirmed start or stop.
func (c *Core) memberNotListed(now time.Time, m *member, listing uint64) {
	m.missingFrom = listing
	if m.revoked && now.After(m.startDeadline) {
		c.memberLost(now, m, "its order has ended")
		return
	}
	if m.phase == memberUnknown {
		m.phase = memberOrdered
	}
	if !m.floorKnown || listing <= m.listingFloor {
		return
	}
	switch m.phase {
	case memberRunning:
		c.memberLost(now, m, "the worker does not list it any more")
	case memberStopping:
		if m.stopConfirmed {
			c.releaseMember(now, m)
		}
	}
}

// setFloor records that later listings contain the member unless its run has ended.
func (m *member) setFloor(listing uint64) {
	m.listingFloor = listing
	m.floorKnown = true
}

// memberStarted records that a member is running.
func (c *Core) memberStarted(now time.Time, m *member) {
	m.phase = memberRunning
	m.seenRunning = true
	g := m.group
	if m.startedAt.IsZero() && !m.restored && g.resumeFrom == "" {
		m.startedAt = now
	}
	c.emit(m.event(EventStarted, m.instance.String()))
	g.rejections = rejections{}
	g.job.started = true
	if g.running() {
		g.runningSince = now
		g.preferenceWaitSince = time.Time{}
		g.progressAt = time.Time{}
		g.recordProgress(now)
	}
}

// updateOrphans updates the worker's orphan runs: the listed runs that match no member.
func (c *Core) updateOrphans(now time.Time, w *worker, listed map[runKey]Running) {
	for key := range w.orphans {
		if _, still := listed[key]; !still {
			delete(w.orphans, key)
			c.capacityChanged = true
		}
	}
	for key := range listed {
		if _, known := w.orphans[key]; known {
			continue
		}
		o := &orphanRun{sendAt: now, since: now}
		if j, ok := c.jobs[key.task.Job]; ok && key.task.Step < len(j.job.Steps) {
			o.shape = j.job.Steps[key.task.Step].Demand()
		}
		w.orphans[key] = o
		c.ordersDue = true
		c.emit(Event{Kind: EventOrphanStopped, Job: key.task.Job, Task: key.task, Run: key.run, Worker: w.agent})
	}
}

// recordEnds processes the listed ends that were not processed before.
func (c *Core) recordEnds(now time.Time, w *worker, ends []Ended) {
	for _, e := range ends {
		if e.Number <= w.ends.seen {
			continue
		}
		w.ends.seen = e.Number
		j := c.recordEnd(now, w, e)
		pending := pendingEnd{number: e.Number, job: j}
		if j != nil {
			pending.changes = j.changes
		}
		w.ends.pending = append(w.ends.pending, pending)
	}
	c.advanceEnds(w)
}

// recordEnd processes one ended run. It returns the job whose uncommitted changes have to be committed
// before the end counts as committed, or nil.
func (c *Core) recordEnd(now time.Time, w *worker, e Ended) *jobState {
	if _, was := w.orphans[runKey{e.Task, e.Run}]; was {
		delete(w.orphans, runKey{e.Task, e.Run})
		c.capacityChanged = true
	}
	j, known := c.jobs[e.Task.Job]
	if !known {
		return nil
	}
	g := j.findGroup(e.Task)
	if g == nil || j.unreadable {
		return nil
	}
	m := g.findMember(e.Task.Index)
	current := m != nil && m.worker == w && e.Run == g.run && m.phase != memberGone
	c.emit(Event{Kind: EventRunEnded, Job: j.job.ID, Task: e.Task, Run: e.Run, Worker: w.agent, Detail: endNames[e.Kind]})
	if !g.done {
		c.recordSaved(g, e.Saved)
	}
	if current {
		if e.Kind == EndDone {
			c.addPaceSample(now, m)
		}
		c.releaseMember(now, m)
	}
	c.applyEnd(now, g, w, e, current)
	if j.changes == j.committedChanges {
		return nil
	}
	return j
}

// applyEnd applies the effect of an ended run on its group. Ends of earlier runs count as well: a run
// that was abandoned may have done its work nevertheless.
func (c *Core) applyEnd(now time.Time, g *group, w *worker, e Ended, current bool) {
	if g.done || g.job.state.ended() {
		return
	}
	switch e.Kind {
	case EndDone:
		c.recordSuccess(w)
		c.runDone(now, g)
		if g.done && g.placed() && !current {
			c.abort(now, g)
		}
		return
	case EndFailed:
		c.runFailed(now, g, e.Run, w)
	}
	if current && g.placed() && !g.ending && !g.done {
		c.abort(now, g)
	}
}

// advance moves committed to the last end up to which the effects of all ends are committed.
func (l *endList) advance() {
	for len(l.pending) > 0 {
		head := l.pending[0]
		if head.job != nil && head.job.committedChanges < head.changes {
			return
		}
		l.committed = head.number
		l.pending = l.pending[1:]
	}
}

var endNames = map[EndKind]string{
	EndUnknown:        "unknown",
	EndDone:           "done",
	EndFailed:         "failed",
	EndStopped:        "stopped",
	EndLapsed:         "lapsed",
	EndGangBroken:     "broken",
	EndGangIncomplete: "alone",
}
