package pool

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// similarAgeSlack is the allowance for differences in the time that it takes to learn of a crash.
	similarAgeSlack = 500 * time.Millisecond
	// minProvenCrashes is the number of workers that must crash under a task before its job fails
	// early. In addition, the task must have run alone in one of the crashes, the crashes must have
	// come at similar times after the start, and must be unlikely to be coincidence. With two crashes,
	// 18 of 26,400 sound jobs failed instead of 5 (440 histories in virtual time). The third crash
	// costs 2 s of one worker.
	minProvenCrashes = 3
	// finalStarts is how often a task may be started after minProvenCrashes workers have crashed under
	// it, unless a run has outlasted those crashes.
	finalStarts = 2
	// maxTaskCrashes is the number of crashes at which a task is abandoned in any case.
	maxTaskCrashes = minProvenCrashes + finalStarts
	// maxCoincidence is the probability below which crashes are not considered coincidence. Without
	// this check, 5 of 1,200 sound jobs failed at the third crash where one of 11 workers crashed by
	// itself each second; with it, none did (20 histories in virtual time).
	maxCoincidence = 1e-5
	// crashRateWindow is the time over which the rate of crashes is computed. minCrashRateWindow is how
	// long a holder must have counted crashes before it uses the rate.
	crashRateWindow    = 30 * time.Second
	minCrashRateWindow = 5 * time.Second
	// crashBurstWindow is the shorter time over which the rate is computed as well, since workers may crash in
	// series within seconds.
	crashBurstWindow = 3 * time.Second
	// minCrashRate is the assumed minimum rate at which a worker crashes by itself, per second: once
	// per hour.
	minCrashRate = 1.0 / 3600
	// minExposure is the minimum total duration that is assumed for the runs under which workers
	// crashed.
	minExposure = time.Second
)

// recentCrash is a crash of a worker that counts towards the rate of crashes. onlyJob is the job that ran there
// alone, or nil.
type recentCrash struct {
	at      time.Time
	onlyJob *jobState
}

// crashRecord summarises the crashes under one task of a group.
type crashRecord struct {
	// total counts all crashes, possible ones included. pending counts those under runs of which it is not known
	// yet whether they began. proven counts certain crashes under runs that were known to be running. alone counts
	// the proven ones without any other run on the worker.
	total   int
	pending int
	proven  int
	alone   int
	agents  map[string]bool
	// shortest and longest are the shortest and longest known times from the order of a run to the
	// crash. exposure is the sum over all proven crashes, inexact times included.
	shortest time.Duration
	longest  time.Duration
	exposure time.Duration
	// agesKnown reports that shortest and longest are set.
	agesKnown bool
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
	r.total++
	if k.starts.evidence() == evidencePending {
		r.pending++
	}
	if !k.certain || k.starts.evidence() != evidenceSeen {
		return
	}
	r.proven++
	r.agents[k.agent] = true
	if k.alone {
		r.alone++
	}
	r.exposure += k.after
	if k.inexact {
		return
	}
	if !r.agesKnown || k.after < r.shortest {
		r.shortest = k.after
	}
	r.agesKnown = true
	r.longest = max(r.longest, k.after)
}

// provesTask reports whether the pattern of the crashes shows that the task causes them, and not
// another task on the same workers or the workers themselves.
func (r crashRecord) provesTask(workers int) bool {
	return r.proven >= minProvenCrashes && r.alone > 0 && r.similarAges() && len(r.agents) >= min(minProvenCrashes, workers)
}

// similarAges reports whether all crashes came at similar times after the start. Crashes with other
// causes hit a run at any time.
func (r crashRecord) similarAges() bool {
	return r.longest <= r.shortest*3/2+similarAgeSlack
}

// crashFailureReason returns why a group is abandoned because of the workers that crashed under one of its
// tasks; empty if it is not.
func (c *Core) crashFailureReason(now time.Time, g *group) string {
	for _, k := range g.crashes {
		r := g.recordOf(k.index)
		if r.total-r.pending >= maxTaskCrashes || r.provesTask(len(c.workers)) && c.coincidence(now, g, r) < maxCoincidence {
			return fmt.Sprintf("%d workers crashed under task %s, after %s to %s, %d times with nothing beside it: %s",
				r.total, g.task(k.index), r.shortest, r.longest, r.alone, g.describeCrashes(k.index))
		}
	}
	return ""
}

// coincidence returns the probability that as many workers crash by themselves under a task, at the
// recent rate of crashes.
func (c *Core) coincidence(now time.Time, g *group, r crashRecord) float64 {
	observed := now.Sub(c.crashesCountedSince)
	if observed < minCrashRateWindow {
		return 1
	}
	c.dropOldCrashes(now)
	rate := max(c.crashRate(now, min(observed, crashRateWindow), nil), c.crashRate(now, crashBurstWindow, g.job), minCrashRate)
	return poissonTail(rate*max(r.exposure, minExposure).Seconds(), r.proven)
}

