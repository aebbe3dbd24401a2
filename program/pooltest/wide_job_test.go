package pooltest

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/program/cluster"
)

// Guards against LOST: a worker crashes under a job of 1,000 tasks. The job's row outgrew the store's limit, and the pool
// committed nothing any more: jobs of others were accepted and began nothing.
func TestCrashUnderAWideJobHoldsUpNoOther(t *testing.T) {
	const limit = 3 * time.Second // as for any job while there is ample capacity
	is := is.New(t)
	c := cluster.New(t, 2, 3)
	c.Submit(1, `{"spec":"60s","steps":[{"count":1000,"cpu":20,"mem_mb":20,"est_ms":60000}]}`)
	cluster.Eventually(t, "all tasks run", func() bool { return c.Runs.Running() == 1000 })
	busiest := c.Workers[0]
	for _, w := range c.Workers {
		if w.Starts() > busiest.Starts() {
			busiest = w
		}
	}
	busiest.Crash()
	cluster.Eventually(t, "its tasks run again", func() bool { return c.Runs.Running() == 1000 })
	c.Submit(2, cluster.TasksJob(1, "200ms"))
	accepted := time.Now()
	c.AwaitState(2, "done")
	is.True(time.Since(accepted) < limit)
}
