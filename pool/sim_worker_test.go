package pool

import (
	"slices"
	"time"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/hollyfork/job"
)

// longRunningStartup is the time after which a long-running task reports that it is ready.
const longRunningStartup = 400 * time.Millisecond

func (f *fakeWorker) freeCapacity(sim *simulation) job.Shape {
	return f.subtractRunning(sim, f.capacity)
}

// subtractRunning returns what the runs of a worker leave of a capacity.
func (f *fakeWorker) subtractRunning(sim *simulation, capacity job.Shape) job.Shape {
	for key := range f.running {
		capacity = capacity.Sub(sim.jobs[key.task.Job].Steps[key.task.Step].Demand())
	}
	return capacity
}

func (sim *simulation) stop(f *fakeWorker, s Stop) Result {
	key := runKey{s.Task, s.Run}
	f.highestRun[s.Task] = max(f.highestRun[s.Task], s.Run)
	if _, runs := f.running[key]; runs {
		sim.after(100*time.Millisecond, func() { f.endRun(sim, key, EndStopped) })
	}
	return ResultOK
}

func (f *fakeWorker) endRun(sim *simulation, key runKey, kind EndKind) {
	if _, runs := f.running[key]; !runs {
		return
	}
	delete(f.running, key)
	f.highestRun[key.task] = max(f.highestRun[key.task], key.run)
	f.lastEndNumber++
	saved := ""
	if kind == EndStopped || kind == EndGangBroken {
		saved = sim.saveProgress(key)
	}
	f.ended = append(f.ended, Ended{Number: f.lastEndNumber, Task: key.task, Run: key.run, Kind: kind, Saved: saved})
	if kind == EndFailed {
		sim.failures[key.task]++
	}
}

// stepWorker ends tasks, lets the lease lapse and sends the agent's report.
func (sim *simulation) stepWorker(f *fakeWorker) {
	for key, run := range f.running {
		switch {
		case sim.crashDue(key, run):
			f.crashUnder(sim, key.task)
		case sim.now.After(f.leaseUntil):
			f.endRun(sim, key, EndLapsed)
		case sim.now.Sub(run.acceptedAt) > gangTimeout && !f.gangComplete(sim, key):
			f.endRun(sim, key, EndGangIncomplete)
			sim.gangTimeouts++
		case f.hangs || sim.hangingJobs[key.task.Job]:
		case f.fails && sim.now.Sub(run.startedAt) > 100*time.Millisecond:
			f.endRun(sim, key, EndFailed)
		case sim.now.Sub(run.startedAt) >= run.work && f.gangComplete(sim, key):
			sim.completeRun(f, key)
		}
	}
	noticed := f.down && sim.now.Sub(f.agentNoticesAt) >= 0 && sim.now.Sub(f.agentNoticesAt) < simulationStep
	if f.silent || sim.holderPaused() || !noticed && sim.now.UnixMilli()%100 >= simulationStep.Milliseconds() {
		return
	}
	f.leaseUntil = sim.now.Add(DefaultSettings().AgentLease)
	id, committed := sim.core.Committed(f.name)
	if id == f.instance {
		f.ended = slices.DeleteFunc(f.ended, func(e Ended) bool {
			if e.Number <= committed && e.Kind == EndDone {
				sim.acknowledged[e.Task] = true
			}
			return e.Number <= committed
		})
	}
	sim.core.RecordReply(sim.now, f.name, Grant{Incarnation: f.incarnation, Reading: sim.storeClock()})
	if f.down && sim.now.Before(f.agentNoticesAt) {
		return // the agent has not noticed the end of its worker yet
	}
	sim.core.Report(sim.now, f.name, f.report(sim))
}

// duration returns how long the worker takes for work of a usual length.
func (f *fakeWorker) duration(work time.Duration) time.Duration {
	if f.slowdown == 0 {
		return work
	}
	return time.Duration(f.slowdown * float64(work))
}

