package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against lines on a run that a search for the task's name doesn't find: the round was missing from events.
func TestEventsNameTheTaskOfTheRound(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 3)
	sim.run(300 * time.Millisecond)
	sim.submit(repeatingJob(sim, 300*time.Millisecond, 0, time.Second, 2))
	sim.run(4 * time.Second)
	seen := map[EventKind][]string{}
	for _, e := range sim.events {
		if e.Task.Job != "" {
			seen[e.Kind] = append(seen[e.Kind], e.Task.String())
		}
	}
	names := []string{"0000000000000001.0.0.0", "0000000000000001.1.0.0"}
	for _, kind := range []EventKind{EventPlaced, EventStarted, EventRunEnded} {
		is.Equal(seen[kind], names)
	}
}

// Guards against a lost run whose event doesn't tell what the holder knew: a silent agent, whose leases have ended by
// the holder's own count, or a silent worker, which its agent reported a moment ago.
func TestLostRunTellsWhatWasKnown(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 1)
	sim.run(300 * time.Millisecond)
	sim.submit(oneTask(1, time.Minute))
	sim.run(time.Second)
	f := sim.workers[0]
	w := sim.core.workers[f.name]
	listed := w.listing
	sim.core.Report(sim.now, f.name, Report{Incarnation: f.incarnation, Instance: w.instance, Listing: listed, Lapsed: true, Lapse: LapseSilent})
	reported := lastLost(t, sim)
	is.Equal(reported.Task.String(), "0000000000000001.0.0.0")
	is.Equal(reported.Contact.Incarnation, f.incarnation)
	is.True(reported.Contact.SinceReply < time.Second)
	is.True(reported.Contact.LeaseRemaining > 0)

	sim.run(5 * time.Second)
	f.silent = true
	sim.run(20 * time.Second)
	counted := lastLost(t, sim)
	is.True(counted.Run > reported.Run)
	is.True(counted.Contact.SinceReply > time.Second)
	is.True(counted.Contact.SinceListing >= counted.Contact.SinceReply)
	is.True(counted.Contact.LeaseRemaining <= 0)
}

// lastLost returns the last event of a lost run.
func lastLost(t *testing.T, sim *simulation) Event {
	t.Helper()
	for i := len(sim.events) - 1; i >= 0; i-- {
		if e := sim.events[i]; e.Kind == EventRunLost {
			return e
		}
	}
	t.Fatal("no run was lost")
	return Event{}
}
