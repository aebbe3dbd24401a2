package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/instance"
)

// similarCrashes returns crashes under runs that were seen, each on a worker of its own, as long after the order.
func similarCrashes(count int, after time.Duration) []crash {
	var list []crash
	for run := 1; run <= count; run++ {
		name := string(rune('a' + run))
		list = append(list, crash{
			run: run, agent: name, instance: instance.New(name, 1), after: after, alone: true, certain: true, starts: restoredStartLog(true),
		})
	}
	return list
}

// Guards against a crash with another cause lifting the limit on starts: after three crashes 1.8 s after the order and a
// fourth after 0.3 s, the task was started twice more.
func TestLaterCrashKeepsTheLimitOnStarts(t *testing.T) {
	is := is.New(t)
	g := &group{job: &jobState{}, crashes: similarCrashes(minProvenCrashes, crashLate)}
	g.countStart()
	g.crashes = append(g.crashes, crash{run: 4, agent: "other", instance: instance.New("other", 1), after: crashEarly, certain: true, starts: restoredStartLog(true)})
	is.True(!g.outOfStarts())
	g.countStart()
	is.True(g.outOfStarts())
}

// Guards against preempting a group on one of its last starts: sound tasks that had lost workers in a series were given
// up, since the start that would have cleared them was spent by a preemption.
func TestGroupOnItsLastStartsIsNotPreempted(t *testing.T) {
	for extraStarts, preemptions := range []int{1, 0} {
		is := is.New(t)
		sim := newSimulation(t, 1)
		sim.run(10 * time.Second)
		suspect := gang(1, 1, 8, time.Minute)
		suspect.Terms.Priority = 2
		sim.submit(suspect)
		g := sim.core.jobs[suspect.ID].groups[0]
		sim.runUntil("it runs", g.running)
		g.extraStarts = extraStarts
		sim.submit(gang(2, 1, 8, time.Second))
		sim.run(2 * time.Second)
		is.Equal(sim.countEvents(EventPreempted), preemptions)
	}
}

// Guards against failing a sound job that lost three workers of a series within seconds: averaged over 30 s, the rate at
// which workers crash by themselves looked low. Crashes of workers that ran the job alone say nothing of that rate.
func TestCrashesInSeriesMayBeCoincidence(t *testing.T) {
	for _, others := range []bool{false, true} {
		is := is.New(t)
		sim := newSimulation(t, 11)
		sim.run(40 * time.Second)
		g := &group{job: &jobState{}, round: &round{}, crashes: similarCrashes(minProvenCrashes, crashEarly)}
		for range 5 {
			k := recentCrash{at: sim.now, onlyJob: g.job}
			if others {
				k.onlyJob = nil
			}
			sim.core.recentCrashes = append(sim.core.recentCrashes, k)
		}
		is.Equal(sim.core.crashFailureReason(sim.now, g) != "", !others)
	}
}

// Guards against counting a run whose start was rejected as one of the last two starts: the job was given up although no
// task of it had begun since the third crash.
func TestRejectedRunIsNoneOfTheLastStarts(t *testing.T) {
	forEachKindOfName(t, func(t *testing.T, sim *simulation) {
		is := is.New(t)
		j := oneTask(1, time.Second)
		sim.submit(j)
		g := sim.core.jobs[j.ID].groups[0]
		g.crashes = similarCrashes(minProvenCrashes, crashEarly)
		for i := range g.crashes {
			g.crashes[i].run = -i
			g.crashes[i].starts = restoredStartLog(false)
		}
		for run := range finalStarts {
			sim.awaitOrders(g, run)
			f := sim.memberWorker(g, 0)
			f.notReady = true
			sim.run(100 * time.Millisecond)
			f.notReady = false
		}
		sim.run(10 * time.Second)
		is.Equal(sim.state(j.ID), Done)
	})
}
