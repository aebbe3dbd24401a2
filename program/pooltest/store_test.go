package pooltest

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/platform/fakes"
	"hollyfork.example/hollyfork/program/cluster"
)

// The store executes the transactions of a part one after the other. Guards against rows of new jobs in the part of the
// holder's lease: while the store is slow, many new jobs would delay the renewals until the holder loses the pool.
func TestNewJobsDoNotDelayTheLease(t *testing.T) {
	is := is.New(t)
	c := cluster.New(t, 2, 2)
	c.Submit(1, cluster.TasksJob(1, "100ms"))
	c.AwaitAllDone(1)
	holder := c.Holder()
	c.Store.SetFaults(fakes.StoreFaults{TxnDuration: 150 * time.Millisecond})
	var submissions sync.WaitGroup
	for id := 2; id <= 25; id++ {
		submissions.Go(func() {
			c.Gateways[id%2].Call(http.MethodPost, cluster.JobPath(id), cluster.APIKey, cluster.TasksJob(1, "100ms"))
		})
		time.Sleep(100 * time.Millisecond)
	}
	submissions.Wait()
	c.Store.SetFaults(fakes.StoreFaults{})
	is.Equal(c.Holder(), holder)
	is.True(!strings.Contains(c.Gateways[holder].Output(), "a transaction failed"))
}

// The store executes the transactions of a part one after the other. Guards against concurrent submissions that delay
// each other until their callers time out.
func TestSlowStoreAcceptsConcurrentJobs(t *testing.T) {
	is := is.New(t)
	c := cluster.New(t, 2, 2)
	c.Store.SetFaults(fakes.StoreFaults{TxnDuration: 200 * time.Millisecond})
	const jobs = 12
	status := make([]int, jobs)
	var submissions sync.WaitGroup
	for i := range jobs {
		submissions.Go(func() {
			status[i], _ = c.Gateways[i%2].Call(http.MethodPost, cluster.JobPath(i+1), cluster.APIKey, cluster.TasksJob(1, "100ms"))
		})
	}
	submissions.Wait()
	for _, s := range status {
		is.Equal(s, http.StatusOK)
	}
	c.Store.SetFaults(fakes.StoreFaults{})
	c.AwaitAllDone(jobs)
}

func TestStoreOutageInterruptsNothing(t *testing.T) {
	is := is.New(t)
	c := cluster.New(t, 2, 2)
	c.Submit(1, cluster.TasksJob(4, "5s"))
	c.AwaitState(1, "running")
	time.Sleep(500 * time.Millisecond)
	c.Store.SetFaults(fakes.StoreFaults{Unavailable: true})
	time.Sleep(3 * time.Second)
	status, _ := c.Gateways[0].Call(http.MethodPost, cluster.JobPath(2), cluster.APIKey, cluster.TasksJob(1, "100ms"))
	is.Equal(status, http.StatusServiceUnavailable)
	c.Store.SetFaults(fakes.StoreFaults{})
	c.Submit(2, cluster.TasksJob(1, "100ms"))
	c.AwaitAllDone(2)
	is.Equal(c.Runs.StartCount(), 5)
}

// Guards against a write by a gateway that has found the store unavailable: it could not report whether the job was
// accepted.
func TestNothingIsWrittenToAnUnavailableStore(t *testing.T) {
	is := is.New(t)
	c := cluster.New(t, 1, 1)
	proxy := c.Gateways[0].Proxies[0]
	proxy.SetMode(fakes.Reset)
	time.Sleep(300 * time.Millisecond)
	status, _ := c.Gateways[0].Call(http.MethodPost, cluster.JobPath(1), cluster.APIKey, cluster.TasksJob(1, "100ms"))
	is.Equal(status, http.StatusServiceUnavailable)
	proxy.SetMode(fakes.Pass)
	c.Submit(2, cluster.TasksJob(1, "100ms"))
	c.AwaitState(2, "done")
	is.Equal(c.JobState(1), "")
	is.Equal(c.Runs.StartCount(), 1)
}

