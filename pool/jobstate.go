package pool

import (
	"slices"
	"time"

	"hollyfork.example/hollyfork/job"
)

// States of a job.
const (
	Queued State = iota
	Active
	Done
	Failed
	Cancelled
)

type (
	// State is the state of a job.
	State int

	// jobState is a job and its scheduling state.
	jobState struct {
		job job.Job
		// rows are the known rows by which callers submitted the job: one, or one under each kind of keys.
		rows []jobRow
		// rounds are the open rounds. groups are the groups of all open rounds.
		rounds   []*round
		groups   []*group
		roundLog roundLog
		state    State
		// anyCrash reports that a worker has crashed while it ran a task of the job.
		anyCrash bool
		// advised reports that the policy of the job's queue permits only some workers for a step. A worker has
		// required a ticket although it does not, and starts have one until ticketsNeededUntil.
		advised            bool
		ticketsNeededUntil time.Time
		// started reports that a task of the job was started.
		started bool
		endedAt time.Time
		// endReason is the reason why the job ended, for operators.
		endReason string
		// waitReason is the last emitted reason why the job has no placement; it was emitted at
		// waitEmittedAt.
		waitReason    string
		waitEmittedAt time.Time
		// shortage is the last emitted description of what must be freed for the job to fit.
		shortage string

		// changes counts changes to the job. committedChanges is the value of changes that the last
		// commit covered. dirty reports that the job is listed in Core.dirty.
		changes          uint64
		committedChanges uint64
		dirty            bool
		// unwrittenBytes is the size of the job's row if that was too large to be written, or 0.
		unwrittenBytes int
		// compressedBytes is the size of the job's last row if it was compressed, or 0.
		compressedBytes int
		// unreadable reports that the job's state row could not be decoded. None of its tasks is
		// started, and ends of its runs are ignored, until its caller cancels it.
		unreadable bool
		// toRemove reports that the job's rows are to be deleted. They may already be, and its identifier be used
		// again: successor is the job that was accepted under it, or nil.
		toRemove  bool
		successor *NewJob
	}

	// jobRow is the row of a submission.
	jobRow struct {
		// legacy reports that it lies under the key of earlier releases.
		legacy bool
		// version is the row's version; 0 if it is unknown. checked is NewJob.Checked.
		version uint64
		checked bool
	}
)

// ended reports whether the state is final.
func (s State) ended() bool {
	return s >= Done
}

// newJob returns the state of a job that has had no runs.
func newJob(now time.Time, j job.Job) *jobState {
	state := &jobState{job: j}
	if j.Schedule.Immediate() {
		state.openRound(now, 0, 0)
	}
	return state
}

// isReplacedBy reports whether a row is of another job, accepted under the same identifier after this job's rows were
// deleted.
func (j *jobState) isReplacedBy(added NewJob) bool {
	return j.toRemove && !slices.ContainsFunc(j.rows, func(r jobRow) bool { return added.Version <= r.version })
}

// addRow records a row of the job. The version may come later than the row.
func (j *jobState) addRow(added NewJob) {
	i := slices.IndexFunc(j.rows, func(r jobRow) bool { return r.legacy == added.Legacy })
	if i >= 0 {
		if j.rows[i].version == 0 {
			j.rows[i].version = added.Version
		}
		return
	}
	j.rows = append(j.rows, jobRow{legacy: added.Legacy, version: added.Version, checked: added.Checked})
}

// keys returns the keys of the rows that callers write for a job of a pool.
func (r jobRow) keys(pool string, id job.ID) JobKeys {
	if r.legacy {
		return LegacyKeysOf(pool, id)
	}
	return KeysOf(id)
}

// findGroup returns the group of a task, or nil.
func (j *jobState) findGroup(task job.TaskID) *group {
	r := j.findRound(task.Round)
	if r == nil {
		return nil
	}
	return r.findGroup(j.job, task)
}

// allDone reports whether all rounds are done.
func (j *jobState) allDone() bool {
	for _, r := range j.rounds {
		if !r.done() {
			return false
		}
	}
	return j.roundLog.next == j.job.Schedule.Rounds()
}

// checkJob ends a job when all its groups are done, or when one of them has failed for good.
func (c *Core) checkJob(now time.Time, j *jobState) {
	if j.state.ended() {
		return
	}
	if j.allDone() {
		c.endJob(now, j, Done, "all tasks are done")
		return
	}
	for _, g := range j.groups {
		if g.done {
			continue
		}
		if reason := c.failureReason(now, g); reason != "" {
			c.endJob(now, j, Failed, reason)
			return
		}
	}
}

// failureReason returns why a group is not started again: its job is out of attempts, or too many
// workers have crashed under it. It is empty if the group may be started.
func (c *Core) failureReason(now time.Time, g *group) string {
	if g.failures >= max(1, g.job.job.Terms.Attempts) {
		return "a task has no attempt left"
	}
	return c.crashFailureReason(now, g)
}

// endJob ends a job. Unless the job is done, it aborts the runs of the job.
func (c *Core) endJob(now time.Time, j *jobState, state State, reason string) {
	j.state = state
	j.endedAt = now
	j.endReason = reason
	c.markDirty(j)
	c.emit(Event{Kind: EventJobEnded, Job: j.job.ID, Detail: stateNames[state] + ": " + reason})
	if state == Done {
		return
	}
	c.recordJobEnded(j)
	for _, g := range j.groups {
		if g.placed() {
			c.abort(now, g)
		}
	}
}

var stateNames = map[State]string{
	Queued:    "queued",
	Active:    "running",
	Done:      "done",
	Failed:    "failed",
	Cancelled: "cancelled",
}

func (s State) String() string {
	return stateNames[s]
}
