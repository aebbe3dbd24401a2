package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/job"
)

// reclaimLimit is the time within which a job in its workspace's guarantee has to begin.
const reclaimLimit = 2900 * time.Millisecond

// newReclaimSimulation returns a pool whose workers are full of long-running urgent jobs of one accelerator each, all of the
// workspace "library".
func newReclaimSimulation(t *testing.T, workers, libraryGuarantee int) *simulation {
	sim := newSimulation(t, workers)
	sim.guarantee("library", libraryGuarantee)
	sim.guarantee("lectures", 16)
	sim.run(300 * time.Millisecond)
	for i := range workers * 8 {
		sim.submit(urgentService(i, 1, 0))
	}
	sim.run(time.Second)
	if running := sim.runningOf("library"); running != workers*8 {
		t.Fatalf("%d tasks of the library run", running)
	}
	return sim
}

// runningOf counts the running tasks of a workspace.
func (sim *simulation) runningOf(workspace string) int {
	count := 0
	for id, j := range sim.jobs {
		if j.Workspace == workspace {
			count += sim.countRunning(id)
		}
	}
	return count
}

// urgentService returns an urgent long-running job of the workspace "library".
func urgentService(id, tasks, maxUnavailable int) job.Job {
	j := longRunningJob(id, tasks, 1, maxUnavailable)
	j.Terms.Priority = 0
	j.Workspace = "library"
	return j
}

// tasksOf returns a job of count tasks of one accelerator of a workspace.
func tasksOf(id, count int, workspace string) job.Job {
	j := oneTask(id, time.Minute)
	j.Steps[0].Count = count
	j.Workspace = workspace
	return j
}

// Guards against RECLAIM: urgent jobs of one workspace fill the pool, and a job within the guarantee of another waited for as
// long as they last.
func TestGuaranteeIsReclaimedFromEqualWork(t *testing.T) {
	for name, disturb := range map[string]func(sim *simulation){
		"undisturbed": func(*simulation) {},
		"a takeover in between": func(sim *simulation) {
			sim.run(100 * time.Millisecond)
			sim.takeOver()
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newReclaimSimulation(t, 3, 8)
			j := tasksOf(100, 8, "lectures")
			sim.submit(j)
			disturb(sim)
			sim.run(reclaimLimit)
			is.Equal(sim.countRunning(j.ID), 8)
			is.Equal(sim.runningOf("library"), 16) // no more than needed
			is.Equal(sim.countEvents(EventPreempted), 8)
		})
	}
}

// Work within its own workspace's guarantee is no victim, also where the guarantees exceed the pool.
func TestGuaranteedWorkIsNotReclaimed(t *testing.T) {
	is := is.New(t)
	sim := newReclaimSimulation(t, 2, 16)
	j := tasksOf(100, 1, "lectures")
	sim.submit(j)
	sim.run(10 * time.Second)
	is.Equal(sim.runningOf("library"), 16)
	is.Equal(sim.countEvents(EventPreempted), 0)
}

// Nothing is preempted if what is beyond a guarantee is too little, on one worker or over several.
func TestNoMoreIsReclaimedThanIsBeyondAGuarantee(t *testing.T) {
	for _, test := range []struct{ workers, guaranteed, tasks, accelerators int }{{1, 6, 1, 4}, {2, 12, 2, 4}} {
		is := is.New(t)
		sim := newReclaimSimulation(t, test.workers, test.guaranteed)
		j := gang(100, test.tasks, test.accelerators, time.Minute)
		j.Workspace = "lectures"
		sim.submit(j)
		sim.run(10 * time.Second)
		is.Equal(sim.countEvents(EventPreempted), 0)
		is.Equal(sim.runningOf("library"), 8*test.workers)
	}
}

// A guarantee that is declared while others fill the pool counts at once; one that is withdrawn no longer protects.
func TestReclaimFollowsChangedGuarantees(t *testing.T) {
	is := is.New(t)
	sim := newReclaimSimulation(t, 2, 16)
	j := tasksOf(100, 4, "newcomers")
	sim.submit(j)
	sim.run(time.Second)
	sim.guarantee("newcomers", 4)
	sim.run(time.Second)
	is.Equal(sim.countRunning(j.ID), 0) // the library is within its guarantee
	next := *sim.core.catalog
	next.Version++
	next.Workspaces = next.Workspaces[1:] // without the library
	sim.core.SetCatalog(&next)
	sim.run(reclaimLimit)
	is.Equal(sim.countRunning(j.ID), 4)
	is.Equal(sim.runningOf("library"), 12)
}

