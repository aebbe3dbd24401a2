package pool

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hollyfork.example/hollyfork/catalog"
	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/hollyfork/job"
)

// randomLoadJob returns a random job of the load of lecture halls: urgent gangs, large jobs and many small tasks in
// the background.
func randomLoadJob(random *rand.Rand, id int) job.Job {
	j := job.Job{ID: job.ID(fmt.Sprintf("%016x", id)), Spec: "work", Workspace: fmt.Sprintf("workspace-%d", random.IntN(6))}
	accelerators := []int{1, 1, 2, 4, 8}[random.IntN(5)]
	var step job.Step
	switch draw := random.Float64(); {
	case draw < 0.8:
		step = job.Step{Count: 1 + random.IntN(15), Shape: job.Shape{CPUMillis: 15000, MemoryMB: 16000, Accelerators: accelerators}, Estimate: 2500 * time.Millisecond, Gang: random.IntN(2) == 0, SameRack: random.IntN(3) == 0}
		j.Terms = job.Terms{Priority: 0, Goal: 250 * time.Millisecond}
	case draw < 0.92:
		step = job.Step{Count: 1 + random.IntN(49), Shape: job.Shape{CPUMillis: 52000, MemoryMB: 64000, Accelerators: accelerators}, Estimate: 8500 * time.Millisecond, Checkpoint: random.IntN(2) == 0, Gang: random.IntN(3) == 0}
		j.Terms = job.Terms{Priority: 1, Goal: time.Second}
	default:
		step = job.Step{Count: 1 + random.IntN(155), Shape: job.Shape{CPUMillis: 11000, MemoryMB: 12000, Accelerators: 1}, Estimate: 9500 * time.Millisecond, MaxPerWorker: []int{0, 0, 0, 4}[random.IntN(4)]}
		j.Terms = job.Terms{Priority: 2, Goal: 3 * time.Second}
	}
	j.Terms.Attempts, j.Terms.Stretch = 3, 2
	j.Steps = []job.Step{step}
	return j
}

// loadedCore returns a core to which random jobs were added until at least the given number of ready groups wait for
// capacity, while the others run.
func loadedCore(random *rand.Rand, workers, waiting int) (*Core, time.Time) {
	now := time.Unix(1000, 0)
	c := New("pool", DefaultSettings(), nil)
	report := func() {
		for i := range workers {
			agent := fmt.Sprintf("worker-%04d", i)
			c.RecordReply(now, agent, Grant{})
			c.Report(now, agent, Report{
				Incarnation: "agent", Instance: instance.New(agent, 1), Listing: 1, Rack: fmt.Sprintf("rack-%d", i/8),
				Capacity: job.Shape{CPUMillis: 128000, MemoryMB: 262144, Accelerators: 8},
			})
		}
	}
	report()
	for id := 1; c.readyCount(now) < waiting; id++ {
		j := randomLoadJob(random, id)
		j.Accepted = now
		c.AddJob(now, NewJob{Job: j})
		c.Decide(now)
		for _, w := range c.workers {
			for _, m := range w.members {
				if m.phase == memberPlaced {
					m.phase, m.group.orderedAt = memberRunning, now
				}
			}
		}
		now = now.Add(10 * time.Millisecond)
	}
	report()
	return c, now
}

func (c *Core) readyCount(now time.Time) int {
	count := 0
	for _, r := range c.waitingRounds(now) {
		count += len(r.ready)
	}
	return count
}

// BenchmarkDecide measures a pass of a full pool, with one job submitted or ended between two passes. On 240 workers
// with 400 waiting groups a pass that tries each group on each worker takes 1,286 µs on average and 22 ms at worst.
func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct{ workers, waiting int }{{55, 100}, {240, 400}, {800, 1300}, {1000, 1600}, {2000, 3200}} {
		b.Run(fmt.Sprintf("workers=%d", size.workers), func(b *testing.B) {
			random := rand.New(rand.NewPCG(3, 4))
			c, now := loadedCore(random, size.workers, size.waiting)
			worst := time.Duration(0)
			id := 1 << 20
			for b.Loop() {
				b.StopTimer()
				id++
				j := randomLoadJob(random, id)
				j.Accepted = now
				c.AddJob(now, NewJob{Job: j})
				c.endRandomRun(now, random)
				b.StartTimer()
				began := time.Now()
				c.Decide(now)
				worst = max(worst, time.Since(began))
			}
			b.ReportMetric(float64(worst.Microseconds()), "worst-us")
		})
	}
}

