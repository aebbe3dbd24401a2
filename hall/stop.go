package hall

import (
	"time"

	"hollyfork.example/policy"
	"hollyfork.example/wire"
)

// stopJob starts to stop all parts of a job. The job's outcome is decided in conclude.
func (c *Core) stopJob(now time.Time, j *job, cause stopCause, detail string) {
	if j.phase == phaseStopping {
		return
	}
	j.phase = phaseStopping
	j.cause = cause
	j.stopDetail = detail
	c.change(j, func(r *wire.Job) {
		r.State = wire.JobState_STOPPING
		r.Reason = detail
	})
	for _, p := range j.parts {
		p.nextCallAt = time.Time{}
	}
	c.tickJob(now, j)
}

// preempt stops a job to release its resources for another job.
func (c *Core) preempt(now time.Time, action policy.Preempt) {
	j, ok := c.jobs[action.Job]
	if !ok {
		return
	}
	detail := "Makes room for job " + action.Preemptor + "."
	switch j.phase {
	case phasePreparing:
		c.revokeParts(j)
		c.detachParts(j)
		c.acknowledgeAttempts(j)
		j.phase = phaseQueued
		c.policy.Requeue(now, j.id())
	case phasePlacing, phaseStarting, phaseRunning:
		c.stopJob(now, j, causePreempted, detail)
	}
}

// tickStopping repeats the revoke calls to parts that may still run. It marks parts as lost whose leases on
// a replaced or unknown VM have ended.
func (c *Core) tickStopping(now time.Time, j *job) {
	for _, p := range j.parts {
		if !p.leasesEndBy.IsZero() && !p.terminal() && now.After(c.leasesEndBy(now, p.leasesEndBy)) {
			p.state = partLost
		}
		if p.terminal() || p.callPending || now.Before(p.nextCallAt) || !p.leasesEndBy.IsZero() {
			continue
		}
		p.callPending = true
		p.nextCallAt = now.Add(callRetryInterval)
		c.pendingCalls = append(c.pendingCalls, c.revokeCall(j, p))
	}
	c.evaluate(now, j)
}

// HandleRevokeReply applies the reply to a RevokeCall. The reply is nil if none arrived; tickStopping
// repeats the call if it is still needed.
func (c *Core) HandleRevokeReply(now time.Time, call RevokeCall, reply *wire.RevokeReply) {
	c.noteRefusal(call.To, reply.GetRefusal())
	j, p := c.partOf(call.Request.GetId(), call.To)
	if p == nil {
		return
	}
	p.callPending = false
	if reply == nil || reply.GetRefusal() != nil || j.phase != phaseStopping {
		return
	}
	c.applyReport(now, j, p, reply.GetReport())
}

// awaitsOutcome reports whether to wait for the outcome of a job that must not be repeated, because an
// unreachable agent may still report it.
func (c *Core) awaitsOutcome(now time.Time, j *job) bool {
	if j.repeatable() || !j.anyLost() {
		return false
	}
	for _, p := range j.parts {
		a, ok := c.agents[p.worker]
		if p.state != partLost || !ok || !a.listed {
			continue
		}
		replaced := a.machine != "" && a.machine != p.machine
		if !replaced && now.Before(a.unreachableSince.Add(c.settings.OutcomeTimeout)) {
			return true
		}
	}
	return false
}

// conclude decides whether a job ends or is queued again, after all its parts have stopped.
func (c *Core) conclude(now time.Time, j *job) {
	neverRan := j.allIn(partNeverRan)
	c.recordExecution(j, neverRan)
	exit := j.failedExit()
	mayRepeat := j.repeatable() && j.attempt < c.settings.MaxAttempts
	switch {
	case j.allCompleted() && exit == 0:
		c.finish(now, j, wire.JobState_FINISHED, "All its tasks ended well.")
	case j.record.GetCancelRequested():
		c.finish(now, j, wire.JobState_CANCELLED, "Cancelled.")
	case neverRan:
		c.requeue(now, j)
	case j.anyLost() && !j.repeatable():
		c.finish(now, j, wire.JobState_UNKNOWN, "Its worker is gone, and nobody can say how far it came: "+j.stopDetail)
	case j.cause == causePreempted && j.repeatable(), mayRepeat:
		c.requeue(now, j)
	default:
		j.exitCode = exit
		c.finish(now, j, wire.JobState_FAILED, j.stopDetail)
	}
}

// recordExecution records whether the job has run in the attempt that has ended or in an earlier one.
func (c *Core) recordExecution(j *job, neverRan bool) {
	execution := wire.Execution_MAY_HAVE_RUN
	for _, p := range j.parts {
		if p.ran || p.state == partEnded {
			execution = wire.Execution_RAN
		}
	}
	if neverRan {
		execution = j.priorExecution
	}
	execution = max(execution, j.priorExecution)
	c.change(j, func(r *wire.Job) { r.Execution = execution })
}

// requeue queues a job for another attempt.
func (c *Core) requeue(now time.Time, j *job) {
	cause := j.cause
	c.detachParts(j)
	j.phase = phaseQueued
	c.adjustQueued(j, 1)
	c.change(j, func(r *wire.Job) {
		r.State = wire.JobState_QUEUED
		r.Placement = nil
		r.Borrowed = false
		r.Reason = "Waits to be placed again: " + j.stopDetail
	})
	switch {
	case !c.policy.Has(j.id()):
		c.policy.Submit(now, policyJob(j.record))
	case cause == causePreempted:
		c.policy.Requeue(now, j.id())
	case cause == causeFailed:
		c.policy.Failed(now, j.id(), j.failedOn)
	default:
		c.policy.StartFailed(now, j.id())
	}
}

// outcome returns the outcome of a job that ends in a state, in the policy's terms.
func (j *job) outcome(state wire.JobState_Value) policy.Outcome {
	switch {
	case state == wire.JobState_FINISHED:
		return policy.Outcome{Kind: policy.Completed}
	case j.cause == causeFailed && j.failedOn != "":
		return policy.Outcome{Kind: policy.Failed, Worker: j.failedOn}
	default:
		return policy.Outcome{Kind: policy.Stopped}
	}
}

// finish ends a job in a final state.
func (c *Core) finish(now time.Time, j *job, state wire.JobState_Value, reason string) {
	waiting := j.phase == phaseQueued || j.phase == phasePreparing
	if waiting {
		c.adjustQueued(j, -1)
	}
	if !waiting && state == wire.JobState_FINISHED {
		c.change(j, func(r *wire.Job) { r.Execution = wire.Execution_RAN })
	}
	c.detachParts(j)
	c.policy.Ended(now, j.id(), j.outcome(state))
	j.phase = phaseEnded
	c.change(j, func(r *wire.Job) {
		r.State = state
		r.Reason = reason
		r.ExitCode = j.exitCode
		r.Ended = stamp(now)
	})
}
