package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/job"
)

// longRunningJob returns a job with long-running tasks.
func longRunningJob(id, tasks, accelerators, mayMiss int) job.Job {
	j := oneTask(id, time.Hour)
	j.Steps[0].Count = tasks
	j.Steps[0].LongRunning = true
	j.Steps[0].MaxUnavailable = mayMiss
	j.Steps[0].Shape.Accelerators = accelerators
	j.Terms.Priority = 1
	return j
}

// countRunning returns the number of running tasks of a job.
func (sim *simulation) countRunning(id job.ID) int {
	count := 0
	for _, f := range sim.workers {
		for key := range f.running {
			if key.task.Job == id {
				count++
			}
		}
	}
	return count
}

func TestLongRunningTasksAreRestarted(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 3)
	sim.run(300 * time.Millisecond)
	j := longRunningJob(1, 3, 1, 0)
	sim.submit(j)
	sim.run(time.Second)
	is.Equal(sim.countRunning(j.ID), 3)
	for range 5 {
		for _, f := range sim.workers {
			for key := range f.running {
				f.endRun(sim, key, EndFailed)
			}
		}
		sim.failures = map[job.TaskID]int{} // attempts do not bound long-running tasks
		sim.run(6 * time.Second)
		is.Equal(sim.countRunning(j.ID), 3)
	}
	is.Equal(sim.state(j.ID), Active)
	sim.cancel(j.ID)
	sim.run(time.Second)
	is.Equal(sim.countRunning(j.ID), 0)
}

func TestLongRunningTasksArePreemptedWithinMaxUnavailable(t *testing.T) {
	for _, test := range []struct {
		name       string
		mayMiss    int
		guaranteed int
		left       int
	}{
		{"one may be away", 1, 0, 2},
		{"one may be away, for guaranteed work too", 1, 16, 2},
		{"two may be away", 2, 0, 1},
		{"not said, beyond a guarantee", 0, 0, 3},
		{"not said, within a guarantee", 0, 16, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, 3)
			sim.guarantee("w", test.guaranteed)
			sim.core.settings.DisplaceFactor = 1000
			sim.run(300 * time.Millisecond)
			j := longRunningJob(1, 3, 8, test.mayMiss)
			sim.submit(j)
			sim.run(time.Second)
			is.Equal(sim.countRunning(j.ID), 3)
			for id := range 2 {
				urgent := oneTask(2+id, 10*time.Second)
				urgent.Workspace = "w"
				urgent.Steps[0].Shape.Accelerators = 8
				sim.submit(urgent)
			}
			sim.run(2 * time.Second)
			is.Equal(sim.countRunning(j.ID), test.left)
		})
	}
}

// A filler slows a task with a target down by an unknown amount.
func TestFillersAvoidTasksWithATarget(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2)
	sim.run(300 * time.Millisecond)
	serving := longRunningJob(1, 1, 1, 0)
	serving.Steps[0].LatencyTarget = 100 * time.Millisecond
	sim.submit(serving)
	sim.run(500 * time.Millisecond)
	filler := oneTask(2, time.Hour)
	filler.Steps[0].Count = 8
	filler.Steps[0].Filler = true
	filler.Steps[0].Shape = job.Shape{CPUMillis: 128000, MemoryMB: 1000, Accelerators: 1}
	sim.submit(filler)
	sim.run(time.Second)
	is.Equal(sim.countRunning(filler.ID), 8) // fillers take no CPU capacity
	for _, f := range sim.workers {
		jobs := map[job.ID]bool{}
		for key := range f.running {
			jobs[key.task.Job] = true
		}
		is.True(len(jobs) <= 1)
	}
	second := longRunningJob(3, 1, 0, 0)
	second.Steps[0].LatencyTarget = 100 * time.Millisecond
	sim.submit(second)
	sim.run(time.Second)
	is.Equal(sim.countRunning(second.ID), 1) // beside the other task with a target
}

// A restarted long-running task counts as unavailable until it is ready.
func TestRestartedLongRunningTaskIsUnavailableUntilReady(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2)
	sim.core.settings.DisplaceFactor = 1000
	sim.workers[1].labels = []string{"wanted"}
	sim.run(300 * time.Millisecond)
	j := longRunningJob(1, 2, 8, 1)
	sim.submit(j)
	sim.run(2 * time.Second)
	for key := range sim.workers[0].running {
		sim.workers[0].endRun(sim, key, EndFailed)
	}
	sim.failures = map[job.TaskID]int{}
	sim.runUntil("it runs again", func() bool { return sim.countRunning(j.ID) == 2 })
	urgent := oneTask(2, time.Second)
	urgent.Steps[0].Shape.Accelerators = 8
	urgent.Steps[0].Label = "wanted"
	sim.submit(urgent)
	sim.run(200 * time.Millisecond)
	is.Equal(sim.countEvents(EventPreempted), 0)
	sim.run(time.Second)
	is.Equal(sim.countEvents(EventPreempted), 1)
}

// A long-running task that is unavailable already may be preempted as well; it does not count twice.
func TestUnavailableLongRunningTasksCountOnce(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 3)
	sim.core.settings.DisplaceFactor = 1000
	sim.run(300 * time.Millisecond)
	j := longRunningJob(1, 3, 8, 2)
	sim.submit(j)
	sim.run(2 * time.Second)
	for key := range sim.workers[0].running {
		sim.workers[0].endRun(sim, key, EndFailed)
	}
	sim.failures = map[job.TaskID]int{}
	sim.runUntil("it runs again", func() bool { return sim.countRunning(j.ID) == 3 })
	urgent := gang(2, 2, 8, time.Second)
	sim.submit(urgent)
	sim.run(300 * time.Millisecond)
	is.Equal(sim.countEvents(EventPreempted), 2)
}
