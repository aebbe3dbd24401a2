package pool

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"hollyfork.example/hollyfork/job"
)

// Suspicions that workers crash under a group.
const (
	suspectNone suspicion = iota
	// suspectApart: a worker crashed under it that it shared. It keeps apart from others of the
	// kind, so that one more crash tells them apart.
	suspectApart
	// suspectAlone: it had just been started, or it was not the first time. It is run where
	// nothing else runs, and harms only itself.
	suspectAlone
)

const (
	// soonAfter is the time after an order within which a crash is most likely the doing of what
	// was started.
	soonAfter = time.Second
	// aloneFor is how long a worker is left to a suspect, as long as a job waits for workers that it
	// would rather have.
	aloneFor = 1500 * time.Millisecond
	// alikeSlack is how much later one crash under a task may be heard of than another.
	alikeSlack = 500 * time.Millisecond
	// provenCrashes is the number of workers that have to crash under a task until it is given up, if
	// it ran alone when one of them did, all came as soon after the start, and workers don't crash by
	// themselves. Two would do by the users' rule; a third costs 2 s of one worker, and spares sound
	// tasks that were unlucky twice.
	provenCrashes = 3
	// startsLeft is how often a task may be started after provenCrashes workers have crashed under
	// it, unless a run has outlived these crashes.
	startsLeft = 2
	// boundCrashes is the number of crashes at which a task is given up in any case.
	boundCrashes = provenCrashes + startsLeft
	// maxByChance is how unlikely crashes have to be without a task's doing until they prove it.
	// Where one worker of 11 crashed by itself each second 5 of 1,200 sound jobs were given up at the
	// third crash without this, and none with it (20 histories in virtual time).
	maxByChance = 1e-5
	// crashesRemembered is how far back the rate of crashes is looked at, and leastWatched how long
	// a holder has to look before it knows a rate.
	crashesRemembered = 30 * time.Second
	leastWatched      = 5 * time.Second
	// ownCrashes is the rate at which a worker is taken to crash by itself at least, per second: once
	// an hour.
	ownCrashes = 1.0 / 3600
	// leastExposed is the least time that a task counts as having run under which workers crashed.
	leastExposed = time.Second
	// forgiveFloor and forgiveCap bound the time that a run has to last until the crashes under the
	// task are forgotten, so that a task that lasts is not given up for workers that crash once a week.
	forgiveFloor = 10 * time.Second
	forgiveCap   = 10 * time.Minute
)

// suspicion says how a group is run under which workers crash.
type suspicion int

// suspect judges a group by the crashes that no run has outlived since.
func (g *group) suspect() {
	g.suspicion = suspectNone
	seen := ""
	for _, k := range g.crashes[g.survived:] {
		if !k.certain {
			continue
		}
		life := k.agent + " " + k.instance
		if k.after <= soonAfter || seen != "" && seen != life {
			g.suspicion = suspectAlone
			return
		}
		g.suspicion = suspectApart
		seen = life
	}
}

// checkSurvived lifts the suspicion from a group whose run goes on for longer than it did when
// workers crashed, and forgets the crashes once it has lasted for several times as long.
func (c *Core) checkSurvived(now time.Time, g *group) {
	if len(g.crashes) == 0 || g.runningSince.IsZero() {
		return
	}
	ran := now.Sub(g.runningSince)
	if g.suspicion != suspectNone && ran > g.outlives() {
		g.survived = len(g.crashes)
		g.extraStarts = 0
		g.suspect()
		c.roomChanged = true
	}
	if ran > g.forgivenAfter() {
		g.crashes = nil
		g.survived = 0
		g.extraStarts = 0
		g.suspect()
	}
}

// outlives is how long a run has to last to clear a group of the crashes before.
func (g *group) outlives() time.Duration {
	longest := time.Duration(0)
	for _, k := range g.crashes {
		longest = max(longest, k.after)
	}
	return longest*3/2 + alikeSlack
}

// forgivenAfter is how long a run has to last until the crashes before are forgotten.
func (g *group) forgivenAfter() time.Duration {
	total := time.Duration(0)
	for _, k := range g.crashes {
		total += k.after
	}
	return min(forgiveFloor+2*total, forgiveCap)
}

