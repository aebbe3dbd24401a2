package pooltest

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/platform/fakes"
	"hollyfork.example/hollyfork/program/cluster"
)

// Guards against RECLAIM: jobs of priority 0 of one workspace fill the pool with tasks that last, and a job within the
// guarantee of another begins nothing.
func TestGuaranteeIsReclaimedFromAFullPool(t *testing.T) {
	const (
		libraryKey = "key-of-library"
		limit      = 2900 * time.Millisecond // between the acknowledgement and the start of all tasks
		service    = `{"spec":"60s","steps":[{"count":8,"cpu":4000,"mem_mb":1000,"gpu":1,"est_ms":60000,"long_running":true}]}`
	)
	is := is.New(t)
	c := cluster.New(t, 2, 3)
	c.Apply(cluster.Config{Version: 2, Key: cluster.APIKey, Pool: fakes.PoolName, Others: []cluster.Workspace{{Name: "library", Key: libraryKey, GuaranteedAccelerators: 8}}})
	awaitConfig(t, c, 2)
	for id := 1; id <= 3; id++ {
		c.RegisterJob(id, service)
		status, _ := c.Gateways[id%2].Call(http.MethodPost, cluster.JobPath(id), libraryKey, service)
		is.Equal(status, http.StatusOK)
	}
	cluster.Eventually(t, "the pool is full", func() bool { return c.Runs.Running() == 24 })
	c.Submit(4, cluster.TasksJob(8, "1s"))
	accepted := time.Now()
	started := func() int {
		count := 0
		for index := range 8 {
			if c.Runs.Ran(fmt.Sprintf("%016x.0.0.%d", 4, index)) {
				count++
			}
		}
		return count
	}
	for time.Since(accepted) < limit && started() < 8 {
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(started(), 8)
	c.AwaitState(4, "done")
	c.CheckRuns()
}