// crashRate returns how many workers crash by themselves, per worker and second, over the last time of a length.
// Crashes of workers that ran a given job alone do not count.
func (c *Core) crashRate(now time.Time, window time.Duration, except *jobState) float64 {
	others := -1 // one of them is the group's own
	for _, k := range c.recentCrashes {
		if now.Sub(k.at) <= window && (k.onlyJob == nil || k.onlyJob != except) {
			others++
		}
	}
	return float64(max(0, others)) / (float64(len(c.workers)) * window.Seconds())
}

// poissonTail returns the probability of at least count events when the expected number is given.
func poissonTail(expected float64, count int) float64 {
	below, term := 0.0, math.Exp(-expected)
	for k := range count {
		below += term
		term *= expected / float64(k+1)
	}
	return max(0, 1-below)
}

// recordRecentCrash counts a worker's crash towards the rate of crashes, unless a suspect that ran
// there alone explains it.
func (c *Core) recordRecentCrash(now time.Time, w *worker) {
	if !w.runsSuspectAlone() {
		c.recentCrashes = append(c.recentCrashes, recentCrash{at: now, onlyJob: w.onlyJob()})
	}
	c.dropOldCrashes(now)
}

// onlyJob returns the job to which all runs that may be on the worker belong, or nil.
func (w *worker) onlyJob() *jobState {
	var only *jobState
	for _, m := range w.members {
		switch {
		case m.starts.evidence() == evidenceNone:
		case only != nil && m.group.job != only:
			return nil
		default:
			only = m.group.job
		}
	}
	return only
}

// runsSuspectAlone reports whether the only group ordered on the worker is one under which workers have
// crashed before.
func (w *worker) runsSuspectAlone() bool {
	for _, m := range w.members {
		if m.starts.evidence() != evidenceNone {
			return m.group.suspicion != suspicionNone && w.runsOnly(m.group)
		}
	}
	return false
}

func (c *Core) dropOldCrashes(now time.Time) {
	c.recentCrashes = slices.DeleteFunc(c.recentCrashes, func(k recentCrash) bool { return now.Sub(k.at) > crashRateWindow })
}

// crashCount returns the number of workers that crashed, or may have, under the same task of the group;
// the largest such number over its tasks.
func (g *group) crashCount() int {
	most := 0
	for _, k := range g.crashes {
		most = max(most, g.recordOf(k.index).total)
	}
	return most
}

// countStart counts a placement if the group's starts are limited.
func (g *group) countStart() {
	if g.startsLimited() {
		g.extraStarts++
		g.setCounted(g.run, true)
	}
}

// startsLimited reports whether so many workers have crashed under a task of the group that only
// finalStarts more starts are allowed. Once a start counts, later crashes at other times after theirs, which
// have other causes, do not lift the limit.
func (g *group) startsLimited() bool {
	if g.extraStarts > 0 {
		return true
	}
	if len(g.crashes) < minProvenCrashes {
		return false
	}
	for _, k := range g.crashes {
		if r := g.recordOf(k.index); r.total >= minProvenCrashes && r.similarAges() {
			return true
		}
	}
	return false
}

// outOfStarts reports whether the group has used up its starts after crashes.
func (g *group) outOfStarts() bool {
	return g.extraStarts >= finalStarts && g.startsLimited()
}

// startsBarred reports whether the group may not be started, counting crashes that pending answers may take back.
func (g *group) startsBarred() bool {
	return g.outOfStarts() || len(g.crashes) >= maxTaskCrashes && g.crashCount() >= maxTaskCrashes
}

// startsUsedUp returns why a group is abandoned that has used up its starts.
func (g *group) startsUsedUp() string {
	worst := 0
	for _, k := range g.crashes {
		if g.recordOf(k.index).total > g.recordOf(worst).total {
			worst = k.index
		}
	}
	return fmt.Sprintf("task %s was started %d times after %d workers had crashed under it: %s",
		g.task(worst), g.extraStarts, g.recordOf(worst).total, g.describeCrashes(worst))
}

// describeCrashes names the crashes under a task: run, worker, instance, and the evidence that the run was there.
func (g *group) describeCrashes(index int) string {
	var parts []string
	for _, k := range g.crashes {
		if k.index == index {
			parts = append(parts, k.String())
		}
	}
	return joinBounded(parts, "; ")
}

// String describes the crash for operators.
func (k crash) String() string {
	text := fmt.Sprintf("run %d on %s (%s) %s after its order, %s", k.run, k.agent, k.instance, k.after.Round(time.Millisecond), evidenceNames[k.starts.evidence()])
	if k.alone {
		text += ", alone"
	}
	if !k.certain {
		text += ", the worker may have been silent only"
	}
	return text
}
