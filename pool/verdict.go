package pool

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// alikeSlack is how much later one crash under a task may be heard of than another.
	alikeSlack = 500 * time.Millisecond
	// provenCrashes is the number of workers that have to crash under a task until it is given up, if
	// it ran alone when one of them did, all came as soon after the start, and workers don't crash by
	// themselves. With two 18 of 26,400 sound jobs were given up instead of 5 (440 histories in virtual
	// time); the third costs 2 s of one worker.
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
)

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
	// aged says that shortest and longest are known.
	aged bool
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
