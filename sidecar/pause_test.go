package sidecar

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/phuslu/log"
	"pgregory.net/rapid"

	"hollyfork.example/hollyfork/clock/clocktest"
	"hollyfork.example/wire/poolpb"
)

// While a VM is paused, its monotonic clock stops. If the agent read that clock, it would have as much of its
// lease left after a pause as before. It would then extend its worker's lease for the length of the pause
// after the holder has considered the runs lost and started them elsewhere.

func TestAgentLeaseEndsDuringAPause(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	listAt(c, 0, Listing{Clock: 100 * time.Second})
	const pause = 5 * time.Second
	c.SetTotalPause(pause)
	poll, _, _ := c.NextPoll(start.Add(pause))
	is.Equal(poll.LeaseEnd, time.Duration(0))
	_, verdict := c.CheckStart(start.Add(pause), orderAt(c, instanceNamed("first"), 0))
	is.Equal(verdict, poolpb.OrderResult_LATE)
}

// The worker's clock may have stopped as well, so its reading in the last listing is invalid after a pause.
func TestWorkerClockIsReadAgainAfterAPause(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	listAt(c, 0, Listing{Clock: 100 * time.Second})
	const pause = 2 * time.Second
	c.SetTotalPause(pause)
	poll, _, _ := c.NextPoll(start.Add(pause))
	is.Equal(poll.LeaseEnd, time.Duration(0)) // 104 s by the worker's clock is 2 s after the agent's lease.
	is.Equal(poll.Wait, time.Duration(0))
	listAt(c, pause, Listing{Clock: 100 * time.Second})
	poll, _, _ = c.NextPoll(start.Add(pause))
	is.Equal(poll.LeaseEnd, 102*time.Second)
}

// A check only directly after a pause would be insufficient: after a pause that is shorter than the
// remaining lease of the agent, the worker would go on for the length of the pause after the end of that lease.
func TestRunThatOutlastsItsLeaseIsStopped(t *testing.T) {
	running := []*poolpb.RunningTask{{Task: "a.0.0.0", Run: 1}}
	for name, test := range map[string]struct {
		at, pause time.Duration
		overdue   int
	}{
		"the grant ended in a suspension":        {at: 5 * time.Second, pause: 5 * time.Second, overdue: 1},
		"the grant is in force":                  {at: 3 * time.Second, pause: 3 * time.Second},
		"the worker's clock may have been slow":  {at: 4200 * time.Millisecond},
		"the worker took its lease to be longer": {at: 5 * time.Second, overdue: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newTestCore()
			listAt(c, 0, Listing{Clock: 100 * time.Second, Running: running})
			c.SetTotalPause(test.pause)
			listAt(c, test.at, Listing{Clock: 100*time.Second + test.at - test.pause, Running: running})
			is.Equal(len(c.TakeOverdueRuns()), test.overdue)
			is.Equal(len(c.TakeOverdueRuns()), 0)
		})
	}
}

// A short pause is over when the agent's lease ends, but the worker's clock is late by its length.
func TestRunIsStoppedWhenTheAgentLeaseEndsAfterAPause(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	running := []*poolpb.RunningTask{{Task: "a.0.0.0", Run: 1}}
	listAt(c, 0, Listing{Clock: 100 * time.Second, Running: running})
	c.NextPoll(start) // The worker's lease ends at 104 s by its clock.
	c.SetTotalPause(2 * time.Second)
	for _, at := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second} {
		listAt(c, at, Listing{Clock: 98*time.Second + at, Running: running})
		is.Equal(len(c.TakeOverdueRuns()), 0)
	}
	listAt(c, 4500*time.Millisecond, Listing{Clock: 102500 * time.Millisecond, Running: running})
	is.Equal(len(c.TakeOverdueRuns()), 1) // The holder considers it lost, but the worker would go on until 6 s.
}

// A restarted agent takes over the worker's runs, and stops none of them while a lease of an earlier agent may last.
func TestRestartedAgentStopsNothingWithinEarlierLeases(t *testing.T) {
	is := is.New(t)
	c := NewCore(start, "another")
	c.Heartbeat(Heartbeat{Instance: instanceNamed("first"), Sequence: 1})
	c.ObserveEpoch(7)
	for _, at := range []time.Duration{time.Second, 4500 * time.Millisecond, 6500 * time.Millisecond} {
		listAt(c, at, Listing{Clock: 100*time.Second + at, Running: []*poolpb.RunningTask{{Task: "a.0.0.0", Run: 1}}})
		is.Equal(len(c.TakeOverdueRuns()), 0)
	}
}

