package holder

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/asynkron/protoactor-go/actor"
	"github.com/matryer/is"
	"github.com/phuslu/log"

	"hollyfork.example/hollyfork/clock"
	"hollyfork.example/hollyfork/malformed"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/process/actors"
	"hollyfork.example/rpc"
	"hollyfork.example/wire/poolpb"
)

// longPollAgent delays its reply to every renewal that allows it, and records all renewals.
type longPollAgent struct {
	release  chan struct{}
	requests chan *poolpb.SyncRequest
}

func (a *longPollAgent) Sync(request *poolpb.SyncRequest, reply *poolpb.SyncReply) error {
	a.requests <- request
	if request.GetWaitMs() > 0 && request.GetLeaseToken() > 0 {
		<-a.release
	}
	reply.Incarnation = "agent"
	reply.LeaseToken = request.GetLeaseToken() + 1
	return nil
}

// newTestHolder returns a holder whose lease was confirmed confirmedAgo before now, and whose actor ignores all
// messages.
func newTestHolder(t *testing.T, confirmedAgo time.Duration) *Holder {
	t.Helper()
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	system := actors.NewSystem(logger)
	host := New("pool", "name", "address", pool.DefaultSettings(), Deps{Clock: clock.System{}, System: system, Logger: logger, Malformed: malformed.New(logger, metrics.NewSet())})
	loaded := &restoredPool{core: pool.New("pool", pool.DefaultSettings(), nil)}
	h := newHolder(host, &FencedWriter{epoch: 7}, loaded, clock.Now().Add(-confirmedAgo))
	h.self = system.Root.Spawn(actor.PropsFromFunc(func(actor.Context) {}))
	t.Cleanup(h.cancel)
	return h
}

// A reply that arrives after a newer one must not reset the worker to an outdated state.
func TestLateRepliesAreIgnored(t *testing.T) {
	is := is.New(t)
	l := newAgentLink(newTestHolder(t, 0), pool.AgentAddress{Agent: "a", Address: "127.0.0.1:1"})
	is.True(l.recordIfNewest("", &poolpb.SyncReply{Incarnation: "first", LeaseToken: 5}))
	is.True(!l.recordIfNewest("first", &poolpb.SyncReply{Incarnation: "first", LeaseToken: 4}))
	is.True(l.recordIfNewest("first", &poolpb.SyncReply{Incarnation: "second", LeaseToken: 1}))
	is.True(!l.recordIfNewest("first", &poolpb.SyncReply{Incarnation: "first", LeaseToken: 9}))
	is.Equal(l.lastReply.GetIncarnation(), "second")
}

// After an outage of the store, the holder must renew the agents' leases at once. The renewals whose replies the
// agents delay carry no lease: when a holder lost power 0.13 s after the outage, the runs on its workers lapsed.
func TestAgentsGetTheirLeaseAtOnceAfterAnOutage(t *testing.T) {
	is := is.New(t)
	agent := &longPollAgent{release: make(chan struct{}), requests: make(chan *poolpb.SyncRequest, 10)}
	address := serveAgent(t, agent)
	defer close(agent.release)

	h := newTestHolder(t, LeaseValidity)
	h.setAgent(pool.AgentAddress{Agent: "a", Address: address})
	<-agent.requests // the first renewal fetches the agent's clock
	held := <-agent.requests
	is.Equal(held.GetLeaseMs(), int32(0))
	h.handleCommitResult(clock.Now(), commitResult{sent: clock.Now()})
	next := <-agent.requests
	is.Equal(time.Duration(next.GetLeaseMs())*time.Millisecond, h.host.settings.AgentLease)
	is.Equal(next.GetWaitMs(), int32(0)) // the agent must reply at once, while it still delays the reply to the earlier renewal
}

// unchangedAgent always has the same report, and sends it only to a holder that has not seen it.
type unchangedAgent struct {
	seenReports chan uint64
}

func (a *unchangedAgent) Sync(request *poolpb.SyncRequest, reply *poolpb.SyncReply) error {
	const report = 5
	a.seenReports <- request.GetSeenReport()
	reply.Incarnation = "agent"
	reply.LeaseToken = request.GetLeaseToken() + 1
	reply.Report = report
	if request.GetSeenReport() != report {
		reply.Worker = &poolpb.WorkerState{Instance: "first", Accelerators: 8, Listing: 1}
	}
	return nil
}