// crashRecord sums up the crashes under one task of a group.
type crashRecord struct {
	// all counts them with those that are not certain, proven those under a run that was known to be
	// there, and alone those of them with nothing beside it.
	all    int
	proven int
	alone  int
	agents map[string]bool
	// shortest and longest are how soon after a start they came, as far as that is known, and
	// exposed all that time.
	shortest time.Duration
	longest  time.Duration
	exposed  time.Duration
	aged     bool
}

func (g *group) recordOf(index int) crashRecord {
	r := crashRecord{agents: map[string]bool{}}
	for _, k := range g.crashes {
		if k.index == index {
			r.add(k)
		}
	}
	return r
}

func (r *crashRecord) add(k crash) {
	r.all++
	if !k.certain || !k.started {
		return
	}
	r.proven++
	r.agents[k.agent] = true
	if k.alone {
		r.alone++
	}
	r.exposed += k.after
	if k.inexact {
		return
	}
	if !r.aged || k.after < r.shortest {
		r.shortest = k.after
	}
	r.aged = true
	r.longest = max(r.longest, k.after)
}

// convincing says whether it is the task that crashes workers, and not one beside it, nor the workers by
// themselves.
func (r crashRecord) convincing(workers int) bool {
	return r.proven >= provenCrashes && r.alone > 0 && r.alike() && len(r.agents) >= min(provenCrashes, workers)
}

// alike says whether all crashes came as soon after the start: a task that workers crash under for
// other reasons is hit at any time.
func (r crashRecord) alike() bool {
	return r.longest <= r.shortest*3/2+alikeSlack
}

// crashVerdict says why a group is given up for the workers that crashed under one of its tasks;
// empty when it is not.
func (c *Core) crashVerdict(now time.Time, g *group) string {
	for _, k := range g.crashes {
		r := g.recordOf(k.index)
		if r.all >= boundCrashes || r.convincing(len(c.workers)) && c.byChance(now, r) < maxByChance {
			return fmt.Sprintf("%d workers crashed under task %s, after %s to %s, %d times with nothing beside it",
				r.all, g.task(k.index), r.shortest, r.longest, r.alone)
		}
	}
	return ""
}

// byChance is the chance that as many workers would have crashed under a task of a group by
// themselves, at the rate at which others have lately.
func (c *Core) byChance(now time.Time, r crashRecord) float64 {
	seen := now.Sub(c.watchedSince)
	if seen < leastWatched {
		return 1
	}
	c.forgetRecent(now)
	others := max(0, len(c.recentCrashes)-1) // the first under the group itself
	workerTime := float64(len(c.workers)) * min(seen, crashesRemembered).Seconds()
	rate := max(float64(others)/workerTime, ownCrashes)
	return poissonTail(rate*max(r.exposed, leastExposed).Seconds(), r.proven)
}

// poissonTail is the chance of so many events or more of which some are expected.
func poissonTail(expected float64, count int) float64 {
	below, term := 0.0, math.Exp(-expected)
	for k := range count {
		below += term
		term *= expected / float64(k+1)
	}
	return max(0, 1-below)
}

// noteRecent remembers a worker's crash for a while, unless a suspect that ran there alone explains it.
func (c *Core) noteRecent(now time.Time, w *worker) {
	if !w.runsSuspectAlone() {
		c.recentCrashes = append(c.recentCrashes, now)
	}
	c.forgetRecent(now)
}

// runsSuspectAlone says whether nothing was ordered on a worker but one group, under which workers
// have crashed before.
func (w *worker) runsSuspectAlone() bool {
	for _, m := range w.members {
		if m.maybeSent {
			return m.group.suspicion != suspectNone && w.runsOnly(m.group)
		}
	}
	return false
}

func (c *Core) forgetRecent(now time.Time) {
	c.recentCrashes = slices.DeleteFunc(c.recentCrashes, func(at time.Time) bool { return now.Sub(at) > crashesRemembered })
}

// crashCount is the number of workers that crashed, or may have, under the task of a group under
// which most did.
func (g *group) crashCount() int {
	most := 0
	for _, k := range g.crashes {
		most = max(most, g.recordOf(k.index).all)
	}
	return most
}

// countStart counts a run that is placed after so many crashes that few are left.
func (g *group) countStart() {
	if g.rationed() {
		g.extraStarts++
	}
}

