package sidecar

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/wire/poolpb"
)

// Guards against a second run beside a run that goes on: a worker that says that it ends stops listening, and its runs go
// on for as long as their lease. Its agent took the refused connections for their end. The holder renews the agent's lease
// all the time.
func TestLeavingWorkerThatStopsListeningKeepsItsRunsWhileTheirLeaseLasts(t *testing.T) {
	for name, say := range map[string]func(c *Core){
		"a draining notice": func(c *Core) {
			c.Heartbeat(Heartbeat{Instance: instanceNamed("first"), Sequence: 2, Draining: true})
		},
		"a leave message":         func(c *Core) { c.HandleLeave(start.Add(time.Second), instanceNamed("first")) },
		"one that may be its own": func(c *Core) { c.HandleLeave(start.Add(time.Second), instance.New("first", 0)) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newTestCore()
			listAt(c, 0, Listing{Clock: 100 * time.Second})
			c.Sync(renewalFrom(c, time.Second))
			at := time.Second
			poll, number, _ := c.NextPoll(start.Add(at))
			is.Equal(poll.LeaseEnd, 105*time.Second) // Nobody knows yet that the worker ends.
			say(c)
			c.HandlePollFailure(start.Add(at), poll, number, KindNoWorker)
			for ; at < 5200*time.Millisecond; at += 100 * time.Millisecond {
				c.Sync(renewalFrom(c, at))
				is.Equal(refuseAt(c, at), time.Duration(0)) // An extension that nobody receives would prolong the wait.
				is.True(!c.workerState().GetLapsed())
				is.True(c.workerState().GetDraining()) // Else the next instance would make it a crash.
			}
			refuseAt(c, 5300*time.Millisecond)
			is.Equal(c.workerState().GetLapse(), poolpb.Lapse_LEFT)
		})
	}
}

// Guards against a crash that is counted against the runs of a worker that left: its leave message was no longer recent when
// its lease had ended.
func TestLeavingWorkerIsNoCrashWhenItsLeaveMessageIsOld(t *testing.T) {
	for name, last := range map[string]Kind{"refused": KindNoWorker, "unanswered": KindUnanswered, "another instance": KindOtherInstance} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newTestCore()
			c.HandleLeave(start, instance.New("first", 0)) // It has no effect on an instance that is not known.
			listAt(c, 0, Listing{Clock: 100 * time.Second})
			c.HandleLeave(start, instance.New("first", 0))
			c.Sync(renewalFrom(c, 4500*time.Millisecond))
			listAt(c, 4800*time.Millisecond, Listing{Clock: 104800 * time.Millisecond})
			refuseAt(c, 4900*time.Millisecond)
			refuseAt(c, leaveValidity+time.Second)
			refuseAt(c, leaveValidity+2*time.Second)
			is.True(!c.workerState().GetLapsed())
			poll, number, _ := c.NextPoll(start.Add(9 * time.Second))
			c.HandlePollFailure(start.Add(9*time.Second), poll, number, last)
			is.Equal(c.workerState().GetLapse(), poolpb.Lapse_LEFT)
		})
	}
}

// A worker that goes on after its leave message, or whose refusal was a passing one, keeps its lease: the message may be an
// earlier instance's.
func TestWorkerThatGoesOnAfterALeaveMessageKeepsItsLease(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	listAt(c, 0, Listing{Clock: 100 * time.Second})
	c.HandleLeave(start, instance.New("first", 0))
	poll, _, _ := c.NextPoll(start)
	is.Equal(poll.LeaseEnd, 104*time.Second)
	before := c.reportNumber
	refuseAt(c, time.Second)
	is.True(c.workerState().GetDraining())
	is.True(c.reportNumber > before)
	is.True(listAt(c, 2*time.Second, Listing{Clock: 102 * time.Second}))
	is.True(!c.workerState().GetDraining())
	c.Sync(renewalFrom(c, 2*time.Second))
	poll, _, _ = c.NextPoll(start.Add(2 * time.Second))
	is.Equal(poll.LeaseEnd, 106*time.Second)
	refuseAt(c, leaveValidity)
	refuseAt(c, leaveValidity)
	is.Equal(c.workerState().GetLapse(), poolpb.Lapse_CRASHED) // The message is old, and says nothing of this end.
}

