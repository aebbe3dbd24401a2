package policy

import (
	"time"
)

// Hall makes the scheduling decisions for the workers of one hall. Create it with New. It is not safe
// for concurrent use.
type Hall struct {
	settings Settings

	classes      []*workerClass
	racks        []*rack
	workers      map[string]*worker
	accelerators int

	workspaces   map[string]*workspace
	unboundTotal cellCounts

	buckets     map[jobKind]*bucket
	waiting     map[string]*queuedJob
	placed      map[string]*placedJob
	readyClaims []*placedJob
	delayed     []*queuedJob
	refused     []Refuse
	sequence    uint64
	// generation is incremented when capacity may have been freed.
	generation uint64

	reservation *reservation
	// nextReserve is the earliest time of the next search for a job to reserve for.
	nextReserve time.Time
	// emptyCapacities caches the capacity of the empty hall by shape.
	emptyCapacities map[Shape]emptyCapacity
	// quarantined holds the quarantined workers.
	quarantined []*worker
	// nextHeadroomDecay is the time of the next decay of the headroom.
	nextHeadroomDecay time.Time
	runTimes          map[runKind]*runTimes
	services          map[string]*serviceHealth
}

// New returns a hall without workers, workspaces and jobs.
func New(settings Settings) *Hall {
	return &Hall{
		settings:        settings,
		workers:         map[string]*worker{},
		workspaces:      map[string]*workspace{},
		buckets:         map[jobKind]*bucket{},
		waiting:         map[string]*queuedJob{},
		placed:          map[string]*placedJob{},
		generation:      1,
		runTimes:        map[runKind]*runTimes{},
		services:        map[string]*serviceHealth{},
		emptyCapacities: map[Shape]emptyCapacity{},
	}
}

// Submit queues a job. If it can never run, the next Decide refuses it.
func (h *Hall) Submit(now time.Time, j Job) {
	if h.Has(j.ID) {
		return
	}
	if reason, never := h.neverFits(j); never {
		h.refused = append(h.refused, Refuse{Job: j.ID, Reason: reason})
		return
	}
	q := h.newQueued(j)
	h.waiting[j.ID] = q
	h.enqueue(q)
}

func (h *Hall) newQueued(j Job) *queuedJob {
	h.sequence++
	return &queuedJob{job: j, deadline: h.deadlineOf(j), sequence: h.sequence}
}

// Has reports whether a job is waiting or placed.
func (h *Hall) Has(id string) bool {
	_, waits := h.waiting[id]
	_, runs := h.placed[id]
	return waits || runs
}

// Cancel removes a waiting job from the queue, or cancels its claim, and returns true. It returns false
// if the job is unknown or already placed; a placed job must be stopped and reported with Ended.
func (h *Hall) Cancel(id string) bool {
	if q, ok := h.waiting[id]; ok {
		delete(h.waiting, id)
		q.cancelled = true
		if q.bucket != nil {
			q.bucket.live--
		}
		return true
	}
	p, ok := h.placed[id]
	if !ok || p.phase != claiming {
		return false
	}
	h.release(p)
	return true
}

// Started reports that a placed job runs.
func (h *Hall) Started(now time.Time, id string) {
	p, ok := h.placed[id]
	if !ok {
		return
	}
	if p.phase == placing {
		p.phase = running
	}
	p.started = now
}

// StartFailed reports that a placed job could not be started and did not run. The job is tried again
// after a delay.
func (h *Hall) StartFailed(now time.Time, id string) {
	p, ok := h.placed[id]
	if !ok {
		return
	}
	h.release(p)
	q := p.queued
	q.startFailures++
	q.notBefore = now.Add(h.retryDelay(q))
	h.waiting[id] = q
	h.delayed = append(h.delayed, q)
}

// retryDelay doubles with each failure up to a maximum. Up to half of it is added depending on the job,
// to spread the retries.
func (h *Hall) retryDelay(q *queuedJob) time.Duration {
	delay := h.settings.RetryDelay << min(q.startFailures-1, 10)
	delay = min(delay, h.settings.MaxRetryDelay)
	spread := time.Duration(q.sequence%16) * delay / 32
	return delay + spread
}

// Failed reports that a run of a job failed on a worker and that the job may run again. The job is
// tried again after a delay.
func (h *Hall) Failed(now time.Time, id, worker string) {
	if p, ok := h.placed[id]; ok {
		h.recordOutcome(now, p, Outcome{Kind: Failed, Worker: worker})
	}
	h.StartFailed(now, id)
}

// Requeue reports that a preempted or failed job has stopped and may run again, and queues it. The job
// counts as preempted.
func (h *Hall) Requeue(now time.Time, id string) {
	p, ok := h.placed[id]
	if !ok {
		return
	}
	h.release(p)
	q := p.queued
	q.preemptions++
	h.waiting[id] = q
	h.enqueue(q)
}

// Ended reports that a run of a placed job is over and its cells are free. The hall forgets the job.
func (h *Hall) Ended(now time.Time, id string, outcome Outcome) {
	p, ok := h.placed[id]
	if !ok {
		return
	}
	h.recordOutcome(now, p, outcome)
	if outcome.Kind == Completed {
		h.recordRunTime(now, p)
	}
	h.release(p)
}

// bumpGeneration makes the next Decide try blocked job kinds again, since capacity may have been freed.
func (h *Hall) bumpGeneration() {
	h.generation++
}
