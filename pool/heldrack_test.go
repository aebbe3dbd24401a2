package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/job"
)

// Guards against LOST: the racks that a group prefers were full of tasks that last, more than half of the pool was in use,
// and the group waited for ever beside free workers.
func TestGroupLeavesRacksThatTasksThatLastHold(t *testing.T) {
	for name, wanted := range map[string]job.Job{
		"a task by its data": func() job.Job {
			j := oneTask(20, time.Second)
			j.Steps[0].Shape.Accelerators, j.Steps[0].DataRack = 8, "rack-0"
			return j
		}(),
		"a gang in one rack": func() job.Job {
			j := gang(20, 2, 8, time.Second)
			j.Steps[0].SameRack = true
			return j
		}(),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newRacksHeld(t, true)
			sim.submit(wanted)
			sim.run(time.Second)
			is.Equal(sim.state(wanted.ID), Queued) // its racks are preferred for a while
			sim.run(3 * time.Second)
			is.Equal(sim.state(wanted.ID), Done)
		})
	}
}

// A rack that is full of work with an end is waited for, as before: running elsewhere takes several times as long.
func TestGroupWaitsForARackWhoseWorkEnds(t *testing.T) {
	is := is.New(t)
	sim := newRacksHeld(t, false)
	j := oneTask(20, time.Second)
	j.Steps[0].Shape.Accelerators, j.Steps[0].DataRack = 8, "rack-0"
	j.Terms.Priority = 2
	sim.submit(j)
	sim.run(6 * time.Second)
	is.Equal(sim.state(j.ID), Queued)

	p := sim.core.newPass(sim.now)
	is.True(!p.rackIsHeld(rackNeed{rack: "rack-9", shape: j.Steps[0].Shape, size: 1})) // which has no workers at present
}

// newRacksHeld returns a pool of three racks with three workers each, of which one worker is free in the second and in the
// third rack. The others are full: of tasks that last, or of tasks of a minute.
func newRacksHeld(t *testing.T, last bool) *simulation {
	t.Helper()
	sim := newSimulation(t, 9)
	sim.run(300 * time.Millisecond)
	for id, rack := range []string{"rack-0", "rack-0", "rack-0", "rack-1", "rack-1", "rack-2", "rack-2"} {
		j := longRunningJob(id+1, 1, 8, 0)
		if !last {
			j = oneTask(id+1, time.Minute)
			j.Steps[0].Shape.Accelerators = 8
		}
		j.Steps[0].DataRack = rack
		sim.submit(j)
		sim.run(100 * time.Millisecond)
	}
	sim.run(3 * time.Second)
	return sim
}
