package sidecar

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/hollyfork/job"
	"hollyfork.example/wire/poolpb"
)

var start = time.Unix(5000, 0)

// newTestCore returns the state of an agent that has a lease from a holder and has received a heartbeat.
func newTestCore() *Core {
	c := NewCore(start, "agent")
	c.earlierCallsUntil = time.Time{} // There was no agent before it.
	c.Heartbeat(Heartbeat{Instance: instanceNamed("first"), Sequence: 1, Capacity: job.Shape{Accelerators: 8}})
	c.Sync(renewalFrom(c, 0))
	return c
}

// instanceNamed returns the ID of an instance with a name and the start time 1.
func instanceNamed(name string) instance.ID {
	return instance.New(name, 1)
}

// renewalFrom returns a renewal with a lease of 4 s that starts at an offset from the test's start.
func renewalFrom(c *Core, from time.Duration) *poolpb.SyncRequest {
	return &poolpb.SyncRequest{Epoch: 7, Incarnation: c.incarnation, LeaseToken: int64(from), LeaseMs: 4000}
}

// listAt polls the worker and applies a listing as the answer, both at an offset from the test's start. It returns
// the result of HandleListing.
func listAt(c *Core, at time.Duration, listing Listing) bool {
	poll, number, _ := c.NextPoll(start.Add(at))
	listing.Instance = poll.Instance
	return c.HandleListing(start.Add(at), poll, number, listing)
}

// refuseAt polls the worker at an offset from the test's start, and its address refuses the connection. It returns the
// lease that the poll would have given.
func refuseAt(c *Core, at time.Duration) time.Duration {
	poll, number, _ := c.NextPoll(start.Add(at))
	c.HandlePollFailure(start.Add(at), poll, number, KindNoWorker)
	return poll.LeaseEnd
}

func TestLeaseIsExtendedByTheWorkersClock(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	poll, _, ok := c.NextPoll(start)
	is.True(ok)
	is.Equal(poll.LeaseEnd, time.Duration(0)) // The reading of the worker's clock is unknown.
	listAt(c, time.Second, Listing{Clock: 100 * time.Second})
	poll, _, _ = c.NextPoll(start.Add(time.Second))
	is.Equal(poll.LeaseEnd, 103*time.Second)
}

func TestLeaseEndsWithoutAHolder(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	listAt(c, time.Second, Listing{Clock: 100 * time.Second})
	poll, _, _ := c.NextPoll(start.Add(4100 * time.Millisecond))
	is.Equal(poll.LeaseEnd, time.Duration(0))
	_, verdict := c.CheckStart(start.Add(4100*time.Millisecond), orderAt(c, instanceNamed("first"), 0))
	is.Equal(verdict, poolpb.OrderResult_LATE)
}

func TestLeaseForAnEarlierAgentDoesNotCount(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	request := renewalFrom(c, 10*time.Second)
	request.Incarnation = "another"
	c.Sync(request)
	listAt(c, 5*time.Second, Listing{Clock: 100 * time.Second})
	poll, _, _ := c.NextPoll(start.Add(5 * time.Second))
	is.Equal(poll.LeaseEnd, time.Duration(0))
}

func TestEarlierHolderIsRefused(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	request := renewalFrom(c, 0)
	request.Epoch = 6
	is.True(c.Sync(request))
	is.True(c.ObserveEpoch(6))
	is.True(!c.ObserveEpoch(8))
}

func TestDrainingWorkerIsNotStartedOn(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	listAt(c, 0, Listing{Clock: time.Second})
	_, verdict := c.CheckStart(start, orderAt(c, instanceNamed("first"), 0))
	is.Equal(verdict, poolpb.OrderResult_OK)
	is.Equal(c.Heartbeat(Heartbeat{Instance: instanceNamed("first"), Sequence: 2, Draining: true}), HeartbeatChanged)
	_, verdict = c.CheckStart(start, orderAt(c, instanceNamed("first"), 0))
	is.Equal(verdict, poolpb.OrderResult_DRAINING)
	is.Equal(c.Heartbeat(Heartbeat{Instance: instanceNamed("first"), Sequence: 1}), HeartbeatLate)
	is.True(c.workerState().GetDraining())
}

func TestLateHeartbeatOfEndedInstanceIsRefused(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	listAt(c, 0, Listing{Clock: time.Second})
	is.Equal(c.Heartbeat(Heartbeat{Instance: instanceNamed("second"), Sequence: 1}), HeartbeatUnverified)
	listAt(c, 0, Listing{Clock: time.Second})
	is.Equal(c.Heartbeat(Heartbeat{Instance: instanceNamed("first"), Sequence: 99}), HeartbeatEndedInstance)
	is.Equal(c.workerState().GetInstance(), instanceNamed("second").String())
	_, verdict := c.CheckStart(start, orderAt(c, instanceNamed("first"), 0))
	is.Equal(verdict, poolpb.OrderResult_OTHER_INSTANCE)
}

