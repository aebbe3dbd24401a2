package pool

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/hollyfork/job"
)

const (
	// maxRunsNamed bounds the runs that the event of a crash names.
	maxRunsNamed = 12
	// maxCrashes bounds the crashes recorded for a group. A gang may have eight tasks on each worker
	// that crashes under it.
	maxCrashes = 64
	// crashRetryDelay is how long a group waits after a worker has crashed under it. When several
	// workers crash at once, their agents notice it within about 0.3 s. Without the delay one task was
	// started on three crashed workers in turn within 30 ms.
	crashRetryDelay = 300 * time.Millisecond
)

// crash is the crash, or possible crash, of a worker while it ran a task of a group.
type crash struct {
	// index is the task's index, and run the number of its run.
	index    int
	run      int
	agent    string
	instance instance.ID
	// after is the time from the order of the run to the crash. inexact reports that an earlier holder
	// ordered the run, so that the real time was longer.
	after   time.Duration
	inexact bool
	// alone reports that no other group's run had been ordered on the worker.
	alone bool
	// certain is false while it is only known that the worker was silent until its lease ended.
	certain bool
	// starts is the evidence that the run was there.
	starts *startLog
}

// workerInstance is an instance of the worker beside an agent.
type workerInstance struct {
	agent    string
	instance instance.ID
}

func (k crash) workerInstance() workerInstance {
	return workerInstance{agent: k.agent, instance: k.instance}
}

var lapseNames = map[Lapse]string{
	LapseUnknown: "the worker has ended, or its lease has lapsed unheard",
	LapseCrashed: "the worker's process has ended",
	LapseLeft:    "the worker has left",
	LapseSilent:  "the worker was silent until its lease had ended",
}

// workerLapsed marks the runs on a worker as lost, and records a crash if the agent reports one, or
// cannot exclude one.
func (c *Core) workerLapsed(now time.Time, w *worker, lapse Lapse) {
	switch lapse {
	case LapseCrashed:
		c.workerCrashed(now, w, w.instance, instance.ID{}, "its process has ended")
		c.resolveCrashes(now, w, instance.ID{})
	case LapseLeft:
		c.dropUnresolvedCrashes(w)
	default:
		c.recordCrash(now, w, instance.ID{}, false)
	}
	if lapse == LapseSilent {
		c.workerLost(now, w, lapseNames[lapse])
		return
	}
	c.workerEnded(now, w, lapseNames[lapse])
}

// crashedInstance returns the worker's previous instance and reports whether it crashed, given that the
// worker now runs as the current instance: it did if it had runs and was not draining.
func (w *worker) crashedInstance(current instance.ID) (ended instance.ID, crashed bool) {
	if w.draining {
		return instance.ID{}, false
	}
	for _, m := range w.members {
		if m.instance != current && !m.revoked {
			return m.instance, true
		}
	}
	return w.instance, len(w.orphans) > 0 && !w.instance.IsZero()
}

// workerCrashed records the crash of a worker's instance, once, against all its runs except those of
// the current instance, and emits an event that names them.
func (c *Core) workerCrashed(now time.Time, w *worker, ended, current instance.ID, cause string) {
	if w.lastCrashed == ended {
		return
	}
	w.lastCrashed = ended
	w.lastCrashAt = now
	c.recordRecentCrash(now, w)
	c.emit(Event{Kind: EventCrashed, Worker: w.agent, Detail: cause + "; it ran " + w.describeRuns(now, current) + " as " + ended.String()})
	c.recordCrash(now, w, current, true)
}

// describeRuns names the worker's runs, except those of the current instance, with the time since each
// was ordered.
func (w *worker) describeRuns(now time.Time, current instance.ID) string {
	var runs []string
	for _, m := range w.members {
		if found := m.starts.evidence(); found != evidenceNone && !m.revoked && m.instance != current {
			runs = append(runs, fmt.Sprintf("%s run %d for %s%s", m.task(), m.group.run, m.runAge(now), found.remark()))
		}
	}
	for key := range w.orphans {
		runs = append(runs, fmt.Sprintf("%s run %d, which it should not", key.task, key.run))
	}
	if len(runs) == 0 {
		return "nothing"
	}
	return joinBounded(runs, ", ")
}

// joinBounded joins descriptions of runs, and names maxRunsNamed of them at most.
func joinBounded(runs []string, separator string) string {
	if len(runs) > maxRunsNamed {
		return fmt.Sprintf("%s and %d others", strings.Join(runs[:maxRunsNamed], separator), len(runs)-maxRunsNamed)
	}
	return strings.Join(runs, separator)
}

// runAge returns the time since the member's run was ordered; 0 if it was ordered later, as a report that was made before
// may be handled after it.
func (m *member) runAge(now time.Time) time.Duration {
	if m.group.orderedAt.IsZero() {
		return 0
	}
	return max(0, now.Sub(m.group.orderedAt)).Round(time.Millisecond)
}

