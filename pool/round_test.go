package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/job"
)

// repeatingJob returns a job of one task with a schedule.
func repeatingJob(sim *simulation, work, delay, interval time.Duration, rounds int) job.Job {
	j := oneTask(1, work)
	j.Schedule = job.Schedule{Repeats: rounds, First: sim.now.Add(delay), Interval: interval}
	return j
}

func TestRoundsStartOnSchedule(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 3)
	sim.run(300 * time.Millisecond)
	j := repeatingJob(sim, 200*time.Millisecond, time.Second, time.Second, 3)
	sim.submit(j)
	sim.run(900 * time.Millisecond)
	is.Equal(sim.starts, 0)
	is.Equal(sim.state(j.ID), Queued)
	is.Equal(len(sim.core.waitingByQueue()), 0) // a job with a schedule does not count as waiting
	sim.run(400 * time.Millisecond)
	is.Equal(sim.starts, 1)
	is.Equal(sim.state(j.ID), Active) // two rounds are to come
	sim.run(time.Second)
	is.Equal(sim.starts, 2)
	sim.run(2 * time.Second)
	is.Equal(sim.starts, 3)
	is.Equal(sim.state(j.ID), Done)
}

func TestRoundsMayOverlap(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 3)
	sim.run(300 * time.Millisecond)
	j := repeatingJob(sim, 2*time.Second, 0, 500*time.Millisecond, 3)
	sim.submit(j)
	sim.run(1300 * time.Millisecond)
	is.Equal(sim.starts, 3)
	is.Equal(len(sim.core.jobs[j.ID].rounds), 3)
	sim.run(3 * time.Second)
	is.Equal(sim.state(j.ID), Done)
	is.Equal(len(sim.core.jobs[j.ID].groups), 0) // done rounds take no memory
}

// A new holder neither repeats done rounds nor drops those to come.
func TestRoundsSurviveATakeover(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 3)
	sim.run(300 * time.Millisecond)
	j := repeatingJob(sim, 300*time.Millisecond, 0, time.Second, 4)
	sim.submit(j)
	sim.run(1500 * time.Millisecond)
	is.Equal(sim.starts, 2)
	sim.takeOver()
	sim.run(300 * time.Millisecond)
	is.Equal(sim.starts, 2) // done rounds are not repeated
	sim.run(4 * time.Second)
	is.Equal(sim.starts, 4)
	is.Equal(sim.state(j.ID), Done)
}

// A round may be done before an earlier one. A new holder must not repeat it.
func TestRoundThatOvertookAnotherIsNotRepeated(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2)
	sim.run(300 * time.Millisecond)
	j := repeatingJob(sim, 500*time.Millisecond, 0, 300*time.Millisecond, 2)
	j.Steps[0].Shape.Accelerators = 8
	sim.submit(j)
	sim.run(200 * time.Millisecond)
	for _, f := range sim.workers {
		f.hangs = len(f.running) > 0 // the first round makes no progress
	}
	sim.run(1500 * time.Millisecond)
	is.Equal(sim.starts, 2)
	is.Equal(len(sim.done), 1)
	sim.takeOver()
	sim.run(500 * time.Millisecond)
	is.Equal(sim.starts, 2)
	for _, f := range sim.workers {
		f.hangs = false
	}
	sim.run(2 * time.Second)
	is.Equal(sim.starts, 2)
	is.Equal(sim.state(j.ID), Done)
}

func TestOpenRoundsAreBounded(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 3)
	sim.run(300 * time.Millisecond)
	j := repeatingJob(sim, time.Hour, 0, time.Millisecond, 10*maxOpenRounds)
	sim.submit(j)
	sim.run(2 * time.Second)
	is.Equal(len(sim.core.jobs[j.ID].rounds), maxOpenRounds)
}

func TestCancelledJobOpensNoRound(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 3)
	sim.run(300 * time.Millisecond)
	j := repeatingJob(sim, 100*time.Millisecond, time.Second, time.Second, 3)
	sim.submit(j)
	sim.run(500 * time.Millisecond)
	sim.cancel(j.ID)
	sim.run(5 * time.Second)
	is.Equal(sim.starts, 0)
	is.Equal(sim.state(j.ID), Cancelled)
}

// MaxPerWorker applies to each round separately.
func TestMaxPerWorkerAppliesToEachRound(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 1)
	sim.run(300 * time.Millisecond)
	j := repeatingJob(sim, 2*time.Second, 0, 300*time.Millisecond, 2)
	j.Steps[0].MaxPerWorker = 1
	sim.submit(j)
	sim.run(time.Second)
	is.Equal(sim.countRunning(j.ID), 2)
}

// A gang is done when its first task succeeds. Its tasks that are still running are stopped when the round is over.
func TestRemainingTasksOfADoneRoundAreStopped(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2)
	sim.run(300 * time.Millisecond)
	j := repeatingJob(sim, time.Hour, 0, time.Second, 1)
	j.Steps[0].Count = 2
	j.Steps[0].Gang = true
	j.Steps[0].Shape.Accelerators = 8
	sim.submit(j)
	sim.runUntil("both run", func() bool { return sim.countRunning(j.ID) == 2 })
	sim.run(200 * time.Millisecond)
	for key := range sim.workers[0].running {
		sim.workers[0].endRun(sim, key, EndDone)
	}
	sim.run(2 * time.Second)
	is.Equal(sim.state(j.ID), Done)
	is.Equal(sim.countRunning(j.ID), 0)
	is.Equal(sim.gangTimeouts, 0) // it was stopped before its worker ended it
}
