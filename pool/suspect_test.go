package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/job"
)

// Guards against a gang that waits for workers without other work because several of its workers were lost at once:
// its run can have crashed only one of them.
func TestWorkersLostDuringOneRunIsolateNoTask(t *testing.T) {
	is := is.New(t)
	g := &group{job: &jobState{}, crashes: similarCrashes(3, 2*time.Second)}
	for i := range g.crashes {
		g.crashes[i].run, g.crashes[i].index = 1, i
	}
	g.updateSuspicion()
	is.Equal(g.suspicion, suspicionSeparate)

	g.crashes[2].run = 2
	g.updateSuspicion()
	is.Equal(g.suspicion, suspicionIsolate)
}

// Guards against a task that crashes its workers and is started more often than allowed (soak, seeds 7608 and 7709): a worker
// crashed after a notice that it drains. Its agent waits for the lease to end, and went on replying; the run counted as one
// that outlasts the crashes before.
func TestRunIsNotClearedWhileItsWorkerIsSilent(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 24)
	j := oneTask(1, time.Minute)
	sim.submitCrashing(j, 0, 900*time.Millisecond)
	task := job.TaskID{Job: j.ID}
	until := func(what string, done func() bool) {
		sim.runUntil(what, func() bool {
			// Idle workers crash all the time, so that these crashes prove nothing.
			if idle := sim.workers[sim.random.IntN(len(sim.workers))]; sim.random.IntN(10) == 0 && !idle.down && len(idle.running) == 0 {
				idle.terminate(sim)
			}
			return done()
		})
	}
	until("three workers have crashed", func() bool { return sim.crashes[task] == crashLimit })
	until("the task runs again", func() bool { return sim.countRunning(j.ID) == 1 })
	for _, f := range sim.workers {
		if len(f.running) > 0 {
			f.draining, f.noticesAfter = true, 1900*time.Millisecond
		}
	}
	until("the job is given up", func() bool { return sim.state(j.ID) == Failed })
	is.True(sim.startsAfterLimit[task] <= startsAfterCrashLimit)
}

// A holder that has had no listing of a worker yet knows nothing of its runs: neither that one has lasted nor that it stands
// still.
func TestNothingIsKnownOfARunBeforeItsWorkerIsListed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := New("pool", DefaultSettings(), nil)
	c.RecordReply(now, "worker", Grant{}) // the agent replies
	j := &jobState{job: gang(1, 1, 1, time.Second)}
	g := &group{job: j, crashes: similarCrashes(3, time.Second), runningSince: now.Add(-time.Hour), progressAt: now.Add(-time.Hour)}
	g.addMember(c.workers["worker"], 0)
	for i := range g.crashes {
		g.crashes[i].run = i
	}
	g.updateSuspicion()
	before := g.suspicion
	is.True(before != suspicionNone)
	c.clearSurvivor(now, g)
	c.checkStall(now, g)
	is.Equal(g.suspicion, before)
	is.Equal(len(g.crashes), 3)
	is.Equal(g.stalls, 0)
	c.workers["worker"].listedAt = now
	c.clearSurvivor(now, g)
	is.Equal(g.suspicion, suspicionNone)
}
