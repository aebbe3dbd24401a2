package pool

import (
	"slices"
	"time"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/store"
)

type (
	// worker is the known state of a worker (a backend server) and its agent.
	worker struct {
		agent       string
		incarnation string
		// rows are the versions of the rows by which the agent has told its address.
		rows map[store.Key]uint64
		// instance is the worker's current instance; zero if it is not known. reported is set once the
		// agent has reported its worker, and cleared with the instance when the lease has lapsed.
		instance instance.ID
		reported bool
		// capacity is the whole capacity for tasks that the worker reports. maxCapacity is the largest
		// that this instance has reported.
		capacity    job.Shape
		maxCapacity job.Shape
		// fullUntil is until when the worker counts as full, after it rejected a start that should have
		// fitted.
		fullUntil time.Time
		labels    []string
		rack      string
		draining  bool
		// leavesAt is the earliest time at which a draining worker leaves; zero if it is not draining,
		// or has not announced a time. remaining is the announced time left.
		leavesAt  time.Time
		remaining time.Duration
		// notReady reports that the agent rejects starts at present.
		notReady bool
		// dataCentre is the worker's data centre. evacuated reports that this data centre is evacuated,
		// so that the worker gets no new work.
		dataCentre string
		evacuated  bool

		// lastReplyAt is when the agent last replied. leaseEnd is when all leases of the worker have
		// lapsed if the agent does not reply again.
		lastReplyAt time.Time
		leaseEnd    time.Time
		// grant is the last reading of the agent's clock.
		grant Grant
		// lastCrashAt is when the worker last crashed. crashUnresolved reports that runs were lost with
		// the worker, but not whether it crashed.
		lastCrashAt     time.Time
		crashUnresolved bool
		// lastCrashed is the last instance that crashed.
		lastCrashed instance.ID
		// knownSince is when this holder first learned of the agent.
		knownSince time.Time
		// listing is the number of the last processed listing of the agent; 0 if none was processed
		// since the agent or the worker was restarted, or its runs were lost. listedAt is when a listing was
		// last processed.
		listing  uint64
		listedAt time.Time

		members []*member
		// orphans are the runs on the worker that match no member.
		orphans map[runKey]*orphanRun
		ends    endList
		health  health
		// pace is the worker's pace relative to other workers.
		pace pace
		// urgentHeadroom is the capacity reserved for urgent work after urgent work released it, oldest
		// first.
		urgentHeadroom []headroom
		// reserved counts the accelerators that the last pass reserved for gangs. promised counts those
		// promised to groups whose capacity is not yet released.
		reserved int
		promised int
		// slot is the worker's index in the current pass; negative if it is not part of the pass.
		slot int
		// suspectTasks counts, as of the current pass, the worker's tasks of suspect groups. isolated
		// reports that the worker takes no other work because of one of them.
		suspectTasks int
		isolated     bool
	}

	// runKey identifies a run of a task.
	runKey struct {
		task job.TaskID
		run  int
	}

	// orphanRun is a run that a worker has and should not have. It takes capacity until it has ended.
	orphanRun struct {
		shape  job.Shape
		since  time.Time
		sendAt time.Time
	}

	// endList tracks a worker's list of ended runs. seen is the number of the last one that was
	// processed.
	endList struct {
		seen uint64
		// pending are the processed ends whose effects are not committed yet. committed is the number
		// up to which all are committed.
		pending   []pendingEnd
		committed uint64
	}

	// pendingEnd is an ended run. Its effect is committed once the job's committedChanges reaches
	// changes; without a job there is nothing to commit.
	pendingEnd struct {
		number  uint64
		job     *jobState
		changes uint64
	}
)

// worker returns the worker beside an agent, and creates it if necessary. A new one may have runs that
// an earlier holder started, until its lease ends.
func (c *Core) worker(now time.Time, agent string) *worker {
	w, known := c.workers[agent]
	if !known {
		w = &worker{
			agent:      agent,
			leaseEnd:   c.settings.leaseEnd(now),
			knownSince: now,
			orphans:    map[runKey]*orphanRun{},
			rows:       map[store.Key]uint64{},
		}
		if rows, removed := c.removedAgentRows[agent]; removed {
			w.rows = rows
			delete(c.removedAgentRows, agent)
		}
		c.workers[agent] = w
		c.workersByName = nil
	}
	return w
}