// recordCrash records a crash against every run that the worker may have had, except those of the
// current instance. That includes starts without an answer, which may have been carried out, and runs
// that are being stopped, but no run all of whose starts were rejected.
func (c *Core) recordCrash(now time.Time, w *worker, current instance.ID, certain bool) {
	var affected []*group
	for _, m := range w.members {
		if m.revoked || m.instance == current || m.starts.evidence() == evidenceNone {
			continue
		}
		affected = append(affected, m.group)
		c.addCrash(now, m.group, crash{
			index: m.index, run: m.group.run, agent: w.agent, instance: m.instance, after: m.runAge(now),
			inexact: m.restored, alone: w.runsOnly(m.group), certain: certain, starts: m.starts,
		})
	}
	for key, o := range w.orphans {
		if g := c.groupOf(key.task); g != nil {
			affected = append(affected, g)
			c.addCrash(now, g, crash{
				index: key.task.Index, run: key.run, agent: w.agent, instance: w.instance, after: max(0, now.Sub(o.since)),
				inexact: true, certain: certain, starts: &startLog{unknown: 1},
			})
		}
	}
	w.crashUnresolved = w.crashUnresolved || !certain
	for _, g := range affected {
		c.checkJob(now, g.job)
	}
}

// addCrash records a crash against a group, once per task and worker instance. A run can crash only one
// worker, since it ends with that worker: once it is known to have been on a worker that crashed, crashes of
// other workers during the same run have another cause and are not recorded.
func (c *Core) addCrash(now time.Time, g *group, next crash) {
	if g.done || g.job.state.ended() {
		return
	}
	for _, known := range g.crashes {
		sameWorker := known.workerInstance() == next.workerInstance()
		sameRun := known.run == next.run && known.certain && known.starts.evidence() == evidenceSeen
		if sameWorker && known.index == next.index || !sameWorker && sameRun {
			return
		}
	}
	g.crashes = append(g.crashes, next)
	if surplus := len(g.crashes) - maxCrashes; surplus > 0 {
		g.crashes = slices.Delete(g.crashes, 0, surplus)
		g.survivedCrashes = max(0, g.survivedCrashes-surplus)
	}
	g.updateSuspicion()
	g.job.anyCrash = true
	g.crashedAt = now
	g.notBefore = now.Add(crashRetryDelay)
	c.markDirty(g.job)
}

// groupOf returns the group of a task, or nil.
func (c *Core) groupOf(task job.TaskID) *group {
	j, known := c.jobs[task.Job]
	if !known {
		return nil
	}
	return j.findGroup(task)
}

// runsOnly reports whether no runs but those of the group were ordered on the worker.
func (w *worker) runsOnly(g *group) bool {
	for _, m := range w.members {
		if m.group != g && m.starts.evidence() != evidenceNone {
			return false
		}
	}
	return len(w.orphans) == 0
}

// resolveCrashes resolves the possible crashes of a silent worker once its current instance is known:
// the instance that had the runs was disconnected if it is still the current one, and has crashed
// otherwise.
func (c *Core) resolveCrashes(now time.Time, w *worker, current instance.ID) {
	if !w.crashUnresolved {
		return
	}
	w.crashUnresolved = false
	for _, j := range c.liveJobs {
		changed := false
		for _, g := range j.groups {
			changed = g.resolveCrashes(w.agent, current) || changed
		}
		if changed {
			c.markDirty(j)
			c.checkJob(now, j)
		}
	}
}

// resolveCrashes resolves the group's possible crashes on a worker, and reports whether anything
// changed.
func (g *group) resolveCrashes(agent string, current instance.ID) bool {
	changed := false
	var kept []crash
	for _, k := range g.crashes {
		if k.agent == agent && !k.certain {
			changed = true
			k.certain = true
			if k.instance.Matches(current) {
				continue
			}
		}
		kept = append(kept, k)
	}
	if changed {
		g.crashes = kept
		g.survivedCrashes = min(g.survivedCrashes, len(kept))
		g.updateSuspicion()
	}
	return changed
}

// dropUnresolvedCrashes discards the possible crashes of a worker when it will never be known whether
// it crashed.
func (c *Core) dropUnresolvedCrashes(w *worker) {
	if !w.crashUnresolved {
		return
	}
	w.crashUnresolved = false
	for _, j := range c.liveJobs {
		for _, g := range j.groups {
			g.crashes = slices.DeleteFunc(g.crashes, func(k crash) bool { return k.agent == w.agent && !k.certain })
			g.survivedCrashes = min(g.survivedCrashes, len(g.crashes))
			g.updateSuspicion()
		}
	}
}
