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

// newTestCore returns an agent that has met a holder and a worker.
func newTestCore() *Core {
	c := NewCore(start, "agent")
	c.Heartbeat(Heartbeat{Instance: named("first"), Sequence: 1, Capacity: job.Shape{Accelerators: 8}})
	c.Sync(lease(c, 0))
	return c
}

// named is an instance of a worker with a name.
func named(name string) instance.ID {
	return instance.New(name, 1)
}

// lease is a renewal that gives a lease from a time after the start.
func lease(c *Core, from time.Duration) *poolpb.SyncRequest {
	return &poolpb.SyncRequest{Epoch: 7, Incarnation: c.incarnation, LeaseToken: int64(from), LeaseMs: 4000}
}

// list takes over a listing that comes at a time after the start.
func list(c *Core, at time.Duration, listing Listing) bool {
	hold, number, _ := c.NextHold(start.Add(at))
	listing.Instance = hold.Instance
	return c.Listed(start.Add(at), hold, number, listing)
}

func TestLeaseIsExtendedByTheWorkersClock(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	hold, _, ok := c.NextHold(start)
	is.True(ok)
	is.Equal(hold.Until, time.Duration(0)) // the worker's clock is not known yet
	list(c, time.Second, Listing{Clock: 100 * time.Second})
	hold, _, _ = c.NextHold(start.Add(time.Second))
	is.Equal(hold.Until, 103*time.Second)
}

func TestLeaseEndsWithoutAHolder(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	list(c, time.Second, Listing{Clock: 100 * time.Second})
	hold, _, _ := c.NextHold(start.Add(4100 * time.Millisecond))
	is.Equal(hold.Until, time.Duration(0))
	_, verdict := c.StartUntil(start.Add(4100*time.Millisecond), orderAt(c, named("first"), 0))
	is.Equal(verdict, poolpb.OrderResult_LATE)
}

func TestLeaseForAnEarlierAgentDoesNotCount(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	request := lease(c, 10*time.Second)
	request.Incarnation = "another"
	c.Sync(request)
	list(c, 5*time.Second, Listing{Clock: 100 * time.Second})
	hold, _, _ := c.NextHold(start.Add(5 * time.Second))
	is.Equal(hold.Until, time.Duration(0))
}

func TestEarlierHolderIsRefused(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	request := lease(c, 0)
	request.Epoch = 6
	is.True(c.Sync(request))
	is.True(c.MeetEpoch(6))
	is.True(!c.MeetEpoch(8))
}

func TestDrainingWorkerIsNotStartedOn(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	list(c, 0, Listing{Clock: time.Second})
	_, verdict := c.StartUntil(start, orderAt(c, named("first"), 0))
	is.Equal(verdict, poolpb.OrderResult_OK)
	is.Equal(c.Heartbeat(Heartbeat{Instance: named("first"), Sequence: 2, Draining: true}), BeatNews)
	_, verdict = c.StartUntil(start, orderAt(c, named("first"), 0))
	is.Equal(verdict, poolpb.OrderResult_DRAINING)
	is.Equal(c.Heartbeat(Heartbeat{Instance: named("first"), Sequence: 1}), BeatLate)
	is.True(c.worker().GetDraining())
}

func TestLateHeartbeatOfAnEarlierLifeDoesNotCount(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	list(c, 0, Listing{Clock: time.Second})
	is.Equal(c.Heartbeat(Heartbeat{Instance: named("second"), Sequence: 1}), BeatUnverified)
	list(c, 0, Listing{Clock: time.Second})
	is.Equal(c.Heartbeat(Heartbeat{Instance: named("first"), Sequence: 99}), BeatFormer)
	is.Equal(c.worker().GetInstance(), named("second").String())
	_, verdict := c.StartUntil(start, orderAt(c, named("first"), 0))
	is.Equal(verdict, poolpb.OrderResult_OTHER_INSTANCE)
}