// AddAgent adds an agent if it is not known.
func (c *Core) AddAgent(now time.Time, agent string) {
	c.worker(now, agent)
}

// AddAgentRow adds the agent of a row if it is not known, and records the row's version.
func (c *Core) AddAgentRow(now time.Time, row AgentAddress) {
	c.worker(now, row.Agent).rows[row.Key] = row.Version
}

// RemoveAgentRow removes an agent whose row was deleted, unless another row tells its address or runs are placed on its
// worker. It reports whether no row tells its address any more.
func (c *Core) RemoveAgentRow(removal AgentAddress) bool {
	c.forgetRemovedRow(removal.Agent, removal.Key)
	w, known := c.workers[removal.Agent]
	if !known {
		return true
	}
	if w.rows[removal.Key] < removal.Version { // otherwise it was written again
		delete(w.rows, removal.Key)
	}
	if len(w.rows) > 0 {
		return false
	}
	if len(w.members) == 0 {
		c.dropWorker(w)
	}
	return true
}

// removeSilentAgent removes an agent that has been silent for ForgetAfter, and has its row deleted,
// unless runs are placed on its worker.
func (c *Core) removeSilentAgent(now time.Time, w *worker) {
	last := w.knownSince
	if w.lastReplyAt.After(last) {
		last = w.lastReplyAt
	}
	if len(w.members) > 0 || now.Sub(last) < c.settings.ForgetAfter {
		return
	}
	c.emit(Event{Kind: EventAgentRemoved, Worker: w.agent, Detail: "silent for " + now.Sub(last).Round(time.Second).String()})
	if len(w.rows) > 0 {
		c.removedAgentRows[w.agent] = w.rows
	}
	c.dropWorker(w)
}

// dropWorker removes a worker from the pool's state.
func (c *Core) dropWorker(w *worker) {
	c.dropUnresolvedCrashes(w)
	delete(c.workers, w.agent)
	c.workersByName = nil
}

// RecordReply records a reply of an agent, with a reading of the agent's clock.
func (c *Core) RecordReply(now time.Time, agent string, grant Grant) {
	w := c.worker(now, agent)
	w.lastReplyAt = now
	w.leaseEnd = c.settings.leaseEnd(now)
	w.grant = grant
}

// NeedsReport reports whether the pool needs a report of an agent even if nothing has changed there: it has
// none, or has forgotten it because the agent was silent until the worker's lease had lapsed or longer.
func (c *Core) NeedsReport(agent string) bool {
	w, known := c.workers[agent]
	return !known || !w.reported
}

// Committed returns the worker's instance and the number up to which the effects of its ended runs are
// committed.
func (c *Core) Committed(agent string) (id instance.ID, number uint64) {
	w, known := c.workers[agent]
	if !known {
		return instance.ID{}, 0
	}
	return w.instance, w.ends.committed
}

// TakeCommittedChanged returns the agents for which the result of Committed may have changed since the
// last call. An agent may be listed several times.
func (c *Core) TakeCommittedChanged() []string {
	agents := c.committedChanged
	c.committedChanged = nil
	return agents
}

// advanceEnds updates up to which number a worker's ended runs are committed.
func (c *Core) advanceEnds(w *worker) {
	before := w.ends.committed
	w.ends.advance()
	if w.ends.committed != before {
		c.committedChanged = append(c.committedChanged, w.agent)
	}
}

// forgetEnds resets the list of a worker's ended runs.
func (c *Core) forgetEnds(w *worker) {
	w.ends = endList{}
	c.committedChanged = append(c.committedChanged, w.agent)
}

// acceptsWork reports whether a worker may be given work, regardless of the results of its runs.
func (w *worker) acceptsWork(now time.Time, s Settings) bool {
	return w.objection(now, s) == objectionNone
}

