package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a long-running task that is stopped because the end of its run before is listed again, to the next holder.
func TestEndOfAnEarlierRunStopsNoLongRunningTask(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2)
	sim.run(300 * time.Millisecond)
	j := longRunningJob(1, 1, 1, 0)
	sim.submit(j)
	sim.run(time.Second)
	for _, f := range sim.workers {
		for key := range f.running {
			f.endRun(sim, key, EndDone)
		}
	}
	sim.runUntil("the task runs again", func() bool { return sim.starts == 2 })
	sim.takeOver()
	sim.run(3 * time.Second)
	is.Equal(sim.starts, 2)
	is.Equal(sim.countRunning(j.ID), 1)
}
