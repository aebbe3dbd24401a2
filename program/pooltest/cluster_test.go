package pooltest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hollyfork.example/hollyfork/platform/fakes"
	"hollyfork.example/hollyfork/program/gatewayd"
	"hollyfork.example/hollyfork/program/sidecard"
)

const (
	// programVariable names the program that a test process stands for.
	programVariable = "HOLLYFORK_TEST_PROGRAM"

	host    = "jobs.example"
	prefix  = "/encode/"
	apiKey  = "key-of-captions"
	patient = 30 * time.Second
)

func TestMain(m *testing.M) {
	switch os.Getenv(programVariable) {
	case "gateway":
		os.Exit(gatewayd.Main(os.Args[1:], os.Stdout, os.Stderr))
	case "sidecar":
		os.Exit(sidecard.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// cluster is the whole system as separate processes, on fakes of the platform.
type cluster struct {
	t        *testing.T
	store    *fakes.Store
	address  string
	gateways []*program
	sidecars []*program
	workers  []*fakes.Worker
	runs     *runs
}

// program is one process of the system.
type program struct {
	t       *testing.T
	kind    string
	config  string
	address string
	// admin is where a gateway serves its metrics and state.
	admin   string
	command *exec.Cmd
	output  *lockedBuffer
	// stdout takes the place of output, unless it is nil.
	stdout *os.File
}

// lockedBuffer is a buffer that may be read while it is written.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(content []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(content)
}

// String returns what was written.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// runs checks at each start that the task runs nowhere else and is not done.
type runs struct {
	t  *testing.T
	mu sync.Mutex
	// on holds where each task runs.
	on      map[string]string
	done    map[string]bool
	started int
	broken  []string
}

// Started implements fakes.Watcher.
func (r *runs) Started(worker, task string, run int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started++
	if other, ok := r.on[task]; ok {
		r.broken = append(r.broken, fmt.Sprintf("%s run %d starts on %s while it runs on %s", task, run, worker, other))
	}
	if r.done[task] {
		r.broken = append(r.broken, fmt.Sprintf("%s run %d starts on %s although it was done", task, run, worker))
	}
	r.on[task] = worker
}

// Ended implements fakes.Watcher.
func (r *runs) Ended(_, task string, _ int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.on, task)
	if how == "done" {
		r.done[task] = true
	}
}

// count returns how many runs were started.
func (r *runs) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.started
}

