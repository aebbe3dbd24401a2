package hall

import (
	"fmt"
	"time"

	"hollyfork.example/policy"
	"hollyfork.example/wire"
)

// place asks the agents of a queued job's workers to reserve the cells that the policy booked for it.
func (c *Core) place(now time.Time, action policy.Place) {
	j, ok := c.jobs[action.Job]
	if !ok || j.phase != phaseQueued {
		c.policy.Ended(now, action.Job, policy.Outcome{Kind: policy.Stopped})
		return
	}
	j.phase = phasePreparing
	j.attempt = max(j.attempt, j.otherAttempt) + 1
	j.priorExecution = j.record.GetExecution()
	j.borrowed = action.Borrowed
	j.placement = c.placementOf(action.Cells)
	j.parts = partsOf(j.placement)
	j.startDeadline = now.Add(c.settings.StartTimeout)
	j.cause = causeNone
	j.exitCode = 0
	j.failedOn = ""
	c.activate(j)
	for _, p := range j.parts {
		c.prepare(j, p)
	}
}

func (c *Core) placementOf(cells []policy.Cell) []*wire.TaskPlacement {
	placement := make([]*wire.TaskPlacement, len(cells))
	for i, cell := range cells {
		placement[i] = &wire.TaskPlacement{
			Worker:           cell.Worker,
			FirstAccelerator: int32(cell.First),
			Accelerators:     int32(cell.Size),
			Slots:            int32(cell.Slots),
			Machine:          c.agents[cell.Worker].machine,
		}
	}
	return placement
}

func (c *Core) prepare(j *job, p *part) {
	a := c.agents[p.worker]
	p.incarnation = a.incarnation
	p.callPending = true
	c.pendingCalls = append(c.pendingCalls, PrepareCall{To: p.worker, Request: &wire.PrepareRequest{
		Epoch:         c.epoch,
		Incarnation:   a.incarnation,
		Id:            j.attemptID(),
		Tasks:         p.tasks,
		Shape:         j.record.GetSpec().GetShape(),
		Command:       j.record.GetSpec().GetCommand(),
		ConfigVersion: c.config.GetVersion(),
		HoldMs:        int32(c.settings.ReservationTime.Milliseconds()),

		Checkpointable: j.record.GetSpec().GetCheckpointable(),
	}})
}

// HandlePrepareReply applies the reply to a PrepareCall. The reply is nil if none arrived.
func (c *Core) HandlePrepareReply(now time.Time, call PrepareCall, reply *wire.PrepareReply) {
	c.noteRefusal(call.To, reply.GetRefusal())
	j, p := c.partOf(call.Request.GetId(), call.To)
	if p == nil {
		return
	}
	p.callPending = false
	if j.phase != phasePreparing {
		return
	}
	if reply == nil || reply.GetRefusal() != nil {
		c.abortPreparation(now, j)
		return
	}
	p.state = partReserved
	p.firstReport = reply.GetReport()
	if j.allIn(partReserved) {
		c.commitPlacement(j)
	}
}

// partOf returns the job and its part on a worker if the attempt is active, and nil otherwise.
func (c *Core) partOf(id *wire.AttemptId, worker string) (*job, *part) {
	j, ok := c.jobs[id.GetJob()]
	if !ok || !j.active() || j.attempt != id.GetAttempt() {
		return nil, nil
	}
	return j, j.part(worker)
}

// abortPreparation releases the reservations of a gang that has not been started and returns the job to the queue.
func (c *Core) abortPreparation(now time.Time, j *job) {
	c.revokeParts(j)
	c.detachParts(j)
	c.acknowledgeAttempts(j)
	j.phase = phaseQueued
	c.policy.StartFailed(now, j.id())
}

// revokeParts sends a revoke call to the agent of each part, without waiting for replies.
func (c *Core) revokeParts(j *job) {
	for _, p := range j.parts {
		c.pendingCalls = append(c.pendingCalls, c.revokeCall(j, p))
	}
}

func (c *Core) revokeCall(j *job, p *part) RevokeCall {
	request := &wire.RevokeRequest{Epoch: c.epoch, Id: j.attemptID()}
	if j.cause == causePreempted && j.record.GetSpec().GetCheckpointable() {
		request.CheckpointMs = int32(c.settings.CheckpointTimeout.Milliseconds())
	}
	return RevokeCall{To: p.worker, Request: request}
}

// detachParts removes the job's parts. It records them as unacknowledged, because their agents must keep
// their records of the attempt until its outcome is committed.
func (c *Core) detachParts(j *job) {
	for _, p := range j.parts {
		j.unacknowledged = append(j.unacknowledged, workerAttempt{worker: p.worker, id: j.attemptID()})
	}
	c.deactivate(j)
	j.parts = nil
}

// acknowledgeAttempts allows the agents to delete their records of the job's unacknowledged attempts. It is
// called when the job's row in the store is up to date.
func (c *Core) acknowledgeAttempts(j *job) {
	for _, s := range j.unacknowledged {
		if a, ok := c.agents[s.worker]; ok {
			a.acknowledge(s.id)
		}
	}
	j.unacknowledged = nil
}

// commitPlacement records the placement of a gang after all its parts are reserved. The parts are started
// only after the placement has been committed.
func (c *Core) commitPlacement(j *job) {
	j.phase = phasePlacing
	c.adjustQueued(j, -1)
	c.change(j, func(r *wire.Job) {
		r.State = wire.JobState_STARTING
		r.Attempt = j.attempt
		r.Placement = j.placement
		r.Borrowed = j.borrowed
		r.Execution = max(r.GetExecution(), wire.Execution_MAY_HAVE_RUN)
		r.Reason = "Its placement is committed; its tasks are being started."
	})
}

