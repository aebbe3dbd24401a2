package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// stopInFlight returns a simulation in which the stop of a job's only run is in flight, with the member and the stop.
func stopInFlight(t *testing.T) (*simulation, *fakeWorker, *member, Orders) {
	t.Helper()
	sim, f := startWithLostReply(t, time.Hour, time.Second)
	sim.orderDelay = time.Hour
	sim.losesReply = func() bool { return false }
	sim.cancel("0000000000000001")
	m := sim.core.jobs["0000000000000001"].groups[0].members[0]
	sim.core.TakeOrders(sim.now)
	stop := Orders{Agent: f.name, Instance: f.instance, Grant: Grant{Incarnation: f.incarnation}, Stops: []Stop{{Task: m.task(), Run: m.group.run}}}
	return sim, f, m, stop
}

// Guards against a stopped run whose group waits without end, since the listing without it overtook the answer to the stop.
func TestStopWhoseAnswerIsOvertakenByTheNextListingEndsTheRun(t *testing.T) {
	is := is.New(t)
	sim, f, m, stop := stopInFlight(t)
	before := sim.core.workers[f.name].listing
	sim.core.Report(sim.now, f.name, Report{Incarnation: f.incarnation, Instance: f.instance, Listing: before + 1})
	sim.core.HandleResults(sim.now, stop, Results{Listing: before, Stops: []Result{ResultOK}})
	// Agents report one listing more after an order, but not while further orders come: a worker may hold a poll for 0.4 s.
	sim.now = sim.now.Add(900 * time.Millisecond)
	sim.core.Tick(sim.now)
	is.Equal(len(sim.core.TakeOrders(sim.now)), 0)
	sim.now = sim.now.Add(100 * time.Millisecond)
	sim.core.Tick(sim.now)
	repeated := sim.core.TakeOrders(sim.now)
	is.Equal(len(repeated), 1)
	is.Equal(repeated[0].Stops, stop.Stops)
	// The answer to the repeated stop may be overtaken as well.
	sim.core.Report(sim.now, f.name, Report{Incarnation: f.incarnation, Instance: f.instance, Listing: before + 2})
	is.True(!m.group.placed())
}

// Guards against a second run beside a run that goes on: a restarted agent answered the stop, whose listings have lower
// numbers than one of the agent before it that lacked the run.
func TestStopAnsweredByARestartedAgentEndsNoRun(t *testing.T) {
	is := is.New(t)
	sim, f, m, stop := stopInFlight(t)
	before := sim.core.workers[f.name].listing
	sim.core.Report(sim.now, f.name, Report{Incarnation: f.incarnation, Instance: f.instance, Listing: before + 1})
	sim.core.HandleResults(sim.now, stop, Results{Listing: 1, Stops: []Result{ResultOK}})
	is.True(m.group.placed())
	running := []Running{{Task: m.task(), Run: m.group.run}}
	sim.core.Report(sim.now, f.name, Report{Incarnation: "restarted", Instance: f.instance, Listing: 2, Running: running})
	is.True(m.group.placed())
}

// Guards against a second run beside a run that goes on: the stop was answered by the next incarnation of the agent, of
// which the holder does not know, and a report of the one before it that lacks the run came after the answer.
func TestStopAnsweredByAnUnknownAgentEndsNoRun(t *testing.T) {
	is := is.New(t)
	sim, f, m, stop := stopInFlight(t)
	before := sim.core.workers[f.name].listing
	sim.core.HandleResults(sim.now, stop, Results{Incarnation: "restarted", Listing: 1, Stops: []Result{ResultOK}})
	sim.core.Report(sim.now, f.name, Report{Incarnation: f.incarnation, Instance: f.instance, Listing: before + 1})
	is.True(m.group.placed())
	running := []Running{{Task: m.task(), Run: m.group.run}}
	sim.core.Report(sim.now, f.name, Report{Incarnation: "restarted", Instance: f.instance, Listing: 2, Running: running})
	is.True(m.group.placed())
	// The stop is sent again, and counts once an agent that is known has answered it.
	stop.Grant.Incarnation = "restarted"
	sim.core.HandleResults(sim.now, stop, Results{Incarnation: "restarted", Listing: 2, Stops: []Result{ResultOK}})
	sim.core.Report(sim.now, f.name, Report{Incarnation: "restarted", Instance: f.instance, Listing: 3})
	is.True(!m.group.placed())
}

// An answer counts if the agent that gave it is the one that the order was for and the one that is known. Agents of earlier
// releases don't tell who they are: their answers count if the order was for the agent that is known.
func TestAnswersCountFromTheKnownAgentThatWasAsked(t *testing.T) {
	for _, c := range []struct {
		asked, answers string
		counts         bool
	}{
		{asked: "known", answers: "known", counts: true},
		{asked: "known", answers: "", counts: true},
		{asked: "known", answers: "other"},
		{asked: "other", answers: "known"},
		{asked: "other", answers: "other"},
		{asked: "other", answers: ""},
	} {
		is := is.New(t)
		sim, f, m, stop := stopInFlight(t)
		f.incarnation = "known"
		running := []Running{{Task: m.task(), Run: m.group.run}}
		sim.core.Report(sim.now, f.name, Report{Incarnation: "known", Instance: f.instance, Listing: 1, Running: running})
		stop.Grant.Incarnation = c.asked
		sim.core.HandleResults(sim.now, stop, Results{Incarnation: c.answers, Listing: 1, Stops: []Result{ResultOK}})
		sim.core.Report(sim.now, f.name, Report{Incarnation: "known", Instance: f.instance, Listing: 2})
		is.Equal(!m.group.placed(), c.counts) // asked, answers
	}
}
