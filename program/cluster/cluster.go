// Package cluster runs hollyfork's gateways and sidecars as separate processes for tests. Package fakes replaces the
// platform. The connections to the store and from holders to agents pass through proxies, which can inject faults.
package cluster

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"hollyfork.example/hollyfork/platform/fakes"
	"hollyfork.example/hollyfork/program/gatewayd"
	"hollyfork.example/hollyfork/program/sidecard"
)

const (
	// Prefix is the path prefix of the only queue.
	Prefix = "/encode/"
	// APIKey is the key of the workspace "lectures", the only one at first.
	APIKey = "key-of-lectures"
	// Attempts is the maximum number of attempts of a task.
	Attempts = 3

	host = "jobs.example"
	// eventuallyTimeout is the maximum time for which Eventually waits.
	eventuallyTimeout = 30 * time.Second
	// eventuallyInterval is the interval at which Eventually checks its condition.
	eventuallyInterval = 20 * time.Millisecond

	// programVariable is the environment variable with the name of the program that a test process runs.
	programVariable = "HOLLYFORK_TEST_PROGRAM"
	gatewayProgram  = "gateway"
	sidecarProgram  = "sidecar"
)

// Without relays a gateway that is cut off from the store has no other way to it.
var relays = flag.Bool("relays", true, "whether gateways of a cluster relay calls to the store for each other")

type (
	// Cluster is the whole system as separate processes. Create it with New, NewWithInstances or NewAdvised.
	Cluster struct {
		Store    *fakes.Store
		Gateways []*Program
		Sidecars []*Program
		Workers  []*fakes.Worker
		Runs     *fakes.Recorder
		// Fleet ends the runs of a gang together when a worker crashes.
		Fleet *fakes.Fleet
		// Advice is the advice service of the queue, or nil if the queue's policy does not require one.
		Advice *fakes.AdviceService

		t testing.TB
		// pools are the names of all pools.
		pools []string
		// storeAddress is the address of the store itself, without a proxy.
		storeAddress string
		// adviceAddress is the address of the advice service; empty if there is none.
		adviceAddress string
	}

	// Config is what tests vary in the configuration.
	Config struct {
		Version int
		// Key is the key of the workspace "lectures", to which 8 accelerators are guaranteed.
		Key string
		// Others are the other workspaces.
		Others []Workspace
		// Pool is the pool of the only queue.
		Pool string
		// Advised is true if the queue's policy allows only some workers to run its steps.
		Advised bool
	}

	// Workspace is a workspace with one key.
	Workspace struct {
		Name                   string
		Key                    string
		GuaranteedAccelerators int
	}
)

