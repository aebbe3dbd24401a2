package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/hollyfork/job"
)

// Guards against a task that runs twice because its worker was replaced under the same name. Orders name only the
// worker, so a start that was sent to the ended instance may be carried out by the next. If the holder then releases
// all that was placed on the ended instance, it starts run 2 of the task on another worker while run 1 is still
// running.
func TestStartThatReachesTheNextInstanceRunsOnce(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2)
	sim.run(time.Second)
	sim.orderDelay = 50 * time.Millisecond
	sim.submit(oneTask(1, 2*time.Second))
	sim.runUntil("the start is sent", func() bool { return sim.sentStartTo(1) != nil })
	f := sim.sentStartTo(1)
	f.restartWorker() // before its agent polls it
	sim.run(10 * time.Second)
	is.Equal(sim.state("0000000000000001"), Done)
	is.Equal(sim.starts, 1)
}

// The reply to a start is lost, its worker ends, and the start reaches the next instance late. Guards against the run
// being taken for lost and another being started beside it.
func TestLateStartOnTheNextInstanceRunsOnce(t *testing.T) {
	is := is.New(t)
	sim, f := startWithLostReply(t, 700*time.Millisecond, 2*time.Second)
	sim.run(50 * time.Millisecond) // the start was sent once
	sim.losesReply = func() bool { return false }
	sim.lateStartDelay = nil
	f.unansweredStarts = nil // so that the new instance does not refuse the start
	f.restartWorker()
	sim.run(10 * time.Second)
	is.Equal(sim.state("0000000000000001"), Done)
}

// The same as TestLateStartOnTheNextInstanceRunsOnce, with a new holder that knows the placement only from the job's
// row.
func TestLateStartAfterATakeoverRunsOnce(t *testing.T) {
	is := is.New(t)
	sim, f := startWithLostReply(t, 700*time.Millisecond, 2*time.Second)
	sim.run(50 * time.Millisecond)
	sim.losesReply = func() bool { return false }
	sim.lateStartDelay = nil
	f.unansweredStarts = nil
	f.restartWorker()
	sim.takeOver()
	sim.run(10 * time.Second)
	is.Equal(sim.state("0000000000000001"), Done)
}

// Workers restart under their names at random moments, and starts are carried out late.
func TestWorkerRestartsInRandomHistories(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runRestartHistory(t, seed)
		})
	}
}

// runRestartHistory runs one random history, and fails the test if a job has not ended a minute after it.
func runRestartHistory(t *testing.T, seed uint64) {
	t.Helper()
	sim := newSimulation(t, 6)
	sim.random = newRandom(seed)
	sim.policy = func(string) bool { return true }
	sim.ticketValidity = 3 * time.Second
	sim.losesReply = func() bool { return sim.random.IntN(6) == 0 }
	sim.lateStartDelay = func() time.Duration { return time.Duration(sim.random.IntN(3000)) * time.Millisecond }
	for id := 1; id <= 40; id++ {
		sim.submit(randomJob(sim, id))
		sim.run(time.Duration(sim.random.IntN(500)) * time.Millisecond)
		f := sim.workers[sim.random.IntN(len(sim.workers))]
		switch sim.random.IntN(6) {
		case 0, 1:
			f.restartWorker()
		case 2:
			f.restartAgent()
		case 3:
			sim.takeOver()
		case 4:
			if !f.down {
				f.terminate(sim)
			}
		}
	}
	sim.clearFaults()
	sim.losesReply = func() bool { return false }
	sim.lateStartDelay = nil
	sim.run(time.Minute)
	for id := range sim.jobs {
		if !sim.state(id).ended() {
			t.Errorf("job %s has not ended: %s", id, sim.state(id))
		}
	}
}

// startWithLostReply returns a simulation of two workers and the worker of the first job's only task. The reply to its
// start is lost, and the start is carried out late.
func startWithLostReply(t *testing.T, late, work time.Duration) (*simulation, *fakeWorker) {
	t.Helper()
	sim := newSimulation(t, 2)
	sim.run(time.Second)
	sim.losesReply = func() bool { return true }
	sim.lateStartDelay = func() time.Duration { return late }
	sim.submit(oneTask(1, work))
	sim.runUntil("the start is sent", func() bool { return sim.sentStartTo(1) != nil })
	return sim, sim.sentStartTo(1)
}