// endRandomRun ends a random run and, if there are too many jobs, removes a waiting one, so that the load of the pool
// stays the same.
func (c *Core) endRandomRun(now time.Time, random *rand.Rand) {
	workers := c.sortedWorkers()
	w := workers[random.IntN(len(workers))]
	if len(w.members) > 0 {
		g := w.members[0].group
		for _, m := range slices.Clone(g.members) {
			if m.phase != memberGone {
				c.releaseMember(now, m)
			}
		}
		c.endJob(now, g.job, Cancelled, "ended by the test")
		delete(c.liveJobs, g.job.job.ID)
	}
	for _, other := range workers {
		for _, m := range slices.Clone(other.members) {
			switch m.phase {
			case memberStopping:
				c.releaseMember(now, m)
			case memberPlaced:
				m.phase, m.group.orderedAt = memberRunning, now
			}
		}
	}
	for id, j := range c.liveJobs {
		if j.state == Queued && len(c.liveJobs) > 120 {
			delete(c.liveJobs, id)
			break
		}
	}
	c.dirty = nil
}

// recordDecisions runs a pass on a core and returns the events that it emitted.
func recordDecisions(c *Core, decide func(*Core)) []string {
	var list []string
	c.observer = func(e Event) {
		list = append(list, fmt.Sprintf("%s %s %s on %s %s", e.Kind, e.Job, e.Task, e.Worker, e.Detail))
	}
	decide(c)
	c.observer = nil
	return list
}

// addFailureHistory gives random ready groups failures and refusals on random workers.
func (c *Core) addFailureHistory(now time.Time, random *rand.Rand) {
	for _, w := range c.sortedWorkers() {
		w.health.failuresInRow = random.IntN(8) / 7
	}
	workers := c.sortedWorkers()
	rounds := c.waitingRounds(now)
	slices.SortFunc(rounds, func(a, b readyRound) int { return strings.Compare(string(a.job.job.ID), string(b.job.job.ID)) })
	for _, r := range rounds {
		for _, g := range r.ready {
			if random.IntN(4) > 0 {
				continue
			}
			for _, w := range workers {
				switch random.IntN(3) {
				case 0:
					g.failedOn[w.agent] = 1
				case 1:
					g.avoid(w, now.Add(time.Second))
				}
			}
		}
	}
}

// makeUrgent makes most jobs urgent jobs of workspaces with the given guarantees. A further workspace has none running, a
// guarantee for all that it needs, and some of the waiting jobs.
func (c *Core) makeUrgent(random *rand.Rand, guaranteed []int) {
	const owed = "owed"
	next := &catalog.Catalog{Version: 1, Workspaces: []catalog.Workspace{{Name: owed, GuaranteedAccelerators: math.MaxInt32}}}
	for i, accelerators := range guaranteed {
		next.Workspaces = append(next.Workspaces, catalog.Workspace{Name: fmt.Sprint(i), GuaranteedAccelerators: accelerators})
	}
	c.SetCatalog(next)
	for _, id := range slices.Sorted(maps.Keys(c.liveJobs)) {
		j := c.liveJobs[id]
		j.job.Terms.Priority = random.IntN(8) / 7
		j.job.Workspace = fmt.Sprint(random.IntN(len(guaranteed)))
		if j.state == Queued && random.IntN(4) == 0 {
			j.job.Terms.Priority, j.job.Workspace = 0, owed
		}
	}
}

