package pooltest

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/program"
	"hollyfork.example/hollyfork/program/cluster"
)

// configExpiry is longer than gateways use a configuration without a new confirmation that it is the newest.
const configExpiry = 4 * time.Second

// Guards against taking an unreadable configuration for a store that does not answer: after 3.5 s every gateway would
// refuse every job.
func TestUnreadableConfigurationLeavesTheLastOneActive(t *testing.T) {
	is := is.New(t)
	c := cluster.New(t, 2, 2)
	c.Submit(1, cluster.TasksJob(2, "100ms"))
	c.AwaitAllDone(1)
	for _, content := range []string{"", "noise", `{"version":"two"}`, `{"routes":[]}`, "[]"} {
		c.Store.Put("op", "", "config", []byte(content))
		time.Sleep(configExpiry / 4)
	}
	for _, g := range c.Gateways {
		status, _ := g.Call(http.MethodPost, cluster.JobPath(2), cluster.APIKey, cluster.TasksJob(2, "100ms"))
		is.Equal(status, http.StatusOK)
	}
	c.AwaitAllDone(2)
	is.True(strings.Contains(poolListing(t, c.Gateways[0]), "configuration"))
	c.Configure(2, "another key")
	cluster.Eventually(t, "the next valid configuration is active", func() bool {
		status, _ := c.Gateways[0].Call(http.MethodGet, cluster.Prefix, "another key", "")
		return status == http.StatusOK
	})
	cluster.Eventually(t, "no unreadable configuration is listed", func() bool { return !strings.Contains(poolListing(t, c.Gateways[0]), "UNREADABLE") })
}

// Malformed rows must not affect other rows: the next holder takes the pool over, accepted jobs are done, and the
// malformed rows are listed.
func TestPoolIsTakenOverDespiteMalformedRows(t *testing.T) {
	is := is.New(t)
	c := cluster.New(t, 2, 3)
	for id := 1; id <= 4; id++ {
		c.Submit(id, cluster.TasksJob(2, "3s"))
	}
	c.AwaitState(4, "running")
	const unknownID = "00000000000000ff"
	for _, key := range []struct{ table, part, name string }{
		{pool.IntakeTable, pool.KeysOf(unknownID).Job.Part, pool.KeysOf(unknownID).Job.Name},
		{pool.IntakeTable, pool.KeysOf("0000000000000001").Cancel.Part, pool.KeysOf("0000000000000001").Cancel.Name},
		{pool.IntakeTable, pool.AgentKey("encoders", "nobody").Part, pool.AgentKey("encoders", "nobody").Name},
		{pool.StateTable, "encoders", pool.StateKey("encoders", unknownID).Name},
		{pool.StateTable, "encoders", "a name that nobody gives"},
		{"gateway", "gateway", "stranger"},
	} {
		c.Store.Put(key.table, key.part, key.name, []byte{0xff, 1, 2, 3})
	}
	holder := c.Holder()
	c.Gateways[holder].Kill()
	c.AwaitAllDone(4)
	other := c.Gateways[1-holder]
	listing := poolListing(t, other)
	for _, kind := range []string{"agent", "cancellation", "job"} {
		is.True(strings.Contains(listing, "\n"+kind+" ")) // a row of this kind is listed
	}
	status, _ := other.Call(http.MethodGet, cluster.Prefix+unknownID, cluster.APIKey, "")
	is.Equal(status, http.StatusServiceUnavailable) // the job may exist
	c.Submit(5, cluster.TasksJob(2, "100ms"))
	c.AwaitAllDone(5)
}

// The row with a job's state can't be decoded at a change of holder. No task of the job may start again, and its caller
// can cancel it.
func TestJobWithAnUnreadableStateIsNotRunAgain(t *testing.T) {
	is := is.New(t)
	c := cluster.New(t, 2, 3)
	c.Submit(1, cluster.TasksJob(2, "4s"))
	c.Submit(2, cluster.TasksJob(2, "4s"))
	starts := awaitStarts(t, c, 4)
	holder := c.Holder()
	c.Gateways[holder].Kill()
	c.Store.Put(pool.StateTable, "encoders", pool.StateKey("encoders", "0000000000000001").Name, []byte{0xff})
	c.AwaitState(2, "done")
	time.Sleep(time.Second)
	c.CheckRuns()
	is.Equal(c.Runs.StartCount(), starts)
	other := c.Gateways[1-holder]
	status, _ := other.Call(http.MethodDelete, cluster.JobPath(1), cluster.APIKey, "")
	is.Equal(status, http.StatusOK)
	c.AwaitState(1, "cancelled")
}

// Agents refuse heartbeats that can't be decoded or that are of a worker of another pool.
func TestForeignHeartbeatsAreRefused(t *testing.T) {
	is := is.New(t)
	c := cluster.New(t, 1, 2)
	for _, w := range c.Workers {
		cluster.Eventually(t, "the agent listens", func() bool { return w.PostHeartbeat("i-stranger", "") != 0 })
		for _, body := range []string{"", "noise", `{"seq":9}`, `{"service":"painters","addr":"127.0.0.1:1","zone":"hall-0","state":"ready","seq":9,"capacity":{"cpu":1000000,"mem_mb":1000000,"gpu":64}}`} {
			is.Equal(w.PostHeartbeat("i-stranger", body), http.StatusBadRequest)
		}
	}
	c.Submit(1, cluster.GangJob(2, 8, "200ms"))
	c.AwaitAllDone(1)
}

// awaitStarts waits until workers have started the given number of tasks, and returns it. A job is shown as running
// some time before its tasks have started.
func awaitStarts(t *testing.T, c *cluster.Cluster, count int) int {
	t.Helper()
	cluster.Eventually(t, "tasks are started", func() bool { return c.Runs.StartCount() == count })
	return count
}

// poolListing returns the output of "hollyforkctl pools" for a gateway.
func poolListing(t *testing.T, g *cluster.Program) string {
	t.Helper()
	var stdout, stderr bytes.Buffer
	if code := program.Ctl([]string{"-server", g.Admin(), "pools"}, &stdout, &stderr); code != 0 {
		t.Fatal(stderr.String())
	}
	return stdout.String()
}

// The lease's row is overwritten with a malformed value while its holder runs. The holder finds another version and
// stops, and the next one takes the pool over once the row has not changed for the length of a lease.
func TestMalformedLeaseCausesATakeover(t *testing.T) {
	is := is.New(t)
	c := cluster.New(t, 2, 2)
	c.Submit(1, cluster.TasksJob(2, "4s"))
	starts := awaitStarts(t, c, 2)
	lease := pool.LeaseKey("encoders")
	c.Store.Put(lease.Table, lease.Part, lease.Name, []byte{0xff})
	c.Submit(2, cluster.TasksJob(2, "100ms"))
	c.AwaitAllDone(2)
	is.Equal(c.Runs.StartCount(), starts+2)
}