// Work of lower priority goes first, also where it loses more.
func TestLowerPriorityIsPreemptedBeforeEqualWork(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2)
	sim.guarantee("lectures", 8)
	sim.run(300 * time.Millisecond)
	background := gang(1, 1, 8, time.Hour)
	background.Terms.Priority = 2
	sim.submit(background)
	sim.run(3 * time.Second)
	for i := range 8 {
		sim.submit(urgentService(10+i, 1, 0))
	}
	sim.run(time.Second)
	j := tasksOf(100, 8, "lectures")
	sim.submit(j)
	sim.run(reclaimLimit)
	is.Equal(sim.countRunning(j.ID), 8)
	is.Equal(sim.runningOf("library"), 8)
	is.Equal(sim.countRunning(background.ID), 0)
}

// A gang that is partly beyond its workspace's guarantee is preempted if nothing else suffices, but not while other work of
// equal priority does.
func TestGangPartlyWithinItsGuaranteeIsReclaimedLast(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 3)
	sim.guarantee("library", 8)
	sim.guarantee("lectures", 16)
	sim.run(300 * time.Millisecond)
	other := gang(2, 1, 8, time.Hour)
	other.Workspace = "others"
	sim.submit(other)
	sim.run(10 * time.Second) // it would lose the most work
	partly := gang(1, 2, 8, time.Hour)
	partly.Workspace = "library"
	sim.submit(partly)
	sim.run(time.Second)
	first := gang(100, 1, 8, time.Hour)
	first.Workspace = "lectures"
	sim.submit(first)
	sim.run(reclaimLimit)
	is.Equal(sim.state(first.ID), Active)
	is.Equal(sim.countRunning(first.ID), 1)
	is.Equal(sim.countRunning(partly.ID), 2)
	second := gang(101, 1, 8, time.Hour)
	second.Workspace = "lectures"
	sim.submit(second)
	sim.run(reclaimLimit)
	is.Equal(sim.countRunning(second.ID), 1)
	is.Equal(sim.countRunning(partly.ID), 0)
}

// Several workspaces are owed at once, and each job of theirs begins in time.
func TestSeveralWorkspacesReclaimAtOnce(t *testing.T) {
	is := is.New(t)
	sim := newReclaimSimulation(t, 4, 8)
	var ids []job.ID
	for i := range 3 {
		workspace := fmt.Sprintf("workspace-%d", i)
		sim.guarantee(workspace, 8)
		j := gang(100+i, 2, 4, time.Minute)
		j.Workspace = workspace
		ids = append(ids, j.ID)
		sim.submit(j)
	}
	sim.run(reclaimLimit)
	for _, id := range ids {
		is.Equal(sim.countRunning(id), 2)
	}
	is.Equal(sim.runningOf("library"), 8) // its guarantee is left to it
}

// Guards against two workspaces that take turns in preempting each other, both with more work than their guarantees.
func TestWorkspacesDoNotTakeTurns(t *testing.T) {
	is := is.New(t)
	sim := newReclaimSimulation(t, 3, 8)
	sim.submit(tasksOf(100, 16, "lectures"))
	sim.run(reclaimLimit)
	is.Equal(sim.runningOf("lectures"), 16)
	sim.submit(tasksOf(101, 16, "lectures")) // beyond its guarantee from now on
	preempted := sim.countEvents(EventPreempted)
	sim.run(30 * time.Second)
	is.Equal(sim.countEvents(EventPreempted), preempted)
	is.Equal(sim.runningOf("library"), 8)
}

// A step that limits how many of its tasks may be preempted at once is reclaimed from within that limit.
func TestReclaimKeepsMaxUnavailable(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2)
	sim.guarantee("lectures", 16)
	sim.run(300 * time.Millisecond)
	serving := urgentService(1, 16, 3)
	sim.submit(serving)
	sim.run(2 * time.Second)
	is.Equal(sim.countRunning(serving.ID), 16)
	sim.submit(tasksOf(100, 8, "lectures"))
	sim.run(reclaimLimit)
	is.Equal(sim.runningOf("lectures"), 3)
	is.Equal(sim.countRunning(serving.ID), 13)
}