// A run that an earlier agent started outlasts its lease if the VM is paused before this agent has had a lease.
func TestRunOfAnEarlierAgentThatOutlastsItsLeaseIsStopped(t *testing.T) {
	is := is.New(t)
	c := NewCore(start, "another")
	c.Heartbeat(Heartbeat{Instance: instanceNamed("first"), Sequence: 1})
	c.ObserveEpoch(7)
	c.SetTotalPause(10 * time.Second)
	listAt(c, 11*time.Second, Listing{Clock: 101 * time.Second, Running: []*poolpb.RunningTask{{Task: "a.0.0.0", Run: 1}}})
	is.Equal(len(c.TakeOverdueRuns()), 1)
}

// A worker's clock that stopped in a pause must not make a heartbeat from before the agent's start look like a later one.
func TestHeartbeatFromBeforeTheAgentIsRecognisedAfterAPause(t *testing.T) {
	is := is.New(t)
	c := NewCore(start, "agent")
	c.Sync(renewalFrom(c, 0))
	c.Heartbeat(Heartbeat{Instance: instanceNamed("first"), Sequence: 3, Clock: ReadingOf(98 * time.Second)})
	c.SetTotalPause(10 * time.Second)
	listAt(c, 11*time.Second, Listing{Clock: 101 * time.Second}) // It read 100 s when the agent started.
	is.True(!c.ready())
	c.Heartbeat(Heartbeat{Instance: instanceNamed("first"), Sequence: 5, Clock: ReadingOf(101 * time.Second)})
	is.True(c.ready())
}

// A worker's clock that runs slow must not make a heartbeat from before the agent's start look like a later one.
func TestHeartbeatFromBeforeTheAgentIsRecognisedByASlowClock(t *testing.T) {
	is := is.New(t)
	c := NewCore(start, "agent")
	c.Sync(renewalFrom(c, 0))
	c.Heartbeat(Heartbeat{Instance: instanceNamed("first"), Sequence: 3, Clock: ReadingOf(99900 * time.Millisecond)})
	listAt(c, 10*time.Second, Listing{Clock: 109800 * time.Millisecond}) // It read 100 s when the agent started.
	is.True(!c.ready())
}

// A pause between a poll and its answer must not make the worker's clock at the agent's start look later than the answer.
func TestClockAtStartIsNoLaterThanTheListing(t *testing.T) {
	is := is.New(t)
	c := NewCore(start, "agent")
	c.Sync(renewalFrom(c, 0))
	c.Heartbeat(Heartbeat{Instance: instanceNamed("first"), Sequence: 3, Clock: ReadingOf(100 * time.Second)})
	poll, number, _ := c.NextPoll(start)
	c.SetTotalPause(10 * time.Second)
	c.HandleListing(start.Add(10*time.Second), poll, number, Listing{Instance: instanceNamed("first"), Clock: 100500 * time.Millisecond})
	failPollAt(c, 16*time.Second)
	is.True(c.workerState().GetLapsed()) // Earlier leases end by 104.5 s, and the clock reads 106.3 s or more.
}

// The lease of a worker that was paused with its agent lasts longer by the length of the pause.
func TestSilentWorkerKeepsItsLeaseAfterAPause(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	listAt(c, 0, Listing{Clock: 100 * time.Second})
	c.NextPoll(start) // The worker's lease ends at 104 s by its clock.
	c.SetTotalPause(3 * time.Second)
	c.HandlePollFailure(start.Add(6*time.Second), PollRequest{Instance: instanceNamed("first")}, c.pollNumber, KindUnanswered)
	is.True(!c.workerState().GetLapsed())
	c.HandlePollFailure(start.Add(8*time.Second), PollRequest{Instance: instanceNamed("first")}, c.pollNumber, KindUnanswered)
	is.True(c.workerState().GetLapsed())
}

// A worker that has not answered since the agent's start keeps earlier leases for the length of a pause.
func TestUnseenWorkerKeepsEarlierLeasesAfterAPause(t *testing.T) {
	is := is.New(t)
	c := NewCore(start, "agent")
	c.SetTotalPause(5 * time.Second)
	is.True(!c.LapseUnseenWorker(start.Add(11 * time.Second)))
	is.True(c.LapseUnseenWorker(start.Add(11400 * time.Millisecond)))
}

// pausingWorker is a worker whose VM is paused while it carries out its first start.
type pausingWorker struct {
	clock *clocktest.Clock
	once  sync.Once

	mu      sync.Mutex
	started int
	stopped int
}

func (w *pausingWorker) Poll(_ context.Context, poll PollRequest) (Listing, error) {
	return Listing{Instance: poll.Instance, Clock: time.Minute, Running: []*poolpb.RunningTask{{Task: "a.0.0.0", Run: 1}}}, nil
}

