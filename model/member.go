package model

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/pool"
)

// taskReady handles the completed start of a task.
func (sim *simulation) taskReady(m *member) {
	if m.run.ended || m.worker.members[m.key()] != m {
		return
	}
	m.ready = true
	if m.worker.failing {
		sim.after(failureDelay, func() { sim.endMember(m, pool.EndFailed) })
		return
	}
	sim.updateRate(m.run)
	sim.reportSoon(m.worker)
}

// endIfGangIncomplete ends a task whose gang has not started completely.
func (sim *simulation) endIfGangIncomplete(m *member) {
	if m.run.startedAt.IsZero() {
		sim.endMember(m, pool.EndGangIncomplete)
	}
}

// updateRate recalculates the rate of a run, and schedules the run's end accordingly.
func (sim *simulation) updateRate(r *run) {
	r.setRate(sim.now, sim.settings.FarFactor)
	in, fails, ok := r.timeToEnd()
	if !ok {
		return
	}
	changes := r.rateChanges
	sim.after(in, func() {
		if r.ended || r.rateChanges != changes {
			return
		}
		if fails {
			sim.endMember(r.members[0], pool.EndFailed)
			return
		}
		sim.completeRun(r)
	})
}

// completeRun ends all tasks of a run as done.
func (sim *simulation) completeRun(r *run) {
	r.advance(sim.now)
	r.ended = true
	sim.outcome.recordRun(r, r.arrival.Work.Seconds(), sim.now)
	for _, m := range r.members {
		m.end(pool.EndDone, "")
		sim.reportSoon(m.worker)
	}
}

// endMember ends a task before its work is done, and the other tasks of its run after gangBreakDelay.
func (sim *simulation) endMember(m *member, kind pool.EndKind) {
	if m.worker.members[m.key()] != m {
		return
	}
	r := m.run
	r.advance(sim.now)
	token := sim.saveToken(r)
	if kind == pool.EndFailed {
		token = ""
	}
	if !r.ended {
		r.ended = true
		sim.outcome.recordRun(r, savedProgress(token), sim.now)
		for _, other := range r.members {
			sim.after(gangBreakDelay, func() { sim.endMember(other, pool.EndGangBroken) })
		}
	}
	m.end(kind, token)
	sim.reportSoon(m.worker)
}

// endLapsedTasks ends all tasks of a worker whose lease has lapsed.
func (sim *simulation) endLapsedTasks(w *worker) {
	for _, m := range w.sortedMembers() {
		sim.endMember(m, pool.EndLapsed)
	}
}

// crash ends a worker's process. The ends of its tasks are not reported.
func (sim *simulation) crash(w *worker) {
	if w.down {
		return
	}
	w.down, w.crashNoticed = true, false
	for _, m := range w.sortedMembers() {
		sim.endMember(m, pool.EndGangBroken)
	}
	w.ended = nil
	sim.after(crashNoticeDelay, func() {
		w.crashNoticed = w.down
		sim.report(w)
	})
}

// restart starts a worker's process again, as a new instance.
func (sim *simulation) restart(w *worker) {
	w.down = false
	w.instanceNumber++
	w.instance = instance.New(w.name, w.instanceNumber)
	w.lastEnd = 0
	w.ended = nil
	w.highestRun = map[job.TaskID]int{}
	sim.reportSoon(w)
}

func (m *member) key() taskRun {
	return taskRun{task: m.task, run: m.run.key.run}
}

// end removes a task from its worker and records its end for the next reports.
func (m *member) end(kind pool.EndKind, saved string) {
	w := m.worker
	delete(w.members, m.key())
	w.highestRun[m.task] = max(w.highestRun[m.task], m.run.key.run)
	w.lastEnd++
	w.ended = append(w.ended, pool.Ended{Number: w.lastEnd, Task: m.task, Run: m.run.key.run, Kind: kind, Saved: saved})
}

// sortedMembers returns the tasks of a worker, in an order that is the same in every simulation.
func (w *worker) sortedMembers() []*member {
	members := slices.Collect(maps.Values(w.members))
	slices.SortFunc(members, func(a, b *member) int {
		return strings.Compare(fmt.Sprint(a.task, a.run.key.run), fmt.Sprint(b.task, b.run.key.run))
	})
	return members
}