func TestSilentWorkerHasLapsedOnlyAfterItsLease(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	list(c, 0, Listing{Clock: 100 * time.Second})
	c.NextHold(start) // may have given a lease for 4 s
	c.HoldFailed(start.Add(time.Second), Hold{Instance: named("first")}, c.asked, KindUnanswered)
	hold, _, _ := c.NextHold(start.Add(time.Second))
	is.Equal(hold.Until, time.Duration(0)) // one that comes late must not extend the lease
	c.HoldFailed(start.Add(4100*time.Millisecond), Hold{Instance: named("first")}, c.asked, KindUnanswered)
	is.True(!c.worker().GetLapsed()) // its clock may run slow
	c.HoldFailed(start.Add(4300*time.Millisecond), Hold{Instance: named("first")}, c.asked, KindUnanswered)
	is.True(c.worker().GetLapsed())
	is.True(list(c, 5*time.Second, Listing{Clock: 105 * time.Second}))
	is.True(!c.worker().GetLapsed())
}

func TestWorkerWithoutAProcessHasEnded(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	list(c, 0, Listing{Clock: 100 * time.Second})
	is.True(!c.HoldFailed(start, Hold{Instance: named("first")}, c.asked, KindNoWorker))
	is.True(c.HoldFailed(start, Hold{Instance: named("first")}, c.asked, KindNoWorker))
	is.True(c.worker().GetLapsed())
}

// Whether a worker crashed, left as it had said, or was only silent was not told apart, so nobody
// could say under which tasks workers crash.
func TestAgentTellsHowItsWorkerEnded(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	list(c, 0, Listing{Clock: 100 * time.Second})
	c.NextHold(start)
	is.Equal(c.worker().GetLapse(), poolpb.Lapse_UNKNOWN)
	is.True(c.HoldFailed(start.Add(5*time.Second), Hold{Instance: named("first")}, c.asked, KindUnanswered))
	is.Equal(c.worker().GetLapse(), poolpb.Lapse_SILENT)
	c.HoldFailed(start.Add(5*time.Second), Hold{Instance: named("first")}, c.asked, KindNoWorker)
	is.True(c.HoldFailed(start.Add(5*time.Second), Hold{Instance: named("first")}, c.asked, KindNoWorker)) // now that is known for certain
	is.Equal(c.worker().GetLapse(), poolpb.Lapse_CRASHED)
	is.True(!c.HoldFailed(start.Add(12*time.Second), Hold{Instance: named("first")}, c.asked, KindUnanswered))
	is.Equal(c.worker().GetLapse(), poolpb.Lapse_CRASHED)
	list(c, 6*time.Second, Listing{Clock: 106 * time.Second})
	is.Equal(c.worker().GetLapse(), poolpb.Lapse_UNKNOWN)
}

func TestWorkerThatEndsAsItSaidHasNotCrashed(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	list(c, 0, Listing{Clock: 100 * time.Second})
	c.Heartbeat(Heartbeat{Instance: named("first"), Sequence: 99, Draining: true})
	c.HoldFailed(start, Hold{Instance: named("first")}, c.asked, KindNoWorker)
	c.HoldFailed(start, Hold{Instance: named("first")}, c.asked, KindNoWorker)
	is.Equal(c.worker().GetLapse(), poolpb.Lapse_LEFT)
	c = newTestCore()
	list(c, 0, Listing{Clock: 100 * time.Second})
	c.Leave(start, named("first"))
	is.Equal(c.worker().GetLapse(), poolpb.Lapse_LEFT)
}

func TestUnheardWorkerHasLapsedAfterTheLongestLease(t *testing.T) {
	is := is.New(t)
	c := NewCore(start, "agent")
	is.True(!c.CheckUnheard(start.Add(6 * time.Second)))
	is.True(c.CheckUnheard(start.Add(6400 * time.Millisecond)))
	is.True(c.worker().GetLapsed())
}

func TestProgressAloneIsToldNowAndThen(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	run := &poolpb.RunningTask{Task: "a.0.0.0", Run: 1}
	is.True(list(c, 0, Listing{Running: []*poolpb.RunningTask{run}}))
	is.True(!list(c, 400*time.Millisecond, Listing{Running: []*poolpb.RunningTask{run}}))
	is.True(list(c, 900*time.Millisecond, Listing{Running: []*poolpb.RunningTask{run}}))
	is.True(list(c, time.Second, Listing{}))
	is.True(!list(c, 3*time.Second, Listing{}))
	c.TellNext()
	is.True(list(c, 3*time.Second, Listing{})) // an order may have had an effect
}

