package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/store"
)

func TestJobsComplete(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 3)
	sim.run(300 * time.Millisecond)
	sim.submit(oneTask(1, time.Second))
	sim.submit(gang(2, 3, 8, time.Second))
	sim.run(4 * time.Second)
	is.Equal(sim.state("0000000000000001"), Done)
	is.Equal(sim.state("0000000000000002"), Done)
	is.Equal(sim.starts, 4)
}

func TestStepsRunInOrder(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 3)
	sim.run(300 * time.Millisecond)
	j := oneTask(1, 500*time.Millisecond)
	j.Steps[0].Count = 5
	second := j.Steps[0]
	second.After = []int{0}
	j.Steps = append(j.Steps, second)
	sim.submit(j)
	sim.run(4 * time.Second)
	is.Equal(sim.state(j.ID), Done)
	is.Equal(sim.starts, 10)
}

// Guards against a task that runs twice after a takeover. The new holder finds a run in its row and orders it from an
// agent without a lease. It must not take the refusal for proof that the run has not started and start it elsewhere,
// since it may run by an order of the former holder.
func TestRestoredRunIsNotStartedElsewhere(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 3)
	sim.run(300 * time.Millisecond)
	sim.submit(oneTask(1, 6*time.Second))
	sim.run(time.Second)
	is.Equal(sim.starts, 1)
	for _, f := range sim.workers {
		f.restartAgent()
	}
	sim.takeOver()
	orders := sim.core.TakeOrders(sim.now)
	is.Equal(len(orders), 0) // running tasks are unknown before the first listing
	sim.run(8 * time.Second)
	is.Equal(sim.state("0000000000000001"), Done)
	is.Equal(sim.starts, 1)
}

// A restarted agent reports its worker by heartbeat before it has listed the worker's runs.
func TestNothingIsOrderedBeforeTheFirstListing(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 1)
	sim.run(300 * time.Millisecond)
	sim.submit(oneTask(1, 6*time.Second))
	sim.run(time.Second)
	sim.takeOver()
	f := sim.workers[0]
	report := f.report(sim)
	report.Listing = 0
	report.Running = nil
	sim.core.RecordReply(sim.now, f.name, Grant{Incarnation: f.incarnation, Reading: sim.storeClock()})
	sim.core.Report(sim.now, f.name, report)
	sim.core.Tick(sim.now)
	is.Equal(len(sim.core.TakeOrders(sim.now)), 0)
	sim.core.Report(sim.now, f.name, f.report(sim))
	sim.core.Tick(sim.now)
	is.Equal(len(sim.core.TakeOrders(sim.now)), 0) // the run was listed
}

// Several tasks of a gang may be listed as failed, but the gang has failed once.
func TestGangFailureIsCountedOnce(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2)
	sim.run(300 * time.Millisecond)
	j := gang(1, 4, 4, 20*time.Second)
	sim.submit(j)
	sim.run(time.Second)
	for _, f := range sim.workers {
		for key := range f.running {
			f.endRun(sim, key, EndFailed)
		}
	}
	sim.run(time.Second)
	is.Equal(sim.core.jobs[j.ID].groups[0].failures, 1)
	is.Equal(sim.state(j.ID), Active)
}

func TestRefusedStartOfRestoredRunIsStopped(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 3)
	sim.run(300 * time.Millisecond)
	sim.submit(oneTask(1, 6*time.Second))
	sim.run(30 * time.Millisecond)
	sim.takeOver()
	j := sim.core.jobs["0000000000000001"]
	m := j.groups[0].members[0]
	sim.core.memberNotListed(sim.now, m, 1) // the start is sent again only after a listing without the run
	m.sendCount = 1
	sim.core.startResult(sim.now, m, ResultNoCapacity, 0)
	is.Equal(m.phase, memberStopping)
}

