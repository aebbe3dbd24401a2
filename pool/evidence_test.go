package pool

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/hollyfork/job"
)

func TestEvidenceOfAStart(t *testing.T) {
	for result, want := range map[Result]evidence{
		ResultUnknown:        evidenceUnknown,
		ResultInvalid:        evidenceUnknown,
		ResultOK:             evidenceSeen,
		ResultNoCapacity:     evidenceNone,
		ResultOldRun:         evidenceNone,
		ResultLate:           evidenceNone,
		ResultFenced:         evidenceNone,
		ResultOtherInstance:  evidenceNone,
		ResultRefused:        evidenceNone,
		ResultDraining:       evidenceNone,
		ResultTicketRejected: evidenceNone,
	} {
		t.Run(resultNames[result], func(t *testing.T) {
			is := is.New(t)
			var l startLog
			is.Equal(l.evidence(), evidenceNone)
			l.sent(time.Unix(0, 0))
			is.Equal(l.evidence(), evidencePending)
			l.answered(result, true)
			is.Equal(l.evidence(), want)
			l.sent(time.Unix(1, 0))
			l.answered(ResultUnknown, true)
			l.sent(time.Unix(2, 0))
			l.answered(ResultRefused, true)
			is.True(l.evidence() >= evidenceUnknown) // a refusal says nothing of the start before it
		})
	}
}

// Four workers are known to have crashed under the task. The fifth is reported while the refusal of its start is under
// way: until that is read the task is neither started nor given up.
func TestAnswerUnderWayIsReadBeforeAJobIsGivenUp(t *testing.T) {
	forEachKindOfName(t, func(t *testing.T, sim *simulation) {
		is := is.New(t)
		sim.refusalDelay = 800 * time.Millisecond
		j := oneTask(1, time.Second)
		sim.submit(j)
		g := sim.core.jobs[j.ID].groups[0]
		for run := 1; run <= maxTaskCrashes-1; run++ {
			g.crashes = append(g.crashes, crash{run: -run, agent: "gone", instance: instance.New("gone", int64(run)), certain: true, starts: restoredStartLog(false)})
		}
		sim.awaitOrders(g, 0)
		sim.terminate(sim.memberWorker(g, 0))
		sim.run(700 * time.Millisecond)
		is.Equal(len(g.crashes), maxTaskCrashes)
		is.Equal(g.run, 1)
		is.Equal(sim.state(j.ID), Active)
		sim.run(10 * time.Second)
		is.Equal(sim.state(j.ID), Done)
	})
}

// A worker that crashes before it answers proves nothing against the task. The task still fails after five crashes.
func TestUnansweredStartsProveNothing(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 11)
	sim.run(10 * time.Second)
	sim.losesReply = func() bool { return true }
	j := oneTask(1, 2*time.Second)
	sim.submitCrashing(j, 0, 0)
	sim.run(40 * time.Second)
	is.Equal(sim.state(j.ID), Failed)
	is.Equal(sim.crashes[job.TaskID{Job: j.ID}], maxTaskCrashes)
}

// A confirmation that is read after the crash was reported shows that the run was there, unless the next instance of
// the worker may have given it.
func TestConfirmationAfterTheCrashIsEvidence(t *testing.T) {
	for _, recur := range []bool{false, true} {
		is := is.New(t)
		sim := newSimulation(t, 11)
		want := evidenceUnknown
		if !recur {
			want = evidenceSeen
		}
		for _, f := range sim.workers {
			f.noticesAfter = 20 * time.Millisecond
			if !recur {
				f.instance = instance.New(f.name, 0)
			}
		}
		sim.run(10 * time.Second)
		sim.replyDelay = 200 * time.Millisecond
		j := oneTask(1, 2*time.Second)
		sim.submitCrashing(j, 0, 0)
		g := sim.core.jobs[j.ID].groups[0]
		sim.runUntil("a crash is recorded", func() bool { return len(g.crashes) > 0 })
		is.Equal(g.crashes[0].starts.evidence(), evidencePending)
		sim.run(250 * time.Millisecond)
		is.Equal(g.crashes[0].starts.evidence(), want)
	}
}

// The answer to a start of an earlier holder is never read, so the crash under it counts.
func TestPendingAnswerIsUnknownAfterATakeover(t *testing.T) {
	forEachKindOfName(t, func(t *testing.T, sim *simulation) {
		is := is.New(t)
		sim.refusalDelay = time.Second
		j := oneTask(1, time.Second)
		sim.submit(j)
		g := sim.core.jobs[j.ID].groups[0]
		sim.awaitOrders(g, 0)
		sim.terminate(sim.memberWorker(g, 0))
		sim.runUntil("a crash is recorded", func() bool { return len(g.crashes) > 0 })
		sim.run(simulationStep)
		sim.takeOver()
		g = sim.core.jobs[j.ID].groups[0]
		is.Equal(len(g.crashes), 1)
		is.Equal(g.crashes[0].starts.evidence(), evidenceUnknown)
		sim.run(10 * time.Second)
		is.Equal(sim.state(j.ID), Done)
	})
}

// A job that was failed for crashes names each that was counted, with run, worker and evidence, also after a takeover.
func TestFailureNamesTheCrashesThatCount(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 11)
	sim.run(10 * time.Second)
	j := oneTask(1, 2*time.Second)
	sim.submitCrashing(j, 0, crashEarly)
	sim.run(10 * time.Second)
	for range 2 {
		cause := sim.core.Snapshot(sim.now).Failed[0].Cause
		for run := 1; run <= 3; run++ {
			is.True(strings.Contains(cause, fmt.Sprintf("run %d on worker-", run)))
		}
		is.Equal(strings.Count(cause, "after its order, seen running, alone"), 3)
		sim.takeOver()
	}
}
