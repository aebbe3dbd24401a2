package pool

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/job"
)

// inQueue returns a job as one of a queue, due within so many times its length.
func inQueue(j job.Job, queue string, stretch float64) job.Job {
	j.Queue = queue
	j.Terms.Stretch = stretch
	return j
}

func (sim *simulation) queueSnapshot(queue string) QueueSnapshot {
	for _, q := range sim.core.Snapshot(sim.now).Queues {
		if q.Queue == queue {
			return q
		}
	}
	return QueueSnapshot{Queue: queue}
}

// A waiting job lowers its queue's service level by the share of its slack that it has lost, an overdue job by all of
// it. A done job counts fully or not at all.
func TestServiceLevelOfQueues(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 1)
	sim.run(300 * time.Millisecond)
	sim.submit(inQueue(gang(1, 1, 8, 4*time.Second), "served", 2))
	sim.run(500 * time.Millisecond)
	is.Equal(sim.queueSnapshot("served"), QueueSnapshot{Queue: "served", Level: 1})
	sim.submit(inQueue(gang(2, 1, 8, 2*time.Second), "waits", 2)) // it has a slack of 2 s
	sim.run(1000 * time.Millisecond)
	half := sim.queueSnapshot("waits")
	is.True(half.Level > 0.3 && half.Level < 0.7)
	is.Equal(half.Waiting, 1)
	is.Equal(half.Overdue, 0)
	sim.run(1300 * time.Millisecond)
	is.Equal(sim.queueSnapshot("waits").Level, 0.0)
	is.Equal(sim.queueSnapshot("served").Level, 1.0)
	sim.run(2 * time.Second)
	is.Equal(sim.queueSnapshot("served"), QueueSnapshot{Queue: "served", Level: 1, InTime: 1})
	is.Equal(sim.queueSnapshot("waits").Overdue, 1)
	sim.runUntil("the other one is done", func() bool { return sim.queueSnapshot("waits").Late == 1 })
	sim.run(300 * time.Millisecond)
	is.Equal(sim.queueSnapshot("waits").Level, 0.0)
	detail := sim.lastDetail(EventServiceLevel)
	is.True(strings.Contains(detail, "queue waits: 0.00 of what was asked lately was done in time or may be"))
	is.True(sim.countEvents(EventServiceLevel) <= 3)
	cancelled := inQueue(gang(3, 1, 8, time.Second), "waits", 9)
	sim.submit(cancelled)
	sim.run(100 * time.Millisecond)
	sim.cancel(cancelled.ID)
	sim.run(300 * time.Millisecond)
	is.Equal(sim.queueSnapshot("waits").Cancelled, 1)
}

// The weight of completed work halves in the average time that a queue's jobs are allowed, so that a queue that was
// served well once does not keep a high service level.
func TestServiceLevelWeighsRecentWork(t *testing.T) {
	is := is.New(t)
	q := queueStats{averageAllowed: 10 * time.Second, completed: amount{rounds: 8, work: 80}, completedInTime: amount{rounds: 8, work: 80}}
	q.decay(10 * time.Second)
	is.Equal(q.completed, amount{rounds: 4, work: 40})
	q.completed = q.completed.plus(amount{rounds: 4, work: 10})
	is.True(math.Abs(q.completedInTime.shareOf(q.completed)-(0.5+0.8)/2) < 1e-9)
	is.Equal(amount{}.shareOf(amount{}), 1.0)
}
