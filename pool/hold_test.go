package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/job"
)

// Small tasks took bit by bit what became free, and all large gangs but the first waited.
func TestSeveralGangsAreNotStarvedBySmallTasks(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 4)
	w.run(300 * time.Millisecond)
	small := func(id int) job.Job {
		j := oneTask(id, time.Duration(1000+w.random.IntN(3000))*time.Millisecond)
		j.Terms.Priority = 2
		return j
	}
	next := 1000
	// More small tasks come than there is room for, all the time.
	come := func(length time.Duration) {
		for end := w.now.Add(length); w.now.Before(end); next++ {
			w.submit(small(next))
			w.run(50 * time.Millisecond)
		}
	}
	come(4 * time.Second)
	gangs := []job.Job{gang(1, 1, 8, 4*time.Second), gang(2, 1, 8, 4*time.Second), gang(3, 1, 8, 4*time.Second)}
	for _, j := range gangs {
		j.Terms.Priority = 1
		w.submit(j)
	}
	come(4200 * time.Millisecond) // a small task takes 4 s at most
	for _, j := range gangs {
		is.True(w.state(j.ID) != Queued)
	}
}

// A gang of two whole workers waits for two of three. The room that is held for it is partly on
// the one that is free now; a gang that could run there kept waiting, although the two others
// end at the same time and are enough.
func TestHeldRoomIsGivenToWhatDelaysNobody(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 4)
	w.submit(low(gang(7, 1, 8, 300*time.Millisecond), 1))
	w.run(100 * time.Millisecond)
	for id := 1; id <= 2; id++ {
		w.submit(low(gang(id, 1, 8, 4*time.Second), 1))
	}
	w.submit(low(gang(3, 1, 8, time.Minute), 1))
	w.run(500 * time.Millisecond) // worker 0 is free again
	w.submit(low(gang(4, 2, 8, 4*time.Second), 1))
	w.run(100 * time.Millisecond)
	late := low(gang(5, 1, 8, 10*time.Second), 1)
	late.Terms.Goal = time.Hour
	w.submit(late)
	w.run(200 * time.Millisecond)
	is.Equal(w.state(late.ID), Active)
	w.run(4 * time.Second)
	is.Equal(w.state("0000000000000004"), Active) // it was not delayed
}

// low gives a job a priority.
func low(j job.Job, priority int) job.Job {
	j.Terms.Priority = priority
	return j
}
