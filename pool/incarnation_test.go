package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a run that is stopped because its agent was restarted, and knows neither the worker nor its runs yet.
func TestRunSurvivesAnAgentThatDoesNotKnowItsWorkerYet(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2)
	sim.run(300 * time.Millisecond)
	sim.submit(oneTask(1, 8*time.Second))
	sim.run(3 * time.Second)
	f := sim.workers[0]
	if len(f.running) == 0 {
		f = sim.workers[1]
	}
	f.restartAgent()
	f.silent = true // the simulated agent; the new one is reported by hand
	sim.core.RecordReply(sim.now, f.name, Grant{Incarnation: f.incarnation})
	sim.core.Report(sim.now, f.name, Report{Incarnation: f.incarnation, NotReady: true})
	sim.run(400 * time.Millisecond)
	f.silent = false
	sim.run(10 * time.Second)
	is.Equal(sim.state("0000000000000001"), Done)
	is.Equal(sim.starts, 1)
}

// Guards against a run that is stopped because its agent was silent for the first seconds after a takeover.
func TestRunSurvivesASilentAgentAfterATakeover(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2)
	sim.run(300 * time.Millisecond)
	sim.submit(oneTask(1, 8*time.Second))
	sim.run(time.Second)
	sim.takeOver()
	for _, f := range sim.workers {
		f.silent = true
	}
	sim.run(3 * time.Second) // longer than a start may take, shorter than the lease
	for _, f := range sim.workers {
		f.silent = false
	}
	sim.run(10 * time.Second)
	is.Equal(sim.state("0000000000000001"), Done)
	is.Equal(sim.starts, 1)
}

// A restored run that its worker does not list was not started, so that its start is sent again.
func TestRestoredRunWithoutAStartIsStarted(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2)
	sim.run(300 * time.Millisecond)
	sim.orderDelay = time.Hour
	sim.submit(oneTask(1, time.Second))
	sim.run(100 * time.Millisecond)
	sim.orderDelay = 0
	sim.takeOver()
	sim.run(2 * time.Second)
	is.Equal(sim.state("0000000000000001"), Done)
	is.Equal(sim.core.jobs["0000000000000001"].groups[0].run, 1)
}

// Guards against a stop that waits for a listing by the number of an earlier agent, which the next one reaches only
// after as many polls.
func TestStopConfirmedByAnEarlierAgentIsRepeated(t *testing.T) {
	is := is.New(t)
	sim, f := startWithLostReply(t, time.Hour, time.Second)
	sim.run(5 * time.Second) // of listings; the run is given up meanwhile
	sim.orderDelay = time.Hour
	sim.losesReply = func() bool { return false }
	sim.cancel("0000000000000001")
	g := sim.core.jobs["0000000000000001"].groups[0]
	m := g.members[0]
	stop := Orders{Agent: f.name, Instance: f.instance, Grant: m.worker.grant, Stops: []Stop{{Task: m.task(), Run: g.run}}}
	answer := Results{Listing: f.listing, Stops: []Result{ResultOK}}
	f.restartAgent()
	sim.run(200 * time.Millisecond) // the next incarnation has listed the worker
	sim.core.HandleResults(sim.now, stop, answer)
	sim.orderDelay = 0
	sim.run(time.Second)
	is.True(!g.placed())
}

// Guards against a task that is never given up because its stop was confirmed through the earlier agent, and not yet
// followed by a listing.
func TestStopConfirmedBeforeAnAgentRestartIsRepeated(t *testing.T) {
	is := is.New(t)
	sim, f := startWithLostReply(t, time.Hour, time.Second)
	sim.run(5 * time.Second)
	sim.cancel("0000000000000001")
	sim.losesReply = func() bool { return false }
	g := sim.core.jobs["0000000000000001"].groups[0]
	m := g.members[0]
	sim.runUntil("the stop is confirmed", func() bool { return m.stopConfirmed })
	is.True(g.placed())
	f.restartAgent()
	sim.run(time.Second)
	is.True(!g.placed())
}
