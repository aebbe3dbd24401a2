package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/job"
)

// Guards against a task that starts again after its success, since its run is listed neither as running nor, behind so
// many others, as ended.
func TestRunWhoseEndIsNotListedYetIsNotLost(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 1)
	sim.run(300 * time.Millisecond)
	j := oneTask(1, 2*time.Second)
	j.Steps[0].Count = maxListedEnds + 100
	j.Steps[0].Shape = job.Shape{CPUMillis: 1, MemoryMB: 1}
	sim.submit(j)
	sim.run(10 * time.Second)
	is.Equal(sim.state(j.ID), Done)
	is.Equal(sim.starts, j.Steps[0].Count)
}