func TestSilentWorkerLapsesOnlyAfterItsLease(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	listAt(c, 0, Listing{Clock: 100 * time.Second})
	c.NextPoll(start) // The worker may have received a lease of 4 s.
	c.HandlePollFailure(start.Add(time.Second), PollRequest{Instance: instanceNamed("first")}, c.pollNumber, KindUnanswered)
	poll, _, _ := c.NextPoll(start.Add(time.Second))
	is.Equal(poll.LeaseEnd, time.Duration(0)) // A poll that arrives late must not extend the lease.
	c.HandlePollFailure(start.Add(4100*time.Millisecond), PollRequest{Instance: instanceNamed("first")}, c.pollNumber, KindUnanswered)
	is.True(!c.workerState().GetLapsed()) // The worker's clock may run slow.
	c.HandlePollFailure(start.Add(4300*time.Millisecond), PollRequest{Instance: instanceNamed("first")}, c.pollNumber, KindUnanswered)
	is.True(c.workerState().GetLapsed())
	is.True(listAt(c, 5*time.Second, Listing{Clock: 105 * time.Second}))
	is.True(!c.workerState().GetLapsed())
}

func TestWorkerWithoutAProcessHasEnded(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	listAt(c, 0, Listing{Clock: 100 * time.Second})
	is.True(!c.HandlePollFailure(start, PollRequest{Instance: instanceNamed("first")}, c.pollNumber, KindNoWorker))
	is.True(c.HandlePollFailure(start, PollRequest{Instance: instanceNamed("first")}, c.pollNumber, KindNoWorker))
	is.True(c.workerState().GetLapsed())
}

// The agent reports whether its worker has crashed, has left as announced or is only silent. Without this distinction
// it would be unknown which tasks crash workers.
func TestAgentReportsHowItsWorkerEnded(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	listAt(c, 0, Listing{Clock: 100 * time.Second})
	c.NextPoll(start)
	is.Equal(c.workerState().GetLapse(), poolpb.Lapse_UNKNOWN)
	is.True(c.HandlePollFailure(start.Add(5*time.Second), PollRequest{Instance: instanceNamed("first")}, c.pollNumber, KindUnanswered))
	is.Equal(c.workerState().GetLapse(), poolpb.Lapse_SILENT)
	c.HandlePollFailure(start.Add(5*time.Second), PollRequest{Instance: instanceNamed("first")}, c.pollNumber, KindNoWorker)
	is.True(c.HandlePollFailure(start.Add(5*time.Second), PollRequest{Instance: instanceNamed("first")}, c.pollNumber, KindNoWorker)) // The end is now certain.
	is.Equal(c.workerState().GetLapse(), poolpb.Lapse_CRASHED)
	is.True(!c.HandlePollFailure(start.Add(12*time.Second), PollRequest{Instance: instanceNamed("first")}, c.pollNumber, KindUnanswered))
	is.Equal(c.workerState().GetLapse(), poolpb.Lapse_CRASHED)
	listAt(c, 6*time.Second, Listing{Clock: 106 * time.Second})
	is.Equal(c.workerState().GetLapse(), poolpb.Lapse_UNKNOWN)
}

func TestAnnouncedEndIsNotACrash(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	listAt(c, 0, Listing{Clock: 100 * time.Second})
	c.Heartbeat(Heartbeat{Instance: instanceNamed("first"), Sequence: 99, Draining: true})
	refuseAt(c, 0)
	refuseAt(c, 4200*time.Millisecond)
	is.True(!c.workerState().GetLapsed()) // It may have stopped listening while its runs go on.
	refuseAt(c, 4300*time.Millisecond)
	is.Equal(c.workerState().GetLapse(), poolpb.Lapse_LEFT)
	c = newTestCore()
	listAt(c, 0, Listing{Clock: 100 * time.Second})
	c.HandleLeave(start, instanceNamed("first"))
	refuseAt(c, 0)
	refuseAt(c, 4200*time.Millisecond)
	is.True(!c.workerState().GetLapsed())
	refuseAt(c, 4300*time.Millisecond)
	is.Equal(c.workerState().GetLapse(), poolpb.Lapse_LEFT)
}

func TestUnseenWorkerLapsesAfterTheLongestLease(t *testing.T) {
	is := is.New(t)
	c := NewCore(start, "agent")
	is.True(!c.LapseUnseenWorker(start.Add(6 * time.Second)))
	is.True(c.LapseUnseenWorker(start.Add(6400 * time.Millisecond)))
	is.True(c.workerState().GetLapsed())
}

func TestProgressAloneIsReportedAtIntervals(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	run := &poolpb.RunningTask{Task: "a.0.0.0", Run: 1}
	is.True(listAt(c, 0, Listing{Running: []*poolpb.RunningTask{run}}))
	is.True(!listAt(c, 400*time.Millisecond, Listing{Running: []*poolpb.RunningTask{run}}))
	is.True(listAt(c, 900*time.Millisecond, Listing{Running: []*poolpb.RunningTask{run}}))
	is.True(listAt(c, time.Second, Listing{}))
	is.True(!listAt(c, 3*time.Second, Listing{}))
	c.ReportNextListing()
	is.True(listAt(c, 3*time.Second, Listing{})) // An order may have had an effect.
}

