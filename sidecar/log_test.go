package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/phuslu/log"

	"hollyfork.example/hollyfork/clock/clocktest"
	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/wire/poolpb"
)

// loggedWorker is a worker with given runs, which may be silent.
type loggedWorker struct {
	unresponsiveWorker

	listing Listing
	silent  bool
	refuses bool
}

func (w *loggedWorker) Poll(ctx context.Context, poll PollRequest) (Listing, error) {
	if w.silent {
		<-ctx.Done()
		return Listing{}, &Error{Op: "hold", Kind: KindUnanswered, Err: ctx.Err()}
	}
	if w.refuses {
		return Listing{}, &Error{Op: "hold", Kind: KindNoWorker}
	}
	listing := w.listing
	listing.Instance = poll.Instance
	return listing, nil
}

// loggedAgent is an agent of the epoch 7, whose log can be read.
type loggedAgent struct {
	*Agent

	t      *testing.T
	worker *loggedWorker
	out    bytes.Buffer
}

func newLoggedAgent(t *testing.T) *loggedAgent {
	t.Helper()
	a := &loggedAgent{t: t, worker: &loggedWorker{}}
	a.worker.listing.Clock = time.Minute
	for i := range 20 {
		a.worker.listing.Running = append(a.worker.listing.Running, &poolpb.RunningTask{Task: fmt.Sprintf("5c0e7a21d94b36f8.3.1.%d", i), Run: 2})
	}
	a.Agent = New(clocktest.New(), a.worker, metrics.NewSet(), &log.Logger{Writer: &log.IOWriter{Writer: &a.out}})
	a.Heartbeat(Heartbeat{Instance: instanceNamed("first"), Sequence: 1})
	a.renew()
	a.pollOnce(t.Context())
	return a
}

func (a *loggedAgent) renew() {
	reply := a.core.Reply(a.clock.Now(), &poolpb.SyncRequest{})
	a.sync(a.clock.Now(), &poolpb.SyncRequest{Epoch: 7, Incarnation: a.core.incarnation, LeaseToken: reply.GetLeaseToken(), LeaseMs: 4000})
}

// line returns the last line with a message, and how many there are.
func (a *loggedAgent) line(message string) (line map[string]any, count int) {
	a.t.Helper()
	for text := range strings.SplitSeq(a.out.String(), "\n") {
		if !strings.Contains(text, `"message":"agent: `+message+`"`) {
			continue
		}
		line = map[string]any{}
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			a.t.Fatal(err)
		}
		count++
	}
	return line, count
}

// Guards against an agent that says of a worker that stops listening before it leaves that its runs have ended, at each
// report that it makes of it.
func TestLapseOfALeavingWorkerIsLoggedOnceItsLeaseHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newLoggedAgent(t)
		a.core.HandleLeave(a.now(), instance.New("first", 0))
		a.worker.refuses = true
		a.pollOnce(t.Context())
		_, count := a.line("all runs of the worker are considered ended")
		is.Equal(count, 0)
		_, count = a.line("the worker does not answer")
		is.Equal(count, 1)
		for range 100 {
			a.pollOnce(t.Context())
			time.Sleep(retryInterval)
		}
		lapse, count := a.line("all runs of the worker are considered ended")
		is.Equal(count, 1)
		is.Equal(lapse["reason"], "LEFT")
		is.True(lapse["listed_ago"].(float64) >= 4000)
	})
}

// Guards against an agent that considers runs as ended without a word on which they are: its log can't be joined with
// those of the holder and the other agents then.
func TestLapseNamesTheRunsAndTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newLoggedAgent(t)
		first, _ := a.line("another instance of the worker answers")
		is.Equal(first["incarnation"], a.core.incarnation)
		is.Equal(len(first["runs"].([]any)), maxLoggedRuns) // of 20
		a.worker.silent = true
		for !a.core.instanceEnded {
			a.pollOnce(t.Context())
			time.Sleep(retryInterval)
		}
		lapse, count := a.line("all runs of the worker are considered ended")
		is.Equal(count, 1)
		runs := lapse["runs"].([]any)
		is.Equal(runs[15], "5c0e7a21d94b36f8.3.1.15/2")
		is.Equal(len(runs), maxLoggedRuns)
		is.Equal(lapse["running"], 20.0)
		is.Equal(lapse["incarnation"], a.core.incarnation)
		is.Equal(lapse["epoch"], 7.0)
		is.Equal(lapse["reason"], "SILENT")
		is.Equal(lapse["earlier_lease"], "unknown")
		is.True(lapse["lease_for"].(float64) >= 4000)  // as an earlier agent may have given
		is.True(lapse["silent_for"].(float64) >= 4000) // since the first unanswered poll
		is.True(lapse["agent_age"].(float64) >= lapse["silent_for"].(float64))
	})
}

