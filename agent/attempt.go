package agent

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"hollyfork.example/hollyfork/platform"
	"hollyfork.example/wire"
)

// Standings of a task on the worker.
const (
	// taskHeld tasks were never given to the worker.
	taskHeld taskStanding = iota
	// taskUnsettled tasks were given to the worker, which has not confirmed them.
	taskUnsettled
	taskRunning
	taskExited
	taskStopped
	// taskNeverRan tasks were given to the worker and certainly did not start.
	taskNeverRan
)

type taskStanding int

// task is one task of an attempt on this worker.
type task struct {
	index    int32
	first    int32
	size     int32
	standing taskStanding
	exitCode int32
	// confirmed is when the worker said last that the task runs. An answer to an
	// earlier question says nothing of it.
	confirmed time.Time
}

// attempt is this worker's part of an attempt of a job.
type attempt struct {
	key     attemptKey
	state   wire.AttemptState_Value
	tasks   []*task
	command []string
	// checkpointable says that the tasks can save their work.
	checkpointable bool
	// saveUntil is how long tasks that have to stop may take to save their work.
	saveUntil time.Time
	// holdUntil is when a hold that was not started lapses.
	holdUntil time.Time
	// startBy is the lease's end that the tasks were given to the worker with: what
	// has not started by then never will.
	startBy time.Time
}

func (a *attempt) keys(standings ...taskStanding) []string {
	var keys []string
	for _, t := range a.tasks {
		if slices.Contains(standings, t.standing) {
			keys = append(keys, a.key.taskKey(t.index))
		}
	}
	return keys
}

func (a *attempt) find(index int32) *task {
	for _, t := range a.tasks {
		if t.index == index {
			return t
		}
	}
	return nil
}

// checkpointName names where a task's work is kept, whatever the attempt.
func (a *attempt) checkpointName(t *task) string {
	if !a.checkpointable {
		return ""
	}
	return fmt.Sprintf("%s~%d", a.key.job, t.index)
}

func (a *attempt) any(standings ...taskStanding) bool {
	return slices.ContainsFunc(a.tasks, func(t *task) bool {
		return slices.Contains(standings, t.standing)
	})
}

// live says whether the attempt holds accelerators.
func (a *attempt) live() bool {
	return a.state != wire.AttemptState_ENDED && a.state != wire.AttemptState_NEVER_RAN
}

// overlaps says whether the attempt holds an accelerator of a cell.
func (a *attempt) overlaps(first, size int32) bool {
	if !a.live() {
		return false
	}
	return slices.ContainsFunc(a.tasks, func(t *task) bool {
		return t.first < first+size && first < t.first+t.size
	})
}

// observe takes over what the worker says of a task, asked at a time, and reports a
// change.
func (t *task) observe(asked time.Time, status platform.TaskStatus) bool {
	before := *t
	defer func() { t.confirmed = asked }()
	t.exitCode = int32(status.ExitCode)
	switch status.State {
	case platform.TaskRunning:
		t.standing = taskRunning
		t.exitCode = 0
	case platform.TaskExited:
		t.standing = taskExited
	case platform.TaskStopped:
		t.standing = taskStopped
		t.exitCode = 0
	}
	return *t != before
}

// miss notes that the worker, asked at a time, does not list a task, and reports a
// change.
func (t *task) miss(asked, startBy time.Time) bool {
	switch t.standing {
	case taskUnsettled:
		if !asked.After(startBy) {
			return false
		}
		t.standing = taskNeverRan
		return true
	case taskRunning:
		if !asked.After(t.confirmed) {
			return false
		}
		// The worker lost its record, as when the whole VM was replaced.
		t.standing = taskStopped
		return true
	default:
		return false
	}
}

// advance moves the attempt's state to what its tasks say.
func (a *attempt) advance() {
	switch a.state {
	case wire.AttemptState_STARTING:
		a.advanceStarting()
	case wire.AttemptState_RUNNING, wire.AttemptState_STOPPING:
		if !a.any(taskUnsettled, taskRunning) {
			a.finish()
		}
	}
}

func (a *attempt) advanceStarting() {
	if a.any(taskUnsettled) {
		return
	}
	if a.any(taskNeverRan) {
		// A part did not start, so no part may go on.
		a.state = wire.AttemptState_STOPPING
		a.advance()
		return
	}
	a.state = wire.AttemptState_RUNNING
	a.advance()
}

// finish ends an attempt of which nothing runs.
func (a *attempt) finish() {
	a.state = wire.AttemptState_ENDED
	if !a.any(taskExited, taskStopped) {
		a.state = wire.AttemptState_NEVER_RAN
	}
}

func (a *attempt) report() *wire.AttemptReport {
	report := &wire.AttemptReport{Id: a.key.id(), State: a.state}
	report.Completed = a.state == wire.AttemptState_ENDED
	for _, t := range a.tasks {
		if t.standing != taskExited {
			report.Completed = false
		}
		if t.standing == taskRunning || t.standing == taskExited || t.standing == taskStopped {
			report.TasksRun++
		}
		if report.GetExitCode() == 0 {
			report.ExitCode = t.exitCode
		}
	}
	return report
}

func compareAttempts(a, b *attempt) int {
	if c := cmp.Compare(a.key.job, b.key.job); c != 0 {
		return c
	}
	return cmp.Compare(a.key.attempt, b.key.attempt)
}