func TestLostWorkerIsReplacedAfterItsLease(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 3)
	sim.run(300 * time.Millisecond)
	sim.submit(oneTask(1, 3*time.Second))
	sim.run(time.Second)
	for _, f := range sim.workers {
		f.silent = len(f.running) > 0
	}
	sim.run(4 * time.Second)
	is.Equal(sim.starts, 1) // its lease may still be valid
	sim.run(6 * time.Second)
	is.Equal(sim.state("0000000000000001"), Done)
	is.Equal(sim.starts, 2)
}

func TestFailingWorkerIsQuarantined(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 4)
	sim.workers[0].fails = true
	sim.run(300 * time.Millisecond)
	for i := range 30 {
		sim.submit(oneTask(i, 500*time.Millisecond))
		sim.run(100 * time.Millisecond)
	}
	sim.run(5 * time.Second)
	for i := range 30 {
		is.Equal(sim.state(job.ID(fmt.Sprintf("%016x", i))), Done)
	}
	is.True(sim.countEvents(EventQuarantined) > 0)
	is.True(sim.starts <= 36) // 30, and the failures before the quarantine
}

func TestJobFailsWhenOutOfAttempts(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 4)
	for _, f := range sim.workers {
		f.fails = true
	}
	sim.run(300 * time.Millisecond)
	sim.submit(oneTask(1, time.Second))
	sim.run(30 * time.Second)
	is.Equal(sim.state("0000000000000001"), Failed)
	is.Equal(sim.starts, 3)
}

func TestStalledTaskIsStartedElsewhere(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 3)
	sim.run(300 * time.Millisecond)
	sim.submit(oneTask(1, 2*time.Second))
	sim.run(time.Second)
	for _, f := range sim.workers {
		f.hangs = len(f.running) > 0
	}
	sim.run(8 * time.Second)
	is.Equal(sim.state("0000000000000001"), Done)
}

// fillTwoWorkers submits jobs of lower priority that take the capacity of two workers.
func fillTwoWorkers(sim *simulation, work time.Duration) {
	for i := range 16 {
		j := oneTask(i, work)
		j.Terms.Priority = 2
		sim.submit(j)
	}
	sim.run(time.Second)
}

func TestGuaranteedGangPreemptsOthers(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2)
	sim.guarantee("urgent", 8)
	sim.run(300 * time.Millisecond)
	fillTwoWorkers(sim, 20*time.Second)
	urgent := gang(99, 2, 4, time.Second)
	urgent.Workspace = "urgent"
	sim.submit(urgent)
	sim.run(500 * time.Millisecond)
	is.Equal(sim.state(urgent.ID), Active)
	sim.run(2 * time.Second)
	is.Equal(sim.state(urgent.ID), Done)
}

func TestUrgentWorkBeyondGuaranteePreemptsOnlyCheaperWork(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2)
	sim.guarantee("urgent", 4)
	sim.run(300 * time.Millisecond)
	fillTwoWorkers(sim, 20*time.Second)
	costly := gang(98, 2, 4, 100*time.Millisecond)
	costly.Workspace = "urgent"
	sim.submit(costly)
	sim.run(500 * time.Millisecond)
	is.Equal(sim.state(costly.ID), Queued)
	worthwhile := gang(99, 2, 4, 10*time.Second)
	worthwhile.Workspace = "urgent"
	sim.submit(worthwhile)
	sim.run(time.Second)
	is.Equal(sim.state(worthwhile.ID), Active)
}

// Guards against urgent jobs beyond their guarantee taking the capacity that was freed for a guaranteed job, so that
// more work is preempted each time.
func TestGuaranteedWorkGetsTheCapacityFreedForIt(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 6)
	sim.guarantee("small", 12)
	sim.run(300 * time.Millisecond)
	for i := range 48 {
		j := oneTask(i, 20*time.Second)
		j.Terms.Priority = 2
		sim.submit(j)
	}
	sim.run(time.Second)
	for i := range 7 {
		j := oneTask(100+i, 400*time.Millisecond)
		j.Steps[0].Shape.Accelerators = 8
		sim.submit(j)
	}
	guaranteed := gang(200, 3, 4, 2*time.Second)
	guaranteed.Steps[0].SameRack = true
	guaranteed.Workspace = "small"
	sim.submit(guaranteed)
	sim.run(time.Second)
	is.Equal(sim.state(guaranteed.ID), Active)
	is.True(sim.countEvents(EventPreempted) <= 12) // as many as it needs, once
}

