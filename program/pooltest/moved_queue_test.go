package pooltest

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/program/cluster"
)

// awaitConfig waits until a version of the configuration is active at all gateways.
func awaitConfig(t *testing.T, c *cluster.Cluster, version int) {
	t.Helper()
	active := fmt.Sprintf(`"version":%d,`, version)
	for _, g := range c.Gateways {
		cluster.Eventually(t, "a configuration is active", func() bool {
			for line := range strings.SplitSeq(g.Output(), "\n") {
				if strings.Contains(line, "configuration is active") && strings.Contains(line, active) {
					return true
				}
			}
			return false
		})
	}
}

// Guards against TWICE and LOST: the queue of jobs that run and wait moves to another pool. Gateways answered 410 for
// them, and the same request again ran on the other pool, too.
func TestJobsOfAQueueThatMovesRunOnce(t *testing.T) {
	is := is.New(t)
	c := cluster.New(t, 3, 1)
	c.AddWorker("previews")
	c.Submit(1, cluster.GangJob(1, 8, "4s"))
	c.AwaitState(1, "running")
	c.Submit(2, cluster.GangJob(1, 8, "200ms"))
	c.Submit(3, cluster.GangJob(1, 8, "60s"))
	c.Apply(cluster.Config{Version: 2, Key: cluster.APIKey, Pool: "previews"})
	awaitConfig(t, c, 2)
	for _, g := range c.Gateways {
		status, content := g.Call(http.MethodGet, cluster.JobPath(1), cluster.APIKey, "")
		is.Equal(status, http.StatusOK)
		is.Equal(strings.TrimSpace(content), `{"state":"running"}`)
		cluster.Eventually(t, "waiting jobs are counted", func() bool { return pendingJobs(g) == 2 })
		status, _ = g.Call(http.MethodPost, cluster.JobPath(1), cluster.APIKey, cluster.GangJob(1, 8, "4s"))
		is.Equal(status, http.StatusOK)
	}
	c.Submit(4, cluster.TasksJob(1, "100ms"))
	c.AwaitState(4, "done")
	is.Equal(c.Workers[1].Starts(), 1) // only the job of the new pool
	c.AwaitState(3, "running")
	status, _ := c.Gateways[0].Call(http.MethodDelete, cluster.JobPath(3), cluster.APIKey, "")
	is.Equal(status, http.StatusOK)
	cluster.Eventually(t, "the cancelled job's task has ended", func() bool { return c.Runs.Running() == 0 })
	c.AwaitState(1, "done")
	c.AwaitState(2, "done")
	c.CheckRuns()
	is.Equal(c.Runs.StartCount(), 4)
}