// Guards against a second run beside a run that goes on: an agent that has been restarted does not know that its worker has
// said that it drains, and took two refused connections for its end. The worker's heartbeats that it has received, if any,
// were sent before its start.
func TestRestartedAgentDoesNotKnowThatNothingWasSaid(t *testing.T) {
	for name, heartbeats := range map[string][]Heartbeat{
		"an early heartbeat": {{Instance: instanceNamed("first"), Sequence: 3, Clock: ReadingOf(98 * time.Second)}},
		"none of its own":    {{Instance: instanceNamed("before"), Sequence: 3, Clock: ReadingOf(98 * time.Second)}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := NewCore(start, "agent")
			c.Sync(renewalFrom(c, 0))
			for _, h := range heartbeats {
				c.Heartbeat(h)
			}
			poll, number, _ := c.NextPoll(start)
			c.HandleListing(start, poll, number, Listing{Instance: instanceNamed("first"), Clock: 100 * time.Second})
			for at := time.Duration(0); at < 4200*time.Millisecond; at += 100 * time.Millisecond {
				refuseAt(c, at)
				is.True(!c.workerState().GetLapsed())
			}
			refuseAt(c, 4300*time.Millisecond)
			is.Equal(c.workerState().GetLapse(), poolpb.Lapse_SILENT) // It may have crashed.
		})
	}
}

// A heartbeat that was sent after the agent's start tells whether the worker drains.
func TestHeartbeatTellsARestartedAgentThatNothingWasSaid(t *testing.T) {
	is := is.New(t)
	c := NewCore(start, "agent")
	c.Sync(renewalFrom(c, 0))
	c.Heartbeat(Heartbeat{Instance: instanceNamed("first"), Sequence: 3, Clock: ReadingOf(98 * time.Second)})
	listAt(c, 0, Listing{Clock: 100 * time.Second})
	refuseAt(c, 0)
	refuseAt(c, 0)
	c.Heartbeat(Heartbeat{Instance: instanceNamed("first"), Sequence: 4, Clock: ReadingOf(101 * time.Second)})
	is.True(!c.workerState().GetLapsed())
	refuseAt(c, time.Second)
	is.Equal(c.workerState().GetLapse(), poolpb.Lapse_CRASHED)
}

// Guards against a leave message that is forgotten because it comes before the first answer to the agent: a late heartbeat
// from before the notice of draining then names an instance that has said nothing.
func TestLeaveMessageBeforeTheFirstAnswerIsKept(t *testing.T) {
	is := is.New(t)
	c := NewCore(start, "agent")
	c.Sync(renewalFrom(c, 0))
	c.Heartbeat(Heartbeat{Instance: instanceNamed("first"), Sequence: 3, Clock: ReadingOf(101 * time.Second), Draining: true})
	c.HandleLeave(start.Add(time.Second), instanceNamed("first"))
	c.Heartbeat(Heartbeat{Instance: instanceNamed("first"), Sequence: 2, Clock: ReadingOf(101 * time.Second)})
	listAt(c, time.Second, Listing{Clock: 101 * time.Second})
	refuseAt(c, time.Second)
	refuseAt(c, time.Second)
	is.True(!c.workerState().GetLapsed())
	is.True(c.workerState().GetDraining())
	refuseAt(c, 5300*time.Millisecond)
	is.Equal(c.workerState().GetLapse(), poolpb.Lapse_LEFT)
}

// Guards against tasks that wait for the whole lease of a worker that drained and has stopped listening.
func TestTasksOfADrainedWorkerDoNotAwaitAWholeLease(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	listAt(c, 0, Listing{Clock: 100 * time.Second})
	c.Heartbeat(Heartbeat{Instance: instanceNamed("first"), Sequence: 2, Draining: true})
	for at := time.Duration(0); at <= 5*time.Second; at += 500 * time.Millisecond {
		c.Sync(renewalFrom(c, at))
		listAt(c, at, Listing{Clock: 100*time.Second + at})
	}
	poll, _, _ := c.NextPoll(start.Add(5100 * time.Millisecond))
	is.Equal(poll.LeaseEnd, 105*time.Second+drainingLease)
	refuseAt(c, 5200*time.Millisecond)
	refuseAt(c, 7100*time.Millisecond)
	is.True(!c.workerState().GetLapsed())
	refuseAt(c, 7300*time.Millisecond)
	is.Equal(c.workerState().GetLapse(), poolpb.Lapse_LEFT)
}