// A gateway that can't connect to the store reaches it through another gateway. Otherwise its callers would be refused
// while those of others are served, and a holder would lose its pool.
func TestGatewayReachesTheStoreThroughAnother(t *testing.T) {
	is := is.New(t)
	c := cluster.New(t, 2, 2)
	c.Submit(1, cluster.TasksJob(1, "100ms"))
	c.AwaitState(1, "done")
	holder := c.Holder()
	cluster.Eventually(t, "the holder has the address of the other gateway", func() bool {
		return strings.Contains(c.Gateways[holder].Output(), `"known":1`)
	})
	disconnected := c.Gateways[holder]
	disconnected.Proxies[0].SetMode(fakes.Reset)
	time.Sleep(4 * time.Second) // longer than gateway.MaxConfigAge
	status, _ := disconnected.Call(http.MethodPost, cluster.JobPath(2), cluster.APIKey, cluster.TasksJob(2, "100ms"))
	is.Equal(status, http.StatusOK)
	c.AwaitAllDone(2)
	is.Equal(c.Holder(), holder) // the same gateway holds the pool
}

// All open connections are blackholed for good, without a reset, while tasks run and jobs are submitted. No run may be
// lost, and new jobs must run.
func TestBlackholedConnections(t *testing.T) {
	is := is.New(t)
	c := cluster.New(t, 2, 2)
	c.Submit(1, cluster.TasksJob(4, "8s"))
	c.AwaitState(1, "running")
	for id := 2; id <= 5; id++ {
		time.Sleep(300 * time.Millisecond)
		for _, p := range slices.Concat(c.Gateways, c.Sidecars) {
			for _, proxy := range p.Proxies {
				proxy.BlackholeOpenConns()
			}
		}
		time.Sleep(2 * time.Second)
		c.Submit(id, cluster.TasksJob(1, "100ms"))
	}
	c.AwaitAllDone(5)
	is.Equal(c.Runs.StartCount(), 8)
}

func TestLostAndLateAnswersOfTheStore(t *testing.T) {
	is := is.New(t)
	c := cluster.New(t, 2, 2)
	c.Submit(1, cluster.TasksJob(2, "200ms"))
	c.AwaitState(1, "done")
	c.Store.SetFaults(fakes.StoreFaults{LoseAnswers: 3, LateTxns: 3})
	for id := 2; id <= 6; id++ {
		c.Submit(id, cluster.TasksJob(2, "200ms"))
	}
	c.AwaitAllDone(6)
	is.Equal(c.Runs.StartCount(), 12)
}

// Guards against UNASKED: a job is submitted with an unknown outcome and cancelled, and the store carries its write out
// seconds later.
func TestCancelledSubmissionNeverRuns(t *testing.T) {
	is := is.New(t)
	c := cluster.New(t, 2, 2)
	c.Store.SetFaults(fakes.StoreFaults{LateName: "job/0000000000000001/spec", LateBy: 3 * time.Second})
	status, _ := c.Gateways[0].Call(http.MethodPost, cluster.JobPath(1), cluster.APIKey, cluster.TasksJob(2, "60s"))
	is.Equal(status, http.StatusGatewayTimeout)
	status, _ = c.Gateways[1].Call(http.MethodDelete, cluster.JobPath(1), cluster.APIKey, "")
	is.Equal(status, http.StatusGone)
	time.Sleep(4 * time.Second)
	is.Equal(c.Runs.StartCount(), 0)
	is.Equal(c.JobState(1), "")
	c.Submit(2, cluster.TasksJob(2, "100ms"))
	c.AwaitState(2, "done")
	is.Equal(c.Runs.StartCount(), 2)
}

func TestLostChangeHistoryIsDetected(t *testing.T) {
	c := cluster.New(t, 2, 2)
	c.Store.TruncateHistory()
	c.Submit(1, cluster.TasksJob(2, "200ms"))
	c.Store.TruncateHistory()
	c.Submit(2, cluster.TasksJob(2, "200ms"))
	c.AwaitAllDone(2)
}

func TestSlowStore(t *testing.T) {
	c := cluster.New(t, 2, 2)
	c.Store.SetFaults(fakes.StoreFaults{Delay: 250 * time.Millisecond})
	for id := 1; id <= 3; id++ {
		c.Submit(id, cluster.TasksJob(2, "500ms"))
	}
	c.AwaitAllDone(3)
}
