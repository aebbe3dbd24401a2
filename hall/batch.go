package hall

import (
	"errors"
	"slices"
	"strings"
	"time"

	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire"
)

// maxBatchJobs bounds the number of jobs whose changes are written in one transaction.
const maxBatchJobs = 64

// Batch is a transaction for the holder to commit. Its outcome is passed to Core.BatchDone.
type Batch struct {
	Checks []store.Check
	Writes []store.Write

	position uint64
	items    []batchItem
}

// batchItem is one job in a batch, with its record and phase at the time when the batch was built.
type batchItem struct {
	job    *job
	record *wire.Job
	phase  phase
}

// TakeBatch returns the next changes to commit, in a transaction that will have the given position in the
// hall's change stream. It returns nil if there are no changes or a batch is still being committed.
func (c *Core) TakeBatch(position uint64) *Batch {
	if c.batch != nil || len(c.dirty) == 0 {
		return nil
	}
	b := &Batch{position: position}
	count := min(len(c.dirty), maxBatchJobs)
	for _, j := range c.dirty[:count] {
		b.add(c.hall, j)
	}
	c.dirty = slices.Clone(c.dirty[count:])
	c.batch = b
	return b
}

// add adds a job's changes to the batch.
func (b *Batch) add(hall string, j *job) {
	j.dirty = false
	j.inFlight = true
	for i := range j.waiters {
		j.waiters[i].inBatch = true
	}
	b.items = append(b.items, batchItem{job: j, record: j.record, phase: j.phase})
	key := liveKey(hall, j.id())
	row := encode(&wire.StoredJob{Job: j.record, Fingerprint: j.fingerprint, Position: b.position})
	switch {
	case j.phase == phaseMoving:
		b.addMove(hall, j)
	case j.phase == phaseReceiving:
		b.removeReceivedRow(j)
		b.put(key, row)
	case j.phase == phaseWithdrawn:
		b.remove(key)
		b.remove(ClaimKey(j.id()))
	case isFinal(j.record.GetState()):
		archiveKey := endedKey(hall, b.position, j.id())
		b.remove(key)
		b.put(archiveKey, row)
		b.put(ClaimKey(j.id()), encode(&wire.Claim{Hall: hall, EndedKey: archiveKey.Name}))
	case !j.stored:
		b.Checks = append(b.Checks, store.Check{Key: ClaimKey(j.id())})
		b.put(ClaimKey(j.id()), encode(&wire.Claim{Hall: hall}))
		b.put(key, row)
	default:
		b.put(key, row)
	}
}

func (b *Batch) put(key store.Key, value []byte) {
	b.Writes = append(b.Writes, store.Write{Key: key, Value: value})
}

func (b *Batch) remove(key store.Key) {
	b.Writes = append(b.Writes, store.Write{Key: key, Delete: true})
}

// BatchDone applies the outcome of the batch that was being committed. A nil error means success; otherwise
// err is the error of FencedWriter.Commit.
func (c *Core) BatchDone(now time.Time, err error) {
	b := c.batch
	c.batch = nil
	if b == nil {
		return
	}
	if err == nil {
		c.storeAvailable = true
		for _, item := range b.items {
			c.applyCommitted(now, b.position, item)
		}
		return
	}
	c.requeueChanges(b)
	if kindOf(err) == KindConflict {
		c.storeAvailable = true
		c.dropClaimed(err)
	}
}

// applyCommitted advances a job after its changes have been committed.
func (c *Core) applyCommitted(now time.Time, position uint64, item batchItem) {
	j := item.job
	j.inFlight = false
	j.stored = true
	if item.phase == phaseWithdrawn {
		c.removeJob(j)
		return
	}
	if item.phase == phaseMoving {
		c.changes.append(position, item.record)
		j.answerWaiters(anyWaiter, refuse(wire.Refusal_OTHER_HALL, "the job was moved to another hall", shortRetryAfter))
		c.removeJob(j)
		return
	}
	if j.phase == phaseWithdrawn {
		c.markDirty(j)
		return
	}
	c.changes.append(position, item.record)
	j.committed = item.record
	j.answerWaiters(inBatchWaiter, nil)
	switch {
	case item.phase == phaseCreating || item.phase == phaseReceiving:
		j.phase = phaseQueued
		j.receivedRow = store.Row{}
		c.policy.Submit(now, policyJob(j.record))
	case item.phase == phasePlacing && j.phase == phasePlacing:
		c.startParts(now, j)
	case item.phase == phaseEnded:
		c.evictEnded(j)
	}
	if !j.dirty {
		c.acknowledgeAttempts(j)
	}
}

// requeueChanges puts the changes of a batch that was not committed back at the front of the dirty list.
func (c *Core) requeueChanges(b *Batch) {
	requeued := make([]*job, 0, len(b.items)+len(c.dirty))
	for _, item := range b.items {
		item.job.inFlight = false
		if !item.job.dirty {
			item.job.dirty = true
			requeued = append(requeued, item.job)
		}
	}
	c.dirty = append(requeued, c.dirty...)
}

// dropClaimed removes the new jobs whose failed checks show that their identifier is already claimed.
func (c *Core) dropClaimed(err error) {
	var failure *Error
	if !errors.As(err, &failure) {
		return
	}
	for _, key := range failure.Keys {
		id := key.Name[strings.LastIndex(key.Name, "/")+1:]
		j, ok := c.jobs[id]
		if !ok || j.stored {
			continue
		}
		if j.phase == phaseCreating || j.phase == phaseReceiving {
			c.adjustQueued(j, -1)
		}
		j.answerWaiters(anyWaiter, refuse(wire.Refusal_OTHER_HALL, "the job was accepted before", 0))
		c.removeJob(j)
	}
}

// evictEnded adds an ended job to the ended list and removes the oldest ones from memory when the list is
// full.
func (c *Core) evictEnded(j *job) {
	c.endedOrder = append(c.endedOrder, j.id())
	for len(c.endedOrder) > c.settings.MaxEndedInMemory {
		delete(c.jobs, c.endedOrder[0])
		c.endedOrder = c.endedOrder[1:]
	}
}
