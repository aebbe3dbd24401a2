package hall

import (
	"time"

	"hollyfork.example/policy"
	"hollyfork.example/wire"
)

// Snapshot is the stored state of a hall, as read by a new holder.
type Snapshot struct {
	// Live contains the jobs that have not ended.
	Live []*wire.StoredJob
	// Ended contains the jobs that ended after EndedAfter.
	Ended []*wire.StoredJob
	// EndedAfter is the position in the change stream after which Ended is complete.
	EndedAfter uint64
	// Position is the position of the transaction with which the holder took the hall.
	Position uint64
}

// Restore loads the hall's jobs. SetVMs and SetConfiguration must be called before. Placed jobs continue;
// their agents' reports update their parts.
func (c *Core) Restore(now time.Time, snapshot Snapshot) {
	var changes []change
	for _, stored := range snapshot.Ended {
		j := c.restoreEnded(now, stored)
		c.evictEnded(j)
		changes = append(changes, change{position: stored.GetPosition(), record: j.record})
	}
	for _, stored := range snapshot.Live {
		j := c.restoreLive(now, stored)
		changes = append(changes, change{position: stored.GetPosition(), record: j.committed})
	}
	c.changes.restore(snapshot.EndedAfter, snapshot.Position, changes)
}

func (c *Core) restoreJob(now time.Time, stored *wire.StoredJob) *job {
	j := &job{
		record:      stored.GetJob(),
		committed:   stored.GetJob(),
		fingerprint: stored.GetFingerprint(),
		stored:      true,
		attempt:     stored.GetJob().GetAttempt(),
		arrivedAt:   now,
	}
	c.jobs[j.id()] = j
	return j
}

func (c *Core) restoreEnded(now time.Time, stored *wire.StoredJob) *job {
	j := c.restoreJob(now, stored)
	j.phase = phaseEnded
	return j
}

func (c *Core) restoreLive(now time.Time, stored *wire.StoredJob) *job {
	j := c.restoreJob(now, stored)
	if j.record.GetState() == wire.JobState_QUEUED {
		j.phase = phaseQueued
		c.adjustQueued(j, 1)
		c.policy.Submit(now, policyJob(j.record))
		return j
	}
	c.restoreAttempt(now, j)
	return j
}

// restoreAttempt restores the attempt of a placed job. The true states of its parts are unknown until their
// agents report: they may be reserved, running, ended or lost.
func (c *Core) restoreAttempt(now time.Time, j *job) {
	j.placement = j.record.GetPlacement()
	j.borrowed = j.record.GetBorrowed()
	j.parts = partsOf(j.placement)
	j.startDeadline = now.Add(c.earlierLeaseBound())
	if j.attempt > 1 {
		j.priorExecution = wire.Execution_RAN
	}
	c.activate(j)
	state := partStarting
	j.phase = phaseStarting
	switch j.record.GetState() {
	case wire.JobState_RUNNING:
		j.phase = phaseRunning
		state = partRunning
	case wire.JobState_STOPPING:
		j.phase = phaseStopping
		j.cause = causeLost
		j.stopDetail = j.record.GetReason()
	}
	for _, p := range j.parts {
		p.state = state
		p.ran = j.attemptRan()
	}
	c.restoreCells(now, j)
	if j.record.GetCancelRequested() {
		c.stopJob(now, j, causeCancel, "A caller cancelled it.")
	}
}

// attemptRan reports whether the job's row shows that its present attempt ran. If the job may be repeated, the row may
// mean an earlier attempt.
func (j *job) attemptRan() bool {
	ran := j.record.GetExecution() == wire.Execution_RAN
	return j.phase == phaseRunning || ran && (j.attempt == 1 || !j.repeatable())
}

// restoreCells books the cells of a placed job in the policy. If that fails, because a worker no longer
// exists, the job is stopped. Its parts on unknown workers are lost when their leases have ended.
func (c *Core) restoreCells(now time.Time, j *job) {
	cells := make([]policy.Cell, len(j.placement))
	for i, place := range j.placement {
		cells[i] = policy.Cell{
			Worker: place.GetWorker(),
			First:  int(place.GetFirstAccelerator()),
			Size:   int(place.GetAccelerators()),
			Slots:  int(place.GetSlots()),
		}
	}
	started := j.record.GetStarted().AsTime()
	if err := c.policy.Restore(policyJob(j.record), cells, j.borrowed, started); err == nil {
		return
	}
	for _, p := range j.parts {
		if _, ok := c.agents[p.worker]; !ok {
			p.leasesEndBy = now
		}
	}
	c.stopJob(now, j, causeLost, "A worker of it is not listed any more.")
}