// A listing whose poll was sent before an order was carried out must not count as the next listing. Such a listing
// does not show the effect of the order, and the later ones, being unchanged, would not be reported. The holder would
// then wait for a stopped run forever.
func TestListingInFlightAtAnOrderIsNotTheNext(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	listAt(c, 0, Listing{})
	before, number, _ := c.NextPoll(start)
	c.ReportNextListing()
	c.HandleListing(start, before, number, Listing{Instance: before.Instance})
	is.True(listAt(c, time.Second, Listing{}))
	is.True(!listAt(c, 2*time.Second, Listing{}))
}

// Before a silent worker lapses, the agent waits for the largest drift of its clock, 2 s in 100 s, and for the
// margin.
func TestLapseCountsASlowClock(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	listAt(c, 0, Listing{Clock: 100 * time.Second})
	c.NextPoll(start)
	c.HandlePollFailure(start.Add(4200*time.Millisecond), PollRequest{Instance: instanceNamed("first")}, c.pollNumber, KindUnanswered)
	is.True(!c.workerState().GetLapsed())
}

func TestNoLongPollBesideUncommittedEnds(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	ended := Listing{Ended: []*poolpb.EndedTask{{Number: 3}}}
	listAt(c, 0, ended)
	poll, _, _ := c.NextPoll(start)
	is.Equal(poll.Wait, time.Duration(0))
	c.Sync(&poolpb.SyncRequest{Epoch: 7, Instance: instanceNamed("first").String(), Committed: 3})
	poll, number, _ := c.NextPoll(start)
	is.Equal(poll.Committed, uint64(3)) // The number is sent in a poll without a wait.
	is.Equal(poll.Wait, time.Duration(0))
	c.HandleListing(start, poll, number, Listing{Instance: poll.Instance})
	poll, _, _ = c.NextPoll(start)
	is.Equal(poll.Committed, uint64(0)) // The number is sent only once.
	is.Equal(poll.Wait, pollWait)
	c.Sync(&poolpb.SyncRequest{Epoch: 7, Instance: instanceNamed("another").String(), Committed: 9})
	poll, _, _ = c.NextPoll(start)
	is.Equal(poll.Committed, uint64(0))
	c.Sync(&poolpb.SyncRequest{Epoch: 7, Instance: instance.New("first", 2).String(), Committed: 9})
	poll, _, _ = c.NextPoll(start)
	is.Equal(poll.Committed, uint64(0)) // The same name does not identify the instance.
}

// A holder of the previous release treats the text of an instance ID as an opaque name and returns it unchanged. The
// agent rejects orders with the bare name, which such a holder may have from an earlier agent, since the instance may
// be another one by then.
func TestHolderOfThePreviousReleaseMustSendTheWholeID(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	listAt(c, 0, Listing{Clock: time.Second})
	order := orderAt(c, instanceNamed("first"), 0)
	order.Instance = c.workerState().GetInstance()
	_, verdict := c.CheckStart(start, order)
	is.Equal(verdict, poolpb.OrderResult_OK)
	order.Instance = "first"
	_, verdict = c.CheckStart(start, order)
	is.Equal(verdict, poolpb.OrderResult_OTHER_INSTANCE)
	c.Sync(&poolpb.SyncRequest{Epoch: 7, Instance: "first", Committed: 9})
	is.Equal(c.committed, uint64(0))
}

// A worker that does not report its start time has another name after each start, so its name identifies the
// instance.
func TestWorkerWithoutStartTimeIsIdentifiedByName(t *testing.T) {
	is := is.New(t)
	c := NewCore(start, "agent")
	c.Sync(renewalFrom(c, 0))
	c.Heartbeat(Heartbeat{Instance: instance.Parse("old"), Sequence: 3})
	listAt(c, 0, Listing{Clock: time.Second})
	is.Equal(c.workerState().GetInstance(), "old")
	is.Equal(c.Heartbeat(Heartbeat{Instance: instance.Parse("old"), Sequence: 4, Draining: true}), HeartbeatChanged)
	_, verdict := c.CheckStart(start, orderAt(c, instance.Parse("old"), 0))
	is.Equal(verdict, poolpb.OrderResult_DRAINING)
	c.HandleLeave(start, instance.Parse("old"))
	refuseAt(c, 0)
	is.True(!c.workerState().GetLapsed())
	refuseAt(c, 4300*time.Millisecond)
	is.Equal(c.workerState().GetLapse(), poolpb.Lapse_LEFT)
}

// The absence of an ended run that the worker was allowed to forget does not change the report.
func TestForgottenEndsAreNotReported(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	is.True(listAt(c, 0, Listing{Ended: []*poolpb.EndedTask{{Number: 1}, {Number: 2}}}))
	c.Sync(&poolpb.SyncRequest{Epoch: 7, Instance: instanceNamed("first").String(), Committed: 1})
	is.True(!listAt(c, 0, Listing{Ended: []*poolpb.EndedTask{{Number: 2}}}))
	is.True(listAt(c, 0, Listing{Ended: []*poolpb.EndedTask{{Number: 2}, {Number: 3}}}))
}
