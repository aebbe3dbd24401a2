package pool

import (
	"math/rand/v2"
	"time"

	"hollyfork.example/hollyfork/job"
)

func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 7))
}

// randomJob returns a job that fits the world.
func randomJob(w *world, id int) job.Job {
	work := time.Duration(200+w.random.IntN(3000)) * time.Millisecond
	j := oneTask(id, work)
	j.Terms.Attempts = 50
	j.Terms.Priority = w.random.IntN(3)
	j.Terms.Advised = w.random.IntN(6) == 0
	step := &j.Steps[0]
	step.Count = 1 + w.random.IntN(4)
	step.Gang = w.random.IntN(2) == 0
	step.Checkpoint = w.random.IntN(2) == 0
	step.Shape.Accelerators = 1 << w.random.IntN(4)
	if w.random.IntN(5) == 0 {
		j.Schedule = job.Schedule{
			Repeats:  1 + w.random.IntN(4),
			First:    w.now.Add(time.Duration(w.random.IntN(4000)-1000) * time.Millisecond),
			Interval: time.Duration(w.random.IntN(3000)) * time.Millisecond,
		}
	}
	if w.random.IntN(3) == 0 {
		next := *step
		next.After = []int{0}
		j.Steps = append(j.Steps, next)
	}
	return j
}

// trouble makes one thing go wrong, or right again.
func (w *world) trouble() {
	f := w.workers[w.random.IntN(len(w.workers))]
	switch w.random.IntN(12) {
	case 0:
		w.takeOver()
	case 1:
		f.restartAgent()
	case 2:
		f.restartWorker()
	case 3:
		f.silent = !f.silent
	case 4:
		w.storeDown = !w.storeDown
	case 5:
		for _, each := range w.workers {
			each.restartAgent()
		}
		w.takeOver()
	case 6:
		f.hangs = !f.hangs
	case 7:
		f.draining = !f.draining
	}
}

// calm ends all trouble.
func (w *world) calm() {
	w.storeDown = false
	w.loses = func() bool { return false }
	for _, f := range w.workers {
		f.silent = false
		f.hangs = false
		f.draining = false
	}
}
