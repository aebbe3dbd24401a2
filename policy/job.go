package policy

import (
	"time"
)

// Priorities, from the lowest to the highest.
const (
	Low Priority = iota
	Normal
	High
	Urgent
)

// Adjacency constraints, from the weakest to the strongest.
const (
	AnyInHall Adjacency = iota
	SameRack
	SameWorker
)

const (
	// MaxTasks is the largest number of tasks in a gang.
	MaxTasks = 256
	// MaxCell is the number of accelerators in the largest cell.
	MaxCell = 8
)

// Priority is the priority of a job.
type Priority int

// Adjacency constrains how close together the tasks of a gang are placed.
type Adjacency int

// Shape is the resource request of one task.
type Shape struct {
	// Accelerators is the number of adjacent accelerators; 0 for none.
	Accelerators int
	// CPUMillis is in thousandths of a processor core.
	CPUMillis int
	// MemoryMB is in mebibytes.
	MemoryMB int
}

// Job is a request to run a number of equal tasks, all of them or none.
type Job struct {
	ID        string
	Workspace string
	Service   string
	Priority  Priority
	Shape     Shape
	// Tasks is the number of tasks, 1 to MaxTasks.
	Tasks     int
	Adjacency Adjacency
	// Repeatable reports whether the job may be stopped and run again from the start.
	Repeatable bool
	// Checkpointable reports whether the job may be stopped and resumed from a checkpoint.
	Checkpointable bool
	// DeclaredRunTime is the run time that the submitter expects, or 0 if not given.
	DeclaredRunTime time.Duration
	// FinishBy is the time by which the job should be done, or the zero time if there is none.
	FinishBy  time.Time
	Submitted time.Time
}

// Preemptible reports whether the job may be stopped in favour of another.
func (j Job) Preemptible() bool {
	return j.Repeatable || j.Checkpointable
}

// Cell is the allocation of one task: adjacent accelerators of a worker, or CPU slots if Size is 0.
type Cell struct {
	Worker string
	// First is the first accelerator, a multiple of Size.
	First int
	// Size is the number of accelerators: 1, 2, 4 or 8, or 0 for none.
	Size int
	// Slots is the number of CPU slots that the task takes.
	Slots int
}

// Guarantee is a number of cells of one size.
type Guarantee struct {
	Size  int
	Cells int
}

// Workspace is a tenant of the hall.
type Workspace struct {
	Name       string
	Guarantees []Guarantee
}

// Worker is a backend server.
type Worker struct {
	Name string
	Rack string
	// Accelerators is 0, 1, 2, 4 or 8.
	Accelerators int
	CPUMillis    int
	MemoryMB     int
	// Slots is the maximum number of tasks at a time.
	Slots int
}
