package holder

import (
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/asynkron/protoactor-go/actor"
	"github.com/matryer/is"
	"github.com/phuslu/log"

	"hollyfork.example/hollyfork/catalog"
	"hollyfork.example/hollyfork/clock"
	"hollyfork.example/hollyfork/clock/clocktest"
	"hollyfork.example/hollyfork/mailbox"
	"hollyfork.example/hollyfork/malformed"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/process/actors"
	"hollyfork.example/wire/poolpb"
)

// newSlowHolder returns a holder without a ticker and commits. When it handles a stall, it waits until it receives from
// the channel.
func newSlowHolder(t *testing.T, c clock.Clock) (*Holder, chan struct{}) {
	t.Helper()
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	system := actors.NewSystem(logger)
	host := New("pool", "name", "address", pool.DefaultSettings(), Deps{
		Clock: c, System: system, Logger: logger, Malformed: malformed.New(logger, metrics.NewSet()),
		Catalog: func() *catalog.Catalog { return &catalog.Catalog{} }, Evacuations: func() catalog.Evacuations { return catalog.Evacuations{} },
	})
	h := newHolder(host, &FencedWriter{epoch: 7}, &restoredPool{core: pool.New("pool", pool.DefaultSettings(), nil)}, c.Now())
	h.committing = true
	resume := make(chan struct{})
	h.self = system.Root.Spawn(actor.PropsFromFunc(func(c actor.Context) {
		switch c.Message().(type) {
		case *actor.Started:
		case stall:
			<-resume
		default:
			h.Receive(c)
		}
	}))
	t.Cleanup(h.cancel)
	return h, resume
}

// stall makes the actor of newSlowHolder handle no further messages until it is resumed.
type stall struct{}

// onlyWorker returns the only worker that the holder knows.
func (h *Holder) onlyWorker(t *testing.T) pool.WorkerSnapshot {
	t.Helper()
	snapshot, err := mailbox.Call[snapshotRequest, pool.Snapshot](h.root, h.self, snapshotRequest{}, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	return snapshot.Workers[0]
}

// A holder short of processor handled its timer before the reply that was queued behind it, and counted the lease of an
// agent as ended that it had renewed meanwhile.
func TestLateTimerDoesNotEndALeaseThatWasRenewed(t *testing.T) {
	is := is.New(t)
	c := clocktest.Stopped(time.Unix(1000, 0))
	h, resume := newSlowHolder(t, c)
	l := newAgentLink(h, pool.AgentAddress{Agent: "a", Address: "127.0.0.1:1"})
	h.links["a"] = l
	l.deliver("", &poolpb.SyncReply{Incarnation: "agent", LeaseToken: 1, Worker: &poolpb.WorkerState{Instance: "first", Listing: 1}})
	is.Equal(h.onlyWorker(t).Instance, "first")

	h.send(stall{})
	c.Suspend(time.Second)
	h.sendTick()
	c.Suspend(3 * time.Second)
	l.deliver("agent", &poolpb.SyncReply{Incarnation: "agent", LeaseToken: 2}) // The next renewal counts the lease from this reading.
	c.Suspend(time.Second)
	resume <- struct{}{}
	is.Equal(h.onlyWorker(t).Instance, "first")

	c.Suspend(5 * time.Second)
	h.sendTick()
	is.Equal(h.onlyWorker(t).Instance, "")
}

// stickyClock is a clock whose reading may take long.
type stickyClock struct {
	clock.Clock

	// next is what the next reading waits for, or nil.
	next atomic.Pointer[slowReading]
}

type slowReading struct {
	begun, finish chan struct{}
}

func (c *stickyClock) Now() time.Time {
	if r := c.next.Swap(nil); r != nil {
		close(r.begun)
		<-r.finish
	}
	return c.Clock.Now()
}

// Two renewals of an agent may be under way. A holder short of processor handled the later reply first, and then took
// the earlier one, of an instance that had ended, for the worker's present state.
func TestRepliesReachTheHolderInOrder(t *testing.T) {
	is := is.New(t)
	c := &stickyClock{Clock: clocktest.Stopped(time.Unix(1000, 0))}
	h, _ := newSlowHolder(t, c)
	l := newAgentLink(h, pool.AgentAddress{Agent: "a", Address: "127.0.0.1:1"})
	reading := &slowReading{begun: make(chan struct{}), finish: make(chan struct{})}
	c.next.Store(reading)
	var replies sync.WaitGroup
	replies.Go(func() {
		l.deliver("", &poolpb.SyncReply{Incarnation: "agent", LeaseToken: 1, Worker: &poolpb.WorkerState{Instance: "first", Listing: 1}})
	})
	<-reading.begun
	later := make(chan struct{})
	replies.Go(func() {
		defer close(later)
		l.deliver("agent", &poolpb.SyncReply{Incarnation: "agent", LeaseToken: 2, Worker: &poolpb.WorkerState{Instance: "second", Listing: 2}})
	})
	select {
	case <-later:
	case <-time.After(50 * time.Millisecond):
	}
	close(reading.finish)
	replies.Wait()
	is.Equal(h.onlyWorker(t).Instance, "second")
}

// An agent's address changed while a reply from the old one was on its way. It was taken for news of an earlier instance,
// and the runs of the present one for lost.
func TestReplyFromAnEarlierAddressIsIgnored(t *testing.T) {
	is := is.New(t)
	h, _ := newSlowHolder(t, clocktest.Stopped(time.Unix(1000, 0)))
	h.setAgent(pool.AgentAddress{Agent: "a", Address: "127.0.0.1:1"})
	earlier := h.links["a"]
	earlier.deliver("", &poolpb.SyncReply{Incarnation: "first agent", LeaseToken: 1, Worker: &poolpb.WorkerState{Instance: "first", Listing: 1}})
	is.Equal(h.onlyWorker(t).Instance, "first")
	h.setAgent(pool.AgentAddress{Agent: "a", Address: "127.0.0.1:2"})
	h.links["a"].deliver("", &poolpb.SyncReply{Incarnation: "second agent", LeaseToken: 1, Worker: &poolpb.WorkerState{Instance: "second", Listing: 1}})
	earlier.deliver("first agent", &poolpb.SyncReply{Incarnation: "first agent", LeaseToken: 2, Worker: &poolpb.WorkerState{Instance: "first", Listing: 2}})
	is.Equal(h.onlyWorker(t).Instance, "second")
}

// The first two replies over a new link came in reverse, from an agent and from the one before it. The present agent counted
// as past from then on: its replies were ignored, and its worker stayed unused.
func TestAgentIsHeardAfterALateReplyOfTheOneBefore(t *testing.T) {
	is := is.New(t)
	h, _ := newSlowHolder(t, clocktest.Stopped(time.Unix(1000, 0)))
	l := newAgentLink(h, pool.AgentAddress{Agent: "a", Address: "127.0.0.1:1"})
	l.deliver("", &poolpb.SyncReply{Incarnation: "second agent", LeaseToken: 1, Worker: &poolpb.WorkerState{Instance: "second", Listing: 1}})
	l.deliver("", &poolpb.SyncReply{Incarnation: "first agent", LeaseToken: 9, Worker: &poolpb.WorkerState{Instance: "first", Listing: 9}})
	l.deliver("second agent", &poolpb.SyncReply{Incarnation: "second agent", LeaseToken: 2, Worker: &poolpb.WorkerState{Instance: "second", Listing: 2}})
	is.Equal(h.onlyWorker(t).Instance, "second")
}
