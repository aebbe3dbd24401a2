package agent

import (
	"hollyfork.example/hollyfork/platform"
)

// Command is a request of the Core to the worker: StartTasks, StopTasks, CheckpointTasks, ForgetTasks or RenewLeases.
type Command interface {
	command()
}

// StartTasks starts tasks, each with a single call to the worker. The results are passed to Core.TaskStarted.
type StartTasks struct {
	Tasks []platform.Task
}

// StopTasks stops tasks.
type StopTasks struct {
	Keys []string
}

// CheckpointTasks saves the progress of tasks and stops them.
type CheckpointTasks struct {
	Keys []string
}

// ForgetTasks deletes the worker's records of tasks whose end the holder has committed.
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
