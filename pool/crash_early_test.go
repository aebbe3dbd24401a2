package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a job that no later holder can read: a crash that was reported before the run was ordered, and handled
// after it, was recorded with a negative age of the run.
func TestCrashReportedBeforeTheOrderLeavesTheJobReadable(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2)
	sim.run(300 * time.Millisecond)
	sim.submit(oneTask(1, time.Hour))
	sim.runUntil("the start is sent", func() bool { return sim.sentStartTo(1) != nil })
	f, g := sim.sentStartTo(1), sim.core.jobs["0000000000000001"].groups[0]
	crashed := Report{Incarnation: f.incarnation, Instance: f.instance, Lapsed: true, Lapse: LapseCrashed}
	sim.core.Report(g.orderedAt.Add(-5*time.Millisecond), f.name, crashed)
	f.silent = true
	sim.run(100 * time.Millisecond)
	is.Equal(len(g.crashes), 1)
	sim.takeOver() // fails if a row can't be read
}
