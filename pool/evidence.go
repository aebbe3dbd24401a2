package pool

import (
	"slices"
	"time"
)

// maxAnswerWait is how long a group waits for the answer to a start before it is judged without it. It exceeds the
// time limit of the call that sends orders.
const maxAnswerWait = 2 * time.Second

// Evidence for whether a run began on a worker, weakest first.
const (
	// evidenceNone means that no start of the run can have been carried out.
	evidenceNone evidence = iota
	// evidencePending means that a start may have been carried out, and that its answer is under way.
	evidencePending
	// evidenceUnknown means that a start may have been carried out, and that no answer will tell.
	evidenceUnknown
	// evidenceSeen means that the worker confirmed a start, or listed the run.
	evidenceSeen
)

type (
	// evidence is what is known of whether a run began on a worker.
	evidence int

	// startLog records the starts of one member's run and their answers. It outlives the member: answers that
	// arrive after the worker's crash was reported still decide whether the crash counts.
	startLog struct {
		index int
		run   int
		agent string
		// pending counts the starts whose answers are under way, unknown those without an answer.
		pending int
		unknown int
		// sentAt is when the last start was sent.
		sentAt time.Time
		seen   bool
		// counted reports that the run is counted in extraStarts of its group.
		counted bool
	}
)

var evidenceNames = map[evidence]string{
	evidenceNone:    "not started",
	evidencePending: "the answer to its start is under way",
	evidenceUnknown: "its start was not answered",
	evidenceSeen:    "seen running",
}

// remark returns what to add to the name of a run that was not seen running.
func (e evidence) remark() string {
	if e == evidenceSeen {
		return ""
	}
	return " (" + evidenceNames[e] + ")"
}

// restoredStartLog returns the log of a run of which an earlier holder recorded a crash.
func restoredStartLog(seen bool) *startLog {
	if seen {
		return &startLog{seen: true}
	}
	return &startLog{unknown: 1}
}

func (l *startLog) evidence() evidence {
	switch {
	case l.seen:
		return evidenceSeen
	case l.unknown > 0:
		return evidenceUnknown
	case l.pending > 0:
		return evidencePending
	default:
		return evidenceNone
	}
}

// sent records that a start is being sent.
func (l *startLog) sent(now time.Time) {
	l.pending++
	l.sentAt = now
}

// answered records the result of one start. An answer that may be the next instance's confirms nothing.
func (l *startLog) answered(result Result, confirms bool) {
	l.pending = max(0, l.pending-1)
	switch {
	case result.deniesStart():
	case result == ResultOK && confirms:
		l.seen = true
	default:
		l.unknown++
	}
}

// deniesStart reports whether the result means that this start was not carried out. It says nothing of other
// starts of the same run.
func (r Result) deniesStart() bool {
	return r != ResultOK && r != ResultUnknown && r != ResultInvalid
}

// addMember adds a member to the group's current run.
func (g *group) addMember(w *worker, index int) {
	m := &member{group: g, index: index, worker: w, instance: w.instance, phase: memberPlaced}
	m.starts = &startLog{index: index, run: g.run, agent: w.agent}
	g.members = append(g.members, m)
	g.startLogs = append(g.startLogs, m.starts)
	w.members = append(w.members, m)
}

// runEvidence returns the strongest evidence that a task of a run began, where a pending answer outweighs none.
func (g *group) runEvidence(run int) evidence {
	strongest := evidenceNone
	for _, l := range g.startLogs {
		if l.run == run {
			strongest = max(strongest, l.evidence())
		}
	}
	return strongest
}

// awaitsAnswers reports whether answers to starts of the group are under way.
func (g *group) awaitsAnswers(now time.Time) bool {
	return slices.ContainsFunc(g.startLogs, func(l *startLog) bool { return l.pending > 0 && now.Sub(l.sentAt) < maxAnswerWait })
}

// setCounted records whether a run is counted in extraStarts.
func (g *group) setCounted(run int, counted bool) {
	for _, l := range g.startLogs {
		if l.run == run {
			l.counted = counted
		}
	}
}

// settleRun processes the evidence on an ended run: the run does not count towards extraStarts if none of its tasks
// can have begun. Its log is dropped when no answer is under way.
func (g *group) settleRun(run int) {
	found := g.runEvidence(run)
	counted := slices.ContainsFunc(g.startLogs, func(l *startLog) bool { return l.run == run && l.counted })
	if found == evidenceNone && counted {
		g.extraStarts = max(0, g.extraStarts-1)
	}
	if slices.ContainsFunc(g.startLogs, func(l *startLog) bool { return l.run == run && l.pending > 0 }) {
		return
	}
	g.startLogs = slices.DeleteFunc(g.startLogs, func(l *startLog) bool { return l.run == run })
}

// forgetExtraStarts starts the count of extraStarts anew.
func (g *group) forgetExtraStarts() {
	g.extraStarts = 0
	for _, l := range g.startLogs {
		l.counted = false
	}
}

// recordAnswer records the result of a start as evidence. If it shows that the run never began, a crash that was
// counted under it is taken back.
func (c *Core) recordAnswer(now time.Time, agent string, start Start, result Result) {
	g := c.groupOf(start.Task)
	if g == nil {
		return
	}
	i := slices.IndexFunc(g.startLogs, func(l *startLog) bool {
		return l.agent == agent && l.run == start.Run && l.index == start.Task.Index
	})
	if i < 0 {
		return
	}
	l := g.startLogs[i]
	l.answered(result, !g.startMayBeNextInstances(l))
	crashed := slices.ContainsFunc(g.crashes, func(k crash) bool { return k.starts == l })
	if !crashed && l.run == g.run && g.placed() {
		return
	}
	g.dropCrashes(func(k crash) bool { return k.starts == l && l.evidence() == evidenceNone })
	if l.run != g.run || !g.placed() {
		g.settleRun(l.run)
	}
	c.capacityChanged = true
	c.markDirty(g.job)
	c.checkJob(now, g.job)
}

// startMayBeNextInstances reports whether a start may have been carried out by the next instance of a worker that
// has crashed: a later instance has the same name, and the crash was reported before the answer.
func (g *group) startMayBeNextInstances(l *startLog) bool {
	return slices.ContainsFunc(g.crashes, func(k crash) bool { return k.starts == l && k.instance.NameMayRecur() })
}

// dropCrashes removes crashes from the group's list.
func (g *group) dropCrashes(drop func(crash) bool) {
	var kept []crash
	survived := 0
	for i, k := range g.crashes {
		if drop(k) {
			continue
		}
		kept = append(kept, k)
		if i < g.survivedCrashes {
			survived++
		}
	}
	g.crashes, g.survivedCrashes = kept, survived
	g.updateSuspicion()
}
