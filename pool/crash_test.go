package pool

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/job"
)

// The tests in this file guard against a task that crashes its workers being started on one worker after the other
// without end, because a run that is lost with its worker counts neither as a failure nor as an attempt. After 219
// such runs the task's row showed no failure; most of the eleven workers were down most of the time, and the tasks
// beside it were lost again and again.

// Times from a task's start to the crash of its worker: soon after the start, and late in its work.
const (
	crashEarly = 200 * time.Millisecond
	crashLate  = 1700 * time.Millisecond
)

func TestTaskThatCrashesItsWorkersFails(t *testing.T) {
	for name, j := range map[string]job.Job{
		"one task":     oneTask(1, 2*time.Second),
		"whole worker": gang(1, 1, 8, 2*time.Second),
		"gang":         gang(1, 4, 3, 2*time.Second),
		"lasts":        endlessJob(1),
	} {
		for _, after := range []time.Duration{0, crashEarly, crashLate} {
			t.Run(fmt.Sprintf("%s after %s", name, after), func(t *testing.T) {
				is := is.New(t)
				sim := newSimulation(t, 11)
				sim.submitCrashing(j, 0, after)
				sim.run(40 * time.Second)
				is.Equal(sim.state(j.ID), Failed)
			})
		}
	}
}

// endlessJob returns a job with a long-running task.
func endlessJob(id int) job.Job {
	j := oneTask(id, time.Hour)
	j.Steps[0].LongRunning = true
	return j
}

// Guards against crash counts that are lost in a takeover: they must survive in the job's row.
func TestCrashCountSurvivesTakeovers(t *testing.T) {
	for _, later := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, time.Second} {
		t.Run(later.String(), func(t *testing.T) {
			sim := newSimulation(t, 11)
			j := gang(1, 3, 4, 2*time.Second)
			sim.submitCrashing(j, 1, crashEarly)
			for crashes := 1; crashes <= 12 && !sim.state(j.ID).ended(); crashes++ {
				sim.runUntil("a worker crashes or the job fails", func() bool {
					return sim.crashes[job.TaskID{Job: j.ID, Index: 1}] >= crashes || sim.state(j.ID).ended()
				})
				sim.run(later)
				sim.takeOver()
			}
			sim.run(5 * time.Second)
			is.New(t).Equal(sim.state(j.ID), Failed)
		})
	}
}

// A worker may crash before it replies to a start, so a start without a reply counts as well.
func TestCrashBeforeTheStartReplyCounts(t *testing.T) {
	sim := newSimulation(t, 11)
	sim.losesReply = func() bool { return true }
	j := oneTask(1, 2*time.Second)
	sim.submitCrashing(j, 0, 0)
	sim.run(40 * time.Second)
	is.New(t).Equal(sim.state(j.ID), Failed)
}

// The agent of a crashed worker may be silent, so that the holder learns of the crash late.
func TestCrashReportedLateCounts(t *testing.T) {
	sim := newSimulation(t, 11)
	j := oneTask(1, 2*time.Second)
	sim.submitCrashing(j, 0, crashEarly)
	for range 60 {
		sim.run(time.Second)
		for _, f := range sim.workers {
			f.silent = f.down && !f.silent
		}
	}
	is.New(t).Equal(sim.state(j.ID), Failed)
}

// Tasks that share a worker with a crashing task are lost with it at most once. Their jobs are not failed, and go on.
func TestTasksBesideACrashingTaskAreLostOnce(t *testing.T) {
	for _, after := range []time.Duration{0, crashEarly, crashLate} {
		t.Run(after.String(), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, 11)
			healthy := 0
			for id := 1; id <= 40; id++ {
				healthy++
				sim.submit(oneTask(id, 3*time.Second))
			}
			sim.submitCrashing(gang(100, 1, 1, 2*time.Second), 0, after)
			sim.runCheckingProgress(30 * time.Second)
			is.Equal(sim.state(gang(100, 1, 1, 0).ID), Failed)
			for id := 1; id <= healthy; id++ {
				is.Equal(sim.state(oneTask(id, 0).ID), Done)
			}
			t.Logf("%d runs of tasks that crash nothing were lost", sim.otherRunsLost)
			is.True(sim.otherRunsLost <= 14) // seven fit beside it; a task that crashes late is not suspected at once
		})
	}
}

// Workers, and whole racks of them, crash repeatedly for reasons other than their tasks. No job is failed for that.
func TestUnrelatedWorkerCrashesFailNoJob(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, 11)
			sim.random = newRandom(seed)
			for id := 1; id <= 60; id++ {
				sim.submitRandom(id)
				sim.terminateAtRandom()
				sim.runCheckingProgress(400 * time.Millisecond)
			}
			sim.runCheckingProgress(30 * time.Second)
			sim.requireHealthyJobsDone()
		})
	}
}

