package pooltest

import (
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/platform/fakes"
)

func TestJobsAreDone(t *testing.T) {
	c := newCluster(t, 2, 3)
	c.submit(1, tasks(4, "200ms"))
	c.submit(2, gang(3, 8, "300ms"))
	c.awaitAll(2)
}

func TestRepeatedRequestIsOneJob(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 2)
	c.submit(1, tasks(1, "100ms"))
	c.awaitAll(1)
	for _, g := range c.gateways {
		status, _ := g.call(http.MethodPost, jobPath(1), apiKey, tasks(1, "100ms"))
		is.Equal(status, http.StatusOK)
	}
	time.Sleep(500 * time.Millisecond)
	c.runs.check()
	is.Equal(c.runs.count(), 1)
}

func TestRefusals(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	g := c.gateways[0]
	for _, test := range []struct {
		method, path, key, body string
		status                  int
	}{
		{http.MethodPost, jobPath(1), "no such key", tasks(1, "1s"), http.StatusUnauthorized},
		{http.MethodPost, "/nowhere/0000000000000001", apiKey, tasks(1, "1s"), http.StatusNotFound},
		{http.MethodPost, jobPath(1), apiKey, "{", http.StatusBadRequest},
		{http.MethodPost, jobPath(1), apiKey, `{"spec":"1s","steps":[]}`, http.StatusBadRequest},
		{http.MethodPost, prefix + "short", apiKey, tasks(1, "1s"), http.StatusBadRequest},
		{http.MethodGet, jobPath(1), apiKey, "", http.StatusGone},
		{http.MethodDelete, jobPath(1), apiKey, "", http.StatusGone},
		{http.MethodPut, jobPath(1), apiKey, "", http.StatusMethodNotAllowed},
	} {
		status, _ := g.call(test.method, test.path, test.key, test.body)
		is.Equal(status, test.status) // a refusal's status
	}
	is.Equal(c.runs.count(), 0)
}

func TestCancelledJobStops(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 2)
	c.submit(1, tasks(2, "60s"))
	c.await(1, "running")
	status, _ := c.gateways[0].call(http.MethodDelete, jobPath(1), apiKey, "")
	is.Equal(status, http.StatusOK)
	c.await(1, "cancelled")
	eventually(t, "its tasks have ended", func() bool {
		c.runs.mu.Lock()
		defer c.runs.mu.Unlock()
		return len(c.runs.on) == 0
	})
}

func TestRevokedKeyIsRefused(t *testing.T) {
	c := newCluster(t, 2, 1)
	c.configure(2, "another key")
	for _, g := range c.gateways {
		eventually(t, "the old key is refused", func() bool {
			status, _ := g.call(http.MethodGet, prefix, apiKey, "")
			return status == http.StatusUnauthorized
		})
	}
	c.configure(1, apiKey)
	time.Sleep(300 * time.Millisecond)
	for _, g := range c.gateways {
		status, _ := g.call(http.MethodGet, prefix, apiKey, "")
		if status != http.StatusUnauthorized {
			t.Errorf("an older configuration came into force: %d", status)
		}
	}
}

func TestKilledHolderIsReplaced(t *testing.T) {
	c := newCluster(t, 3, 3)
	for id := 1; id <= 5; id++ {
		c.submit(id, tasks(2, "1500ms"))
	}
	c.await(5, "running")
	c.gateways[c.holder()].kill()
	c.awaitAll(5)
}

func TestFrozenHolderIsReplacedAndStepsDown(t *testing.T) {
	c := newCluster(t, 2, 3)
	for id := 1; id <= 4; id++ {
		c.submit(id, tasks(2, "2s"))
	}
	c.await(4, "running")
	frozen := c.gateways[c.holder()]
	frozen.signal(syscall.SIGSTOP)
	time.Sleep(3500 * time.Millisecond)
	frozen.signal(syscall.SIGCONT)
	for id := 5; id <= 8; id++ {
		c.submit(id, tasks(2, "300ms"))
	}
	c.awaitAll(8)
}

func TestStoppedHolderHandsOver(t *testing.T) {
	c := newCluster(t, 2, 2)
	c.submit(1, tasks(2, "1s"))
	c.await(1, "running")
	stopped := c.holder()
	c.gateways[stopped].signal(syscall.SIGTERM)
	eventually(t, "another gateway holds the pool", func() bool { return c.holder() != stopped })
	c.submit(2, tasks(2, "100ms"))
	c.awaitAll(2)
}

func TestKilledSidecarAdoptsWhatRuns(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 2)
	c.submit(1, tasks(4, "4s"))
	c.await(1, "running")
	time.Sleep(500 * time.Millisecond)
	for _, s := range c.sidecars {
		s.kill()
	}
	time.Sleep(300 * time.Millisecond)
	for _, s := range c.sidecars {
		s.launch()
	}
	c.awaitAll(1)
	is.Equal(c.runs.count(), 4)
}

