package sidecar

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/wire/poolpb"
)

// youngInstance is an instance that started shortly before an agent, under the name of the one before it.
var youngInstance = instance.New("first", 2)

// A start for one instance is answered by the next one, whose clock starts from 0: the lease lasts for the longest time.
func TestStartAnsweredByTheNextInstanceKeepsItsLease(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	listAt(c, 0, Listing{Clock: 100 * time.Second})
	leaseEnd, verdict := c.CheckStart(start, orderAt(c, instanceNamed("first"), 0))
	is.Equal(verdict, poolpb.OrderResult_OK)
	is.Equal(leaseEnd, 104*time.Second) // By its own clock, the next instance is 103 s from there, and cuts this to 6 s.
	order := &poolpb.StartOrder{Task: "a.0.0.0", Run: 1}
	c.StartSent(start, order)
	c.StartAnswered(order, poolpb.OrderResult_OK)
	poll, number, _ := c.NextPoll(start)
	c.HandleListing(start, poll, number, Listing{Instance: youngInstance, Clock: time.Second, Running: []*poolpb.RunningTask{{Task: "a.0.0.0", Run: 1}}})
	failPollAt(c, 5*time.Second)
	is.True(!c.workerState().GetLapsed()) // The run goes on until 7 s by the worker's clock.
	failPollAt(c, 7*time.Second)
	is.True(c.workerState().GetLapsed())
}

// A start that an earlier incarnation sent may run and end in the next instance, so no number is sent that this one would
// take for its own.
func TestRestartedAgentForgetsNothingBesideEarlierStarts(t *testing.T) {
	is := is.New(t)
	c := NewCore(start, "restarted")
	c.Heartbeat(Heartbeat{Instance: instanceNamed("first"), Sequence: 2})
	c.Sync(renewalFrom(c, 0))
	ended := []*poolpb.EndedTask{{Number: 3}}
	listAt(c, 0, Listing{Clock: 100 * time.Second, Ended: ended})
	c.Sync(&poolpb.SyncRequest{Epoch: 7, Instance: instanceNamed("first").String(), Committed: 3})
	poll, _, _ := c.NextPoll(start.Add(time.Second))
	is.Equal(poll.Committed, uint64(0)) // The start may still arrive.
	poll, _, _ = c.NextPoll(start.Add(lateCallLimit + time.Millisecond))
	is.Equal(poll.Committed, uint64(3))
}

// A poll with a committed number, sent by an earlier incarnation for the instance before this one, may still arrive.
func TestRestartedAgentStartsNothingWhileAnEarlierForgetMayArrive(t *testing.T) {
	is := is.New(t)
	c := NewCore(start, "restarted")
	verdictAt := func(at time.Duration) poolpb.OrderResult_Value {
		c.Heartbeat(Heartbeat{Instance: youngInstance, Sequence: uint64(at), Clock: ReadingOf(500*time.Millisecond + at)})
		c.Sync(renewalFrom(c, at))
		listAt(c, at, Listing{Clock: 500*time.Millisecond + at}) // The instance is 0.5 s older than the agent.
		_, verdict := c.CheckStart(start.Add(at), orderAt(c, youngInstance, at))
		return verdict
	}
	is.Equal(verdictAt(time.Second), poolpb.OrderResult_LATE)
	is.Equal(verdictAt(lateCallLimit+time.Millisecond), poolpb.OrderResult_OK)
}

// hangingWorker does not answer polls with a committed number until they are cancelled.
type hangingWorker struct {
	*restartingWorker

	hanging chan struct{}
}

func (w *hangingWorker) Poll(ctx context.Context, poll PollRequest) (Listing, error) {
	if poll.Committed == 0 {
		return w.restartingWorker.Poll(ctx, poll)
	}
	close(w.hanging)
	<-ctx.Done()
	return Listing{}, &Error{Op: "hold", Kind: KindUnanswered, Err: ctx.Err()}
}

// A heartbeat of the next instance cancels a poll with a committed number, which may still reach that instance.
func TestCancelledForgetBlocksStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		worker, agent, renewal := newRestartingWorker()
		hanging := &hangingWorker{restartingWorker: worker, hanging: make(chan struct{})}
		agent.worker = hanging
		agent.pollOnce(t.Context())
		orderStart(t, agent, "a.0.0.0")
		agent.pollOnce(t.Context())
		renewal.Instance, renewal.Committed = instanceNamed("first").String(), 1
		agent.sync(agent.now(), renewal)
		go agent.pollOnce(t.Context())
		<-hanging.hanging
		worker.restart()
		agent.Heartbeat(Heartbeat{Instance: worker.instance, Sequence: 1})
		synctest.Wait()
		agent.pollOnce(t.Context())
		is.Equal(agent.core.workerState().GetInstance(), worker.instance.String())
		_, verdict := agent.core.CheckStart(agent.now(), orderAt(agent.core, worker.instance, 0))
		is.Equal(verdict, poolpb.OrderResult_LATE)
	})
}