// Guards against a plan that counts the capacity of one victim twice and frees too little. A victim that has not
// started is placed again in the next pass, and the plan repeats.
func TestEachVictimIsCountedOnce(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 3)
	sim.guarantee("urgent", 12)
	sim.run(300 * time.Millisecond)
	for i := range 3 {
		j := gang(i, 1, 8, 20*time.Second)
		j.Terms.Priority = 2
		sim.submit(j)
	}
	sim.core.Decide(sim.now)
	urgent := gang(99, 3, 4, time.Second)
	urgent.Steps[0].SameRack = true
	urgent.Workspace = "urgent"
	sim.submit(urgent)
	sim.core.Decide(sim.now)
	is.Equal(sim.countEvents(EventPreempted), 2)
	sim.core.Decide(sim.now)
	is.Equal(sim.state(urgent.ID), Active)
	is.Equal(sim.countEvents(EventPreempted), 2)
}

func TestUnreachableAgentIsRemoved(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2)
	key := AgentKey("pool", "worker-0")
	sim.rows[key] = store.Row{Key: key, Value: []byte("an address"), Version: 3}
	sim.core.AddAgentRow(sim.now, AgentAddress{Agent: "worker-0", Address: "an address", Key: key, Version: 3})
	sim.run(time.Second)
	sim.workers[0].silent = true
	sim.run(90 * time.Second)
	_, found := sim.rows[key]
	is.True(found)
	sim.run(40 * time.Second)
	_, found = sim.rows[key]
	is.True(!found)
	is.Equal(len(sim.core.workers), 1)
}

func TestCancelledJobIsStopped(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 3)
	sim.run(300 * time.Millisecond)
	sim.submit(gang(1, 3, 8, 20*time.Second))
	sim.run(time.Second)
	sim.cancel("0000000000000001")
	sim.run(time.Second)
	is.Equal(sim.state("0000000000000001"), Cancelled)
	for _, f := range sim.workers {
		is.Equal(len(f.running), 0)
	}
}

func TestDrainingWorkerGetsNoWork(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 3)
	sim.workers[0].draining = true
	sim.workers[1].draining = true
	sim.run(300 * time.Millisecond)
	for i := range 20 {
		sim.submit(oneTask(i, 500*time.Millisecond))
	}
	sim.run(5 * time.Second)
	is.Equal(sim.starts, 20)
	is.Equal(len(sim.workers[0].highestRun)+len(sim.workers[1].highestRun), 0)
}

// Under lost replies, restarts and delays no task runs twice at a time or after it was done, and all jobs end.
func TestRandomHistories(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomHistory(t, seed) })
	}
}

func runRandomHistory(t *testing.T, seed uint64) {
	sim := newSimulation(t, 5)
	sim.random = newRandom(seed)
	sim.losesReply = func() bool { return sim.random.IntN(10) == 0 }
	sim.policy = func(worker string) bool { return worker != "worker-0" }
	sim.ticketValidity = 3 * time.Second
	sim.run(300 * time.Millisecond)
	for i := range 25 {
		sim.submit(randomJob(sim, i))
		sim.run(time.Duration(sim.random.IntN(600)) * time.Millisecond)
		sim.injectFault()
	}
	sim.clearFaults()
	sim.run(60 * time.Second)
	for id, j := range sim.core.jobs {
		if !j.state.ended() {
			t.Errorf("job %s has not ended: %v", id, j.state)
		}
	}
}
