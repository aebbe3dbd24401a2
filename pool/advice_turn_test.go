package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/job"
)

// newSlowAdviceSimulation returns a pool of four workers that may run all steps, whose advice service takes a tenth of a
// second for a request.
func newSlowAdviceSimulation(t *testing.T) *simulation {
	sim := newSimulation(t, 4)
	sim.policy = func(string) bool { return true }
	sim.ticketValidity = 3 * time.Second
	sim.adviceDelay = 100 * time.Millisecond
	sim.run(300 * time.Millisecond)
	return sim
}

// submitAdvised submits a job of a queue with a policy, and returns its identifier.
func (sim *simulation) submitAdvised(j job.Job) job.ID {
	j.Terms.Advised = true
	sim.submit(j)
	return j.ID
}

// Guards against LOST: gangs that never fit renewed their tickets again and again, and used up the advice service; jobs that
// came later began nothing in an idle pool.
func TestJobsThatNeverFitDoNotUseUpTheAdvice(t *testing.T) {
	is := is.New(t)
	sim := newSlowAdviceSimulation(t)
	for i := range 40 {
		sim.submitAdvised(gang(1+i, 5, 8, time.Second))
	}
	sim.run(5 * time.Second)
	is.Equal(sim.adviceRequests, 0)
	for i := range 10 {
		id := sim.submitAdvised(oneTask(100+i, 200*time.Millisecond))
		sim.run(time.Second)
		is.Equal(sim.state(id), Done)
	}
}

// A gang for which the policy allows too few workers is asked for once.
func TestGangWithTooFewAllowedWorkersIsAskedForOnce(t *testing.T) {
	is := is.New(t)
	sim := newAdvisedSimulation(t, 3*time.Second)
	sim.submitAdvised(gang(1, 3, 8, time.Second))
	sim.run(10 * time.Second)
	is.Equal(sim.adviceRequests, 1)
	sim.workers[0].restartWorker() // the policy may allow the next instance
	sim.run(10 * time.Second)
	is.Equal(sim.adviceRequests, 2)
}

// Guards against LOST: gangs that do not fit as long as other work runs held up those that could begin at once.
func TestJobsThatWaitForCapacityAreAskedForAfterOthers(t *testing.T) {
	is := is.New(t)
	sim := newSlowAdviceSimulation(t)
	long := gang(1, 1, 4, 20*time.Second)
	sim.submit(long)
	sim.run(time.Second)
	for i := range 40 {
		j := gang(10+i, 4, 8, time.Second)
		j.Terms.Priority = 1
		sim.submitAdvised(j)
	}
	sim.run(5 * time.Second)
	for _, j := range sim.core.liveJobs {
		is.True(j.job.ID == long.ID || !j.rounds[0].adviceOf(0).requestedAt.IsZero()) // each had its turn
	}
	for i := range 10 {
		j := oneTask(100+i, 200*time.Millisecond)
		j.Terms.Priority = 1
		id := sim.submitAdvised(j)
		sim.run(time.Second)
		is.Equal(sim.state(id), Done)
	}
	sim.runUntil("a gang runs once the capacity is free", func() bool { return sim.countRunning("000000000000000a") == 4 })
}

// Guards against tickets that are never renewed while new jobs come without a break.
func TestRenewalsHaveTheirTurnBesideNewJobs(t *testing.T) {
	is := is.New(t)
	sim := newSlowAdviceSimulation(t)
	long := gang(1, 1, 4, 6*time.Second)
	sim.submit(long)
	sim.run(time.Second)
	waiting := gang(2, 4, 8, time.Second)
	id := sim.submitAdvised(waiting)
	sim.run(time.Second)
	asked := func() time.Time { return sim.core.jobs[id].rounds[0].adviceOf(0).requestedAt }
	for i := range 100 { // twice as many as the service can answer
		sim.submitAdvised(oneTask(100+i, 10*time.Millisecond))
		sim.run(50 * time.Millisecond)
		if sim.state(id) == Queued {
			is.True(sim.now.Sub(asked()) < sim.ticketValidity+time.Second)
		}
	}
}

// BenchmarkAdviceTurn measures the search for a question while no waiting job has one: 1,000 gangs that never fit.
func BenchmarkAdviceTurn(b *testing.B) {
	random := rand.New(rand.NewPCG(3, 4))
	c, now := loadedCore(random, 240, 1)
	for i := range 1000 {
		j := gang(1<<20+i, 241, 8, time.Second)
		j.Terms.Advised = true
		j.Accepted = now
		c.AddJob(now, NewJob{Job: j})
	}
	for b.Loop() {
		now = now.Add(time.Second)
		if _, ok := c.TakeAdviceRequest(now); ok {
			b.Fatal("the advice service is asked")
		}
	}
}
