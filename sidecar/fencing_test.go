package sidecar

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/wire/poolpb"
)

// renewed applies a renewal with a fencing number at an offset from the test's start. It names an incarnation.
func renewed(c *Core, at time.Duration, number uint64, incarnation string) {
	renewal := renewalFrom(c, at)
	renewal.Epoch, renewal.Incarnation = number, incarnation
	c.Sync(renewal)
}

// newYoungCore returns an agent that was started shortly after the instance of its worker.
func newYoungCore() *Core {
	c := NewCore(start, "restarted")
	c.Heartbeat(Heartbeat{Instance: youngInstance, Sequence: 1, Clock: ReadingOf(2 * time.Second)})
	return c
}

// startVerdict returns the verdict on a start after a poll that the instance answers 1 s after the agent's start.
func startVerdict(c *Core) poolpb.OrderResult_Value {
	listAt(c, time.Second, Listing{Clock: 1500 * time.Millisecond})
	_, verdict := c.CheckStart(start.Add(time.Second), orderAt(c, youngInstance, 0))
	return verdict
}

// Guards against a restarted agent that starts nothing for 12.5 s though the worker refuses calls of the agent before.
func TestWorkerThatRefusesEarlierAgentsGetsStarts(t *testing.T) {
	is := is.New(t)
	c := newYoungCore()
	renewed(c, 0, 7, "earlier")
	renewed(c, 0, 8, c.incarnation)
	is.Equal(startVerdict(c), poolpb.OrderResult_OK)

	c = newYoungCore()
	renewed(c, 0, 7, "earlier")
	renewed(c, 0, 7, c.incarnation)
	is.True(!c.ObserveOrder(&poolpb.OrderRequest{Epoch: 8, Incarnation: c.incarnation}))
	is.Equal(startVerdict(c), poolpb.OrderResult_OK)
}

// Guards against a number that an earlier incarnation may have used as well, of which a holder of an earlier release has
// one for all.
func TestSharedNumberDoesNotRefuseEarlierAgents(t *testing.T) {
	is := is.New(t)
	c := newYoungCore()
	renewed(c, 0, 7, c.incarnation) // the first message that the agent gets
	is.Equal(startVerdict(c), poolpb.OrderResult_LATE)

	c = newYoungCore()
	renewed(c, 0, 7, "earlier")
	renewed(c, 0, 8, "") // a new holder
	renewed(c, 0, 8, c.incarnation)
	is.Equal(startVerdict(c), poolpb.OrderResult_LATE)
}

// The worker must have accepted the raised number before the agent relies on it.
func TestRaisedNumberCountsOnceTheWorkerHasIt(t *testing.T) {
	is := is.New(t)
	c := newYoungCore()
	renewed(c, 0, 7, "earlier")
	renewed(c, 0, 7, c.incarnation)
	poll, number, _ := c.NextPoll(start)
	renewed(c, 0, 8, c.incarnation)
	c.HandleListing(start, poll, number, Listing{Instance: youngInstance, Clock: 500 * time.Millisecond})
	_, verdict := c.CheckStart(start, orderAt(c, youngInstance, 0))
	is.Equal(verdict, poolpb.OrderResult_LATE)
	is.Equal(startVerdict(c), poolpb.OrderResult_OK)
}

// Guards against a restarted agent that starts nothing though its worker began long before, so that whatever the agent
// before sent was for the instance that runs.
func TestRestartedAgentStartsOnAnOldInstance(t *testing.T) {
	is := is.New(t)
	c := newYoungCore()
	renewed(c, 0, 7, c.incarnation)
	listAt(c, time.Second, Listing{Clock: lateCallLimit + 1500*time.Millisecond})
	c.Heartbeat(Heartbeat{Instance: youngInstance, Sequence: 2, Clock: ReadingOf(lateCallLimit + 1500*time.Millisecond)})
	_, verdict := c.CheckStart(start.Add(time.Second), orderAt(c, youngInstance, 0))
	is.Equal(verdict, poolpb.OrderResult_OK)
}

