package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/job"
)

// servingAndFilling returns a job with a task that serves, and one with fillers, one a worker.
func servingAndFilling(fillers int) (serving, filling job.Job) {
	serving = longRunningJob(1, 1, 1, 1)
	serving.Terms.Priority = 0
	serving.Steps[0].LatencyTarget = 200 * time.Millisecond
	filling = longRunningJob(2, fillers, 0, 0)
	filling.Terms.Priority = 2
	filling.Steps[0].Filler = true
	filling.Steps[0].MaxPerWorker = 1
	return serving, filling
}

// Guards against LOST: a task that serves lost its worker and never ran again, as each other worker had a filler.
func TestFillersGiveWayToATaskThatServes(t *testing.T) {
	for name, change := range map[string]func(serving, filling *job.Job){
		"less urgent fillers":       func(*job.Job, *job.Job) {},
		"fillers of equal priority": func(_, filling *job.Job) { filling.Terms.Priority = 0 },
		"fillers that are due earlier": func(serving, filling *job.Job) {
			filling.Terms.Priority, serving.Terms.Goal = 0, time.Hour
		},
		"fillers of which one may be away": func(_, filling *job.Job) {
			filling.Steps[0].MaxUnavailable = 1
		},
		"both are least urgent": func(serving, _ *job.Job) { serving.Terms.Priority = 2 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, 3)
			sim.run(300 * time.Millisecond)
			serving, filling := servingAndFilling(2)
			change(&serving, &filling)
			sim.submit(serving)
			sim.run(time.Second)
			sim.submit(filling)
			sim.run(2 * time.Second)
			is.Equal(sim.countRunning(filling.ID), 2)
			for _, f := range sim.workers {
				if len(f.running) > 0 && f.runs(serving.ID) {
					f.silent = true
				}
			}
			sim.run(10 * time.Second)
			running := 0
			for _, f := range sim.workers {
				if !f.silent && f.runs(serving.ID) {
					running++
					is.True(!f.runs(filling.ID))
				}
			}
			is.Equal(running, 1)
			starts := sim.starts
			sim.run(5 * time.Second)
			is.Equal(sim.starts, starts) // the two don't displace one another
		})
	}
}

// runs reports whether a task of a job runs on the worker.
func (f *fakeWorker) runs(id job.ID) bool {
	for key := range f.running {
		if key.task.Job == id {
			return true
		}
	}
	return false
}

// Fillers of a higher priority, and those of which none may be away, stay.
func TestFillersThatMayNotBeStoppedStay(t *testing.T) {
	for name, change := range map[string]func(serving, filling *job.Job){
		"more urgent fillers": func(serving, filling *job.Job) { serving.Terms.Priority, filling.Terms.Priority = 1, 0 },
		"one is away already": func(_, filling *job.Job) { filling.Steps[0].Count, filling.Steps[0].MaxUnavailable = 3, 1 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, 2)
			sim.run(300 * time.Millisecond)
			serving, filling := servingAndFilling(2)
			change(&serving, &filling)
			sim.submit(filling)
			sim.run(2 * time.Second)
			sim.submit(serving)
			sim.run(3 * time.Second)
			is.Equal(sim.countRunning(filling.ID), 2)
			is.Equal(sim.countRunning(serving.ID), 0)
		})
	}
}
