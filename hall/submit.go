package hall

import (
	"crypto/sha256"
	"time"

	"google.golang.org/protobuf/proto"

	"hollyfork.example/policy"
	"hollyfork.example/wire"
)

// Delays after which the caller of a refused request should retry.
const (
	storeRetryAfter = 2 * time.Second
	queueRetryAfter = 30 * time.Second
	shortRetryAfter = time.Second
)

// Fingerprint returns a hash of a job's specification.
func Fingerprint(spec *wire.JobSpec) []byte {
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(spec)
	if err != nil {
		panic(err)
	}
	sum := sha256.Sum256(content)
	return sum[:]
}

// Submit accepts or rejects a job. It calls done after the row of an accepted job has been committed. The
// argument created is true if this request has created the job.
func (c *Core) Submit(now time.Time, request *wire.SubmitRequest, done func(job *wire.Job, created bool, refusal *wire.Refusal)) {
	fingerprint := Fingerprint(request.GetSpec())
	if j, ok := c.jobs[request.GetId()]; ok {
		c.resubmit(j, fingerprint, func(job *wire.Job, refusal *wire.Refusal) { done(job, false, refusal) })
		return
	}
	if refusal := c.submitRefusal(request); refusal != nil {
		done(nil, false, refusal)
		return
	}
	c.create(now, request, fingerprint, func(job *wire.Job, refusal *wire.Refusal) {
		done(job, refusal == nil, refusal)
	})
}

// resubmit answers a submit request for an identifier that is already in memory.
func (c *Core) resubmit(j *job, fingerprint []byte, done JobCallback) {
	switch {
	case !j.sameRequest(fingerprint):
		done(nil, refuse(wire.Refusal_KEY_REUSED, "the idempotency key was used for another request", 0))
	case j.phase == phaseWithdrawn:
		done(nil, refuse(wire.Refusal_STORE_UNAVAILABLE, "an earlier try is being taken back", shortRetryAfter))
	case j.phase == phaseMoving || j.phase == phaseReceiving:
		done(j.committed, nil)
	case j.phase == phaseCreating && !c.storeAvailable:
		done(nil, c.storeRefusal())
	case j.phase == phaseCreating:
		j.waiters = append(j.waiters, waiter{done: done, inBatch: j.inFlight})
	default:
		done(j.committed, nil)
	}
}

func (c *Core) submitRefusal(request *wire.SubmitRequest) *wire.Refusal {
	spec := request.GetSpec()
	ws := c.workspace(spec.GetWorkspace())
	switch {
	case c.stopping:
		return refuse(wire.Refusal_NOT_HOLDER, "the holder hands the hall over", shortRetryAfter)
	case !c.storeAvailable:
		return c.storeRefusal()
	case request.GetConfigVersion() > c.config.GetVersion():
		return refuse(wire.Refusal_OLD_CONFIGURATION, "the hall learns a newer configuration", shortRetryAfter)
	case ws == nil:
		refusal := refuse(wire.Refusal_INVALID, "no such workspace", 0)
		refusal.Field = "workspace"
		return refusal
	case c.queuedByWorkspace[spec.GetWorkspace()] >= c.maxQueued(ws):
		return refuse(wire.Refusal_QUEUE_FULL, "the workspace has as many waiting jobs as it may", queueRetryAfter)
	default:
		return nil
	}
}

func (c *Core) maxQueued(ws *wire.Workspace) int {
	if ws.GetMaxQueuedJobs() > 0 {
		return int(ws.GetMaxQueuedJobs())
	}
	return c.settings.MaxQueued
}

func (c *Core) create(now time.Time, request *wire.SubmitRequest, fingerprint []byte, done JobCallback) {
	j := &job{
		record: &wire.Job{
			Id:      request.GetId(),
			Version: 1,
			Spec:    request.GetSpec(),
			Hall:    c.hall,
			Created: stamp(now),
			Reason:  "Waits to be placed.",
		},
		fingerprint: fingerprint,
		phase:       phaseCreating,
		arrivedAt:   now,
		waiters:     []waiter{{done: done}},
	}
	c.jobs[j.id()] = j
	c.adjustQueued(j, 1)
	c.markDirty(j)
}

// Get returns a job's committed record. If the job is queued, the record's reason explains why it waits.
// The result found is false if the job is not in memory.
func (c *Core) Get(now time.Time, id string) (record *wire.Job, found bool) {
	return c.withReason(id, func() (policy.Reason, bool) { return c.policy.Explain(now, id) })
}