// usable reports whether a worker may be given work and is not quarantined.
func (w *worker) usable(now time.Time, s Settings) bool {
	return w.acceptsWork(now, s) && !w.health.inQuarantine(now)
}

// inService reports whether the worker's instance is known, and the worker is neither draining nor in
// an evacuated data centre. Unlike acceptsWork, it ignores conditions that pass soon.
func (w *worker) inService() bool {
	return !w.instance.IsZero() && !w.draining && !w.evacuated
}

// tasksWithOrphans returns the tasks of which workers list runs that they should not have; nil if there are none.
func (c *Core) tasksWithOrphans() map[job.TaskID]bool {
	var tasks map[job.TaskID]bool
	for _, w := range c.workers {
		for key := range w.orphans {
			if tasks == nil {
				tasks = map[job.TaskID]bool{}
			}
			tasks[key.task] = true
		}
	}
	return tasks
}

// freeCapacity returns the capacity that neither members nor orphan runs take.
func (w *worker) freeCapacity() job.Shape {
	free := w.capacity
	for _, m := range w.members {
		free = free.Sub(m.group.taskShape)
	}
	for _, o := range w.orphans {
		free = free.Sub(o.shape)
	}
	return free
}

// releasingCapacity returns the capacity of runs that are being stopped.
func (w *worker) releasingCapacity() job.Shape {
	sum := job.Shape{}
	for _, m := range w.members {
		if m.phase == memberStopping || m.group.ending {
			sum = sum.Add(m.group.taskShape)
		}
	}
	for _, o := range w.orphans {
		sum = sum.Add(o.shape)
	}
	return sum
}

func (w *worker) removeMember(m *member) {
	if i := slices.Index(w.members, m); i >= 0 {
		w.members = slices.Delete(w.members, i, i+1)
	}
}

func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.labels, label)
}

// tickWorker marks the runs of a worker as lost when its lease has lapsed without a reply of its agent,
// and handles the other time-outs of the worker.
func (c *Core) tickWorker(now time.Time, w *worker) {
	if now.After(w.leaseEnd) && (!w.instance.IsZero() || len(w.members) > 0) {
		c.recordCrash(now, w, instance.ID{}, false)
		c.workerLost(now, w, "its agent is silent and its lease has lapsed")
		w.instance = instance.ID{}
		w.reported = false
	}
	c.expireRevoked(now, w)
	c.expireHeadroom(now, w)
	c.removeSilentAgent(now, w)
	if w.health.quarantineEnded(now) {
		c.capacityChanged = true
		kind := EventQuarantineEnded
		if w.health.onProbation {
			kind = EventProbation
		}
		c.emit(Event{Kind: kind, Worker: w.agent})
	}
}

// workerLost marks all runs on a worker as lost, those of ended instances included.
func (c *Core) workerLost(now time.Time, w *worker, reason string) {
	for _, m := range slices.Clone(w.members) {
		c.memberLost(now, m, reason)
	}
	c.forgetRuns(w)
}

// memberLost records that a member's run has certainly ended although no end of it will be reported.
func (c *Core) memberLost(now time.Time, m *member, reason string) {
	g := m.group
	lost := m.event(EventRunLost, reason)
	lost.Contact = m.worker.contact(now)
	c.emit(lost)
	c.recordSaved(g, m.saved)
	c.releaseMember(now, m)
	if g.placed() && !g.ending {
		c.abort(now, g)
	}
}

// contact returns what is known of the worker and its agent, for events.
func (w *worker) contact(now time.Time) *Contact {
	since := func(at time.Time) time.Duration {
		if at.IsZero() {
			return -time.Millisecond
		}
		return now.Sub(at)
	}
	return &Contact{
		Incarnation:    w.incarnation,
		SinceReply:     since(w.lastReplyAt),
		SinceListing:   since(w.listedAt),
		LeaseRemaining: w.leaseEnd.Sub(now),
	}
}

// recordSaved records the progress token from which the group's next run resumes.
func (c *Core) recordSaved(g *group, saved string) {
	if saved != "" && g.spec().Checkpoint {
		g.latestSaved = saved
	}
}
