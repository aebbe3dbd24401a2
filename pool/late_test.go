package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/job"
)

// lateWork is how long the jobs take that are too late. Each is to be done within twice its length.
const lateWork = time.Second

// Urgent work that was too late went behind other urgent work for as long as there was any, without end: where one job of
// 1 s came each second to one worker, one that had been too late once did not run within a minute. What is too late is
// tried behind all that is not, and nothing in that order grew with the time that it had waited.
func TestUrgentWorkThatIsTooLateComesToItsTurn(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	for id := 1; id <= 3; id++ { // the third can't be done in time
		w.submit(lateJob(id))
	}
	began := w.now
	for id := 4; w.state(lateJob(3).ID) != Done; id++ {
		if w.now.Sub(began) > time.Minute {
			t.Fatal("it never comes to its turn")
		}
		w.submit(lateJob(id))
		w.run(lateWork)
	}
	t.Logf("done after %s", w.now.Sub(began))
	is.True(w.now.Sub(began) > 5*lateWork) // others that could be in time went first
}

func lateJob(id int) job.Job {
	j := gang(id, 1, 8, lateWork)
	j.Terms = job.Terms{Priority: 0, Attempts: 3, Stretch: 2}
	return j
}