// sentStartTo returns the worker to which the start of a single-task job may have been sent, or nil.
func (sim *simulation) sentStartTo(id int) *fakeWorker {
	g := sim.core.jobs[job.ID(fmt.Sprintf("%016x", id))].groups[0]
	if !g.placed() || g.members[0].phase == memberPlaced || !g.members[0].maybeSent {
		return nil
	}
	return sim.workerByName(g.members[0].worker.agent)
}

// The worker ends before it replies to a start, and its agent reports that at once. The task must not be placed
// elsewhere while the start may still reach the next instance.
func TestStartDelayedUntilTheNextInstanceRunsOnce(t *testing.T) {
	is := is.New(t)
	sim, f := startWithLostReply(t, restartDelay+150*time.Millisecond, 4*time.Second)
	sim.run(10 * time.Millisecond)
	sim.losesReply = func() bool { return false }
	sim.lateStartDelay = nil
	f.unansweredStarts = nil
	f.terminate(sim)
	sim.run(20 * time.Second)
	is.Equal(sim.state("0000000000000001"), Done)
}

// If the worker does not come back, the start is abandoned when its order has expired.
func TestStartNeverCarriedOutIsAbandoned(t *testing.T) {
	is := is.New(t)
	sim, f := startWithLostReply(t, time.Hour, time.Second)
	sim.losesReply = func() bool { return false }
	sim.lateStartDelay = nil
	f.down, f.agentNoticesAt = true, sim.now // for good
	sim.run(7 * time.Second)
	is.Equal(sim.state("0000000000000001"), Done)
}

// Guards against a stop that was confirmed by an ended instance being taken for one of the next instance, which may
// still start the run.
func TestStopOfAnEndedInstanceDoesNotCountForTheNext(t *testing.T) {
	is := is.New(t)
	sim, f := startWithLostReply(t, time.Hour, 2*time.Second)
	sim.cancel("0000000000000001")
	stop := Orders{Agent: f.name, Instance: f.instance, Grant: Grant{Incarnation: f.incarnation}, Stops: []Stop{{Task: job.TaskID{Job: "0000000000000001"}, Run: 1}}}
	sim.orderDelay = time.Hour
	f.restartWorker()
	sim.run(200 * time.Millisecond) // the holder learns of the next instance
	m := sim.core.jobs["0000000000000001"].groups[0].members[0]
	is.Equal(m.instance, f.instance)
	sim.core.HandleResults(sim.now, stop, Results{Listing: f.listing, Stops: []Result{ResultOK}})
	is.True(!m.stopConfirmed)
}

// A worker without a known start time has a new name as each instance, so that the next instance refuses a start for
// the ended one, and the task is placed again at once. Waiting for the worker to come back, as is needed if the name
// recurs, delayed the task by 2.2 s.
func TestStartForARenamedWorkerIsRetriedAtOnce(t *testing.T) {
	is := is.New(t)
	sim, f := startWithLostReply(t, time.Hour, time.Second)
	sim.losesReply = func() bool { return false }
	sim.lateStartDelay = nil
	m := sim.core.jobs["0000000000000001"].groups[0].members[0]
	m.instance, f.instance = instance.Parse("i-old"), instance.Parse("i-old")
	f.down, f.agentNoticesAt = true, sim.now
	sim.run(2 * time.Second)
	is.Equal(sim.state("0000000000000001"), Done)
}

// An agent that does not know the current instance refuses all starts. Guards against ordering the same starts again
// and again.
func TestWorkerThatIsNotReadyGetsNoStarts(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 1)
	f := sim.workers[0]
	sim.submit(oneTask(1, 2*time.Second))
	sim.runUntil("a task runs", func() bool { return len(f.running) == 1 })
	f.notReady = true
	sim.run(200 * time.Millisecond)
	sim.submit(oneTask(2, time.Second))
	sim.run(time.Second)
	is.Equal(sim.countEvents(EventStartRejected), 0)
	is.Equal(len(f.running), 1) // the running task continues
	f.notReady = false
	sim.run(200 * time.Millisecond)
	is.Equal(len(f.running), 2) // the start needs no other event
	sim.run(3 * time.Second)
	is.Equal(sim.state("0000000000000001"), Done)
	is.Equal(sim.state("0000000000000002"), Done)
}
