package sidecar

import (
	"context"
	"io"
	"slices"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/phuslu/log"

	"hollyfork.example/hollyfork/clock/clocktest"
	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/wire/poolpb"
)

// rebornWorker is a worker whose tasks end at once, and which may start again under its name at any time.
type rebornWorker struct {
	instance instance.ID
	number   uint64
	ended    []*poolpb.EndedTask
	// read are the ends that it has listed, unread those that it was let forget before.
	read   map[*poolpb.EndedTask]bool
	unread []string
}

func (w *rebornWorker) restart() {
	w.instance = instance.New("first", w.instance.Born().UnixMilli()+1)
	w.number = 0
	w.ended = nil
}

func (w *rebornWorker) Hold(_ context.Context, h Hold) (Listing, error) {
	w.ended = slices.DeleteFunc(w.ended, func(e *poolpb.EndedTask) bool {
		if e.GetNumber() > h.Committed {
			return false
		}
		if !w.read[e] {
			w.unread = append(w.unread, e.GetTask())
		}
		return true
	})
	for _, e := range w.ended {
		w.read[e] = true
	}
	return Listing{Instance: w.instance, Ended: slices.Clone(w.ended)}, nil
}

func (w *rebornWorker) Start(_ context.Context, s StartTask) (poolpb.OrderResult_Value, error) {
	w.number++
	w.ended = append(w.ended, &poolpb.EndedTask{Number: w.number, Task: s.Order.GetTask(), Run: s.Order.GetRun(), Kind: poolpb.EndKind_DONE})
	return poolpb.OrderResult_OK, nil
}

func (w *rebornWorker) Stop(context.Context, StopTask) (poolpb.OrderResult_Value, error) {
	return poolpb.OrderResult_OK, nil
}

// A worker was back under its name before its agent knew. It carried out a start that was meant for the
// instance before, and its end was forgotten before anyone had read it, since the agent told with each question up to
// which number ends may be forgotten, and the numbers had begun anew. The task counted as lost and ran again. A question
// names the worker alone, so nothing in it can be meant for one instance; before the mend the worker was let forget c.0.0.0,
// its end 1, since 2 had been committed of the instance before.
func TestEndsOfTheNextInstanceAreRead(t *testing.T) {
	is := is.New(t)
	worker := &rebornWorker{instance: named("first"), read: map[*poolpb.EndedTask]bool{}}
	agent := New(clocktest.New(), worker, metrics.NewSet(), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
	agent.Heartbeat(Heartbeat{Instance: worker.instance, Sequence: 1})
	renewal := &poolpb.SyncRequest{Epoch: 7, Incarnation: agent.core.incarnation, LeaseMs: 4000}
	agent.sync(agent.now(), renewal)
	start := func(task string) {
		t.Helper()
		request := orderAt(agent.core, named("first"), 0)
		request.Epoch = 7
		request.Starts = []*poolpb.StartOrder{{Task: task, Run: 1}}
		reply := &poolpb.OrderReply{}
		is.NoErr(agent.Service().Order(request, reply))
		is.Equal(reply.GetStarts(), []poolpb.OrderResult_Value{poolpb.OrderResult_OK})
	}
	agent.holdOnce(t.Context())
	start("a.0.0.0")
	start("b.0.0.0")
	agent.holdOnce(t.Context())
	renewal.Instance, renewal.Committed = named("first").String(), 2
	agent.sync(agent.now(), renewal)
	agent.holdOnce(t.Context())
	is.Equal(len(worker.ended), 0) // both are committed, and forgotten
	worker.restart()
	start("c.0.0.0")
	agent.holdOnce(t.Context())
	is.Equal(worker.unread, nil)
	is.Equal(len(agent.core.listing.Ended), 1)
	is.Equal(agent.core.worker().GetInstance(), worker.instance.String())
}
