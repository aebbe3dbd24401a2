package pool

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/job"
)

// Guards against LOST: the starts of a wide job with long specs went into one message that the agent rejects, again and
// again.
func TestOrdersForOneWorkerAreDividedBySize(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := New("pool", DefaultSettings(), nil)
	c.reportIdleWorker(now, "worker", "i-1", 1)
	const jobs, width = 2, 1000
	for i := range jobs {
		j := job.Job{ID: job.ID(fmt.Sprintf("%016x", i)), Spec: strings.Repeat("x", 4000), Accepted: now}
		j.Steps = []job.Step{{Count: width, Shape: job.Shape{CPUMillis: 50, MemoryMB: 50}, Estimate: time.Second}}
		j.Terms = job.Terms{Attempts: 3, Stretch: 2}
		c.AddJob(now, NewJob{Job: j})
	}
	c.Decide(now)
	for _, j := range c.jobs {
		for _, g := range j.groups {
			for _, m := range g.members {
				c.memberCommitted(now, m)
			}
		}
	}
	list := c.TakeOrders(now)
	seen := map[job.TaskID]bool{}
	for _, orders := range list {
		size := 0
		for _, s := range orders.Starts {
			is.True(!seen[s.Task])
			seen[s.Task] = true
			size += len(s.Spec) + len(s.Task.String())
		}
		is.True(size <= maxOrdersBytes)
	}
	is.Equal(len(seen), jobs*width)
	is.Equal(len(list), 8) // no more parts than needed
}

// A start that is larger than a part is sent alone, and the stops once.
func TestDividedOrdersAreThoseOfBefore(t *testing.T) {
	is := is.New(t)
	start := func(index, size int) Start {
		return Start{Task: job.TaskID{Index: index}, Spec: strings.Repeat("x", size)}
	}
	orders := Orders{Agent: "worker", StartsFor: time.Second, Stops: []Stop{{Run: 1}}}
	orders.Starts = []Start{start(0, 1), start(1, 5000), start(2, 1), start(3, 1)}
	var starts []Start
	stops := 0
	for _, part := range orders.divide(1000) {
		is.Equal(part.Agent, "worker")
		is.Equal(part.StartsFor, time.Second)
		is.True(len(part.Starts) > 0)
		starts = append(starts, part.Starts...)
		stops += len(part.Stops)
	}
	is.Equal(starts, orders.Starts)
	is.Equal(stops, 1)
	is.Equal(len(orders.divide(1000)), 3)
	is.Equal(len((Orders{Stops: []Stop{{Run: 1}}}).divide(1000)), 1)
	is.Equal(len((Orders{}).divide(1000)), 0)
}