// terminateAtRandom terminates a random worker or rack now and then.
func (sim *simulation) terminateAtRandom() {
	rack := ""
	switch sim.random.IntN(12) {
	case 0:
		rack = fmt.Sprintf("rack-%d", sim.random.IntN(4))
	case 1, 2:
		sim.terminate(sim.workers[sim.random.IntN(len(sim.workers))])
	}
	for _, f := range sim.workers {
		if f.rack == rack {
			sim.terminate(f)
		}
	}
}

// terminate ends a worker's process, unless it is down already.
func (sim *simulation) terminate(f *fakeWorker) {
	if !f.down {
		f.terminate(sim)
	}
}

// requireHealthyJobsDone fails the test unless every job without a crashing task has succeeded.
func (sim *simulation) requireHealthyJobsDone() {
	sim.t.Helper()
	for id, j := range sim.core.jobs {
		if _, is := sim.crashingTasks[id]; is || j.state == Done {
			continue
		}
		sim.t.Errorf("job %s crashes no worker and is %s after %d workers ended under one of its tasks", id, j.state, sim.maxWorkersLost(id))
	}
}

// maxWorkersLost returns the largest number of workers that ended under one task of a job.
func (sim *simulation) maxWorkersLost(id job.ID) int {
	most := 0
	for task, count := range sim.workersLost {
		if task.Job == id {
			most = max(most, count)
		}
	}
	return most
}

// Crashing and other jobs run beside each other, while holders change and workers crash on their own. All jobs
// that crash no worker succeed; crashing tasks are started no more often than allowed, and their jobs fail.
func TestHealthyJobsFinishBesideCrashingJobsInRandomHistories(t *testing.T) {
	otherRunsLost, crashed, crashingJobs := 0, 0, 0
	for seed := uint64(1); seed <= 30; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, 11)
			sim.random = newRandom(seed)
			for id := 1; id <= 60; id++ {
				sim.submitRandom(id)
				if id%10 == 5 {
					sim.submitRandomCrashing(1000 + id)
				}
				if seed%3 == 0 && sim.random.IntN(10) == 0 {
					sim.takeOver()
				}
				if seed%3 == 1 {
					sim.terminateAtRandom()
				}
				sim.runCheckingProgress(400 * time.Millisecond)
			}
			sim.runCheckingProgress(40 * time.Second)
			sim.requireHealthyJobsDone()
			for id := range sim.crashingTasks {
				if sim.state(id) != Failed {
					t.Errorf("job %s crashes workers and is %s", id, sim.state(id))
				}
			}
			for _, crashes := range sim.crashes {
				crashed += crashes
			}
			otherRunsLost += sim.otherRunsLost
			crashingJobs += len(sim.crashingTasks)
		})
	}
	t.Logf("%d crashing tasks crashed %d workers; %d runs of other tasks were lost with them", crashingJobs, crashed, otherRunsLost)
	if otherRunsLost > 7*crashingJobs {
		t.Errorf("%d runs of other tasks were lost with %d crashing tasks", otherRunsLost, crashingJobs)
	}
}

// submitRandomCrashing submits a single task or a gang that crashes its workers early or late.
func (sim *simulation) submitRandomCrashing(id int) {
	j := gang(id, 1, 1+sim.random.IntN(8), 2*time.Second)
	if sim.random.IntN(2) == 0 {
		j = gang(id, 3+sim.random.IntN(4), 1+sim.random.IntN(3), 2*time.Second)
	}
	j.Terms.Priority = sim.random.IntN(3)
	after := []time.Duration{10 * time.Millisecond, crashEarly, time.Second, crashLate}[sim.random.IntN(4)]
	sim.submitCrashing(j, sim.random.IntN(j.Steps[0].Count), after)
}

// Guards against a refused resend cancelling an earlier crash. The reply to a start is lost, the worker crashes, and
// the start is sent again and refused, since nothing listens at the address. If the refusal discards the crash
// that the first start caused, five crashes count as four, and the task is started a third time after three
// workers have crashed under it.
func TestRefusedResendKeepsTheEarlierCrash(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 11)
	for _, i := range []int{4, 5} {
		sim.workers[i].labels = []string{"late"} // these agents notice the crash while the second start is on its way
	}
	sim.run(10 * time.Second)
	sim.losesReply = func() bool { return true }
	j := oneTask(1, 2*time.Second)
	j.Steps[0].Label = "late"
	sim.submitCrashing(j, 0, 30*time.Millisecond)
	sim.run(40 * time.Second)
	is.Equal(sim.state(j.ID), Failed)
	is.True(sim.crashes[job.TaskID{Job: j.ID}] <= 5)
}