// rationed says whether so many workers have crashed under a task of the group that few starts are
// left.
func (g *group) rationed() bool {
	if len(g.crashes) < provenCrashes {
		return false
	}
	for _, k := range g.crashes {
		if r := g.recordOf(k.index); r.all >= provenCrashes && r.alike() {
			return true
		}
	}
	return false
}

// spent says whether a group can't be started any more for the crashes under it.
func (g *group) spent() bool {
	return g.extraStarts >= startsLeft && g.rationed()
}

// crashedUnder says whether a worker has crashed under a group.
func (g *group) crashedUnder(w *worker) bool {
	for _, k := range g.crashes {
		if k.agent == w.agent {
			return true
		}
	}
	return false
}

// leftAlone says whether a worker is left to what runs there: a suspect that was started a short
// time ago. What came beside it would be lost with the worker.
func (w *worker) leftAlone(now time.Time) bool {
	for _, m := range w.members {
		g := m.group
		if g.suspicion != suspectAlone || m.phase == memberStopping || g.ending {
			continue
		}
		if g.began.IsZero() || now.Sub(g.began) < aloneFor {
			return true
		}
	}
	return false
}

// suspects counts the groups' tasks on a worker under which workers have crashed.
func (w *worker) suspects() int {
	count := 0
	for _, m := range w.members {
		if m.group.suspicion != suspectNone {
			count++
		}
	}
	return count
}

// tried returns the group of a job that is tried before its others: that under which most workers have
// crashed. Its result tells for the job: where each of 24 tasks was tried on a worker of its own all of 11
// workers were down at once.
func (p *pass) triedOf(j *jobState) *group {
	if known, ok := p.tried[j]; ok {
		return known
	}
	var first *group
	for _, g := range j.groups {
		if !g.done && g.suspicion == suspectAlone && (first == nil || g.crashCount() > first.crashCount()) {
			first = g
		}
	}
	p.tried[j] = first
	return first
}

// waitsForTrial says whether another group of the same job is to be tried first. What no worker has
// crashed under waits as well once two have under the other.
func (p *pass) waitsForTrial(g *group) bool {
	if !g.job.crashed {
		return false
	}
	other := p.triedOf(g.job)
	if other == nil || other == g || p.now.Sub(g.readySince) >= 2*p.core.settings.RelaxAfter {
		return false
	}
	return g.suspicion == suspectAlone || other.crashCount() >= 2
}

// aloneObjection says whether a worker is left to another group, or with some room is not empty for
// one that is to run alone itself.
func (p *pass) aloneObjection(g *group, w *worker, free job.Shape) objection {
	switch {
	case p.waitsForTrial(g):
		return objectionTried
	case w.alone:
		return objectionLeftAlone
	case free != w.capacity && p.wantsAlone(g):
		return objectionShared
	default:
		return objectionNone
	}
}

// wantsAlone says whether a group waits for a worker of its own. That ends by time also where there is
// no room at all: in a full pool urgent work would stop nobody for less than a whole worker.
func (p *pass) wantsAlone(g *group) bool {
	return g.suspicion == suspectAlone && p.now.Sub(g.readySince) < 2*p.core.settings.RelaxAfter
}

// waitsToDisplace says whether a group waits before others are stopped for it: under one that
// workers crash under they would be lost for nothing.
func (p *pass) waitsToDisplace(g *group) bool {
	return p.wantsAlone(g)
}

// leaveAlone gives nothing more in this pass to the workers on which a suspect was just placed.
func (p *pass) leaveAlone(g *group, places []*worker) {
	if g.suspicion == suspectNone {
		return
	}
	for _, w := range places {
		w.suspected++
		w.alone = w.alone || g.suspicion == suspectAlone
	}
	p.anyAlone = p.anyAlone || g.suspicion == suspectAlone
}

// compareCrashed orders workers for a suspect: those that have not crashed under it first, then those
// with the least to lose, then those that have not crashed for longest.
func (g *group) compareCrashed(a, b *worker) int {
	if g.suspicion == suspectNone {
		return 0
	}
	return cmp.Or(
		compareBool(g.crashedUnder(a), g.crashedUnder(b)),
		g.compareMembers(a, b),
		a.crashedAt.Compare(b.crashedAt),
	)
}

func (g *group) compareMembers(a, b *worker) int {
	if g.suspicion != suspectAlone {
		return 0
	}
	return cmp.Compare(len(a.members), len(b.members))
}
