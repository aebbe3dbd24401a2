package agent

import (
	"hollyfork.example/hollyfork/platform"
)

// Command is something that the Core wants done on the worker: StartTasks, StopTasks,
// CheckpointTasks, ForgetTasks or RenewLeases.
type Command interface {
	command()
}

// StartTasks gives tasks to the worker, each once. Answers go to Core.TaskStarted.
type StartTasks struct {
	Tasks []platform.Task
}

// StopTasks stops tasks.
type StopTasks struct {
	Keys []string
}

// CheckpointTasks saves the work of tasks and stops them.
type CheckpointTasks struct {
	Keys []string
}

// ForgetTasks drops the worker's record of tasks whose end is kept elsewhere.
type ForgetTasks struct {
	Keys []string
}

// RenewLeases extends the leases of tasks.
type RenewLeases struct {
	Renewal platform.LeaseRenewal
}

func (StartTasks) command()      {}
func (StopTasks) command()       {}
func (CheckpointTasks) command() {}
func (ForgetTasks) command()     {}
func (RenewLeases) command()     {}
