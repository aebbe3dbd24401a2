package model

import (
	"math"
	"math/rand/v2"
	"time"

	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/pool"
)

type (
	// runKey identifies a run of a gang, whose task has index 0, or of a single task.
	runKey struct {
		task job.TaskID
		run  int
	}

	// run is one run of a gang, or of a task that is not part of a gang.
	run struct {
		key     runKey
		arrival *Arrival
		members []*member
		// startedAt is the first time at which all tasks of the run were running, zero before that.
		startedAt time.Time
		// done is the finished work at the time updated, in seconds at speed 1. It includes resumed, the saved work
		// from which the run started. rate is the work per second since updated.
		done, resumed, rate float64
		updated             time.Time
		// failsAfter is the amount of work after which the run fails, infinite if it does not fail.
		failsAfter float64
		// rateChanges counts the changes of the rate. Each one invalidates the scheduled end of the run.
		rateChanges int
		ended       bool
	}

	// member is a task of a run on its worker.
	member struct {
		run       *run
		worker    *worker
		task      job.TaskID
		startedAt time.Time
		// ready is set once the task has started.
		ready    bool
		stopping bool
	}
)

// size returns the number of tasks that must run together.
func (r *run) size() int {
	if step := r.arrival.Job.Steps[0]; step.Gang {
		return step.Count
	}
	return 1
}

// complete reports whether all tasks of the run are running.
func (r *run) complete() bool {
	if len(r.members) < r.size() {
		return false
	}
	for _, m := range r.members {
		if !m.ready || m.stopping {
			return false
		}
	}
	return true
}

// advance updates the finished work to a time.
func (r *run) advance(now time.Time) {
	r.done = min(r.done+r.rate*now.Sub(r.updated).Seconds(), r.arrival.Work.Seconds())
	r.updated = now
}

// setRate sets the rate of the run to the speed of its slowest worker. The rate is divided by farFactor if a gang
// that prefers one rack runs on several.
func (r *run) setRate(now time.Time, farFactor float64) {
	r.advance(now)
	r.rateChanges++
	r.rate = 0
	if r.ended || !r.complete() {
		return
	}
	if r.startedAt.IsZero() {
		r.startedAt = now
	}
	rate := math.Inf(1)
	far := false
	for _, m := range r.members {
		rate = min(rate, m.worker.currentSpeed())
		far = far || m.worker.rack != r.members[0].worker.rack
	}
	if far && r.arrival.Job.Steps[0].SameRack {
		rate /= farFactor
	}
	r.rate = rate
}

// timeToEnd returns the time until the run is done or fails, and whether it fails. ok is false while the run makes
// no progress.
func (r *run) timeToEnd() (in time.Duration, fails, ok bool) {
	if r.rate <= 0 {
		return 0, false, false
	}
	until := min(r.arrival.Work.Seconds(), r.failsAfter)
	seconds := max(0, until-r.done) / r.rate
	return time.Duration(math.Ceil(seconds * float64(time.Second))), r.failsAfter < r.arrival.Work.Seconds(), true
}

// percent returns the finished share of the run's work.
func (r *run) percent(now time.Time) int {
	if r.startedAt.IsZero() {
		return 0
	}
	r.advance(now)
	return int(100 * r.done / r.arrival.Work.Seconds())
}

// percent returns the finished share of a task's own work. Tasks of a gang on faster workers are ahead of the
// slowest one, and wait for it at the end.
func (m *member) percent(now time.Time) int {
	const all = 100
	slowest := m.worker.currentSpeed()
	for _, other := range m.run.members {
		slowest = min(slowest, other.worker.currentSpeed())
	}
	return min(all, int(float64(m.run.percent(now))*m.worker.currentSpeed()/slowest))
}

// savedWork returns the amount of work that need not be repeated if the run ends now.
func (r *run) savedWork(every time.Duration) float64 {
	if !r.arrival.Job.Steps[0].Checkpoint {
		return 0
	}
	if every <= 0 {
		return r.done
	}
	saved := math.Floor(r.done/every.Seconds()) * every.Seconds()
	return max(r.resumed, saved)
}

// drawFailure draws the amount of work after which a run fails. It depends only on the seed and the run's key, so
// that other events of the simulation do not change it.
func drawFailure(seed uint64, a *Arrival, k JobKind, key runKey) float64 {
	name := uint64(key.run)<<40 ^ uint64(key.task.Index)<<20
	for _, c := range []byte(a.Job.ID) {
		name = name*31 + uint64(c)
	}
	random := rand.New(rand.NewPCG(seed, name))
	if random.Float64() >= k.FailureShare {
		return math.Inf(1)
	}
	return random.Float64() * a.Work.Seconds()
}

// runKeyOf returns the key of the run that a start belongs to.
func runKeyOf(a *Arrival, s pool.Start) runKey {
	task := s.Task
	if a.Job.Steps[0].Gang {
		task.Index = 0
	}
	return runKey{task: task, run: s.Run}
}
