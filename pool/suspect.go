package pool

import (
	"cmp"
	"time"

	"hollyfork.example/hollyfork/job"
)

// Levels of suspicion against a group under which workers have crashed.
const (
	suspicionNone suspicion = iota
	// suspicionSeparate means that one worker crashed under the group and it may have been another
	// group's fault. The group is kept apart from other suspects, so that one more crash tells them
	// apart.
	suspicionSeparate
	// suspicionIsolate means that a worker crashed soon after the group's start, or several have
	// crashed under it. It runs on workers without other work, so that a crash affects no other group.
	suspicionIsolate
)

const (
	// earlyCrash is the time after an order within which a crash is most likely caused by the ordered
	// run.
	earlyCrash = time.Second
	// isolationTime is how long after its start a suspect keeps a worker to itself. It equals the time
	// for which a job waits for preferred workers.
	isolationTime = 1500 * time.Millisecond
	// maxIsolationWait is how long after a crash a suspect waits at most for a worker of its own. It bounds the
	// wait where the run is recalled first, which lasts until its worker is back.
	maxIsolationWait = 2500 * time.Millisecond
	// minForgetAfter and maxForgetAfter bound how long a run must last until the crashes under its
	// group are forgotten. The upper bound keeps a long-running task from being abandoned for workers
	// that crash once a week.
	minForgetAfter = 10 * time.Second
	maxForgetAfter = 10 * time.Minute
)

// suspicion is how strongly a group is suspected of crashing workers.
type suspicion int

// updateSuspicion derives the suspicion from the crashes that no later run has outlasted. A run can crash only one
// worker, so several crashes during one run count as one.
func (g *group) updateSuspicion() {
	g.suspicion = suspicionNone
	var previous *crash
	for i, k := range g.crashes[g.survivedCrashes:] {
		if !k.certain || k.starts.evidence() <= evidencePending {
			continue
		}
		if k.after <= earlyCrash || previous != nil && previous.run != k.run && previous.workerInstance() != k.workerInstance() {
			g.suspicion = suspicionIsolate
			return
		}
		g.suspicion = suspicionSeparate
		previous = &g.crashes[g.survivedCrashes+i]
	}
}

// clearSurvivor clears the suspicion of a group whose run has lasted longer than the runs under which
// workers crashed, and forgets the crashes once the run has lasted several times as long.
func (c *Core) clearSurvivor(now time.Time, g *group) {
	if len(g.crashes) == 0 || g.runningSince.IsZero() {
		return
	}
	runTime := g.knownUntil(now).Sub(g.runningSince)
	if g.suspicion != suspicionNone && runTime > g.clearedAfter() {
		g.survivedCrashes = len(g.crashes)
		g.forgetExtraStarts()
		g.updateSuspicion()
		c.capacityChanged = true
	}
	if runTime > g.forgetCrashesAfter() {
		g.crashes = nil
		g.survivedCrashes = 0
		g.forgetExtraStarts()
		g.updateSuspicion()
	}
}

// clearedAfter returns how long a run must last to clear its group of the earlier crashes.
func (g *group) clearedAfter() time.Duration {
	longest := time.Duration(0)
	for _, k := range g.crashes {
		longest = max(longest, k.after)
	}
	return longest*3/2 + similarAgeSlack
}

// forgetCrashesAfter returns how long a run must last until the earlier crashes are forgotten.
func (g *group) forgetCrashesAfter() time.Duration {
	total := time.Duration(0)
	for _, k := range g.crashes {
		total += k.after
	}
	return min(minForgetAfter+2*total, maxForgetAfter)
}

// crashedUnder reports whether the worker has crashed under the group.
func (g *group) crashedUnder(w *worker) bool {
	for _, k := range g.crashes {
		if k.agent == w.agent {
			return true
		}
	}
	return false
}

