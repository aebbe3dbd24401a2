package pool

import (
	"slices"
	"time"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/hollyfork/job"
)

// Phases of a member, in the order in which a run goes through them.
const (
	// memberPlaced means that the commit of the placement is pending.
	memberPlaced memberPhase = iota
	// memberUnknown means that the run was ordered through an earlier incarnation of the agent or by an
	// earlier holder, and may be running. The first listing of the worker resolves it.
	memberUnknown
	// memberOrdered means that the member is to be started, or a start was sent and its outcome is
	// unknown.
	memberOrdered
	// memberRunning means that the worker confirmed the start or listed the run.
	memberRunning
	// memberStopping means that the run is to be stopped and may still be running.
	memberStopping
	// memberGone means that the run has ended and cannot start again.
	memberGone
)

type (
	// memberPhase is the phase of a member, from its placement to the end of its run.
	memberPhase int

	// group is a gang, or a single task that is not part of a gang. Its members start together and
	// share a run number.
	group struct {
		job   *jobState
		round *round
		step  int
		// first is the index of the group's first task in the step.
		first int
		size  int
		// taskShape is the capacity that one task takes on its worker.
		taskShape job.Shape

		done   bool
		doneAt time.Time
		// run is the number of the last run, 0 before the first. failures counts the failed runs.
		// lastFailedRun is the number of the last run that was counted as failed.
		run           int
		failures      int
		lastFailedRun int
		// resumeFrom is the progress token that starts carry; it does not change during a run.
		// latestSaved is the last progress token that a worker reported.
		resumeFrom  string
		latestSaved string
		// members are the tasks of the current run; empty if the group is not placed.
		members []*member
		// ending reports that the current run is being aborted.
		ending bool
		// orderedAt is when the starts of the current run became due, after the commit of its
		// placement.
		orderedAt time.Time
		// runningSince is when all members were first known to be running.
		runningSince time.Time
		// readySince is when the group's round was opened, or when the group's last run ended. It does
		// not depend on when the steps before the group's were done.
		readySince time.Time
		// preferenceWaitSince is when the group first passed over free workers since its last run, because
		// it prefers others; zero if it has not. relaxation is the resulting relaxation of the preferences,
		// set by each pass.
		preferenceWaitSince time.Time
		relaxation          relaxation
		// failedOn counts failed runs by worker.
		failedOn map[string]int
		// stalls counts the runs that stalled.
		stalls int
		// crashes lists the crashes of workers under the group's tasks, oldest first. A later run has
		// outlasted the first survivedCrashes of them. suspicion is the resulting restriction on where
		// the group runs.
		crashes         []crash
		survivedCrashes int
		suspicion       suspicion
		// crashedAt is when the last crash under the group was recorded.
		crashedAt time.Time
		// notBefore is the earliest time of the next placement after a crash or many rejections.
		notBefore time.Time
		// rejections counts the rejected starts since the last one that succeeded.
		rejections rejections
		// extraStarts counts the runs since minProvenCrashes workers have crashed under the group.
		extraStarts int
		// startLogs are the logs of the current run, and those of ended runs of which answers are under way.
		startLogs []*startLog
		// avoided maps workers to the time until which the group is not placed there.
		avoided map[*worker]time.Time
		// percent is the progress of the least advanced member. progressAt is when it last changed.
		percent    int
		progressAt time.Time
		// avoidsSlow restricts the current search to workers that are not slow.
		avoidsSlow bool
		// displacesFillers lets the current search use workers with fillers, which are to be stopped.
		displacesFillers bool
		// anyRack lifts the preferences for racks in the current search.
		anyRack bool
		// fastFirst makes the current search prefer fast workers.
		fastFirst bool
	}

	// member is one task of a group's current run.
	member struct {
		group    *group
		index    int
		worker   *worker
		instance instance.ID
		phase    memberPhase
		// maybeSent reports that a start may have been sent. restored reports that it may have been
		// sent by an earlier holder.
		maybeSent bool
		restored  bool
		// starts is what is known of the starts that were sent.
		starts *startLog
		// seenRunning reports that the worker confirmed the start or listed the run. listed reports
		// that the worker listed it.
		seenRunning bool
		listed      bool
		// startDeadline is the time after which no start that was sent can still be carried out.
		// revoked reports that the run is being stopped because the worker's next instance may carry
		// out the start.
		startDeadline time.Time
		revoked       bool
		// orderInFlight reports that an order was sent and its result is pending.
		orderInFlight bool
		nextSendAt    time.Time
		sendCount     int
		// stopConfirmed reports that the worker has confirmed the stop.
		stopConfirmed bool
		// listingFloor is the number of the agent's listing from which a start or stop is known to have
		// been carried out; floorKnown reports whether it is set. The run has ended if a later listing
		// does not contain it.
		listingFloor uint64
		floorKnown   bool
		// missingFrom is the number of the agent's last listing if that does not contain the run; 0 otherwise.
		missingFrom uint64
		percent     int
		saved       string
		// percentAt is when the current percent was first listed. The length of the run counts from
		// startedAt, when its progress was startPercent; startedAt is zero while it is not known.
		percentAt    time.Time
		startPercent int
		startedAt    time.Time
	}
)