func (w *pausingWorker) Start(context.Context, StartRequest) (poolpb.OrderResult_Value, error) {
	time.Sleep(time.Millisecond) // The other starts that are sent concurrently are in flight.
	w.once.Do(func() { w.clock.Suspend(10 * time.Second) })
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started++
	return poolpb.OrderResult_OK, nil
}

func (w *pausingWorker) Stop(context.Context, StopRequest) (poolpb.OrderResult_Value, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped++
	return poolpb.OrderResult_OK, nil
}

// An agent that is paused between several starts does not send the remaining ones, and stops the runs that have
// outlasted their lease.
func TestNothingIsStartedAfterAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		vm := clocktest.New()
		worker := &pausingWorker{clock: vm}
		agent := New(vm, worker, metrics.NewSet(), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
		agent.Heartbeat(Heartbeat{Instance: instanceNamed("first"), Sequence: 1})
		agent.sync(vm.Now(), &poolpb.SyncRequest{Epoch: 7, Incarnation: agent.core.incarnation, LeaseMs: 4000})
		agent.pollOnce(t.Context())
		agent.pollOnce(t.Context())
		request := orderAt(agent.core, instanceNamed("first"), 0)
		request.Epoch = 7
		for i := range 2 * maxParallelOrders {
			request.Starts = append(request.Starts, &poolpb.StartOrder{Task: fmt.Sprintf("a.0.0.%d", i), Run: 1})
		}
		reply := &poolpb.OrderReply{}
		is.NoErr(agent.Service().Order(request, reply))
		is.Equal(worker.started, maxParallelOrders)
		is.Equal(reply.Starts[2*maxParallelOrders-1], poolpb.OrderResult_LATE)
		agent.pollOnce(t.Context())
		synctest.Wait()
		is.Equal(worker.stopped, 1)
	})
}

// pausableLink is a lossyLink with pauses of the agent's VM. The worker's clock may stop too.
type pausableLink struct {
	lossyLink

	totalPause time.Duration
	// withWorker is set if the worker's clock stops during pauses as well.
	withWorker bool
}

func (p *pausableLink) pause(t *rapid.T) {
	length := time.Duration(rapid.IntRange(30, 12000).Draw(t, "suspended for ms")) * time.Millisecond
	p.now = p.now.Add(length)
	p.totalPause += length
	p.agent.SetTotalPause(p.totalPause)
}

func (p *pausableLink) workerClock() time.Duration {
	reading := p.now.Sub(start)
	if p.withWorker {
		reading -= p.totalPause
	}
	return reading
}

// pollWorker polls the worker and extends its lease, which must end before the holder considers the runs lost.
func (p *pausableLink) pollWorker(t *rapid.T) {
	poll, number, ok := p.agent.NextPoll(p.now)
	if !ok {
		return
	}
	if end := p.now.Add(poll.LeaseEnd - p.workerClock()); poll.LeaseEnd > 0 && end.After(p.lapseAt()) {
		t.Fatalf("the worker's lease lasts for %s after the holder considered its runs lost", end.Sub(p.lapseAt()))
	}
	p.agent.HandleListing(p.now, poll, number, Listing{Instance: poll.Instance, Clock: p.workerClock()})
}

func (p *pausableLink) renewAndPoll(t *rapid.T) {
	p.renewTwice()
	p.pollWorker(t)
}

func (p *pausableLink) restart(t *rapid.T) {
	p.restartAgent(t)
	p.agent.SetTotalPause(p.totalPause)
}

// Whenever the VM is paused, between any two steps of a renewal, an order, a listing and an extension: no start is
// carried out, and no lease lasts, after the holder has considered the runs lost.
func TestNothingOutlastsTheAgentLeaseInPauses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &pausableLink{lossyLink: lossyLink{now: start, lastReplyAt: start, lastReply: &poolpb.SyncReply{}, lostAt: map[*poolpb.OrderRequest]time.Time{}}}
		p.withWorker = rapid.Bool().Draw(t, "with its worker")
		p.restart(t)
		t.Repeat(map[string]func(*rapid.T){
			"wait":    p.wait,
			"suspend": p.pause,
			"touch":   p.renewAndPoll,
			"renew":   p.renew,
			"order":   p.order,
			"deliver": p.deliver,
			"hold":    p.pollWorker,
			"restart": p.restart,
		})
	})
}

// If the remaining lease were computed from the zero time, the log could not encode it, and an agent that was
// paused before its first lease would exit when it logs the pause.
func TestAgentWithoutALeaseReportsNoneRemaining(t *testing.T) {
	is := is.New(t)
	agent := New(clocktest.Stopped(start), nil, metrics.NewSet(), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
	is.Equal(agent.State(start.Add(time.Minute)).LeaseRemaining, time.Duration(0))
}
