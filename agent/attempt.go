package agent

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"hollyfork.example/hollyfork/platform"
	"hollyfork.example/wire"
)

// States of a task on the worker.
const (
	// taskReserved means that no start request for the task was sent to the worker.
	taskReserved taskState = iota
	// taskUnconfirmed means that a start request was sent and the worker has not confirmed the start.
	taskUnconfirmed
	taskRunning
	taskExited
	taskStopped
	// taskNeverRan means that a start request was sent and the task certainly did not start.
	taskNeverRan
)

type taskState int

type (
	// otherTasks is what the agent knows of an attempt's tasks on this worker that it has not recorded. It is one of
	// unknownTasks and noTasks.
	otherTasks interface {
		otherTasks()
	}

	// unknownTasks means that the worker may yet carry out start requests of an earlier incarnation. It is the zero
	// state.
	unknownTasks struct{}

	// noTasks means that the attempt has no other tasks, and will have none.
	noTasks struct{}
)

func (unknownTasks) otherTasks() {}
func (noTasks) otherTasks()      {}

// task is a task of an attempt on this worker.
type task struct {
	index            int32
	firstAccelerator int32
	accelerators     int32
	state            taskState
	exitCode         int32
	// confirmed is the time of the last request whose answer showed the task on the worker. Answers to earlier
	// requests do not show whether it is still running.
	confirmed time.Time
}

// attempt is this worker's part of an attempt to run a job.
type attempt struct {
	key     attemptKey
	state   wire.AttemptState_Value
	tasks   []*task
	others  otherTasks
	command []string
	// checkpointable indicates that the tasks can save their progress.
	checkpointable bool
	// saveUntil is the time until which tasks that are being stopped may save their progress.
	saveUntil time.Time
	// reservedUntil is the time at which the reservation expires if the attempt was not started.
	reservedUntil time.Time
	// startBy is the end of the leases in the start requests. A task that has not started by then never will.
	startBy time.Time
}

func (a *attempt) taskKeys(states ...taskState) []string {
	var keys []string
	for _, t := range a.tasks {
		if slices.Contains(states, t.state) {
			keys = append(keys, a.key.taskKey(t.index))
		}
	}
	return keys
}

func (a *attempt) findTask(index int32) *task {
	for _, t := range a.tasks {
		if t.index == index {
			return t
		}
	}
	return nil
}

// checkpointName returns the name of a task's checkpoint, which is the same for all attempts, or "" if it has none.
func (a *attempt) checkpointName(t *task) string {
	if !a.checkpointable {
		return ""
	}
	return fmt.Sprintf("%s~%d", a.key.job, t.index)
}

func (a *attempt) anyTask(states ...taskState) bool {
	return slices.ContainsFunc(a.tasks, func(t *task) bool {
		return slices.Contains(states, t.state)
	})
}

// holdsAccelerators reports whether the attempt has reserved or may still use accelerators.
func (a *attempt) holdsAccelerators() bool {
	return a.state != wire.AttemptState_ENDED && a.state != wire.AttemptState_NEVER_RAN
}

// overlaps reports whether the attempt holds any accelerator with an index from first to first+size-1.
func (a *attempt) overlaps(first, size int32) bool {
	if !a.holdsAccelerators() {
		return false
	}
	return slices.ContainsFunc(a.tasks, func(t *task) bool {
		return t.firstAccelerator < first+size && first < t.firstAccelerator+t.accelerators
	})
}

// observe updates a task from its status in the worker's answer to a list request, and reports whether the task
// changed. sentAt is the time of the request.
func (t *task) observe(sentAt time.Time, status platform.TaskStatus) bool {
	before := *t
	defer func() { t.confirmed = sentAt }()
	t.exitCode = int32(status.ExitCode)
	switch status.State {
	case platform.TaskRunning:
		t.state = taskRunning
		t.exitCode = 0
	case platform.TaskExited:
		t.state = taskExited
	case platform.TaskStopped:
		t.state = taskStopped
		t.exitCode = 0
	}
	return *t != before
}

// observeMissing updates a task that is missing from the worker's answer to a list request, and reports whether the
// task changed. sentAt is the time of the request.
func (t *task) observeMissing(sentAt, startBy time.Time) bool {
	switch t.state {
	case taskUnconfirmed:
		if !sentAt.After(startBy) {
			return false
		}
		t.state = taskNeverRan
		return true
	case taskRunning:
		if !sentAt.After(t.confirmed) {
			return false
		}
		// The worker has lost the task's record, for example because the VM was replaced.
		t.state = taskStopped
		return true
	default:
		return false
	}
}

// updateState derives the attempt's state from the states of its tasks.
func (a *attempt) updateState() {
	switch a.state {
	case wire.AttemptState_STARTING:
		a.updateStarting()
	case wire.AttemptState_RUNNING, wire.AttemptState_STOPPING:
		if a.allTasksEnded() {
			a.finish()
		}
	}
}

// allTasksEnded reports whether no task of the attempt runs or can start any more.
func (a *attempt) allTasksEnded() bool {
	switch a.others.(type) {
	case noTasks:
		return !a.anyTask(taskUnconfirmed, taskRunning)
	default:
		return false
	}
}

func (a *attempt) updateStarting() {
	if a.anyTask(taskUnconfirmed) {
		return
	}
	if a.anyTask(taskNeverRan) {
		// The tasks only run together, so the others must stop.
		a.state = wire.AttemptState_STOPPING
		a.updateState()
		return
	}
	a.state = wire.AttemptState_RUNNING
	a.updateState()
}

// finish marks an attempt without running tasks as ended, or as never run if none of its tasks ran.
func (a *attempt) finish() {
	a.state = wire.AttemptState_ENDED
	if !a.anyTask(taskExited, taskStopped) {
		a.state = wire.AttemptState_NEVER_RAN
	}
}

func (a *attempt) report() *wire.AttemptReport {
	report := &wire.AttemptReport{Id: a.key.id(), State: a.state}
	report.Completed = a.state == wire.AttemptState_ENDED
	for _, t := range a.tasks {
		if t.state != taskExited {
			report.Completed = false
		}
		if t.state == taskRunning || t.state == taskExited || t.state == taskStopped {
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
