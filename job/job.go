// Package job defines the jobs that callers submit. A job consists of steps, and a step consists of identical tasks.
package job

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

type (
	// ID identifies a job. The caller chooses it.
	ID string

	// Shape is an amount of resources: the requirements of a task or the capacity of a worker.
	Shape struct {
		// CPUMillis is the processor time in thousandths of a core.
		CPUMillis int
		// MemoryMB is the memory in mebibytes.
		MemoryMB int
		// Accelerators is the number of accelerators.
		Accelerators int
	}

	// Step is a set of identical tasks.
	Step struct {
		// Count is the number of tasks, at least 1.
		Count int
		Shape Shape
		// Estimate is the caller's estimate of a task's run time. It may be far off.
		Estimate time.Duration
		// After lists the indexes of the earlier steps that must be done before this one starts.
		After []int
		// Checkpoint indicates that a task can save its progress and resume from it.
		Checkpoint bool
		// Gang indicates that the tasks only run all at the same time.
		Gang bool
		// SameRack indicates that a gang runs slower when it is spread over several racks.
		SameRack bool
		// Label is a label that the worker must have; empty if any worker will do.
		Label string
		// DataRack is the rack that stores the step's data; empty if the rack does not matter.
		DataRack string
		// MaxPerWorker limits the number of the step's tasks on one worker; 0 means no limit.
		MaxPerWorker int
		// Speculative indicates that several copies of a task may run at the same time.
		Speculative bool
		// LongRunning indicates that the tasks run until the job is cancelled.
		LongRunning bool
		// MaxUnavailable is the number of tasks of a long-running step that may be preempted at the same time.
		MaxUnavailable int
		// LatencyTarget is the time within which a long-running task should answer most requests of its
		// own users; 0 if the task serves no requests.
		LatencyTarget time.Duration
		// Filler indicates that the tasks use the processor time that other tasks leave idle, so that
		// their processor demand is not deducted from a worker's capacity. They slow down tasks that
		// have a LatencyTarget.
		Filler bool
	}

	// Job is an accepted job.
	Job struct {
		ID        ID
		Queue     string
		Workspace string
		// Spec is a text that is passed to the worker with each task.
		Spec  string
		Steps []Step
		// Accepted is the time at which the job was accepted, on the clock of the job's holder.
		Accepted time.Time
		Terms    Terms
		Schedule Schedule
	}

	// Terms are the service terms that a queue gives its jobs.
	Terms struct {
		// Priority is the priority of the queue; 0 is the highest.
		Priority int
		// Attempts is the number of failed runs after which a task is not retried.
		Attempts int
		// Stretch and Goal determine the time within which a job should be done: Stretch times its
		// critical path, plus Goal.
		Stretch float64
		Goal    time.Duration
		// Advised indicates that the queue's policy permits only some workers for a step; the advice
		// service returns which ones.
		Advised bool
	}

	// TaskID identifies a task in a round of a job.
	TaskID struct {
		Job   ID
		Round int
		Step  int
		Index int
	}
)

// Demand returns the resources that a task deducts from its worker's capacity.
func (s Step) Demand() Shape {
	shape := s.Shape
	if s.Filler {
		shape.CPUMillis = 0
	}
	return shape
}

// Add returns the sum of two shapes.
func (s Shape) Add(o Shape) Shape {
	return Shape{s.CPUMillis + o.CPUMillis, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

// Sub returns the difference of two shapes.
func (s Shape) Sub(o Shape) Shape {
	return Shape{s.CPUMillis - o.CPUMillis, s.MemoryMB - o.MemoryMB, s.Accelerators - o.Accelerators}
}

// Times returns the shape of n identical tasks.
func (s Shape) Times(n int) Shape {
	return Shape{s.CPUMillis * n, s.MemoryMB * n, s.Accelerators * n}
}

// Max returns the larger of two shapes, resource by resource.
func (s Shape) Max(o Shape) Shape {
	return Shape{max(s.CPUMillis, o.CPUMillis), max(s.MemoryMB, o.MemoryMB), max(s.Accelerators, o.Accelerators)}
}

// AnyNegative reports whether the amount of any resource is negative.
func (s Shape) AnyNegative() bool {
	return s.CPUMillis < 0 || s.MemoryMB < 0 || s.Accelerators < 0
}

// FitCount returns how many tasks of a shape fit. It returns 0 if the amount of any resource is negative, even if the
// task does not need that resource.
func (s Shape) FitCount(task Shape) int {
	if s.AnyNegative() {
		return 0
	}
	count := quotient(s.Accelerators, task.Accelerators)
	if count > 0 {
		count = min(count, quotient(s.CPUMillis, task.CPUMillis), quotient(s.MemoryMB, task.MemoryMB))
	}
	return count
}

// quotient returns how often part fits into whole, without a limit if part is 0.
func quotient(whole, part int) int {
	switch {
	case part <= 0:
		return math.MaxInt32
	case whole < part:
		return 0
	}
	return whole / part
}

// coresPerAccelerator is the number of processor cores that an accelerator counts as in the users' prices of work.
const coresPerAccelerator = 8

// Cores returns the size of a shape in processor cores, with each accelerator counted as coresPerAccelerator cores.
func (s Shape) Cores() float64 {
	return float64(s.CPUMillis)/1000 + float64(s.Accelerators*coresPerAccelerator)
}

// String formats a shape for logs.
func (s Shape) String() string {
	return fmt.Sprintf("%d accelerators, %g cores, %d MB", s.Accelerators, float64(s.CPUMillis)/1000, s.MemoryMB)
}

// String returns a task's name, as it is passed to workers.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Round, t.Step, t.Index)
}

// StepName returns the name of the task's step, as it is sent to the advice service.
func (t TaskID) StepName() string {
	return fmt.Sprintf("%s.%d.%d", t.Job, t.Round, t.Step)
}

// ParseTaskID parses a task's name, as returned by String.
func ParseTaskID(text string) (TaskID, bool) {
	words := strings.Split(text, ".")
	const parts = 4
	if len(words) != parts || words[0] == "" {
		return TaskID{}, false
	}
	var numbers [parts - 1]int
	for i, word := range words[1:] {
		n, err := strconv.Atoi(word)
		if err != nil || n < 0 {
			return TaskID{}, false
		}
		numbers[i] = n
	}
	return TaskID{Job: ID(words[0]), Round: numbers[0], Step: numbers[1], Index: numbers[2]}, true
}

// CriticalPath returns the estimated run time of the longest chain of dependent steps.
func (j Job) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i, step := range j.Steps {
		begin := time.Duration(0)
		for _, before := range step.After {
			begin = max(begin, ends[before])
		}
		ends[i] = begin + step.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Due returns the time by which the job should be done; for a job that repeats, that of its first round.
func (j Job) Due() time.Time {
	return j.RoundDue(0)
}
