package soak

import (
	"math/rand/v2"
	"testing"
	"time"

	"hollyfork.example/hollyfork/platform/fakes"
	"hollyfork.example/hollyfork/program/cluster"
)

// The tests in this file guard against endless starts of a task that crashes each worker that starts it. If only
// the ends that workers list as failed count as failures, a run that is lost with its worker counts as none. The task
// is then started on one worker after the other, workers that come back get it again at once, and the runs that are
// co-located with it are lost each time. The log shows:
//
//	holder: worker crashed, "its process has ended; it ran 187e9f3f066d22a1.0.0.0 run 13 for 210ms"
//	holder: job waits, "for 1.385s, 1 tasks of 1 accelerators, 0 failures; workers: 7 not known yet, 4 without room"
//
// Eight such tasks crashed 113 workers in a minute, and 366 runs of healthy tasks were lost with them.

const (
	// crashingJobInterval is the time between submissions of crashing jobs. In such a job a task crashes each worker
	// that starts it, crashDelay or lateCrashDelay after the start.
	crashingJobInterval = 5 * time.Second
	crashDelay          = 200 * time.Millisecond
	lateCrashDelay      = 1300 * time.Millisecond
	// crashingIDBase keeps the numbers of crashing jobs apart from those of healthy ones.
	crashingIDBase = 10000
	// lostPerCrashingJob bounds the runs of healthy tasks that are lost per crashing job: as many as fit beside its
	// task on one worker. With lateCrashDelay the bound is twice that, since the task is not suspected at the first
	// crash.
	lostPerCrashingJob     = 7
	lostPerLateCrashingJob = 14
)

func TestHealthyJobsProgressDespiteWorkerCrashes(t *testing.T) {
	t.Parallel()
	testWorkerCrashes(t, 5, false, crashDelay)
}

func TestHealthyJobsProgressDespiteLateWorkerCrashes(t *testing.T) {
	t.Parallel()
	testWorkerCrashes(t, 7, false, lateCrashDelay)
}

func TestHealthyJobsProgressWhileWorkersCrashAndHoldersDie(t *testing.T) {
	t.Parallel()
	testWorkerCrashes(t, 6, true, crashDelay)
}

// testWorkerCrashes submits healthy jobs, half of them gangs, and at intervals a crashing job, alternately of a
// single task and of a gang of four. It fails the test if a crashing task is started too often or too many runs are
// lost with it, or if a healthy job fails, is idle for too long or doesn't end.
func testWorkerCrashes(t *testing.T, seed uint64, killsHolders bool, after time.Duration) {
	t.Helper()
	testWorkerCrashesWith(t, seed, fakes.InstanceConfig{}, killsHolders, after)
}

// testWorkerCrashesWith is testWorkerCrashes with settings for the instances of the workers.
func testWorkerCrashesWith(t *testing.T, seed uint64, instances fakes.InstanceConfig, killsHolders bool, after time.Duration) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, seed))
	w := &progressWatch{Cluster: cluster.NewWithInstances(t, *gateways, watchedWorkers, instances)}
	start := time.Now()
	crashingJobs := 0
	for id := 1; id <= *watchedJobCount; id++ {
		w.submit(random, id)
		if time.Since(start) > time.Duration(crashingJobs)*crashingJobInterval {
			crashingJobs++
			w.submitCrashingJob(crashingJobs, after)
			if killsHolders {
				w.killTarget = w.Gateways[max(0, w.Holder())]
				w.killAt = time.Now().Add(after + time.Second)
			}
		}
		w.observeUntil(start.Add(time.Duration(id)*jobInterval), func() { w.killHolder(time.Now()) })
		if w.killTarget != nil && !w.killTarget.Running() {
			w.relaunchTarget()
		}
	}
	for end := time.Now().Add(finishTimeout); w.openJobs() > 0 && time.Now().Before(end); {
		w.observe(time.Now())
		time.Sleep(pollInterval)
	}
	limit := maxIdle
	if killsHolders {
		limit += takeoverAllowance
	}
	w.report(t, limit)
	bound := crashingJobs * lostPerCrashingJob
	if after > crashDelay {
		bound = crashingJobs * lostPerLateCrashingJob
	}
	w.checkCrashingJobs(t, crashingJobs, bound)
	w.CheckRuns()
}

// killHolder kills the target once killAt has passed.
func (w *progressWatch) killHolder(now time.Time) {
	if w.killTarget != nil && w.killTarget.Running() && now.After(w.killAt) {
		w.killTarget.Kill()
	}
}

// submitCrashingJob submits a job whose first task crashes each worker that starts it.
func (w *progressWatch) submitCrashingJob(number int, after time.Duration) {
	spec := fakes.CrashSpec(0, after, jobLength)
	body := cluster.TasksJob(1, spec)
	if number%2 == 0 {
		body = cluster.GangJob(4, 2, spec)
	}
	w.Submit(crashingIDBase+number, body)
}

// checkCrashingJobs fails the test if a crashing job has not failed, if more runs of healthy tasks were lost than the
// bound, or if a healthy job has failed.
func (w *progressWatch) checkCrashingJobs(t *testing.T, crashingJobs, bound int) {
	t.Helper()
	deadline := time.Now().Add(finishTimeout)
	for number := 1; number <= crashingJobs; number++ {
		for w.JobState(crashingIDBase+number) != "failed" && time.Now().Before(deadline) {
			time.Sleep(pollInterval)
		}
		if state := w.JobState(crashingIDBase + number); state != "failed" {
			t.Errorf("job %s, which crashes workers, is %s", jobName(crashingIDBase+number), state)
		}
	}
	for _, j := range w.jobs {
		if w.JobState(j.id) == "failed" {
			t.Errorf("job %s crashes no worker and has failed", jobName(j.id))
		}
	}
	all, most, lost := w.Runs.Crashes()
	if lost > bound {
		t.Errorf("%d runs of healthy tasks were lost with %d jobs that crash workers", lost, crashingJobs)
	}
	t.Logf("%d jobs crashed %d workers, one task alone %d; %d runs of other tasks were lost with them", crashingJobs, all, most, lost)
}
