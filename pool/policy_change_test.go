package pool

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/job"
)

// newPolicySimulation returns a pool with a queue "q" that has a policy or none, in the configuration and at the workers.
func newPolicySimulation(t *testing.T, advised bool) *simulation {
	sim := newAdvisedSimulation(t, 3*time.Second)
	sim.configureQueue("q", advised)
	sim.policyInForce["q"] = advised
	return sim
}

// twoSteps returns a job of the queue "q" with two steps of two tasks.
func twoSteps(advised bool) job.Job {
	j := oneTask(1, time.Second)
	j.Queue = "q"
	j.Terms.Advised = advised
	j.Steps[0].Count = 2
	j.Steps = append(j.Steps, j.Steps[0])
	j.Steps[1].After = []int{0}
	return j
}

// Guards against LOST: a queue got a policy while a job of it ran. The job's later starts were sent without tickets,
// rejected some 300 times a second, and never ran.
func TestAcceptedJobFollowsAPolicyThatItsQueueGets(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		is := is.New(t)
		sim := newPolicySimulation(t, false)
		j := twoSteps(false)
		sim.submit(j)
		sim.run(500 * time.Millisecond)
		is.Equal(sim.starts, 2)
		sim.configureQueue("q", true)
		sim.policyInForce["q"] = true
		if takeover {
			sim.takeOver()
		}
		sim.run(3 * time.Second)
		is.Equal(sim.state(j.ID), Done)
		is.Equal(sim.countEvents(EventStartRejected), 0)
		is.Equal(sim.adviceRequests, 1)
	}
}

// Guards against LOST: a queue loses its policy, and the advice service answers no longer for it.
func TestAcceptedJobFollowsAPolicyThatItsQueueLoses(t *testing.T) {
	is := is.New(t)
	sim := newPolicySimulation(t, true)
	j := twoSteps(true)
	sim.submit(j)
	sim.run(500 * time.Millisecond)
	sim.configureQueue("q", false)
	sim.policyInForce["q"] = false
	sim.losesReply = func() bool { return true }
	sim.run(3 * time.Second)
	is.Equal(sim.state(j.ID), Done)
}

// A queue that is not configured any more leaves its jobs the policy under which they were accepted.
func TestJobOfADroppedQueueKeepsItsPolicy(t *testing.T) {
	is := is.New(t)
	sim := newPolicySimulation(t, true)
	j := twoSteps(true)
	sim.submit(j)
	sim.run(500 * time.Millisecond)
	sim.configureQueue("another", false)
	sim.run(3 * time.Second)
	is.Equal(sim.state(j.ID), Done)
	is.Equal(sim.countEvents(EventStartRejected), 0)
}

// The policy's answers are of the policy: after it was taken away and given again, they are asked for anew.
func TestAdviceOfAnEarlierPolicyIsDropped(t *testing.T) {
	is := is.New(t)
	sim := newPolicySimulation(t, true)
	sim.policy = func(string) bool { return false }
	j := twoSteps(true)
	sim.submit(j)
	sim.run(500 * time.Millisecond)
	is.Equal(sim.starts, 0)
	sim.configureQueue("q", false)
	sim.configureQueue("q", true)
	sim.policy = func(string) bool { return true }
	sim.run(3 * time.Second)
	is.Equal(sim.state(j.ID), Done)
}

// A worker requires tickets before the holder has the configuration that says so, or after it has one that doesn't.
func TestWorkerThatRequiresATicketGetsOne(t *testing.T) {
	is := is.New(t)
	sim := newPolicySimulation(t, false)
	sim.policyInForce["q"] = true
	j := twoSteps(false)
	sim.submit(j)
	sim.run(4 * time.Second)
	is.Equal(sim.state(j.ID), Done)
	is.True(sim.countEvents(EventStartRejected) <= 2) // once for each task

	// The policy ends, and so does its service: the learnt policy is not believed for long.
	sim.policyInForce["q"] = false
	sim.losesReply = func() bool { return true }
	second := twoSteps(false)
	second.ID = "0000000000000002"
	sim.submit(second)
	sim.core.jobs[second.ID].ticketsNeededUntil = sim.now.Add(learnedPolicyPeriod)
	sim.run(learnedPolicyPeriod + 3*time.Second)
	is.Equal(sim.state(second.ID), Done)
}

// Guards against the 300 rejected starts a second: they back off, are logged seldom and shown to operators.
func TestRepeatedRejectionsBackOff(t *testing.T) {
	is := is.New(t)
	sim := newPolicySimulation(t, true)
	sim.ticketValidity = time.Minute
	j := oneTask(1, time.Second)
	j.Queue = "q"
	j.Terms.Advised = true
	sim.submit(j)
	for until := sim.now.Add(10 * time.Second); sim.now.Before(until); {
		sim.tickets = map[string]time.Time{} // no worker accepts any
		sim.run(time.Millisecond)
	}
	g := sim.core.jobs[j.ID].groups[0]
	is.True(g.rejections.count > promptRejections)
	is.True(g.rejections.count < 25) // in 10 s
	is.True(sim.countEvents(EventStartRejected) < 10)
	is.True(strings.Contains(sim.core.Snapshot(sim.now).Live[0].Rejected, "policy does not let it run there"))
	sim.run(maxRejectionDelay + time.Second)
	is.Equal(sim.starts, 1) // accepted as soon as a worker accepts its tickets
	is.Equal(g.rejections.count, 0)
}