// A listing that was asked for before an order was carried out used up the promise to tell
// of the next one. It proved nothing to the holder, and the later ones were no news: a
// stopped run was waited for without end.
func TestListingUnderWayAtAnOrderIsNotTheNext(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	list(c, 0, Listing{})
	before, number, _ := c.NextHold(start)
	c.TellNext()
	c.Listed(start, before, number, Listing{Instance: before.Instance})
	is.True(list(c, time.Second, Listing{}))
	is.True(!list(c, 2*time.Second, Listing{}))
}

// Two seconds of drift in a hundred, and the margin, are waited for.
func TestLapseCountsASlowClock(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	list(c, 0, Listing{Clock: 100 * time.Second})
	c.NextHold(start)
	c.HoldFailed(start.Add(4200*time.Millisecond), Hold{Instance: named("first")}, c.asked, KindUnanswered)
	is.True(!c.worker().GetLapsed())
}

func TestUncommittedEndsAreNotWaitedFor(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	ended := Listing{Ended: []*poolpb.EndedTask{{Number: 3}}}
	list(c, 0, ended)
	hold, _, _ := c.NextHold(start)
	is.Equal(hold.Wait, time.Duration(0))
	c.Sync(&poolpb.SyncRequest{Epoch: 7, Instance: named("first").String(), Committed: 3})
	hold, number, _ := c.NextHold(start)
	is.Equal(hold.Committed, uint64(3)) // told in a question of its own
	is.Equal(hold.Wait, time.Duration(0))
	c.Listed(start, hold, number, Listing{Instance: hold.Instance})
	hold, _, _ = c.NextHold(start)
	is.Equal(hold.Committed, uint64(0)) // once
	is.Equal(hold.Wait, holdWait)
	c.Sync(&poolpb.SyncRequest{Epoch: 7, Instance: named("another").String(), Committed: 9})
	hold, _, _ = c.NextHold(start)
	is.Equal(hold.Committed, uint64(0))
	c.Sync(&poolpb.SyncRequest{Epoch: 7, Instance: instance.New("first", 2).String(), Committed: 9})
	hold, _, _ = c.NextHold(start)
	is.Equal(hold.Committed, uint64(0)) // the same name is not enough
}

// A holder of the release before takes an instance's text for an opaque name, and gives it back as it is. One that knew the worker by
// its name alone, from an earlier agent, is not followed: the instance may be another by now.
func TestHolderOfTheReleaseBeforeIsFollowedByTheWholeName(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	list(c, 0, Listing{Clock: time.Second})
	order := orderAt(c, named("first"), 0)
	order.Instance = c.worker().GetInstance()
	_, verdict := c.StartUntil(start, order)
	is.Equal(verdict, poolpb.OrderResult_OK)
	order.Instance = "first"
	_, verdict = c.StartUntil(start, order)
	is.Equal(verdict, poolpb.OrderResult_OTHER_INSTANCE)
	c.Sync(&poolpb.SyncRequest{Epoch: 7, Instance: "first", Committed: 9})
	is.Equal(c.committed, uint64(0))
}

// A worker that doesn't say when it started has another name with each start, and is known by that.
func TestWorkerWithoutAStartIsKnownByItsName(t *testing.T) {
	is := is.New(t)
	c := NewCore(start, "agent")
	c.Sync(lease(c, 0))
	c.Heartbeat(Heartbeat{Instance: instance.Parse("old"), Sequence: 3})
	list(c, 0, Listing{Clock: time.Second})
	is.Equal(c.worker().GetInstance(), "old")
	is.Equal(c.Heartbeat(Heartbeat{Instance: instance.Parse("old"), Sequence: 4, Draining: true}), BeatNews)
	_, verdict := c.StartUntil(start, orderAt(c, instance.Parse("old"), 0))
	is.Equal(verdict, poolpb.OrderResult_DRAINING)
	c.Leave(start, instance.Parse("old"))
	is.Equal(c.worker().GetLapse(), poolpb.Lapse_LEFT)
}

// An end that the worker was let forget is no news once it is gone.
func TestForgottenEndsAreNoNews(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	is.True(list(c, 0, Listing{Ended: []*poolpb.EndedTask{{Number: 1}, {Number: 2}}}))
	c.Sync(&poolpb.SyncRequest{Epoch: 7, Instance: named("first").String(), Committed: 1})
	is.True(!list(c, 0, Listing{Ended: []*poolpb.EndedTask{{Number: 2}}}))
	is.True(list(c, 0, Listing{Ended: []*poolpb.EndedTask{{Number: 2}, {Number: 3}}}))
}