// Main runs the tests of a package that uses clusters. In a process that a cluster has started, it runs the program of
// that process instead. TestMain of the package has to call it.
func Main(m *testing.M) {
	switch os.Getenv(programVariable) {
	case gatewayProgram:
		os.Exit(gatewayd.Main(os.Args[1:], os.Stdout, os.Stderr))
	case sidecarProgram:
		os.Exit(sidecard.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// New starts gateways, and workers with their sidecars, and waits until the gateways are ready. All instances of a
// worker have the same identifier.
func New(t testing.TB, gateways, workers int) *Cluster {
	t.Helper()
	return start(t, gateways, workers, nil, fakes.InstanceConfig{ReuseID: true})
}

// NewWithInstances is like New, but sets how the instances of a worker differ from each other.
func NewWithInstances(t testing.TB, gateways, workers int, instances fakes.InstanceConfig) *Cluster {
	t.Helper()
	return start(t, gateways, workers, nil, instances)
}

// NewAdvised is like New, for a queue whose policy allows only some workers to run its steps.
func NewAdvised(t testing.TB, gateways, workers int, allows func(worker string) bool) *Cluster {
	t.Helper()
	return start(t, gateways, workers, fakes.NewAdviceService(allows), fakes.InstanceConfig{ReuseID: true})
}

func start(t testing.TB, gateways, workers int, advice *fakes.AdviceService, instances fakes.InstanceConfig) *Cluster {
	t.Helper()
	reportPrograms(t)
	c := &Cluster{t: t, pools: []string{fakes.PoolName}, Store: fakes.NewStore(time.Now()), Runs: fakes.NewRecorder(Attempts), Fleet: fakes.NewFleet(), Advice: advice}
	if advice != nil {
		service := httptest.NewServer(advice)
		t.Cleanup(service.Close)
		c.adviceAddress = strings.TrimPrefix(service.URL, "http://")
	}
	server := httptest.NewServer(c.Store.Handler())
	t.Cleanup(server.Close)
	c.storeAddress = strings.TrimPrefix(server.URL, "http://")
	c.Configure(1, APIKey)
	for i := range workers {
		c.addWorker(fakes.PoolName, i, instances)
	}
	for i := range gateways {
		c.addGateway(i)
	}
	for _, g := range c.Gateways {
		g.AwaitReady()
	}
	return c
}

// AddWorker adds a worker, with its sidecar, to another pool. Later configurations have the pool.
func (c *Cluster) AddWorker(poolName string) {
	c.t.Helper()
	c.pools = append(c.pools, poolName)
	c.addWorker(poolName, len(c.Workers), fakes.InstanceConfig{ReuseID: true})
}

// Configure writes a version of the configuration with a single API key.
func (c *Cluster) Configure(version int, key string) {
	c.Apply(Config{Version: version, Key: key, Pool: fakes.PoolName, Advised: c.Advice != nil})
}

// Apply writes a version of the configuration.
func (c *Cluster) Apply(config Config) {
	const form = `{"version":%d,
		"routes":[{"name":"captions","host":%q,"prefix":%q,"type":"unsafe","timeout_ms":3000,"goal_ms":1000,
			"priority":0,"service":%q,"attempts":%d,"stretch":2.0%s}],
		"services":[%s],
		"limits":{"max_body_bytes":65536},
		"tenants":[%s]}`
	workspaces := workspaceJSON(Workspace{Name: "lectures", Key: config.Key, GuaranteedAccelerators: 8})
	for _, w := range config.Others {
		workspaces += "," + workspaceJSON(w)
	}
	policy := ""
	if config.Advised {
		policy = `,"advice":{"decide_ms":1,"each_ms":1,"valid_ms":3000}`
	}
	services := make([]string, len(c.pools))
	for i, name := range c.pools {
		services[i] = fmt.Sprintf(`{"name":%q}`, name)
	}
	c.Store.Put("op", "", "config", fmt.Appendf(nil, form, config.Version, host, Prefix, config.Pool, Attempts, policy, strings.Join(services, ","), workspaces))
}

func workspaceJSON(w Workspace) string {
	return fmt.Sprintf(`{"name":%q,"api_keys":[%q],"guaranteed":{"gpu":%d}}`, w.Name, w.Key, w.GuaranteedAccelerators)
}

// DataCentre returns the data centre of the worker with a number. Workers alternate between two data centres.
func DataCentre(worker int) string {
	return fmt.Sprintf("hall-%d", worker%2)
}

// Evacuate requests the evacuation of a data centre, as an operator does: its workers get no new work.
func (c *Cluster) Evacuate(dataCentre string) {
	c.Store.Put("op", "", "evacuate/"+dataCentre, []byte("{}"))
}

// EndEvacuation withdraws the request to evacuate a data centre, as an operator does.
func (c *Cluster) EndEvacuation(dataCentre string) {
	c.Store.Remove("op", "", "evacuate/"+dataCentre)
}

func (c *Cluster) addWorker(poolName string, number int, instances fakes.InstanceConfig) {
	c.t.Helper()
	done := make(chan struct{})
	c.t.Cleanup(func() { close(done) })
	control := c.freeAddress()
	w := fakes.NewWorker(time.Now(), fmt.Sprintf("worker-%d", number), control, c.Runs)
	address := c.freeAddress()
	server, err := fakes.NewServer(address, w.Handler())
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(server.Stop)
	c.Fleet.Add(w, server)
	w.SetAdvice(c.Advice)
	w.SetPool(poolName)
	w.SetZone(DataCentre(number))
	w.SetInstanceConfig(instances)
	go w.Run(done)
	c.Workers = append(c.Workers, w)

	holders := c.freeAddress()
	fromHolder, toStore := c.proxy(holders), c.proxy(c.storeAddress)
	config := fmt.Sprintf("[sidecar]\nname = sidecar-%d\npool = %s\nholders = %s\nadvertise = %s\nheartbeats = %s\nworker = %s\n\n[platform]\nstore = %s\n",
		number, poolName, holders, fromHolder.Address(), control, address, toStore.Address())
	p := c.start(sidecarProgram, number, config)
	p.Proxies = []*fakes.Proxy{fromHolder, toStore}
	c.Sidecars = append(c.Sidecars, p)
}

func (c *Cluster) addGateway(number int) {
	c.t.Helper()
	callers, admin := c.freeAddress(), c.freeAddress()
	toStore := c.proxy(c.storeAddress)
	relay := ""
	if *relays {
		relay = c.freeAddress()
	}
	config := fmt.Sprintf("[gateway]\nname = gateway-%d\ncallers = %s\nready = %s\nrelay = %s\nmetrics = %s\nevacuate-within = 5s\n\n[platform]\nstore = %s\nadvice = %s\n",
		number, callers, c.freeAddress(), relay, admin, toStore.Address(), c.adviceAddress)
	p := c.start(gatewayProgram, number, config)
	p.address = callers
	p.admin = admin
	p.Proxies = []*fakes.Proxy{toStore}
	c.Gateways = append(c.Gateways, p)
}

func (c *Cluster) proxy(target string) *fakes.Proxy {
	c.t.Helper()
	p, err := fakes.NewProxy(target)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(p.Close)
	return p
}

// JobPath returns the path of the job with a number.
func JobPath(id int) string {
	return fmt.Sprintf("%s%016x", Prefix, id)
}

// RegisterJob gives the workers the properties of a job against which they check the orders that they receive: the size
// of its gang, if it has one, and the number of accelerators of a task.
func (c *Cluster) RegisterJob(id int, body string) {
	name := strings.TrimPrefix(JobPath(id), Prefix)
	if strings.Contains(body, `"gang":true`) {
		c.Fleet.SetGangSize(name, c.firstNumber(body, "count"))
	}
	c.Fleet.SetTaskAccelerators(name, c.firstNumber(body, "gpu"))
}

// firstNumber returns the value of the first field with a name in the JSON text of a job; 0 if there is none.
func (c *Cluster) firstNumber(body, name string) int {
	number := 0
	if _, after, ok := strings.Cut(body, strconv.Quote(name)+":"); ok {
		if _, err := fmt.Sscanf(after, "%d", &number); err != nil {
			c.t.Fatal(err)
		}
	}
	return number
}

// Submit submits a job until a gateway accepts it.
func (c *Cluster) Submit(id int, body string) {
	c.t.Helper()
	c.RegisterJob(id, body)
	Eventually(c.t, "a job is accepted", func() bool {
		for _, g := range c.Gateways {
			if status, _ := g.Call(http.MethodPost, JobPath(id), APIKey, body); status == http.StatusOK {
				return true
			}
		}
		return false
	})
}

// JobState returns the state of a job; empty if no gateway returns it.
func (c *Cluster) JobState(id int) string {
	for _, g := range c.Gateways {
		status, content := g.Call(http.MethodGet, JobPath(id), APIKey, "")
		answer := struct{ State string }{}
		if status == http.StatusOK && json.Unmarshal([]byte(content), &answer) == nil {
			return answer.State
		}
	}
	return ""
}

// AwaitState waits until a job is in a state.
func (c *Cluster) AwaitState(id int, state string) {
	c.t.Helper()
	Eventually(c.t, fmt.Sprintf("job %d is %s", id, state), func() bool { return c.JobState(id) == state })
}

// AwaitAllDone waits until the jobs 1 to count are done, and checks the runs.
func (c *Cluster) AwaitAllDone(count int) {
	c.t.Helper()
	for id := 1; id <= count; id++ {
		c.AwaitState(id, "done")
	}
	c.CheckRuns()
}

// CheckRuns fails the test if the recorded runs violate an invariant.
func (c *Cluster) CheckRuns() {
	c.t.Helper()
	for _, line := range c.Runs.Violations() {
		c.t.Error(line)
	}
}

// Holder returns the number of the gateway that acquired the pool last, according to the logs; -1 if none has.
func (c *Cluster) Holder() int {
	last, at := -1, ""
	for i, g := range c.Gateways {
		for line := range strings.SplitSeq(g.Output(), "\n") {
			entry := struct{ Time, Message string }{}
			if json.Unmarshal([]byte(line), &entry) != nil {
				continue
			}
			if entry.Message == "holder: this process holds the pool" && entry.Time > at {
				last, at = i, entry.Time
			}
		}
	}
	return last
}

// Eventually waits until a condition is met. It fails the test if this takes longer than eventuallyTimeout.
func Eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(eventuallyTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not in time: %s", what)
		}
		time.Sleep(eventuallyInterval)
	}
}

// TasksJob returns a job with count tasks, each of which runs for the given time.
func TasksJob(count int, length string) string {
	return fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":4000,"mem_mb":1000,"gpu":1,"est_ms":500}]}`, length, count)
}

// GangJob returns a job with one gang of count tasks, each of which uses the given number of accelerators.
func GangJob(count, accelerators int, length string) string {
	return fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":4000,"mem_mb":1000,"gpu":%d,"est_ms":500,"gang":true}]}`, length, count, accelerators)
}

// RepeatingJob returns a job with one task that runs once per interval for a number of rounds.
func RepeatingJob(rounds int, first time.Time, interval time.Duration, length string) string {
	return fmt.Sprintf(`{"spec":%q,"repeats":%d,"first_ms":%d,"interval_ms":%d,"steps":[{"count":1,"cpu":4000,"mem_mb":1000,"gpu":1,"est_ms":500}]}`,
		length, rounds, first.UnixMilli(), interval.Milliseconds())
}
