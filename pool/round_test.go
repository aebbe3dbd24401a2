package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/job"
)

// repeating returns a job of one task that runs at times.
func repeating(w *world, work, in, interval time.Duration, rounds int) job.Job {
	j := oneTask(1, work)
	j.Schedule = job.Schedule{Repeats: rounds, First: w.now.Add(in), Interval: interval}
	return j
}

func TestRoundsStartAtTheirTimes(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3)
	w.run(300 * time.Millisecond)
	j := repeating(w, 200*time.Millisecond, time.Second, time.Second, 3)
	w.submit(j)
	w.run(900 * time.Millisecond)
	is.Equal(w.starts, 0)
	is.Equal(w.state(j.ID), Queued)
	is.Equal(len(w.core.waitingByQueue()), 0) // a job with times does not count as waiting
	w.run(400 * time.Millisecond)
	is.Equal(w.starts, 1)
	is.Equal(w.state(j.ID), Active) // two rounds are to come
	w.run(time.Second)
	is.Equal(w.starts, 2)
	w.run(2 * time.Second)
	is.Equal(w.starts, 3)
	is.Equal(w.state(j.ID), Done)
}

func TestRoundsMayOverlap(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3)
	w.run(300 * time.Millisecond)
	j := repeating(w, 2*time.Second, 0, 500*time.Millisecond, 3)
	w.submit(j)
	w.run(1300 * time.Millisecond)
	is.Equal(w.starts, 3)
	is.Equal(len(w.core.jobs[j.ID].rounds), 3)
	w.run(3 * time.Second)
	is.Equal(w.state(j.ID), Done)
	is.Equal(len(w.core.jobs[j.ID].groups), 0) // rounds that are done take no memory
}

// A new holder neither repeats rounds that are done nor forgets those to come.
func TestRoundsOutlastTheHolder(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3)
	w.run(300 * time.Millisecond)
	j := repeating(w, 300*time.Millisecond, 0, time.Second, 4)
	w.submit(j)
	w.run(1500 * time.Millisecond)
	is.Equal(w.starts, 2)
	w.takeOver()
	w.run(300 * time.Millisecond)
	is.Equal(w.starts, 2) // what was done is not done again
	w.run(4 * time.Second)
	is.Equal(w.starts, 4)
	is.Equal(w.state(j.ID), Done)
}

// A round may be done before an earlier one; a new holder must not repeat it.
func TestRoundThatOvertookAnotherIsNotRepeated(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2)
	w.run(300 * time.Millisecond)
	j := repeating(w, 500*time.Millisecond, 0, 300*time.Millisecond, 2)
	j.Steps[0].Shape.Accelerators = 8
	w.submit(j)
	w.run(200 * time.Millisecond)
	for _, f := range w.workers {
		f.hangs = len(f.running) > 0 // the first round stands still
	}
	w.run(1500 * time.Millisecond)
	is.Equal(w.starts, 2)
	is.Equal(len(w.done), 1)
	w.takeOver()
	w.run(500 * time.Millisecond)
	is.Equal(w.starts, 2)
	for _, f := range w.workers {
		f.hangs = false
	}
	w.run(2 * time.Second)
	is.Equal(w.starts, 2)
	is.Equal(w.state(j.ID), Done)
}

func TestRoundsUnderWayAreBounded(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3)
	w.run(300 * time.Millisecond)
	j := repeating(w, time.Hour, 0, time.Millisecond, 10*maxOpenRounds)
	w.submit(j)
	w.run(2 * time.Second)
	is.Equal(len(w.core.jobs[j.ID].rounds), maxOpenRounds)
}

func TestCancelledJobOpensNoRound(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3)
	w.run(300 * time.Millisecond)
	j := repeating(w, 100*time.Millisecond, time.Second, time.Second, 3)
	w.submit(j)
	w.run(500 * time.Millisecond)
	w.core.CancelJob(w.now, j.ID)
	w.run(5 * time.Second)
	is.Equal(w.starts, 0)
	is.Equal(w.state(j.ID), Cancelled)
}

// The bound of a step's tasks on one worker holds for each round by itself.
func TestRoundsDoNotCountAgainstEachOthersSpread(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	w.run(300 * time.Millisecond)
	j := repeating(w, 2*time.Second, 0, 300*time.Millisecond, 2)
	j.Steps[0].MaxPerWorker = 1
	w.submit(j)
	w.run(time.Second)
	is.Equal(w.runningOf(j.ID), 2)
}

// A gang is done with its first good end; whatever of it runs on is stopped all the same when
// its round is over.
func TestRestOfADoneRoundIsStopped(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2)
	w.run(300 * time.Millisecond)
	j := repeating(w, time.Hour, 0, time.Second, 1)
	j.Steps[0].Count = 2
	j.Steps[0].Gang = true
	j.Steps[0].Shape.Accelerators = 8
	w.submit(j)
	w.until("both run", func() bool { return w.runningOf(j.ID) == 2 })
	w.run(200 * time.Millisecond)
	for key := range w.workers[0].running {
		w.workers[0].end(w, key, EndDone)
	}
	w.run(2 * time.Second)
	is.Equal(w.state(j.ID), Done)
	is.Equal(w.runningOf(j.ID), 0)
	is.Equal(w.alone, 0) // it was stopped, its worker did not give it up
}
