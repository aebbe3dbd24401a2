package hall

import (
	"bytes"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"hollyfork.example/hollyfork/store"
	"hollyfork.example/policy"
	"hollyfork.example/wire"
)

// Phases of a job in the holder's memory. They distinguish more cases than the states in the job's row.
const (
	// phaseCreating means that the job's row is not committed yet.
	phaseCreating phase = iota
	// phaseQueued means that the job waits to be placed.
	phaseQueued
	// phasePreparing means that agents have been asked to reserve accelerators for the job.
	phasePreparing
	// phasePlacing means that the job's placement is being committed.
	phasePlacing
	// phaseStarting means that agents have been asked to start the job's parts.
	phaseStarting
	// phaseRunning means that all parts of the job are running.
	phaseRunning
	// phaseStopping means that the job is being stopped; it lasts until no part can be running.
	phaseStopping
	// phaseEnded means that the job's final state has been decided.
	phaseEnded
	// phaseMoving means that the job's move to another hall is being committed.
	phaseMoving
	// phaseReceiving means that another hall has moved the job here and its row in this hall is not
	// committed yet.
	phaseReceiving
	// phaseWithdrawn means that the job's submit request was rejected while its row was being committed.
	// The row is deleted afterwards.
	phaseWithdrawn
)

// Causes for which a job is stopped.
const (
	// causeNone means that the job is not being stopped.
	causeNone stopCause = iota
	// causeCancel means that a caller has cancelled the job.
	causeCancel
	// causePreempted means that the job's resources are needed for another job.
	causePreempted
	// causeFailed means that a task of the job has failed.
	causeFailed
	// causeNotStarted means that a part could not be started.
	causeNotStarted
	// causeLost means that a part was lost: its agent became unreachable, its VM was replaced, or it is
	// missing from a report.
	causeLost
)

type (
	phase     int
	stopCause int
)

// JobCallback receives the answer to a request about a job. It is called once.
type JobCallback func(job *wire.Job, refusal *wire.Refusal)

// job is the holder's in-memory state of a job.
type job struct {
	// record is the job's latest record, which may not be committed yet. It is replaced rather than
	// modified.
	record *wire.Job
	// committed is the record in the job's row. Callers see only committed records.
	committed   *wire.Job
	fingerprint []byte
	phase       phase
	// attempt is the number of the current attempt. The record has this number as soon as the attempt's
	// placement is being committed.
	attempt int32
	// otherAttempt is the highest number of an attempt of the job that agents reported and this holder does not track.
	// Numbers whose placement was not committed are known only to the holder that gave them, and to the agents.
	otherAttempt int32
	// priorExecution describes whether attempts before the current one ran.
	priorExecution wire.Execution_Value
	placement      []*wire.TaskPlacement
	borrowed       bool
	parts          []*part
	// unacknowledged lists the attempts that agents may delete once the job's changes are committed.
	unacknowledged []workerAttempt
	// startDeadline is when a gang is stopped if not all its parts have started.
	startDeadline time.Time
	cause         stopCause
	stopDetail    string
	exitCode      int32
	// failedOn is the worker on which a task of the current attempt failed.
	failedOn string

	// dirty is true if the job has changes that are not in a batch yet.
	dirty bool
	// inFlight is true if the job is in the batch that is being committed.
	inFlight bool
	// stored is true if the job has a row.
	stored bool
	// arrivedAt is when the job was submitted or moved to this hall, or when this holder loaded it.
	arrivedAt time.Time
	// receivedRow is the row with which another hall moved the job to this one.
	receivedRow store.Row
	// waiters are the requests that are answered when the job's current record is committed.
	waiters []waiter
}

// workerAttempt identifies an attempt that an agent may delete, and the agent's worker.
type workerAttempt struct {
	worker string
	id     *wire.AttemptId
}

// waiter is a request that waits for a commit.
type waiter struct {
	done JobCallback
	// inBatch is true if the batch that is being committed includes the change that the request waits for.
	inBatch bool
}

func (j *job) id() string {
	return j.record.GetId()
}

func (j *job) attemptID() *wire.AttemptId {
	return &wire.AttemptId{Job: j.record.GetId(), Attempt: j.attempt}
}

// active reports whether the job has parts on workers.
func (j *job) active() bool {
	switch j.phase {
	case phasePreparing, phasePlacing, phaseStarting, phaseRunning, phaseStopping:
		return true
	default:
		return false
	}
}

// needsTick reports whether tickJob must be called for the job, because it may have to repeat calls or has
// a deadline.
func (j *job) needsTick() bool {
	return j.active() && j.phase != phaseRunning && j.phase != phasePlacing
}

func (j *job) repeatable() bool {
	return j.record.GetSpec().GetRepeatable()
}

// change replaces the job's record with a modified copy and adds the job to the dirty list.
func (c *Core) change(j *job, alter func(*wire.Job)) {
	record := proto.CloneOf(j.record)
	alter(record)
	record.Version++
	j.record = record
	c.markDirty(j)
}

func (c *Core) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		c.dirty = append(c.dirty, j)
	}
}

// sameRequest reports whether the fingerprint is that of the request that created the job.
func (j *job) sameRequest(fingerprint []byte) bool {
	return bytes.Equal(j.fingerprint, fingerprint)
}

// answerWaiters answers the waiters that match with the committed record or the refusal, and removes them.
func (j *job) answerWaiters(match func(waiter) bool, refusal *wire.Refusal) {
	rest := j.waiters[:0]
	for _, w := range j.waiters {
		if match(w) {
			w.done(j.committed, refusal)
		} else {
			rest = append(rest, w)
		}
	}
	j.waiters = rest
}

func anyWaiter(waiter) bool       { return true }
func inBatchWaiter(w waiter) bool { return w.inBatch }

// isFinal reports whether a job in the state has ended.
func isFinal(state wire.JobState_Value) bool {
	return state >= wire.JobState_FINISHED
}

// policyJob converts a job to the policy's type.
func policyJob(j *wire.Job) policy.Job {
	spec := j.GetSpec()
	request := policy.Job{
		ID:         j.GetId(),
		Workspace:  spec.GetWorkspace(),
		Service:    spec.GetService(),
		Priority:   policyPriority(spec.GetPriority()),
		Shape:      policyShape(spec.GetShape()),
		Tasks:      int(max(1, spec.GetTasks())),
		Adjacency:  policy.Adjacency(spec.GetAdjacency()),
		Repeatable: spec.GetRepeatable(),
		// Saving a checkpoint can fail, so a job counts as checkpointable only if it may also run again
		// from its start.
		Checkpointable:  spec.GetCheckpointable() && spec.GetRepeatable(),
		DeclaredRunTime: time.Duration(spec.GetExpectedRunMs()) * time.Millisecond,
		Submitted:       j.GetCreated().AsTime(),
	}
	if spec.GetFinishBy() != nil {
		request.FinishBy = spec.GetFinishBy().AsTime()
	}
	return request
}

func policyPriority(p wire.Priority_Value) policy.Priority {
	switch p {
	case wire.Priority_LOW:
		return policy.Low
	case wire.Priority_HIGH:
		return policy.High
	case wire.Priority_URGENT:
		return policy.Urgent
	default:
		return policy.Normal
	}
}

func policyShape(s *wire.Shape) policy.Shape {
	return policy.Shape{
		Accelerators: int(s.GetAccelerators()),
		CPUMillis:    int(s.GetCpuMillis()),
		MemoryMB:     int(s.GetMemoryMb()),
	}
}

func stamp(now time.Time) *timestamppb.Timestamp {
	return timestamppb.New(now)
}