// The decisions are the same as those of the reference implementation, which tries each group on each worker.
func TestDecisionsMatchTheReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		workers := rapid.IntRange(4, 40).Draw(t, "workers")
		waiting := rapid.IntRange(1, 60).Draw(t, "waiting")
		urgent := rapid.Bool().Draw(t, "most work is urgent")
		guaranteed := rapid.SliceOfN(rapid.IntRange(0, 60), 3, 3).Draw(t, "guaranteed")
		var lists [2][]string
		for i, decide := range []func(*Core, time.Time){(*Core).referenceDecide, (*Core).Decide} {
			random := rand.New(rand.NewPCG(seed, 0))
			c, now := loadedCore(random, workers, waiting)
			for id := range 12 {
				j := randomLoadJob(random, 1<<20+id)
				j.Accepted = now
				c.AddJob(now, NewJob{Job: j})
			}
			if urgent {
				c.makeUrgent(random, guaranteed)
			}
			c.addFailureHistory(now, random)
			for _, w := range c.sortedWorkers()[:workers/4] {
				if len(w.members) > 0 && w.members[0].group.size == 1 {
					c.releaseMember(now, w.members[0])
				}
			}
			lists[i] = recordDecisions(c, func(c *Core) { decide(c, now) })
		}
		if !slices.Equal(lists[0], lists[1]) {
			i := 0
			for i < len(lists[0]) && i < len(lists[1]) && lists[0][i] == lists[1][i] {
				i++
			}
			t.Fatalf("after %d equal decisions, reference:\n%s\npool:\n%s", i, strings.Join(lists[0][i:], "\n"), strings.Join(lists[1][i:], "\n"))
		}
	})
}

// Guards against a pass after nearly every message of 240 agents. A burst of changes is handled by one pass per
// minDecideGap; the first change after an idle time is handled at once.
func TestPassesAreRateLimited(t *testing.T) {
	is := is.New(t)
	c := New("pool", DefaultSettings(), nil)
	now := time.Unix(1000, 0)
	passes := 0
	for i := range 1000 {
		c.AddJob(now, NewJob{Job: oneTask(i, time.Second)})
		if c.NextDecisionIn(now) == 0 {
			c.Decide(now)
			passes++
		}
		now = now.Add(time.Millisecond)
	}
	is.Equal(passes, 100)
	now = now.Add(50 * time.Millisecond)
	c.Decide(now)
	is.Equal(c.NextDecisionIn(now), decideInterval) // nothing has changed
	now = now.Add(50 * time.Millisecond)
	c.AddJob(now, NewJob{Job: oneTask(1000, time.Second)})
	is.Equal(c.NextDecisionIn(now), time.Duration(0))
}

// TakeCommittedChanged returns an agent only after its committed ends have changed.
func TestOnlyChangedCommittedEndsAreReturned(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 3)
	sim.run(time.Second)
	sim.core.TakeCommittedChanged()
	sim.submit(oneTask(1, 200*time.Millisecond))
	sim.runUntil("the end is committed", func() bool { return slices.Contains(sim.core.TakeCommittedChanged(), sim.workers[0].name) })
	sim.run(time.Second)
	is.Equal(sim.core.TakeCommittedChanged(), []string(nil))
}

// Guards against an urgent job that can no longer be in time being placed first, because it was due first: that makes
// another urgent job late that could have been in time.
func TestLateUrgentWorkIsDeprioritised(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 1)
	sim.run(300 * time.Millisecond)
	urgent := func(id int, work time.Duration) job.Job {
		j := gang(id, 1, 8, work)
		j.Terms.Stretch, j.Terms.Goal = 1.5, 250*time.Millisecond
		return j
	}
	sim.submit(urgent(1, 2*time.Second))
	sim.run(100 * time.Millisecond)
	late := urgent(2, 2*time.Second)
	sim.submit(late)
	sim.run(1700 * time.Millisecond)
	timely := urgent(3, time.Second)
	sim.submit(timely)
	accepted := sim.now
	sim.runUntil("the job that can be in time is done", func() bool { return sim.state(timely.ID) == Done })
	is.True(sim.now.Sub(accepted) <= timely.Steps[0].Estimate*3/2+250*time.Millisecond)
	sim.runUntil("the other one is done", func() bool { return sim.state(late.ID) == Done })
}