// Guards against a start whose effect can't be followed in the agent's log: when it was answered, and up to when the
// worker may go on with it.
func TestOrdersAreLoggedWithLeaseAndAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newLoggedAgent(t)
		a.Heartbeat(Heartbeat{Instance: instanceNamed("first"), Sequence: 2})
		a.pollOnce(t.Context())
		request := orderAt(a.core, instanceNamed("first"), 0)
		request.Epoch = 7
		request.Starts = []*poolpb.StartOrder{{Task: "5c0e7a21d94b36f8.3.1.17", Run: 2}}
		a.worker.unanswered = 1
		is.NoErr(a.Service().Order(request, &poolpb.OrderReply{}))
		start, _ := a.line("order handled")
		is.Equal(start["task"], "5c0e7a21d94b36f8.3.1.17")
		is.Equal(start["result"], "UNSETTLED")
		is.Equal(start["took_ms"], 200.0)
		is.Equal(start["epoch"], 7.0)
		is.True(start["due_ms"].(float64) > 60_000) // by the worker's clock
	})
}

// Guards against an agent whose log doesn't tell when a run ended. Ends are listed again until they are committed.
func TestEachEndIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newLoggedAgent(t)
		a.worker.listing.Ended = []*poolpb.EndedTask{{Number: 5, Task: "5c0e7a21d94b36f8.3.1.17", Run: 2, Kind: poolpb.EndKind_DONE}}
		for range 3 {
			a.pollOnce(t.Context())
		}
		end, count := a.line("run ended")
		is.Equal(count, 1)
		is.Equal(end["task"], "5c0e7a21d94b36f8.3.1.17")
		is.Equal(end["how"], "DONE")
	})
}

// Guards against two holders of which the agents' logs say nothing.
func TestRefusedHolderIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newLoggedAgent(t)
		for range 3 {
			is.NoErr(a.Service().Sync(&poolpb.SyncRequest{Epoch: 6}, &poolpb.SyncReply{}))
			is.NoErr(a.Service().Order(&poolpb.OrderRequest{Epoch: 6}, &poolpb.OrderReply{}))
		}
		refused, count := a.line("an earlier holder was refused")
		is.Equal(count, 1)
		is.Equal(refused["epoch"], 6.0)
		is.Equal(refused["known_epoch"], 7.0)
	})
}

// Guards against a lapse that doesn't name the runs that no listing has contained yet. The worker fell silent between a
// start and the next listing, once under load:
//
//	agent: order handled, "order":"start","result":"OK"
//	agent: all runs of the worker are considered ended, "runs":[]
//
// They have a field of their own, as the worker may have refused them.
func TestLapseNamesRunsThatWereNotListedYet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newLoggedAgent(t)
		a.worker.listing.Running = nil
		a.Heartbeat(Heartbeat{Instance: instanceNamed("first"), Sequence: 2})
		a.pollOnce(t.Context())
		request := orderAt(a.core, instanceNamed("first"), 0)
		request.Epoch = 7
		request.Starts = []*poolpb.StartOrder{{Task: "5c0e7a21d94b36f8.3.1.17", Run: 2}}
		is.NoErr(a.Service().Order(request, &poolpb.OrderReply{}))
		a.worker.silent = true
		for !a.core.instanceEnded {
			a.pollOnce(t.Context())
			time.Sleep(retryInterval)
		}
		lapse, _ := a.line("all runs of the worker are considered ended")
		is.Equal(lapse["runs"], []any{})
		is.Equal(lapse["unlisted_starts"], []any{"5c0e7a21d94b36f8.3.1.17/2"})
	})
}
