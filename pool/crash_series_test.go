package pool

import (
	"fmt"
	"testing"
	"time"
)

// historiesPerSeries is the number of random histories for each length of a series of crashes, seriesPerHistory the
// number of series in each. A task that is hit by a worker's crash in five runs is given up, by the bound on starts,
// so that more than one series of most workers may fail a job.
const (
	historiesPerSeries = 8
	seriesPerHistory   = 1
)

// Several workers crash one after the other within seconds, for reasons of their own, under many jobs. Starts are refused
// or answered late, or not at all, or after the crash was reported, and holders change. No job is failed for that. In
// every second history some jobs crash their workers themselves: these fail, within the allowed starts.
func TestWorkersLostInSeriesFailNoJob(t *testing.T) {
	const workers = 11
	for lost := 1; lost <= workers; lost++ {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(historiesPerSeries) {
				sim := newSimulation(t, workers)
				sim.random = newRandom(1000*uint64(lost) + seed)
				sim.randomiseAnswers()
				sim.runSeriesOfCrashes(lost, seed%2 == 1)
				sim.requireHealthyJobsDone()
				for id := range sim.crashingTasks {
					if sim.state(id) != Failed {
						t.Errorf("seed %d: job %s crashes workers and is %s", seed, id, sim.state(id))
					}
				}
				if t.Failed() {
					t.Fatalf("%d workers lost in series, seed %d", lost, seed)
				}
			}
		})
	}
}

// randomiseAnswers draws how long orders, answers and the notice of a crash take, and has a tenth of the replies lost.
func (sim *simulation) randomiseAnswers() {
	sim.orderDelay = sim.drawUpTo(60 * time.Millisecond)
	sim.replyDelay = sim.drawUpTo(200 * time.Millisecond)
	sim.refusalDelay = sim.drawUpTo(400 * time.Millisecond)
	for _, f := range sim.workers {
		f.noticesAfter = 10*time.Millisecond + sim.drawUpTo(300*time.Millisecond)
	}
	sim.losesReply = func() bool { return sim.random.IntN(10) == 0 }
}

func (sim *simulation) drawUpTo(longest time.Duration) time.Duration {
	return time.Duration(sim.random.Int64N(int64(longest)))
}

// runSeriesOfCrashes crashes a number of workers in series while jobs run, and then has the jobs end.
func (sim *simulation) runSeriesOfCrashes(lost int, crashingJobs bool) {
	sim.run(10 * time.Second)
	for series := range seriesPerHistory {
		for id := 1; id <= 20; id++ {
			sim.submitRandom(100*series + id)
		}
		if crashingJobs {
			sim.submitRandomCrashing(1000 + series)
		}
		sim.run(sim.drawUpTo(time.Second))
		for _, i := range sim.random.Perm(len(sim.workers))[:lost] {
			f := sim.workers[i]
			f.rejectsLate = sim.random.IntN(3) == 0 // for some time before it crashes
			sim.run(sim.drawUpTo(300 * time.Millisecond))
			f.rejectsLate = false
			sim.terminate(f)
			if sim.random.IntN(15) == 0 {
				sim.takeOver()
			}
		}
		sim.run(3 * time.Second)
	}
	sim.losesReply = func() bool { return false }
	sim.run(40 * time.Second)
}