// restartedWorker returns an agent whose polls for an instance were not answered, the last one with a lease and a committed
// number, and whose worker has restarted under its name and answered a poll at 1 s with a reading of 0.2 s.
func restartedWorker(t *testing.T) (*Core, instance.ID) {
	t.Helper()
	c := newTestCore()
	renewed(c, 0, 7, "earlier")
	listAt(c, 0, Listing{Clock: 100 * time.Second, Ended: []*poolpb.EndedTask{{Number: 1}}})
	c.Sync(&poolpb.SyncRequest{Epoch: 7, Instance: instanceNamed("first").String(), Committed: 1})
	failPollAt(c, 0)
	next := instance.New("first", 2)
	c.Heartbeat(Heartbeat{Instance: next, Sequence: 1, Clock: ReadingOf(100 * time.Millisecond)})
	poll, number, _ := c.NextPoll(start.Add(time.Second))
	c.HandleListing(start.Add(time.Second), poll, number, Listing{Instance: next, Clock: 200 * time.Millisecond})
	return c, next
}

// Guards against an agent that starts nothing for 12.5 s after an unanswered poll, though the next instance refuses it.
func TestInstanceThatRefusesEarlierCallsGetsStarts(t *testing.T) {
	is := is.New(t)
	c, next := restartedWorker(t)
	_, verdict := c.CheckStart(start.Add(time.Second), orderAt(c, next, time.Second))
	is.Equal(verdict, poolpb.OrderResult_LATE)
	renewed(c, time.Second, 8, c.incarnation)
	poll, number, _ := c.NextPoll(start.Add(time.Second))
	c.HandleListing(start.Add(time.Second), poll, number, Listing{Instance: next, Clock: 200 * time.Millisecond})
	_, verdict = c.CheckStart(start.Add(time.Second), orderAt(c, next, time.Second))
	is.Equal(verdict, poolpb.OrderResult_OK)
}

// Guards against a silent instance that is reported as lapsed, while a late poll for the instance before it may have
// extended its lease after its first listing.
func TestLatePollMayExtendTheNextInstancesLease(t *testing.T) {
	is := is.New(t)
	c, _ := restartedWorker(t)
	failPollAt(c, time.Second+maxLease+500*time.Millisecond)
	is.True(!c.workerState().GetLapsed()) // The poll may arrive until 12.5 s, and extend the lease by 6.3 s.
	failPollAt(c, 20*time.Second)
	is.True(c.workerState().GetLapsed())
}

// An instance that refuses the late poll from its second listing on got the last lease from it before that.
func TestLatePollExtendsTheLeaseUntilItIsRefused(t *testing.T) {
	is := is.New(t)
	c, next := restartedWorker(t)
	renewed(c, time.Second, 8, c.incarnation)
	poll, number, _ := c.NextPoll(start.Add(3 * time.Second))
	c.HandleListing(start.Add(3*time.Second), poll, number, Listing{Instance: next, Clock: 2200 * time.Millisecond})
	failPollAt(c, 8500*time.Millisecond)
	is.True(!c.workerState().GetLapsed()) // until 8.5 s by the worker's clock
	failPollAt(c, 10*time.Second)
	is.True(c.workerState().GetLapsed())
}

// Guards against a holder that places tasks on a worker whose agent starts nothing yet, and against a long poll by which
// the raised number reaches the worker up to 0.4 s later.
func TestAgentReportsThatStartsWait(t *testing.T) {
	is := is.New(t)
	c := newYoungCore()
	renewed(c, 0, 7, "earlier")
	listAt(c, 0, Listing{Clock: 500 * time.Millisecond})
	is.True(c.workerState().GetNotReady())
	poll, _, _ := c.NextPoll(start)
	is.Equal(poll.Wait, time.Duration(0))
	renewed(c, 0, 8, c.incarnation)
	listAt(c, 0, Listing{Clock: 500 * time.Millisecond})
	is.True(!c.workerState().GetNotReady())
	poll, _, _ = c.NextPoll(start)
	is.Equal(poll.Wait, pollWait)
}

// Guards against a long poll that begins with each raised number, and is in flight when the holder's first orders come.
func TestRaisedNumberIsPolledWithAtOnceOnlyIfStartsWait(t *testing.T) {
	is := is.New(t)
	_, agent, renewal := newRestartingWorker()
	polls := func(number uint64, incarnation string) bool {
		renewal.Epoch, renewal.Incarnation = number, incarnation
		agent.sync(agent.now(), renewal)
		select {
		case <-agent.wake:
			return true
		default:
			return false
		}
	}
	polls(7, "")
	is.True(!polls(8, agent.core.incarnation))
	is.True(polls(9, "")) // a new holder
	agent.core.startsBlocked = true
	is.True(polls(10, agent.core.incarnation))
}