func (g *group) spec() *job.Step {
	return &g.job.job.Steps[g.step]
}

func (g *group) task(index int) job.TaskID {
	return job.TaskID{Job: g.job.job.ID, Round: g.round.number, Step: g.step, Index: index}
}

func (m *member) task() job.TaskID {
	return m.group.task(m.index)
}

// event returns an event about the group's run.
func (g *group) event(kind EventKind, detail string) Event {
	return Event{Kind: kind, Job: g.job.job.ID, Task: g.task(g.first), Run: g.run, Detail: detail}
}

// event returns an event about the member's run.
func (m *member) event(kind EventKind, detail string) Event {
	return Event{Kind: kind, Job: m.group.job.job.ID, Task: m.task(), Run: m.group.run, Worker: m.worker.agent, Detail: detail}
}

// due returns when the group's round should be done.
func (g *group) due() time.Time {
	return g.round.due
}

// hasAnyOf reports whether the group has one of the tasks.
func (g *group) hasAnyOf(tasks map[job.TaskID]bool) bool {
	if len(tasks) == 0 {
		return false
	}
	for i := range g.size {
		if tasks[g.task(g.first+i)] {
			return true
		}
	}
	return false
}

// placed reports whether the group has a current run.
func (g *group) placed() bool {
	return len(g.members) > 0
}

// waiting reports whether the group is still to be placed, even if it is not ready yet.
func (g *group) waiting() bool {
	return !g.done && !g.placed()
}

// running reports whether all members are running.
func (g *group) running() bool {
	for _, m := range g.members {
		if m.phase != memberRunning {
			return false
		}
	}
	return g.placed()
}

// hasUnknownRuns reports whether there is a member of which it is not known whether it runs.
func (g *group) hasUnknownRuns() bool {
	return slices.ContainsFunc(g.members, func(m *member) bool { return m.phase == memberUnknown })
}

// ready reports whether the steps on which the group depends are done.
func (g *group) ready() bool {
	for _, before := range g.spec().After {
		if !g.round.stepDone(before) {
			return false
		}
	}
	return true
}

// avoid keeps the group from being placed on a worker until the given time.
func (g *group) avoid(w *worker, until time.Time) {
	if g.avoided == nil {
		g.avoided = map[*worker]time.Time{}
	}
	g.avoided[w] = until
}

// knownUntil returns the time up to which the state of the group's run is known: the earliest of the
// last listings of its workers. An agent goes on replying while its worker is silent or has ended. The result is the
// zero time, before any run, while a worker has not been listed to this holder.
func (g *group) knownUntil(now time.Time) time.Time {
	until := now
	for _, m := range g.members {
		if m.worker.listedAt.Before(until) {
			until = m.worker.listedAt
		}
	}
	return until
}

// findMember returns the member for a task index, or nil.
func (g *group) findMember(index int) *member {
	for _, m := range g.members {
		if m.index == index {
			return m
		}
	}
	return nil
}

// releaseMember removes a member whose run has certainly ended from its worker. The group's run is over
// when its last member is removed.
func (c *Core) releaseMember(now time.Time, m *member) {
	if m.phase == memberGone {
		return
	}
	m.phase = memberGone
	m.worker.removeMember(m)
	c.addHeadroom(now, m)
	c.capacityChanged = true
	g := m.group
	for _, other := range g.members {
		if other.phase != memberGone {
			return
		}
	}
	c.resetRun(now, g)
}

// resetRun prepares a group for its next run after all members are gone.
func (c *Core) resetRun(now time.Time, g *group) {
	g.settleRun(g.run)
	g.members = nil
	g.ending = false
	g.orderedAt = time.Time{}
	g.runningSince = time.Time{}
	g.resumeFrom = g.latestSaved
	g.readySince = now
	c.markDirty(g.job)
}

// abort ends a group's current run: members without a start are released, the others are stopped.
func (c *Core) abort(now time.Time, g *group) {
	g.ending = true
	c.ordersDue = true
	for _, m := range g.members {
		switch {
		case m.phase == memberGone || m.phase == memberStopping:
		case !m.maybeSent:
			c.releaseMember(now, m)
		default:
			m.phase = memberStopping
			m.stopConfirmed = false
			m.nextSendAt = now
		}
	}
}

// runDone records that a run completed its group. A run of a long-running step never does: the group is
// placed again.
func (c *Core) runDone(now time.Time, g *group) {
	if g.spec().LongRunning {
		return
	}
	g.done = true
	g.doneAt = now
	c.recordRoundEnded(now, g)
	c.capacityChanged = true
	c.markDirty(g.job)
	c.checkJob(now, g.job)
}

// runFailed records a failed run, once per run. Failures of long-running tasks do not count towards the
// attempts of their job.
func (c *Core) runFailed(now time.Time, g *group, run int, w *worker) {
	if run <= g.lastFailedRun {
		return
	}
	g.lastFailedRun = run
	if !g.spec().LongRunning {
		g.failures++
	}
	g.failedOn[w.agent]++
	c.markDirty(g.job)
	c.recordFailure(now, w, g)
	c.checkJob(now, g.job)
}
