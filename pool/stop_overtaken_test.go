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
	sim.core.CancelJob(sim.now, "0000000000000001")
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
	sim.now = sim.now.Add(sim.core.settings.ResendAfter)
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