// startParts asks the agents of a gang whose placement is committed to start their parts.
func (c *Core) startParts(now time.Time, j *job) {
	if j.record.GetCancelRequested() {
		c.stopJob(now, j, causeCancel, "A caller cancelled it.")
		return
	}
	j.phase = phaseStarting
	j.startDeadline = now.Add(c.settings.StartTimeout)
	for _, p := range j.parts {
		p.state = partStarting
		c.startPart(now, j, p)
	}
}

func (c *Core) startPart(now time.Time, j *job, p *part) {
	a, ok := c.agents[p.worker]
	if !ok || p.callPending || now.Before(p.nextCallAt) {
		return
	}
	p.callPending = true
	p.nextCallAt = now.Add(callRetryInterval)
	c.pendingCalls = append(c.pendingCalls, StartCall{To: p.worker, Request: &wire.StartRequest{
		Epoch:       c.epoch,
		Incarnation: a.incarnation,
		Id:          j.attemptID(),
	}})
}

// HandleStartReply applies the reply to a StartCall. The reply is nil if none arrived; tickStarting then
// repeats the call.
func (c *Core) HandleStartReply(now time.Time, call StartCall, reply *wire.StartReply) {
	c.noteRefusal(call.To, reply.GetRefusal())
	j, p := c.partOf(call.Request.GetId(), call.To)
	if p == nil {
		return
	}
	p.callPending = false
	if reply == nil {
		return
	}
	refusal := reply.GetRefusal()
	switch refusal.GetKind() {
	case wire.Refusal_NONE:
		c.applyReport(now, j, p, reply.GetReport())
	case wire.Refusal_NOT_FOUND, wire.Refusal_WRONG_INCARNATION:
		if j.phase == phaseStarting {
			c.stopJob(now, j, causeNotStarted, "The agent of "+p.worker+" does not hold its part any more.")
		}
	}
}

// tickJob repeats the calls that an attempt is waiting for and stops the attempt if its start takes too
// long.
func (c *Core) tickJob(now time.Time, j *job) {
	switch j.phase {
	case phasePreparing:
		if now.After(j.startDeadline) {
			c.abortPreparation(now, j)
		}
	case phaseStarting:
		c.tickStarting(now, j)
	case phaseStopping:
		c.tickStopping(now, j)
	}
}

func (c *Core) tickStarting(now time.Time, j *job) {
	if now.After(j.startDeadline) {
		c.stopJob(now, j, causeNotStarted, "Not all of its parts could be started in time.")
		return
	}
	for _, p := range j.parts {
		if p.state == partStarting {
			c.startPart(now, j, p)
		}
	}
}

// applyReport updates a part from an agent's report. A report proves nothing about the part if the agent runs on
// another VM than the one that was asked to start it, or on a VM that is not known yet.
func (c *Core) applyReport(now time.Time, j *job, p *part, report *wire.AttemptReport) {
	a, ok := c.agents[p.worker]
	if !ok || j.phase < phaseStarting || a.machine != p.machine {
		return
	}
	p.ran = p.ran || report.GetTasksRun() > 0
	p.exitCode = report.GetExitCode()
	switch report.GetState() {
	case wire.AttemptState_RUNNING:
		if int(report.GetTasksRun()) == len(p.tasks) {
			p.state = partRunning
		}
	case wire.AttemptState_ENDED:
		p.state = partEnded
		p.completed = report.GetCompleted() && int(report.GetTasksRun()) == len(p.tasks)
	case wire.AttemptState_NEVER_RAN:
		p.state = partNeverRan
		if p.ran {
			// The report does not prove that the part never ran, since a task was seen running.
			p.state = partLost
		}
	}
	c.evaluate(now, j)
}

// evaluate advances the job's phase according to the states of its parts.
func (c *Core) evaluate(now time.Time, j *job) {
	switch j.phase {
	case phaseStarting, phaseRunning:
		c.evaluateRunning(now, j)
	case phaseStopping:
		if j.allTerminal() && !c.awaitsOutcome(now, j) {
			c.conclude(now, j)
		}
	}
}

func (c *Core) evaluateRunning(now time.Time, j *job) {
	if j.allCompleted() && j.failedExit() == 0 {
		c.finish(now, j, wire.JobState_FINISHED, "All its tasks ended well.")
		return
	}
	for _, p := range j.parts {
		switch {
		case p.exitCode != 0:
			j.failedOn = p.worker
			c.stopJob(now, j, causeFailed, fmt.Sprintf("A task on %s failed with exit code %d.", p.worker, p.exitCode))
			return
		case p.state == partNeverRan:
			c.stopJob(now, j, causeNotStarted, "A part could not be started on "+p.worker+".")
			return
		case p.state == partLost || p.state == partEnded && !p.completed:
			c.stopJob(now, j, causeLost, "Worker "+p.worker+" lost its part.")
			return
		}
	}
	if j.phase == phaseStarting && !j.anyIn(partStarting, partReserved) {
		c.markRunning(now, j)
	}
}

func (j *job) anyIn(states ...partState) bool {
	for _, p := range j.parts {
		for _, s := range states {
			if p.state == s {
				return true
			}
		}
	}
	return false
}

func (j *job) failedExit() int32 {
	for _, p := range j.parts {
		if p.exitCode != 0 {
			return p.exitCode
		}
	}
	return 0
}

func (c *Core) markRunning(now time.Time, j *job) {
	j.phase = phaseRunning
	c.policy.Started(now, j.id())
	c.change(j, func(r *wire.Job) {
		r.State = wire.JobState_RUNNING
		r.Execution = wire.Execution_RAN
		r.Started = stamp(now)
		r.Reason = "All its tasks run."
	})
}