// The holder forgets a worker whose agent is silent until the worker's lease has ended. When the agent replies again
// without a new report, the holder must request a full one. Otherwise an idle worker stays unknown:
//
//	holder: job waits, "for 26.068s, 1 tasks of 1 accelerators, …; workers: 1 not known yet"
func TestForgottenWorkerIsReportedAgain(t *testing.T) {
	is := is.New(t)
	agent := &unchangedAgent{seenReports: make(chan uint64, 100)}
	h := newTestHolder(t, 0)
	l := newAgentLink(h, pool.AgentAddress{Agent: "a", Address: serveAgent(t, agent)})
	h.links["a"] = l
	now := h.now()
	renew := func(at time.Time) {
		known, reply, err := l.sync(context.Background(), 0)
		is.NoErr(err)
		is.True(l.recordIfNewest(known, reply))
		h.handleSyncResult(syncResult{agent: "a", at: at, reply: reply})
	}
	renew(now)
	renew(now)
	is.Equal(h.core.Snapshot(now).Workers[0].Instance, "first")

	now = now.Add(10 * time.Second)
	h.core.Tick(now)
	is.Equal(h.core.Snapshot(now).Workers[0].Instance, "")
	renew(now) // replies without a report
	renew(now)
	is.Equal(h.core.Snapshot(now).Workers[0].Instance, "first")
	for range 4 {
		<-agent.seenReports
	}
	renew(now) // requests no further full report
	is.Equal(<-agent.seenReports, uint64(5))
}

// An agent may reply again after it was silent for so long that its worker was removed, and before its link is closed.
// Guards against a worker that stays unknown because the pool does not know that it has forgotten it.
func TestRemovedWorkerIsReportedAgain(t *testing.T) {
	is := is.New(t)
	agent := &unchangedAgent{seenReports: make(chan uint64, 100)}
	h := newTestHolder(t, 0)
	l := newAgentLink(h, pool.AgentAddress{Agent: "a", Address: serveAgent(t, agent)})
	h.links["a"] = l
	now := h.now()
	renew := func() {
		known, reply, err := l.sync(context.Background(), 0)
		is.NoErr(err)
		is.True(l.recordIfNewest(known, reply))
		h.handleSyncResult(syncResult{agent: "a", at: now, reply: reply})
	}
	renew()
	now = now.Add(pool.DefaultSettings().ForgetAfter)
	h.core.Tick(now)
	is.Equal(len(h.core.Snapshot(now).Workers), 0)
	renew() // replies without a report
	renew()
	is.Equal(h.core.Snapshot(now).Workers[0].Instance, "first")
}

// The next renewal may be in flight already when the holder requests a full report. The reply to it has no report,
// and must not end the request.
func TestFullReportIsRequestedUntilItArrives(t *testing.T) {
	is := is.New(t)
	l := newAgentLink(newTestHolder(t, 0), pool.AgentAddress{Agent: "a", Address: "127.0.0.1:1"})
	answer := func(token int64, w *poolpb.WorkerState) {
		is.True(l.recordIfNewest(l.lastReply.GetIncarnation(), &poolpb.SyncReply{Incarnation: "agent", LeaseToken: token, Report: 5, Worker: w}))
	}
	answer(1, &poolpb.WorkerState{Instance: "first"})
	is.Equal(l.seenReport(), uint64(5))
	l.requestFullReport()
	answer(2, nil)
	is.Equal(l.seenReport(), uint64(0))
	answer(3, &poolpb.WorkerState{Instance: "first"})
	is.Equal(l.seenReport(), uint64(5))
}

// countingAgent counts the orders that it receives.
type countingAgent struct {
	orders atomic.Int32
}

func (a *countingAgent) Order(_ *poolpb.OrderRequest, _ *poolpb.OrderReply) error {
	a.orders.Add(1)
	return nil
}

// An order is decided on while the lease is valid, and the process is paused before it sends the order.
func TestNoOrderIsGivenAfterTheLeaseHasEnded(t *testing.T) {
	for name, test := range map[string]struct {
		confirmedAgo time.Duration
		given        int32
	}{
		"in force":      {confirmedAgo: 0, given: 1},
		"ended by then": {confirmedAgo: LeaseValidity, given: 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			agent := &countingAgent{}
			l := newAgentLink(newTestHolder(t, test.confirmedAgo), pool.AgentAddress{Agent: "a", Address: serveAgent(t, agent)})
			l.order(context.Background(), 7, pool.Orders{Agent: "a", Starts: []pool.Start{{Run: 1}}})
			is.Equal(agent.orders.Load(), test.given)
		})
	}
}

// serveAgent serves an agent's interface and returns its address.
func serveAgent(t *testing.T, agent any) string {
	t.Helper()
	server := rpc.NewServer(0, nil)
	if err := server.Register(ServiceName, agent); err != nil {
		t.Fatal(err)
	}
	config := net.ListenConfig{}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// With a renewal every 0.5 s for each agent, the traffic of a holder would grow with the fleet.
func TestRenewalsOfLargeFleetsAreSpaced(t *testing.T) {
	is := is.New(t)
	is.Equal(renewalSpacing(1), minSyncWait)
	is.Equal(renewalSpacing(400), minSyncWait)
	is.Equal(renewalSpacing(800), time.Second)
	is.Equal(renewalSpacing(1200), maxSyncWait)
	is.Equal(renewalSpacing(10000), maxSyncWait)
}

// The link to an earlier address of an agent went on trying to reach it, and reported that the agent is unreachable.
func TestGivenUpLinkEnds(t *testing.T) {
	h := newTestHolder(t, 0)
	l := newAgentLink(h, pool.AgentAddress{Agent: "a", Address: "127.0.0.1:1"})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.run(h.ctx)
	}()
	l.close()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("the link is still open")
	}
}
