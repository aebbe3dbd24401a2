package pool

import (
	"slices"
	"time"

	"hollyfork.example/hollyfork/job"
)

const (
	// restartDelay is the time after which a crashed worker is back.
	restartDelay = 2 * time.Second
	// crashLimit is the number of worker crashes under a task after which it may be started only
	// startsAfterCrashLimit more times.
	crashLimit            = 3
	startsAfterCrashLimit = 2
)

// crashingTask names the task of a job, or all its tasks, that crash each worker that starts them, and the time
// from the start to the crash.
type crashingTask struct {
	index    int
	allTasks bool
	delay    time.Duration
}

// submitCrashing submits a job with a task that crashes its workers.
func (sim *simulation) submitCrashing(j job.Job, index int, after time.Duration) {
	sim.crashingTasks[j.ID] = crashingTask{index: index, delay: after}
	sim.submit(j)
}

// crashDue reports whether a run's worker crashes under it by now.
func (sim *simulation) crashDue(key runKey, run *fakeRun) bool {
	c, is := sim.crashingTasks[key.task.Job]
	return is && (c.allTasks || c.index == key.task.Index) && sim.now.Sub(run.startedAt) >= c.delay
}

// crashUnder ends a worker's process because of a task, and ends the gangs that had tasks there. The worker
// comes back later as another instance.
func (f *fakeWorker) crashUnder(sim *simulation, under job.TaskID) {
	sim.crashes[under]++
	for key := range f.running {
		if key.task.Job != under.Job {
			sim.otherRunsLost++
		}
	}
	f.terminate(sim)
}

// terminate ends a worker's process. The worker comes back after restartDelay as another instance.
func (f *fakeWorker) terminate(sim *simulation) {
	lost := f.running
	f.running = map[runKey]*fakeRun{}
	f.down = true
	f.agentNoticesAt = sim.now.Add(sim.noticeDelay(f))
	for key := range lost {
		sim.workersLost[key.task]++
		if sim.jobs[key.task.Job].Steps[key.task.Step].Gang {
			sim.eachGangMember(key, func(other *fakeWorker, k runKey) { other.endRun(sim, k, EndGangBroken) })
		}
	}
	sim.after(restartDelay, func() {
		f.down = false
		f.restartWorker()
	})
}

// checkCrashLimit fails the test when a task that crashes its workers is started too often.
func (sim *simulation) checkCrashLimit(s Start) {
	if _, is := sim.crashingTasks[s.Task.Job]; !is || sim.crashes[s.Task] < crashLimit {
		return
	}
	sim.startsAfterLimit[s.Task]++
	if sim.startsAfterLimit[s.Task] > startsAfterCrashLimit {
		sim.t.Errorf("%s: %v is started %d times after %d workers have crashed under it", sim.now, s.Task, sim.startsAfterLimit[s.Task], crashLimit)
	}
}

// noticeDelay returns the time after which an agent notices that its worker has ended. It differs for each
// worker.
func (sim *simulation) noticeDelay(f *fakeWorker) time.Duration {
	const apart = 15 * time.Millisecond
	if f.noticesAfter > 0 {
		return f.noticesAfter
	}
	return time.Duration(1+slices.Index(sim.workers, f)) * apart
}