// A caller only sees that the job failed. Operators see the cause, also from a later holder.
func TestCauseOfAFailureByCrashesIsShown(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 11)
	sim.run(10 * time.Second)
	j := oneTask(1, 2*time.Second)
	sim.submitCrashing(j, 0, crashEarly)
	sim.runUntil("two workers have crashed", func() bool { return sim.crashes[job.TaskID{Job: j.ID}] == 2 })
	sim.run(150 * time.Millisecond)
	is.Equal(sim.core.Snapshot(sim.now).Live[0].Crashes, 2)
	sim.run(10 * time.Second)
	for range 2 {
		failed := sim.core.Snapshot(sim.now).Failed
		is.Equal(len(failed), 1)
		is.True(strings.HasPrefix(failed[0].Cause, "3 workers crashed under task 0000000000000001.0.0.0"))
		sim.takeOver()
	}
}

// A worker that was cut off and runs on did not crash, although the holder recorded a possible crash meanwhile.
func TestSilentWorkerIsNoCrash(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2)
	j := oneTask(1, 30*time.Second)
	sim.submit(j)
	sim.run(time.Second)
	g := sim.core.jobs[j.ID].groups[0]
	f := sim.workerByName(g.members[0].worker.agent)
	f.silent = true
	sim.run(6 * time.Second)
	is.Equal(len(g.crashes), 1)
	is.True(!g.crashes[0].certain)
	is.Equal(g.suspicion, suspicionNone)
	sim.takeOver()
	g = sim.core.jobs[j.ID].groups[0]
	is.Equal(len(g.crashes), 1)
	f.silent = false
	sim.run(time.Second)
	is.Equal(len(g.crashes), 0)
}

// A worker that drains and leaves did not crash.
func TestDrainedWorkerLeavingIsNoCrash(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2)
	j := oneTask(1, 30*time.Second)
	sim.submit(j)
	sim.run(time.Second)
	g := sim.core.jobs[j.ID].groups[0]
	f := sim.workerByName(g.members[0].worker.agent)
	f.draining = true
	sim.run(time.Second)
	f.restartWorker()
	sim.run(time.Second)
	is.Equal(len(g.crashes), 0)
}

// The loss of a gang's run is one crash, also if two workers with its tasks end at the same time.
func TestRunLostOnTwoWorkersCountsOneCrash(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2)
	j := gang(1, 2, 8, 30*time.Second)
	sim.submit(j)
	sim.run(time.Second)
	for _, f := range sim.workers {
		f.terminate(sim)
	}
	sim.run(time.Second)
	is.Equal(len(sim.core.jobs[j.ID].groups[0].crashes), 1)
}

// A run that lasts longer than the run before it had when its worker crashed clears the task of suspicion, so that
// others may share its worker again.
func TestLongEnoughRunClearsItsTask(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2)
	j := oneTask(1, 30*time.Second)
	sim.submit(j)
	sim.runUntil("it runs", func() bool { return sim.runsTaskOf(j.ID) })
	sim.run(100 * time.Millisecond)
	g := sim.core.jobs[j.ID].groups[0]
	sim.workerByName(g.members[0].worker.agent).terminate(sim)
	sim.runUntil("it runs elsewhere", func() bool { return g.run == 2 && sim.runsTaskOf(j.ID) })
	is.Equal(g.suspicion, suspicionIsolate)
	is.True(g.members[0].worker.isolatesSuspect(sim.now))
	sim.run(2 * time.Second)
	is.Equal(g.suspicion, suspicionNone)
	is.True(!g.members[0].worker.isolatesSuspect(sim.now))
	sim.run(15 * time.Second)
	is.Equal(len(g.crashes), 0)
}

// A crash does not make a worker less trusted: it stays proven by its earlier runs.
func TestCrashedWorkerStaysProven(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 1)
	sim.submit(oneTask(1, time.Second))
	sim.run(3 * time.Second)
	is.True(sim.core.workers["worker-0"].health.proven)
	sim.workers[0].terminate(sim)
	sim.run(3 * time.Second)
	is.True(sim.core.workers["worker-0"].usable(sim.now, sim.settings))
	is.True(sim.core.workers["worker-0"].health.proven)
}

