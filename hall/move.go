package hall

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire"
)

const (
	// maxMoves bounds how often a job moves to another hall, so that it does not move forever.
	maxMoves = 3
	// maxJobsPerMove bounds the number of jobs that one Move request considers.
	maxJobsPerMove = 32
)

// movedPrefix returns the prefix of the rows of jobs that were moved to a hall and that its holder has not
// accepted yet. A job has a row in only one place.
func movedPrefix(hall string) string {
	return "moved/" + hall + "/"
}

func movedKey(hall, id string) store.Key {
	return rowKey(movedPrefix(hall) + id)
}

// Move starts to move queued jobs to another hall, oldest first, and returns how many accelerators they
// need, which is at most the given number. Each job is moved in one transaction.
func (c *Core) Move(now time.Time, to string, accelerators int) int {
	if !c.storeAvailable || c.stopping {
		return 0
	}
	moved := 0
	for i, j := range c.movable(now) {
		need := j.accelerators()
		if i == maxJobsPerMove {
			break
		}
		if moved+need > accelerators {
			continue
		}
		moved += need
		c.moveTo(j, to)
	}
	return moved
}

// movable returns the jobs that may move to another hall, oldest first.
func (c *Core) movable(now time.Time) []*job {
	list := sortedJobs(c.jobs, func(j *job) bool { return c.mayMove(now, j) })
	slices.SortStableFunc(list, func(a, b *job) int {
		return cmp.Compare(a.record.GetCreated().AsTime().UnixNano(), b.record.GetCreated().AsTime().UnixNano())
	})
	return list
}

// mayMove reports whether a job is queued and may move to another hall. A job stays if its caller has
// chosen this hall, if its workspace has a guarantee here that it can use, if it has arrived less than
// MoveAfter ago, or if it has been moved maxMoves times.
func (c *Core) mayMove(now time.Time, j *job) bool {
	spec := j.record.GetSpec()
	return j.phase == phaseQueued && !j.dirty && !j.inFlight &&
		spec.GetHall() == "" &&
		j.record.GetMoves() < maxMoves &&
		now.Sub(j.arrivedAt) >= c.settings.MoveAfter &&
		!c.hasGuarantee(spec)
}

// hasGuarantee reports whether the job's workspace has a guarantee in this hall whose cells are large
// enough for a task.
func (c *Core) hasGuarantee(spec *wire.JobSpec) bool {
	ws := c.workspace(spec.GetWorkspace())
	return slices.ContainsFunc(ws.GetGuarantees(), func(g *wire.Guarantee) bool {
		return g.GetHall() == c.hall && g.GetCellAccelerators() >= spec.GetShape().GetAccelerators()
	})
}

func (j *job) accelerators() int {
	spec := j.record.GetSpec()
	return int(max(1, spec.GetTasks()) * spec.GetShape().GetAccelerators())
}

func (c *Core) moveTo(j *job, to string) {
	c.policy.Cancel(j.id())
	c.adjustQueued(j, -1)
	j.phase = phaseMoving
	c.change(j, func(r *wire.Job) {
		r.Hall = to
		r.Moves++
		r.Reason = "Was moved to " + to + ", which has room."
	})
}

// AcceptMoved accepts a job that another hall has moved to this one, given its row. A job that could never
// run here is moved back.
func (c *Core) AcceptMoved(now time.Time, row store.Row, stored *wire.StoredJob) {
	id := stored.GetJob().GetId()
	if _, known := c.jobs[id]; known || !c.storeAvailable || c.stopping {
		return
	}
	j := &job{
		record:      proto.CloneOf(stored.GetJob()),
		committed:   stored.GetJob(),
		fingerprint: stored.GetFingerprint(),
		attempt:     stored.GetJob().GetAttempt(),
		arrivedAt:   now,
		receivedRow: row,
	}
	j.phase = phaseReceiving
	c.jobs[id] = j
	if c.policy.CanRun(policyJob(j.record)) || stored.GetMovedFrom() == "" {
		c.adjustQueued(j, 1)
		c.markDirty(j)
		return
	}
	j.phase = phaseMoving
	c.change(j, func(r *wire.Job) {
		r.Hall = stored.GetMovedFrom()
		r.Moves = maxMoves
		r.Reason = "Came back, since " + c.hall + " could never run it."
	})
}

// addMove adds a job's move to another hall to the batch.
func (b *Batch) addMove(hall string, j *job) {
	to := j.record.GetHall()
	stored := &wire.StoredJob{Job: j.record, Fingerprint: j.fingerprint, Position: b.position, MovedFrom: hall}
	b.removeReceivedRow(j)
	b.remove(liveKey(hall, j.id()))
	b.put(movedKey(to, j.id()), encode(stored))
	b.put(ClaimKey(j.id()), encode(&wire.Claim{Hall: to}))
}

// removeReceivedRow deletes the row with which a job was moved to this hall, if it still exists.
func (b *Batch) removeReceivedRow(j *job) {
	if j.receivedRow.Version == 0 {
		return
	}
	b.Checks = append(b.Checks, store.Check{Key: j.receivedRow.Key, Version: j.receivedRow.Version})
	b.remove(j.receivedRow.Key)
}
