package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"hollyfork.example/hollyfork/platform/fakes"
	"hollyfork.example/hollyfork/program/cluster"
)

// The tests in this file guard against jobs without a running task although it is their turn and there is free
// capacity, for up to 24.8 s. Such a job is a gang whose run has failed, and for which the log shows nothing after
// the run's ends were recorded. Most workers are on probation after a time in which many runs failed. If a worker on
// probation takes neither gangs nor tasks that failed before, this lasts without end:
//
//	holder: job waits, "for 16.553s, 8 tasks of 3 accelerators, 0 failures; workers: 1 would take it, 8 on trial, 2 without room"
//
// TestSeeds does not detect this, since it checks jobs only at its end. These tests observe jobs while workers fail
// runs and leave starts unanswered.

const (
	// workerAccelerators is the number of accelerators of a stand-in worker.
	workerAccelerators = 8
	// watchedWorkers is the number of workers of a cluster whose jobs are watched.
	watchedWorkers = 11
	// pollInterval is the time between observations of the runs.
	pollInterval = 20 * time.Millisecond
	// maxObservationGap is the longest time between two observations in which a job counts as idle if it is idle at
	// both. On a busy machine the watch may not run for seconds, while tasks start and end.
	maxObservationGap = 500 * time.Millisecond
	// maxIdle is how long a job may have no running task while there is ample capacity for it.
	maxIdle = 3 * time.Second
	// takeoverAllowance is added to maxIdle for a change of holder, since a lease of 1.9 s has to expire.
	takeoverAllowance = 2 * time.Second
	// stateInterval is the time between requests to a gateway for the state of an idle job, which may have failed.
	stateInterval = 300 * time.Millisecond
	// jobLength is the run time of a job's tasks.
	jobLength = 1500 * time.Millisecond
	// finishTimeout is how long the last jobs may take after the last fault: four times their run time and twice the
	// quarantine of a worker.
	finishTimeout = 12 * time.Second
)

type (
	// recurringFault is a fault that is injected at the start of each period.
	recurringFault struct {
		worker fakes.WorkerFaults
		// duration is how long the fault lasts in each period.
		duration, period time.Duration
		// killsHolder makes each injection kill the holder. The gateway is launched again when the fault ends.
		killsHolder bool
	}

	// watchedJob is a submitted job with what has been observed of it.
	watchedJob struct {
		id, tasks, accelerators int
		gang                    bool
		ended                   bool
		// idleSince is when the job was first observed without a running task despite ample capacity. It is zero if the
		// job is not idle.
		idleSince   time.Time
		longestIdle time.Duration
		// stateReadAt is when the state of the idle job was last requested from a gateway.
		stateReadAt time.Time
	}

	// progressWatch observes the progress of jobs at their workers.
	progressWatch struct {
		*cluster.Cluster

		jobs              []*watchedJob
		acceleratorsInUse int
		observedAt        time.Time
		// gaps counts the times without an observation that were longer than maxObservationGap.
		gaps int
		// killTarget is the gateway that was killed by the current fault, or that is to be killed at killAt. It is nil
		// if there is none.
		killTarget *cluster.Program
		killAt     time.Time
	}
)

// jobInterval is the time between submissions. About a third of the capacity is then in use.
const jobInterval = 400 * time.Millisecond

var watchedJobCount = flag.Int("jobs", 100, "number of watched jobs in each test of progress")

func TestJobsProgressWhileRunsFail(t *testing.T) {
	t.Parallel()
	testProgress(t, 1, recurringFault{
		worker:   fakes.WorkerFaults{Fail: 0.7, FailWithin: 400 * time.Millisecond},
		duration: 2 * time.Second, period: 10 * time.Second,
	})
}

func TestJobsProgressWhileStartsAreUnanswered(t *testing.T) {
	t.Parallel()
	testProgress(t, 2, recurringFault{
		worker:   fakes.WorkerFaults{Unanswered: 0.5},
		duration: 2 * time.Second, period: 10 * time.Second,
	})
}

func TestJobsProgressWhileRunsFailAndStartsAreUnanswered(t *testing.T) {
	t.Parallel()
	testProgress(t, 3, recurringFault{
		worker:   fakes.WorkerFaults{Fail: 0.7, FailWithin: 400 * time.Millisecond, Unanswered: 0.5},
		duration: 2 * time.Second, period: 10 * time.Second,
	})
}

func TestJobsProgressWhileRunsFailAndHoldersDie(t *testing.T) {
	t.Parallel()
	testProgress(t, 4, recurringFault{
		worker:   fakes.WorkerFaults{Fail: 0.7, FailWithin: 400 * time.Millisecond, Unanswered: 0.5},
		duration: 2 * time.Second, period: 10 * time.Second,
		killsHolder: true,
	})
}

// testProgress submits jobs, half of them gangs, while a fault recurs. It fails the test if a job is idle for too long
// despite ample capacity, or if the last jobs don't end.
func testProgress(t *testing.T, seed uint64, fault recurringFault) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, seed))
	w := &progressWatch{Cluster: cluster.New(t, *gateways, watchedWorkers)}
	start := time.Now()
	for id := 1; id <= *watchedJobCount; id++ {
		w.submit(random, id)
		w.observeUntil(start.Add(time.Duration(id)*jobInterval), func() { w.apply(fault, time.Since(start)) })
	}
	w.setFaults(fakes.WorkerFaults{})
	w.relaunchTarget()
	for end := time.Now().Add(finishTimeout); w.openJobs() > 0 && time.Now().Before(end); {
		w.observe(time.Now())
		time.Sleep(pollInterval)
	}
	limit := maxIdle
	if fault.killsHolder {
		limit += takeoverAllowance
	}
	w.report(t, limit)
	w.CheckRuns()
}