func (r *runs) check() {
	r.t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, line := range r.broken {
		r.t.Error(line)
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// newCluster starts gateways and workers, and waits until a gateway is ready.
func newCluster(t *testing.T, gateways, workers int) *cluster {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	c := &cluster{t: t, store: fakes.NewStore(time.Now()), runs: &runs{t: t, on: map[string]string{}, done: map[string]bool{}}}
	server := httptest.NewServer(c.store.Handler())
	t.Cleanup(server.Close)
	c.address = strings.TrimPrefix(server.URL, "http://")
	c.configure(1, apiKey)
	for i := range workers {
		c.addWorker(i)
	}
	for i := range gateways {
		c.gateways = append(c.gateways, c.startGateway(i))
	}
	for _, g := range c.gateways {
		g.awaitReady()
	}
	return c
}

// configure writes a version of the configuration in which one key is known.
func (c *cluster) configure(version int, key string) {
	content := fmt.Sprintf(`{"version":%d,"routes":[{"name":"captions","host":%q,"prefix":%q,"type":"unsafe","timeout_ms":3000,"goal_ms":1000,"priority":0,"service":"encoders","attempts":3,"stretch":2.0}],"services":[{"name":"encoders"}],"limits":{"max_body_bytes":65536},"tenants":[{"name":"lectures","api_keys":[%q],"guaranteed":{"gpu":8}}]}`, version, host, prefix, key)
	c.store.Put("op", "", "config", []byte(content))
}

func (c *cluster) addWorker(number int) {
	done := make(chan struct{})
	c.t.Cleanup(func() { close(done) })
	control := freeAddress(c.t)
	w := fakes.NewWorker(time.Now(), fmt.Sprintf("worker-%d", number), control, c.runs)
	server := httptest.NewServer(w.Handler())
	c.t.Cleanup(server.Close)
	go w.Run(done)
	c.workers = append(c.workers, w)
	config := fmt.Sprintf("[sidecar]\nname = sidecar-%d\npool = encoders\nholders = %s\nheartbeats = %s\nworker = %s\n\n[platform]\nstore = %s\n",
		number, freeAddress(c.t), control, strings.TrimPrefix(server.URL, "http://"), c.address)
	c.sidecars = append(c.sidecars, c.start("sidecar", fmt.Sprintf("sidecar-%d", number), config))
}

func (c *cluster) startGateway(number int) *program {
	callers, ready, admin := freeAddress(c.t), freeAddress(c.t), freeAddress(c.t)
	config := fmt.Sprintf("[gateway]\nname = gateway-%d\ncallers = %s\nready = %s\nmetrics = %s\n\n[platform]\nstore = %s\n", number, callers, ready, admin, c.address)
	p := c.start("gateway", fmt.Sprintf("gateway-%d", number), config)
	p.address = callers
	p.admin = admin
	return p
}

func (c *cluster) start(kind, name, config string) *program {
	c.t.Helper()
	path := filepath.Join(c.t.TempDir(), name+".ini")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		c.t.Fatal(err)
	}
	p := &program{t: c.t, kind: kind, config: path, output: &lockedBuffer{}}
	p.launch()
	c.t.Cleanup(func() {
		p.kill()
		if c.t.Failed() {
			c.t.Logf("%s:\n%s", name, p.output)
		}
	})
	return p
}

// launch starts the process, again after it was killed.
func (p *program) launch() {
	p.t.Helper()
	p.command = exec.Command(os.Args[0], "-config", p.config)
	p.command.Env = append(os.Environ(), programVariable+"="+p.kind)
	p.command.Stdout = p.stdout
	if p.stdout == nil {
		p.command.Stdout = p.output
	}
	p.command.Stderr = p.output
	if err := p.command.Start(); err != nil {
		p.t.Fatal(err)
	}
}

// kill ends the process at once.
func (p *program) kill() {
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}

// signal sends a signal to the process.
func (p *program) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// awaitReady waits until the gateway takes requests.
func (p *program) awaitReady() {
	p.t.Helper()
	eventually(p.t, "a gateway is ready", func() bool {
		status, _ := p.call(http.MethodGet, prefix, apiKey, "")
		return status == http.StatusOK
	})
}

// call makes a caller's request and returns its status, 0 for none, and its body.
func (p *program) call(method, path, key, body string) (status int, content string) {
	p.t.Helper()
	request, err := http.NewRequest(method, "http://"+p.address+path, strings.NewReader(body))
	if err != nil {
		p.t.Fatal(err)
	}
	request.Host = host
	request.Header.Set("Api-Key", key)
	request.Header.Set("X-Deadline-Ms", "3000")
	client := http.Client{Timeout: 3 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(answer)
}

// fetch reads a page of the gateway's metrics address.
func (p *program) fetch(path string) string {
	p.t.Helper()
	response, err := http.Get("http://" + p.admin + path)
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		p.t.Fatal(err)
	}
	return string(content)
}

// submit hands a job in until a gateway accepts it.
func (c *cluster) submit(id int, body string) {
	c.t.Helper()
	eventually(c.t, "a job is accepted", func() bool {
		for _, g := range c.gateways {
			if status, _ := g.call(http.MethodPost, jobPath(id), apiKey, body); status == http.StatusOK {
				return true
			}
		}
		return false
	})
}

func jobPath(id int) string {
	return fmt.Sprintf("%s%016x", prefix, id)
}

// state returns where a job stands; empty when that can not be told.
func (c *cluster) state(id int) string {
	for _, g := range c.gateways {
		status, content := g.call(http.MethodGet, jobPath(id), apiKey, "")
		answer := struct{ State string }{}
		if status == http.StatusOK && json.Unmarshal([]byte(content), &answer) == nil {
			return answer.State
		}
	}
	return ""
}

// await waits until a job is in a state.
func (c *cluster) await(id int, state string) {
	c.t.Helper()
	eventually(c.t, fmt.Sprintf("job %d is %s", id, state), func() bool { return c.state(id) == state })
}

// awaitAll waits until the jobs from 1 to count are done, and checks the runs.
func (c *cluster) awaitAll(count int) {
	c.t.Helper()
	for id := 1; id <= count; id++ {
		c.await(id, "done")
	}
	c.runs.check()
}

// holder returns the gateway that holds the pool, by its log.
func (c *cluster) holder() int {
	last, at := -1, ""
	for i, g := range c.gateways {
		for line := range strings.SplitSeq(g.output.String(), "\n") {
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

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(patient)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("not in time: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// tasks returns a job of some tasks that run for a time.
func tasks(count int, length string) string {
	return fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":4000,"mem_mb":1000,"gpu":1,"est_ms":500}]}`, length, count)
}

// gang returns a job of one gang.
func gang(count, accelerators int, length string) string {
	return fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":4000,"mem_mb":1000,"gpu":%d,"est_ms":500,"gang":true}]}`, length, count, accelerators)
}