// Guards against running each task of a crashing job on a worker of its own to find out which one crashes workers:
// with 24 tasks all of eleven workers are down at once, twice. The result of one task is enough to judge the job.
func TestCrashingTasksOfOneJobAreTriedInTurn(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 11)
	sim.run(10 * time.Second)
	j := oneTask(1, 2*time.Second)
	j.Steps[0].Count = 24
	sim.crashingTasks[j.ID] = crashingTask{allTasks: true, delay: crashEarly}
	sim.submit(j)
	down := 0
	for range 1000 {
		sim.run(simulationStep)
		down = max(down, sim.downWorkers())
	}
	is.Equal(sim.state(j.ID), Failed)
	sim.t.Logf("%d workers were down at once, %d crashes", down, sim.countEvents(EventCrashed))
	is.True(down <= 5) // the three workers of the first placement, and one for each crash that confirms the cause
}

func (sim *simulation) downWorkers() int {
	count := 0
	for _, f := range sim.workers {
		if f.down {
			count++
		}
	}
	return count
}

// Guards against counting starts on dead workers as crashes. Several workers end at the same moment and their agents
// notice one after the other, so that a task is started on one worker after the other that has already ended:
// three apparent crashes within 30 ms, each 3 ms to 123 ms after the order and with the task alone on the worker.
// The job was failed, although only the first worker had ended while it ran the task.
func TestStartsOnDeadWorkersAreNoCrashes(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, 11)
			sim.random = newRandom(seed)
			sim.run(10 * time.Second)
			for id := 1; id <= 5; id++ {
				sim.submit(gang(id, 1, 8, 8*time.Second))
			}
			for range 4 {
				sim.run(time.Duration(sim.random.IntN(3000)) * time.Millisecond)
				for _, i := range sim.random.Perm(11)[:6] {
					sim.terminate(sim.workers[i])
				}
				sim.run(3 * time.Second)
			}
			sim.run(30 * time.Second)
			sim.requireHealthyJobsDone()
		})
	}
}

// The first report of a crashed worker to a new holder may come from its next instance. The crash of the ended
// instance still counts.
func TestCrashBeforeATakeoverCounts(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 11)
	j := oneTask(1, 2*time.Second)
	sim.submitCrashing(j, 0, crashEarly)
	sim.runUntil("a worker has crashed", func() bool { return sim.crashes[job.TaskID{Job: j.ID}] == 1 })
	for _, f := range sim.workers {
		f.silent = f.down
	}
	sim.run(restartDelay + 100*time.Millisecond)
	sim.takeOver()
	for _, f := range sim.workers {
		f.silent = false
	}
	sim.run(200 * time.Millisecond)
	g := sim.core.jobs[j.ID].groups[0]
	is.Equal(len(g.crashes), 1)
	is.True(g.crashes[0].certain)
}

// Guards against a suspected task waiting as long as the pool is full. It needs a worker for itself; if it may preempt
// only where all work on a worker is worth less than its own, an urgent task that lost its worker finds none.
func TestSuspectRunsInAFullPool(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 3)
	sim.run(time.Second)
	for id := 1; id <= 30; id++ {
		j := oneTask(id, time.Minute)
		j.Terms.Priority = 2
		sim.submit(j)
	}
	sim.run(time.Second)
	urgent := oneTask(100, 10*time.Second)
	sim.submit(urgent)
	sim.runUntil("it runs", func() bool { return sim.runsTaskOf(urgent.ID) })
	sim.run(100 * time.Millisecond)
	lost := sim.workerByName(sim.core.jobs[urgent.ID].groups[0].members[0].worker.agent)
	lost.terminate(sim)
	sim.run(500 * time.Millisecond)
	is.Equal(sim.core.jobs[urgent.ID].groups[0].suspicion, suspicionIsolate)
	lost.silent = true // it does not come back
	sim.run(2 * time.Second)
	is.True(sim.runsTaskOf(urgent.ID))
}

// Guards against a suspect waiting for a worker of its own for the full time after its run was recalled, for which it had
// waited until its worker was back: a sound job stood still for 3.5 s beside free capacity.
func TestSuspectOfARecalledRunGoesOn(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 4)
	sim.run(10 * time.Second)
	j := oneTask(1, time.Minute)
	sim.submit(j)
	sim.runUntil("it runs", func() bool { return sim.runsTaskOf(j.ID) })
	others := gang(2, 3, 2, time.Minute) // a task on each other worker
	others.Steps[0].MaxPerWorker = 1
	sim.submit(others)
	f := sim.workerByName(sim.core.jobs[j.ID].groups[0].members[0].worker.agent)
	sim.terminate(f)
	sim.runCheckingProgress(time.Second)
	is.Equal(sim.countEvents(EventRevoked), 1)
	f.notReady = true // it does not take the suspect when it is back
	sim.runCheckingProgress(4 * time.Second)
	is.True(sim.runsTaskOf(j.ID))
}