// brief is like Get with a shorter reason, for lists.
func (c *Core) brief(id string) (record *wire.Job, found bool) {
	return c.withReason(id, func() (policy.Reason, bool) { return c.policy.ExplainBriefly(id) })
}

// withReason returns a job's committed record. If the job is queued, its reason is replaced by the result
// of explain.
func (c *Core) withReason(id string, explain func() (policy.Reason, bool)) (record *wire.Job, found bool) {
	j, ok := c.jobs[id]
	if !ok || j.phase == phaseCreating || j.phase == phaseWithdrawn {
		return nil, false
	}
	if j.phase != phaseQueued {
		return j.committed, true
	}
	reason, ok := explain()
	if !ok {
		return j.committed, true
	}
	record = proto.CloneOf(j.committed)
	record.Reason = reason.String()
	return record, true
}

// List returns at most limit jobs of a workspace, or of all workspaces if workspace is empty. It includes
// the ended jobs that are in memory.
func (c *Core) List(workspace string, limit int) []*wire.Job {
	var list []*wire.Job
	for _, id := range sortedKeys(c.jobs) {
		record, found := c.brief(id)
		if !found || workspace != "" && record.GetSpec().GetWorkspace() != workspace {
			continue
		}
		if len(list) == limit {
			break
		}
		list = append(list, record)
	}
	return list
}

// Cancel cancels a job. It calls done after the cancel request or the job's end has been committed.
func (c *Core) Cancel(now time.Time, id string, done JobCallback) {
	j, ok := c.jobs[id]
	switch {
	case !ok || j.phase == phaseCreating || j.phase == phaseWithdrawn:
		done(nil, refuse(wire.Refusal_NOT_FOUND, "no such job", 0))
		return
	case j.phase == phaseMoving || j.phase == phaseReceiving:
		done(nil, refuse(wire.Refusal_OTHER_HALL, "the job is on its way to another hall", shortRetryAfter))
		return
	case j.phase == phaseEnded && !j.dirty && !j.inFlight:
		done(j.committed, nil)
		return
	case !c.storeAvailable:
		done(nil, c.storeRefusal())
		return
	}
	c.applyCancel(now, j)
	if !j.dirty && !j.inFlight {
		// An earlier request has cancelled the job, and its change is committed.
		done(j.committed, nil)
		return
	}
	j.waiters = append(j.waiters, waiter{done: done, inBatch: j.inFlight && !j.dirty})
}

func (c *Core) applyCancel(now time.Time, j *job) {
	if j.phase == phaseEnded || j.record.GetCancelRequested() {
		return
	}
	c.change(j, func(r *wire.Job) { r.CancelRequested = true })
	switch j.phase {
	case phaseQueued:
		c.policy.Cancel(j.id())
		c.finish(now, j, wire.JobState_CANCELLED, "Cancelled before it was started.")
	case phasePreparing:
		c.revokeParts(j)
		c.policy.Ended(now, j.id(), policy.Outcome{Kind: policy.Stopped})
		c.finish(now, j, wire.JobState_CANCELLED, "Cancelled before it was started.")
	case phaseStarting, phaseRunning:
		c.stopJob(now, j, causeCancel, "A caller cancelled it.")
	}
}

// refuseWaiters rejects the requests that wait for a commit of the job, after the store has failed. It also
// removes a job that has not been created yet, unless its row is being written; that row is deleted later.
func (c *Core) refuseWaiters(j *job) {
	if len(j.waiters) > 0 {
		j.answerWaiters(anyWaiter, c.storeRefusal())
	}
	if j.phase != phaseCreating {
		return
	}
	c.adjustQueued(j, -1)
	if j.inFlight {
		j.phase = phaseWithdrawn
		return
	}
	c.removeJob(j)
}

// removeJob removes a job that has no row from memory.
func (c *Core) removeJob(j *job) {
	delete(c.jobs, j.id())
	for i, other := range c.dirty {
		if other == j {
			c.dirty = append(c.dirty[:i], c.dirty[i+1:]...)
			break
		}
	}
	j.dirty = false
}

func (c *Core) storeRefusal() *wire.Refusal {
	return refuse(wire.Refusal_STORE_UNAVAILABLE, "the platform's table service does not answer; repeat the request under the same key", storeRetryAfter)
}

func refuse(kind wire.Refusal_Kind, detail string, retryAfter time.Duration) *wire.Refusal {
	return &wire.Refusal{Kind: kind, Detail: detail, RetryAfterMs: int32(retryAfter.Milliseconds())}
}
