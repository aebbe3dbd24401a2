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

// muteWorker lists nothing, and answers no start before a number of them went unanswered.
type muteWorker struct {
	unanswered int
}

func (*muteWorker) Hold(_ context.Context, h Hold) (Listing, error) {
	return Listing{Instance: h.Instance}, nil
}

func (w *muteWorker) Start(ctx context.Context, _ StartTask) (poolpb.OrderResult_Value, error) {
	if w.unanswered == 0 {
		return poolpb.OrderResult_OK, nil
	}
	w.unanswered--
	<-ctx.Done()
	return poolpb.OrderResult_UNSETTLED, &Error{Op: "start", Kind: KindUnanswered, Err: ctx.Err()}
}

func (*muteWorker) Stop(context.Context, StopTask) (poolpb.OrderResult_Value, error) {
	return poolpb.OrderResult_OK, nil
}

// A gang was given up after 2 s when one of its starts went unanswered three times: each took
// 0.5 s at the agent.
func TestUnansweredOrderIsGivenUpSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		worker := &muteWorker{unanswered: 3}
		agent := New(clocktest.New(), worker, metrics.NewSet(), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
		agent.Heartbeat(Heartbeat{Instance: named("first"), Sequence: 1})
		agent.sync(time.Now(), &poolpb.SyncRequest{Epoch: 7, Incarnation: agent.core.incarnation, LeaseMs: 4000})
		agent.holdOnce(t.Context())
		request := orderAt(agent.core, named("first"), 0)
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