// completeRun ends a task that has done its work. A gang ends as a whole, once its slowest task is done.
func (sim *simulation) completeRun(f *fakeWorker, key runKey) {
	slowest := true
	sim.eachGangMember(key, func(other *fakeWorker, k runKey) {
		run := other.running[k]
		slowest = slowest && sim.now.Sub(run.startedAt) >= run.work
	})
	if sim.jobs[key.task.Job].Steps[key.task.Step].Gang && !slowest {
		return
	}
	if !sim.jobs[key.task.Job].Steps[key.task.Step].Gang {
		f.endRun(sim, key, EndDone)
		sim.done[key.task] = true
		return
	}
	sim.eachGangMember(key, func(other *fakeWorker, k runKey) {
		other.endRun(sim, k, EndDone)
		sim.done[k.task] = true
	})
}

// eachGangMember visits the running tasks of a gang's run.
func (sim *simulation) eachGangMember(key runKey, visit func(*fakeWorker, runKey)) {
	for _, f := range sim.workers {
		for k := range f.running {
			if k.task.Job == key.task.Job && k.task.Round == key.task.Round && k.task.Step == key.task.Step && k.run == key.run {
				visit(f, k)
			}
		}
	}
}

// gangComplete reports whether all tasks of a run's gang are running without hanging.
func (f *fakeWorker) gangComplete(sim *simulation, key runKey) bool {
	step := sim.jobs[key.task.Job].Steps[key.task.Step]
	members := 0
	sim.eachGangMember(key, func(other *fakeWorker, _ runKey) {
		if !other.hangs {
			members++
		}
	})
	return !step.Gang || members == step.Count
}

func (f *fakeWorker) report(sim *simulation) Report {
	f.listing++
	if sim.heartbeatInterval == 0 || f.reportedCapacity == (job.Shape{}) || sim.now.Sub(f.heartbeatAt) >= sim.heartbeatInterval {
		f.reportedCapacity, f.heartbeatAt = f.capacity, sim.now
	}
	r := Report{
		Incarnation: f.incarnation,
		Instance:    f.instance,
		Capacity:    f.reportedCapacity,
		Rack:        f.rack,
		DataCentre:  f.dataCentre,
		Labels:      f.labels,
		Draining:    f.draining,
		Remaining:   f.remaining,
		NotReady:    f.notReady,
		Listing:     f.listing,
		Ended:       slices.Clone(f.ended[:min(len(f.ended), maxListedEnds)]),
	}
	if f.down {
		r.Lapsed = true
		r.Lapse = LapseCrashed
		if f.draining {
			r.Lapse = LapseLeft // as far as an agent can tell
		}
		return r
	}
	for key, run := range f.running {
		percent := 0
		if !f.hangs && !sim.hangingJobs[key.task.Job] {
			percent = int(100 * sim.now.Sub(run.startedAt) / (run.work + 1))
		}
		if sim.jobs[key.task.Job].Steps[key.task.Step].LongRunning && sim.now.Sub(run.startedAt) > longRunningStartup {
			percent = 100
		}
		if percent >= run.savedPercent+10 {
			run.savedToken, run.savedPercent = sim.saveProgress(key), percent
		}
		r.Running = append(r.Running, Running{Task: key.task, Run: key.run, Percent: min(percent, 100), Saved: run.savedToken})
	}
	return r
}

// restartAgent replaces the agent by a new incarnation without the memory of the former.
func (f *fakeWorker) restartAgent() {
	f.incarnation += "+"
	f.unansweredStarts = nil
	f.listing = 0
}

// restartWorker replaces the worker by a new instance without runs. The agent keeps the new instance from
// carrying out starts that were sent to the former.
func (f *fakeWorker) restartWorker() {
	if f.instance.NameMayRecur() {
		f.instance = instance.New(f.instance.Name(), f.instance.StartTime().UnixMilli()+1)
	} else {
		f.instance = instance.New(f.instance.Name()+"+", 0)
	}
	f.running = map[runKey]*fakeRun{}
	f.highestRun = map[job.TaskID]int{}
	for _, s := range f.unansweredStarts {
		f.highestRun[s.Task] = max(f.highestRun[s.Task], s.Run)
	}
	f.ended = nil
	f.lastEndNumber = 0
}
