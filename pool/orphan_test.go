package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/job"
)

// A worker may have an orphan run, for instance because an order of an earlier holder was carried out late. It uses
// capacity until it has ended.
func TestOrphanRunUsesCapacityUntilItEnds(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 1)
	orphan := gang(1, 1, 8, time.Hour)
	orphan.Steps[0].Label = "no worker has this"
	sim.submit(orphan)
	f := sim.workers[0]
	f.running[runKey{job.TaskID{Job: orphan.ID}, 1}] = &fakeRun{acceptedAt: sim.now, startedAt: sim.now, work: time.Hour}
	f.leaseUntil = sim.now.Add(DefaultSettings().AgentLease)
	sim.submit(gang(2, 1, 8, 200*time.Millisecond))
	sim.run(60 * time.Millisecond)
	is.Equal(sim.starts, 0)
	sim.run(2 * time.Second)
	is.Equal(sim.countEvents(EventOrphanStopped), 1)
	is.Equal(sim.state("0000000000000002"), Done) // the simulation checks that there was capacity
}

// A worker may carry out a start seconds after the job was cancelled and its run aborted, by an order of an earlier or
// of the current holder. The run is stopped soon after it is reported.
func TestLateStartAfterCancellationIsStopped(t *testing.T) {
	for name, takeOver := range map[string]bool{"the same holder": false, "its starter was replaced": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, 2)
			sim.losesReply = func() bool { return true }
			f := sim.workers[0]
			sim.submit(gang(1, 2, 8, time.Hour))
			sim.run(100 * time.Millisecond)
			sim.cancel("0000000000000001")
			sim.losesReply = func() bool { return false }
			sim.run(time.Second)
			if takeOver {
				sim.takeOver()
			}
			is.Equal(len(f.running), 0)
			late := runKey{job.TaskID{Job: "0000000000000001"}, 1}
			f.running[late] = &fakeRun{acceptedAt: sim.now, startedAt: sim.now, work: time.Hour}
			sim.run(500 * time.Millisecond)
			is.Equal(len(f.running), 0)
			is.Equal(sim.countEvents(EventOrphanStopped), 1)
		})
	}
}

// orphanAfterPause returns a simulation of two workers in which the holder counts a job's run as lost, but the run goes on,
// since its VM was paused and the worker's clock with it. The worker does not answer yet.
func orphanAfterPause(t *testing.T) (sim *simulation, paused, other *fakeWorker) {
	t.Helper()
	sim = newSimulation(t, 2)
	sim.run(300 * time.Millisecond)
	sim.submit(gang(1, 1, 8, time.Hour))
	sim.run(time.Second)
	paused, other = sim.workers[0], sim.workers[1]
	if len(paused.running) == 0 {
		paused, other = other, paused
	}
	paused.silent = true
	paused.leaseUntil = sim.now.Add(time.Minute)
	other.draining = true
	sim.runUntil("the run is lost", func() bool { return sim.countEvents(EventRunLost) == 1 })
	return sim, paused, other
}

// Guards against a second run of a task that is placed although a listing shows that the first one goes on.
func TestNoTaskIsPlacedBesideItsOrphanRun(t *testing.T) {
	is := is.New(t)
	sim, paused, other := orphanAfterPause(t)
	sim.run(time.Second)
	paused.silent, other.draining = false, false
	sim.runUntil("the run is listed", func() bool { return sim.countEvents(EventOrphanStopped) == 1 })
	is.Equal(sim.countEvents(EventPlaced), 1)
	sim.run(3 * time.Second) // the simulation checks that no task runs twice at a time
	is.Equal(sim.starts, 2)
}

// Guards against a second run of a task whose start is sent although a listing has shown since its placement that the first
// one goes on.
func TestNoTaskIsStartedBesideItsOrphanRun(t *testing.T) {
	is := is.New(t)
	sim, paused, other := orphanAfterPause(t)
	sim.storeDown = true // so that placements are not committed
	other.draining = false
	sim.runUntil("the task is placed again", func() bool { return sim.countEvents(EventPlaced) == 2 })
	paused.silent = false
	sim.runUntil("the run is listed", func() bool { return sim.countEvents(EventOrphanStopped) == 1 })
	sim.storeDown = false
	sim.run(3 * time.Second) // the simulation checks that no task runs twice at a time
	is.Equal(sim.starts, 2)
}
