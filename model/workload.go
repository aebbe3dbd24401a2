package model

import (
	"time"

	"hollyfork.example/hollyfork/job"
)

type (
	// Workload describes a pool, the jobs that arrive in it and the troubles meanwhile.
	Workload struct {
		// Length is the time during which jobs arrive.
		Length   time.Duration
		Pool     Pool
		Kinds    []JobKind
		Troubles []Trouble
	}

	// Pool describes the workers, and the speed of the workers and the store.
	Pool struct {
		Workers        int
		WorkersPerRack int
		WorkerCapacity job.Shape
		// Speeds are assigned to the workers in turn. Durations of tasks are stated for speed 1.
		Speeds []float64
		// StartDelay and StopDelay are the times that a task takes to start and to stop. CheckpointInterval is the
		// time between the checkpoints of tasks that can resume from them.
		StartDelay         time.Duration
		StopDelay          time.Duration
		CheckpointInterval time.Duration
		// StoreLatency is the duration of a transaction.
		StoreLatency time.Duration
	}

	// JobKind describes jobs whose sizes and durations are drawn from the same distributions.
	JobKind struct {
		Name string
		// Rate is the mean number of jobs per second. It oscillates with the given period, by up to the share Swing
		// of itself.
		Rate   float64
		Swing  float64
		Period time.Duration

		Priority int
		Attempts int
		// MeanTasks and MaxTasks are the mean and largest number of tasks of a job.
		MeanTasks float64
		MaxTasks  int
		// Shape is the shape of a task without its accelerators, whose number is one of Accelerators.
		Shape        job.Shape
		Accelerators []int
		// MeanWork and MaxWork are the mean and longest duration of a task at speed 1. WorkSpread is the standard
		// deviation as a share of the mean. Callers' estimates are wrong by up to the share EstimateError of the
		// duration.
		MeanWork      time.Duration
		WorkSpread    float64
		MaxWork       time.Duration
		EstimateError float64
		// GangShare is the share of jobs that run as a gang, SameRackShare the share of gangs that are slowed down
		// when they run on several racks, and CheckpointShare the share of jobs whose tasks can resume from
		// checkpoints.
		GangShare       float64
		SameRackShare   float64
		CheckpointShare float64
		// FailureShare is the share of runs that fail.
		FailureShare float64
		// A job should be done within Stretch times its duration, plus Goal.
		Stretch float64
		Goal    time.Duration
		// Value is the value of a job of mean size to its caller if the job is done in time. LateValueShare is the
		// share of it that remains if the job is done within three times the time in which it should be done.
		Value          float64
		LateValueShare float64
	}

	// Trouble is a fault or burst of load that lasts for a while: a Burst, SlowWorkers, FailingWorkers,
	// CrashingWorkers, HolderKilled, SlowStore or SilentStore.
	Trouble interface {
		span() Span
	}

	// Span is the start and duration of a trouble.
	Span struct {
		At, For time.Duration
	}

	// Burst multiplies the arrival rate of the kind Of by Factor.
	Burst struct {
		Span
		Of     string
		Factor float64
	}
	// SlowWorkers slows a share of the workers down by a factor.
	SlowWorkers struct {
		Span
		Share, Factor float64
	}
	// FailingWorkers makes a share of the workers fail all tasks shortly after their start.
	FailingWorkers struct {
		Span
		Share float64
	}
	// CrashingWorkers crashes the processes of a share of the workers. They restart at the end of the span.
	CrashingWorkers struct {
		Span
		Share float64
	}
	// HolderKilled kills the holder's process. Another process takes over the pool after the lease has lapsed.
	HolderKilled struct {
		Span
	}
	// SlowStore multiplies the duration of transactions by a factor.
	SlowStore struct {
		Span
		Factor float64
	}
	// SilentStore is an outage of the store, which answers no requests.
	SilentStore struct {
		Span
	}
)

func (s Span) span() Span {
	return s
}

// end returns the time at which the trouble ends.
func (s Span) end() time.Duration {
	return s.At + s.For
}
