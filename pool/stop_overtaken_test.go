package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a stopped run whose group waits without end, since the listing without it overtook the answer to the stop.
func TestStopWhoseAnswerIsOvertakenByTheNextListingEndsTheRun(t *testing.T) {
	is := is.New(t)
	sim, f := startWithLostReply(t, time.Hour, time.Second)
	sim.orderDelay = time.Hour
	sim.losesReply = func() bool { return false }
	sim.core.CancelJob(sim.now, "0000000000000001")
	g := sim.core.jobs["0000000000000001"].groups[0]
	m := g.members[0]
	sim.core.TakeOrders(sim.now)
	stop := Orders{Agent: f.name, Instance: f.instance, Grant: Grant{Incarnation: f.incarnation}, Stops: []Stop{{Task: m.task(), Run: g.run}}}
	before := sim.core.workers[f.name].listing
	sim.core.Report(sim.now, f.name, Report{Incarnation: f.incarnation, Instance: f.instance, Listing: before + 1})
	is.True(g.placed())
	sim.core.HandleResults(sim.now, stop, Results{Listing: before, Stops: []Result{ResultOK}})
	is.True(!g.placed())
}
