package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/hollyfork/job"
)

// The tests in this file guard against starts that were never carried out being counted as crashes. Four workers
// crashed within 1.5 s for reasons of their own, and a job was given up of which one run had begun, for 0.1 s: each
// other start was refused, since nothing listened at the worker's address any more, or was answered late by the agent.

// forEachKindOfName runs a test with workers whose next instance has the same name, and with others.
func forEachKindOfName(t *testing.T, test func(t *testing.T, sim *simulation)) {
	t.Helper()
	for _, recur := range []bool{false, true} {
		t.Run(fmt.Sprintf("names recur %v", recur), func(t *testing.T) {
			sim := newSimulation(t, 11)
			for _, f := range sim.workers {
				f.noticesAfter = 20 * time.Millisecond
				if !recur {
					f.instance = instance.New(f.name, 0)
				}
			}
			sim.orderDelay = 40 * time.Millisecond
			sim.refusalDelay = 60 * time.Millisecond
			sim.run(10 * time.Second)
			test(t, sim)
		})
	}
}

// awaitOrders advances the simulation until the starts of a run later than the given one are on their way.
func (sim *simulation) awaitOrders(g *group, after int) {
	sim.t.Helper()
	sim.runUntil("its starts are on their way", func() bool {
		for _, m := range g.members {
			if !m.maybeSent {
				return false
			}
		}
		return g.run > after && g.placed()
	})
}

// memberWorker returns the worker on which a member of the group's current run is placed.
func (sim *simulation) memberWorker(g *group, index int) *fakeWorker {
	return sim.workerByName(g.findMember(index).worker.agent)
}

// The crash of a worker is reported while the refusal of a start is under way.
func TestRefusedStartIsNoCrash(t *testing.T) {
	forEachKindOfName(t, func(t *testing.T, sim *simulation) {
		is := is.New(t)
		j := oneTask(1, time.Second)
		sim.submit(j)
		g := sim.core.jobs[j.ID].groups[0]
		sim.awaitOrders(g, 0)
		sim.terminate(sim.memberWorker(g, 0))
		sim.run(250 * time.Millisecond)
		is.Equal(len(g.crashes), 0)
		sim.run(5 * time.Second)
		is.Equal(sim.state(j.ID), Done)
	})
}

// The agent has answered that the lease had ended, and reports the crash before the start is sent again.
func TestStartAnsweredLateIsNoCrash(t *testing.T) {
	forEachKindOfName(t, func(t *testing.T, sim *simulation) {
		is := is.New(t)
		j := oneTask(1, time.Second)
		sim.submit(j)
		g := sim.core.jobs[j.ID].groups[0]
		sim.awaitOrders(g, 0)
		f := sim.memberWorker(g, 0)
		f.rejectsLate = true
		sim.run(60 * time.Millisecond)
		sim.terminate(f)
		sim.run(50 * time.Millisecond)
		is.Equal(len(g.crashes), 0)
		f.rejectsLate = false
		sim.run(5 * time.Second)
		is.Equal(sim.state(j.ID), Done)
	})
}

// The worker of one member has crashed before the member's start arrived. The other member is started and crashes its
// worker: that crash counts, also if it is reported later and both were lost in one run.
func TestMembersOfAGangAreJudgedApart(t *testing.T) {
	forEachKindOfName(t, func(t *testing.T, sim *simulation) {
		is := is.New(t)
		j := gang(1, 2, 8, time.Second)
		sim.submitCrashing(j, 1, 0)
		g := sim.core.jobs[j.ID].groups[0]
		sim.awaitOrders(g, 0)
		sim.terminate(sim.memberWorker(g, 0))
		sim.run(250 * time.Millisecond)
		is.Equal(sim.crashes[job.TaskID{Job: j.ID, Index: 1}], 1)
		is.Equal(len(g.crashes), 1)
		is.Equal(g.crashes[0].index, 1)
	})
}

// Four workers crash one after the other while a gang is placed on them. Only on the first one had a task of the gang
// begun. The starts of its fifth run are rejected, and no worker crashes.
func TestGangOnWorkersLostInSeriesIsNotGivenUp(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprintf("late %v", late), func(t *testing.T) {
			forEachKindOfName(t, func(t *testing.T, sim *simulation) {
				is := is.New(t)
				j := gang(1, 2, 8, 3*time.Second)
				sim.submit(j)
				g := sim.core.jobs[j.ID].groups[0]
				sim.runUntil("it runs", g.running)
				sim.run(100 * time.Millisecond)
				sim.terminate(sim.memberWorker(g, 0))
				for run := 1; run <= 3 && !sim.state(j.ID).ended(); run++ {
					sim.awaitOrders(g, run)
					workers := []*fakeWorker{sim.memberWorker(g, 0), sim.memberWorker(g, 1)}
					for _, f := range workers {
						f.rejectsLate = late
					}
					sim.run(10 * time.Millisecond)
					sim.terminate(workers[0])
					sim.run(200 * time.Millisecond)
					for _, f := range workers {
						f.rejectsLate = false
					}
				}
				sim.awaitOrders(g, 4)
				for index := range 2 {
					sim.memberWorker(g, index).notReady = true
				}
				sim.run(100 * time.Millisecond)
				for _, f := range sim.workers {
					f.notReady = false
				}
				sim.run(20 * time.Second)
				is.Equal(sim.state(j.ID), Done)
			})
		})
	}
}