func (w *progressWatch) submit(random *rand.Rand, id int) {
	j := &watchedJob{id: id, tasks: 1, accelerators: 1 + random.IntN(3)}
	body := cluster.GangJob(1, j.accelerators, jobLength.String())
	if random.IntN(2) == 0 {
		j.gang = true
		j.tasks = 3 + random.IntN(8)
		body = cluster.GangJob(j.tasks, j.accelerators, jobLength.String())
	}
	w.Submit(id, body)
	w.jobs = append(w.jobs, j)
}

// apply injects the fault at the start of each period, and ends it after its duration.
func (w *progressWatch) apply(f recurringFault, since time.Duration) {
	if since%f.period >= f.duration {
		w.setFaults(fakes.WorkerFaults{})
		w.relaunchTarget()
		return
	}
	w.setFaults(f.worker)
	if f.killsHolder && w.killTarget == nil {
		w.killTarget = w.Gateways[max(0, w.Holder())]
		w.killTarget.Kill()
	}
}

// relaunchTarget launches the killed gateway again, if there is one.
func (w *progressWatch) relaunchTarget() {
	if w.killTarget != nil {
		w.killTarget.Launch()
		w.killTarget = nil
	}
}

func (w *progressWatch) setFaults(f fakes.WorkerFaults) {
	for _, worker := range w.Workers {
		worker.SetFaults(f)
	}
}

// observeUntil observes the jobs until a time is over, and at least once. It injects faults before each observation.
func (w *progressWatch) observeUntil(end time.Time, inject func()) {
	for {
		inject()
		w.observe(time.Now())
		if !time.Now().Before(end) {
			return
		}
		time.Sleep(pollInterval)
	}
}

// observe updates for each job whether it has ended, and how long it has been idle.
func (w *progressWatch) observe(now time.Time) {
	if !w.observedAt.IsZero() && now.Sub(w.observedAt) > maxObservationGap {
		w.gaps++
		w.forgetIdleTimes()
	}
	w.observedAt = now
	inUse, idle := 0, []*watchedJob{}
	for _, j := range w.jobs {
		if j.ended {
			continue
		}
		running, done := w.taskCounts(j)
		inUse += running * j.accelerators
		// The tasks of a gang succeed together, so one success is enough.
		j.ended = done == j.tasks || j.gang && done > 0
		if running > 0 || j.ended {
			j.idleSince = time.Time{}
			continue
		}
		idle = append(idle, j)
	}
	w.acceleratorsInUse = inUse
	for _, j := range idle {
		w.recordIdle(now, j)
	}
}

// forgetIdleTimes counts the time for which jobs are idle anew.
func (w *progressWatch) forgetIdleTimes() {
	for _, j := range w.jobs {
		j.idleSince = time.Time{}
	}
}

func (w *progressWatch) taskCounts(j *watchedJob) (running, done int) {
	for i := range j.tasks {
		runs, ended := w.Runs.TaskState(fmt.Sprintf("%s.0.0.%d", jobName(j.id), i))
		if runs {
			running++
		}
		if ended {
			done++
		}
	}
	return running, done
}

func jobName(id int) string {
	return strings.TrimPrefix(cluster.JobPath(id), cluster.Prefix)
}

// recordIdle records how long a job has had no running task while twice the capacity that it needs is free and less
// than half of all capacity is in use.
func (w *progressWatch) recordIdle(now time.Time, j *watchedJob) {
	all := w.upWorkers() * workerAccelerators
	ample := 2*w.acceleratorsInUse < all && all-w.acceleratorsInUse >= 2*j.tasks*j.accelerators
	if !ample {
		j.idleSince = time.Time{}
		return
	}
	if j.idleSince.IsZero() {
		j.idleSince = now
	}
	gap := now.Sub(j.idleSince)
	if gap > time.Second && now.Sub(j.stateReadAt) > stateInterval {
		j.stateReadAt = now
		j.ended = w.JobState(j.id) == "failed"
	}
	if j.ended {
		return
	}
	j.longestIdle = max(j.longestIdle, gap)
}

// upWorkers returns the number of workers whose process is up.
func (w *progressWatch) upWorkers() int {
	count := 0
	for _, worker := range w.Workers {
		if worker.Up() {
			count++
		}
	}
	return count
}

// openJobs returns the number of jobs that have not ended.
func (w *progressWatch) openJobs() int {
	count := 0
	for _, j := range w.jobs {
		if !j.ended {
			count++
		}
	}
	return count
}

func (w *progressWatch) report(t *testing.T, limit time.Duration) {
	t.Helper()
	failed, worst := 0, time.Duration(0)
	for _, j := range w.jobs {
		worst = max(worst, j.longestIdle)
		if j.longestIdle > limit {
			t.Errorf("job %s of %d tasks of %d accelerators had no running task for %s despite ample capacity", jobName(j.id), j.tasks, j.accelerators, j.longestIdle)
		}
		if !j.ended {
			t.Errorf("job %s is %s %s after the last submission", jobName(j.id), w.JobState(j.id), finishTimeout)
		}
		if w.JobState(j.id) == "failed" {
			failed++
		}
	}
	t.Logf("%d jobs, %d failed, longest time without a running task %s; %d times without an observation", len(w.jobs), failed, worst, w.gaps)
}