// isolatesSuspect reports whether the worker takes no other work because it runs a suspect that was
// started less than isolationTime ago. If the worker crashed, the other runs would be lost.
func (w *worker) isolatesSuspect(now time.Time) bool {
	for _, m := range w.members {
		g := m.group
		if g.suspicion != suspicionIsolate || m.phase == memberStopping || g.ending {
			continue
		}
		if g.orderedAt.IsZero() || now.Sub(g.orderedAt) < isolationTime {
			return true
		}
	}
	return false
}

// countSuspectTasks counts the worker's tasks of groups under which workers have crashed.
func (w *worker) countSuspectTasks() int {
	count := 0
	for _, m := range w.members {
		if m.group.suspicion != suspicionNone {
			count++
		}
	}
	return count
}

// trialGroupOf returns the group of a job that is started before the job's other suspects: the one
// under which most workers have crashed. Its result decides about the whole job. When each of 24 tasks
// was tried on a worker of its own, all 11 workers were down at once.
func (p *pass) trialGroupOf(j *jobState) *group {
	if known, ok := p.trialGroups[j]; ok {
		return known
	}
	var first *group
	for _, g := range j.groups {
		if !g.done && g.suspicion == suspicionIsolate && (first == nil || g.crashCount() > first.crashCount()) {
			first = g
		}
	}
	p.trialGroups[j] = first
	return first
}

// waitsForTrial reports whether another group of the same job is to be tried first. Groups without
// crashes wait as well once two workers have crashed under the trial group.
func (p *pass) waitsForTrial(g *group) bool {
	if !g.job.anyCrash {
		return false
	}
	other := p.trialGroupOf(g.job)
	if other == nil || other == g || p.now.Sub(g.readySince) >= 2*p.core.settings.RelaxAfter {
		return false
	}
	return g.suspicion == suspicionIsolate || other.crashCount() >= 2
}

// isolationObjection returns the objection to a worker that is isolated for another group, or that has
// other work while the group needs an otherwise empty worker.
func (p *pass) isolationObjection(g *group, w *worker, free job.Shape) objection {
	switch {
	case p.waitsForTrial(g):
		return objectionOtherTrial
	case w.isolated:
		return objectionIsolated
	case free != w.capacity && p.wantsIsolation(g):
		return objectionCoLocated
	default:
		return objectionNone
	}
}

// wantsIsolation reports whether a group waits for a worker without other work. The wait is limited
// even if there is no free capacity at all: in a full pool, urgent work would otherwise preempt nothing
// less than a whole worker.
func (p *pass) wantsIsolation(g *group) bool {
	if g.suspicion != suspicionIsolate || p.now.Sub(g.readySince) >= 2*p.core.settings.RelaxAfter {
		return false
	}
	return g.crashedAt.IsZero() || p.now.Sub(g.crashedAt) < maxIsolationWait
}

// waitsToPreempt reports whether a group waits before it preempts others. If the group then crashed the
// worker, the victims would have been stopped for nothing.
func (p *pass) waitsToPreempt(g *group) bool {
	return p.wantsIsolation(g)
}

// isolate records that a suspect was placed on workers, so that this pass places nothing else on those
// that it is to have to itself.
func (p *pass) isolate(g *group, places []*worker) {
	if g.suspicion == suspicionNone {
		return
	}
	for _, w := range places {
		w.suspectTasks++
		w.isolated = w.isolated || g.suspicion == suspicionIsolate
	}
	p.anyIsolated = p.anyIsolated || g.suspicion == suspicionIsolate
}

// compareForSuspect orders workers for a suspect: first those that have not crashed under it, then
// those with the fewest tasks, then those whose last crash is longest ago.
func (g *group) compareForSuspect(a, b *worker) int {
	if g.suspicion == suspicionNone {
		return 0
	}
	return cmp.Or(
		compareBool(g.crashedUnder(a), g.crashedUnder(b)),
		g.compareMembers(a, b),
		a.lastCrashAt.Compare(b.lastCrashAt),
	)
}

func (g *group) compareMembers(a, b *worker) int {
	if g.suspicion != suspicionIsolate {
		return 0
	}
	return cmp.Compare(len(a.members), len(b.members))
}