func TestAllProcessesDie(t *testing.T) {
	c := newCluster(t, 2, 2)
	for id := 1; id <= 3; id++ {
		c.submit(id, tasks(3, "2s"))
	}
	c.await(3, "running")
	all := append(append([]*program{}, c.gateways...), c.sidecars...)
	for _, p := range all {
		p.kill()
	}
	time.Sleep(time.Second)
	for _, p := range all {
		p.launch()
	}
	c.awaitAll(3)
}

func TestRestartedWorkerLosesItsTasks(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit(1, tasks(6, "1s"))
	c.await(1, "running")
	c.workers[0].Restart()
	c.awaitAll(1)
}

func TestSilentWorkerIsReplacedAfterItsLease(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.submit(1, tasks(8, "2s"))
	c.await(1, "running")
	c.workers[0].SetSilent(true)
	c.awaitAll(1)
}

func TestDrainingWorkerGetsNothingNew(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 2)
	c.workers[0].Drain()
	time.Sleep(time.Second)
	before := c.runs.count()
	for id := 1; id <= 3; id++ {
		c.submit(id, tasks(4, "200ms"))
	}
	c.awaitAll(3)
	is.Equal(c.runs.count()-before, 12)
	is.Equal(c.workers[0].Runs(), 0)
}

func TestStoreOutageInterruptsNothing(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 2)
	c.submit(1, tasks(4, "5s"))
	c.await(1, "running")
	time.Sleep(500 * time.Millisecond)
	c.store.SetFault(fakes.Fault{Refuse: true})
	time.Sleep(3 * time.Second)
	status, _ := c.gateways[0].call(http.MethodPost, jobPath(2), apiKey, tasks(1, "100ms"))
	is.Equal(status, http.StatusServiceUnavailable)
	c.store.SetFault(fakes.Fault{})
	c.submit(2, tasks(1, "100ms"))
	c.awaitAll(2)
	is.Equal(c.runs.count(), 5)
}

func TestLostAndLateAnswersOfTheStore(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, 2)
	c.submit(1, tasks(2, "200ms"))
	c.await(1, "done")
	c.store.SetFault(fakes.Fault{Lose: 3, Late: 3})
	for id := 2; id <= 6; id++ {
		c.submit(id, tasks(2, "200ms"))
	}
	c.awaitAll(6)
	is.Equal(c.runs.count(), 12)
}

func TestForgottenHistoryIsNoticed(t *testing.T) {
	c := newCluster(t, 2, 2)
	c.store.ForgetHistory()
	c.submit(1, tasks(2, "200ms"))
	c.store.ForgetHistory()
	c.submit(2, tasks(2, "200ms"))
	c.awaitAll(2)
}

func TestSlowStore(t *testing.T) {
	c := newCluster(t, 2, 2)
	c.store.SetFault(fakes.Fault{Delay: 250 * time.Millisecond})
	for id := 1; id <= 3; id++ {
		c.submit(id, tasks(2, "500ms"))
	}
	c.awaitAll(3)
}

func TestHopelessJobFails(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 3)
	c.submit(1, tasks(1, "fail"))
	c.await(1, "failed")
	is.Equal(c.runs.count(), 3)
}

func TestMetricsAndStateDump(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 2)
	c.submit(1, tasks(2, "100ms"))
	c.awaitAll(1)
	page := c.gateways[0].fetch("/metrics")
	for _, name := range []string{
		`hollyfork_gateway_requests_total{op="submit",outcome="ok"} 1`,
		`hollyfork_gateway_request_seconds_bucket{op="submit"`,
		`hollyfork_store_calls_total{op="commit",result="ok"}`,
		`hollyfork_pool_events_total{pool="encoders",kind="placed"} 2`,
		"hollyfork_pools_held 1",
		"hollyfork_pool_workers_usable 2",
	} {
		is.True(strings.Contains(page, name)) // a metric is on the page
	}
	dump := struct {
		Pools []struct {
			Jobs    map[string]int `json:"jobs"`
			Workers []struct {
				Usable bool `json:"usable"`
			} `json:"workers"`
		} `json:"pools"`
	}{}
	is.NoErr(json.Unmarshal([]byte(c.gateways[0].fetch("/debug/state")), &dump))
	is.Equal(dump.Pools[0].Jobs["done"], 1)
	is.Equal(len(dump.Pools[0].Workers), 2)
}

// Nobody reads the log: the pipe is full, and the gateway must go on all the same.
func TestBlockedLogReaderBlocksNothing(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 2)
	g := c.gateways[0]
	g.kill()
	reader, writer, err := os.Pipe()
	is.NoErr(err)
	defer func() { _ = reader.Close() }()
	defer func() { _ = writer.Close() }()
	g.stdout = writer
	g.launch()
	g.awaitReady()
	for range 1500 {
		status, _ := g.call(http.MethodGet, jobPath(77), apiKey, "")
		is.Equal(status, http.StatusGone)
	}
	c.submit(1, tasks(2, "100ms"))
	c.awaitAll(1)
}
