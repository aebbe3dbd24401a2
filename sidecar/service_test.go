package sidecar

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/phuslu/log"

	"hollyfork.example/hollyfork/clock/clocktest"
	"hollyfork.example/wire/poolpb"
)

// unresponsiveWorker is a worker without runs that does not answer its first starts.
type unresponsiveWorker struct {
	// unanswered is the number of further starts that it does not answer.
	unanswered int
}

func (*unresponsiveWorker) Poll(_ context.Context, poll PollRequest) (Listing, error) {
	return Listing{Instance: poll.Instance}, nil
}

func (w *unresponsiveWorker) Start(ctx context.Context, _ StartRequest) (poolpb.OrderResult_Value, error) {
	if w.unanswered == 0 {
		return poolpb.OrderResult_OK, nil
	}
	w.unanswered--
	<-ctx.Done()
	return poolpb.OrderResult_UNSETTLED, &Error{Op: "start", Kind: KindUnanswered, Err: ctx.Err()}
}

func (*unresponsiveWorker) Stop(context.Context, StopRequest) (poolpb.OrderResult_Value, error) {
	return poolpb.OrderResult_OK, nil
}

// The holder aborts a gang after 2 s. If the agent waited 0.5 s for the answer to each start, a gang would be aborted
// when one of its starts is not answered three times.
func TestUnansweredOrderTimesOutSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		worker := &unresponsiveWorker{unanswered: 3}
		agent := New(clocktest.New(), worker, metrics.NewSet(), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
		agent.core.earlierCallsUntil = time.Time{} // There was no agent before it.
		agent.Heartbeat(Heartbeat{Instance: instanceNamed("first"), Sequence: 1})
		agent.sync(time.Now(), &poolpb.SyncRequest{Epoch: 7, Incarnation: agent.core.incarnation, LeaseMs: 4000})
		agent.pollOnce(t.Context())
		request := orderAt(agent.core, instanceNamed("first"), 0)
		request.Epoch = 7
		request.Starts = []*poolpb.StartOrder{{Task: "a.0.0.0", Run: 1}}
		began := time.Now()
		reply := &poolpb.OrderReply{}
		for len(reply.Starts) == 0 || reply.Starts[0] != poolpb.OrderResult_OK {
			reply = &poolpb.OrderReply{}
			is.NoErr(agent.Service().Order(request, reply))
		}
		is.True(time.Since(began) < time.Second)
	})
}

// singleInstanceWorker rejects polls for any instance but its own.
type singleInstanceWorker struct {
	unresponsiveWorker
}

func (w *singleInstanceWorker) Poll(ctx context.Context, poll PollRequest) (Listing, error) {
	if poll.Instance != instanceNamed("first") {
		return Listing{}, &Error{Op: "ask", Kind: KindOtherInstance}
	}
	return w.unresponsiveWorker.Poll(ctx, poll)
}

// A heartbeat names an instance that does not exist. The agent carries out no start until it has polled that
// instance, and carries out starts again afterwards. After both changes a delayed reply must be sent at once, not when
// its wait of 0.5 s has passed. This includes the poll that fails, although no run ends with it.
func TestReadinessChangeEndsDelayedRenewals(t *testing.T) {
	is := is.New(t)
	agent := New(clocktest.New(), &singleInstanceWorker{}, metrics.NewSet(), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
	agent.core.earlierCallsUntil = time.Time{} // There was no agent before it.
	holdRenewal := func() <-chan struct{} {
		_, changed := agent.sync(time.Now(), &poolpb.SyncRequest{Epoch: 7, Incarnation: agent.core.incarnation, SeenReport: agent.core.ReportNumber(), LeaseMs: 4000})
		return changed
	}
	notified := func(changed <-chan struct{}) bool {
		select {
		case <-changed:
			return true
		default:
			return false
		}
	}
	holdRenewal()
	agent.Heartbeat(Heartbeat{Instance: instanceNamed("first"), Sequence: 1})
	agent.pollOnce(t.Context())
	is.True(!agent.core.workerState().GetNotReady())
	renewal := holdRenewal()
	is.True(!notified(renewal))
	is.True(agent.Heartbeat(Heartbeat{Instance: instanceNamed("stranger"), Sequence: 1}))
	is.True(agent.core.workerState().GetNotReady())
	is.True(notified(renewal))
	renewal = holdRenewal()
	agent.pollOnce(t.Context())
	is.True(!agent.core.workerState().GetNotReady())
	is.True(notified(renewal))
}

// An agent that did not say which incarnation answers would be taken for the one that the order was given to.
func TestAnswerToAnOrderNamesTheIncarnation(t *testing.T) {
	is := is.New(t)
	agent := New(clocktest.New(), &unresponsiveWorker{}, metrics.NewSet(), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
	reply := &poolpb.OrderReply{}
	is.NoErr(agent.Service().Order(&poolpb.OrderRequest{Epoch: 7, Incarnation: "before", Stops: []*poolpb.StopOrder{{Task: "a.0.0.0", Run: 1}}}, reply))
	is.True(reply.GetIncarnation() != "")
	is.Equal(reply.GetIncarnation(), agent.core.incarnation)
	is.Equal(reply.GetStops(), []poolpb.OrderResult_Value{poolpb.OrderResult_OK})
}