// On a worker with both, lower priority goes first, also where equal work would lose less.
func TestLowerWorkGoesFirstOnPartOfAWorker(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 1)
	sim.guarantee("lectures", 8)
	sim.run(300 * time.Millisecond)
	background := oneTask(1, time.Hour)
	background.Terms.Priority = 2
	background.Steps[0].Count = 4
	sim.submit(background)
	sim.run(5 * time.Second)
	sim.submit(urgentService(2, 4, 0))
	sim.run(time.Second)
	j := gang(100, 6, 1, time.Minute)
	j.Workspace = "lectures"
	sim.submit(j)
	sim.run(reclaimLimit)
	is.Equal(sim.runningOf("lectures"), 6)
	is.Equal(sim.runningOf("library"), 2)
}

// A job that needs no accelerators fits into any guarantee, also into none. Without one it preempts no equals.
func TestWorkspaceWithoutAGuaranteeReclaimsNothing(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 1)
	sim.run(300 * time.Millisecond)
	large := urgentService(1, 1, 0)
	large.Steps[0].Shape = fullCapacity
	sim.submit(large)
	sim.run(time.Second)
	small := tasksOf(100, 1, "others")
	small.Steps[0].Shape.Accelerators = 0
	sim.submit(small)
	sim.run(reclaimLimit)
	is.Equal(sim.runningOf("library"), 1)
}

// Racks are preferences: a guaranteed gang that is kept in one rack, or wants its data's, begins in time where work within
// guarantees fills the racks.
func TestReclaimLeavesPreferredRacks(t *testing.T) {
	for name, change := range map[string]func(*job.Job){
		"one rack":        func(j *job.Job) { j.Steps[0].SameRack = true },
		"its data's rack": func(j *job.Job) { j.Steps[0].DataRack = "rack-0" },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, 6) // two racks of three
			sim.guarantee("owner", 32)
			sim.guarantee("lectures", 16)
			sim.run(300 * time.Millisecond)
			for i, rack := range []string{"rack-0", "rack-0", "rack-1", "rack-1"} {
				within := gang(i, 1, 8, time.Hour)
				within.Workspace = "owner"
				within.Steps[0].DataRack = rack
				sim.submit(within)
			}
			sim.run(time.Second)
			for i := range 16 {
				sim.submit(urgentService(10+i, 1, 0))
			}
			sim.run(time.Second)
			is.Equal(sim.runningOf("owner"), 4)
			is.Equal(sim.runningOf("library"), 16)
			j := gang(100, 2, 8, time.Minute)
			j.Workspace = "lectures"
			change(&j)
			sim.submit(j)
			sim.run(reclaimLimit)
			is.Equal(sim.countRunning(j.ID), 2)
			is.Equal(sim.runningOf("owner"), 4)
		})
	}
}

// Guards against a plan that counts as taken from a guarantee, and loses to one that stops more work, because of a victim
// that it turned out not to need.
func TestRightOfAPlanIsThatOfTheVictimsThatItNeeds(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2)
	sim.guarantee("library", 2)
	sim.guarantee("lectures", 16)
	sim.run(300 * time.Millisecond)
	submit := func(id, accelerators int, workspace string) job.ID {
		j := gang(id, 1, accelerators, time.Hour)
		j.Workspace = workspace
		sim.submit(j)
		sim.run(time.Second)
		return j.ID
	}
	others := submit(1, 8, "others")
	sim.run(10 * time.Second) // it would lose the most work
	library := submit(2, 6, "library")
	unneeded := submit(3, 2, "library") // tried first, as it loses the least
	reclaiming := submit(100, 4, "lectures")
	sim.run(reclaimLimit)
	is.Equal(sim.countRunning(reclaiming), 1)
	is.Equal(sim.countRunning(others), 1)
	is.Equal(sim.countRunning(library), 0)
	is.Equal(sim.countRunning(unneeded), 1)
}
