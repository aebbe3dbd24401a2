package main

import (
	"bytes"
	"context"
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
	"syscall"
	"time"

	"hollyfork.example/hollyfork/platform/fakes"
)

const (
	service     = "rec-pipeline"
	jobsHost    = "jobs.example"
	tenantKey   = "key-of-captions"
	otherKey    = "key-of-archive"
	gateways    = 3
	workers     = 8
	callTimeout = 3 * time.Second
	// leadTime is the time from the start of the machines to that of the traffic.
	leadTime = 10 * time.Second

	// Prefixes of the three queues, by their priority.
	urgent = "/captions/"
	normal = "/lectures/"
	low    = "/archive/"
)

type (
	// deployment is a small deployment: three gateways, and eight workers with their sidecars.
	deployment struct {
		record *record
		dir    string
		target string
		store  *fakes.Store
		lossy  *lossyStore
		// storeAddress is the address of the store.
		storeAddress string
		steps        *steps
		workers      []*worker
		fronts       []string
		next         int
		// commands are the processes of the system; cancel stops the stand-ins.
		commands []*exec.Cmd
		servers  []*httptest.Server
		ctx      context.Context
		cancel   context.CancelFunc
	}

	// step is a step of a job as clients send it, with the time that its tasks work.
	step struct {
		Count        int    `json:"count"`
		CPU          int    `json:"cpu,omitempty"`
		Mem          int    `json:"mem_mb,omitempty"`
		GPU          int    `json:"gpu,omitempty"`
		EstMs        int64  `json:"est_ms,omitempty"`
		Constraints  string `json:"constraints,omitempty"`
		Colocate     string `json:"colocate,omitempty"`
		Gang         bool   `json:"gang,omitempty"`
		AntiAffinity int    `json:"anti_affinity,omitempty"`
		LongRunning  bool   `json:"long_running,omitempty"`
		MayMiss      int    `json:"may_miss,omitempty"`
		TargetMs     int64  `json:"target_ms,omitempty"`
		Fills        bool   `json:"fills,omitempty"`
		Image        string `json:"image,omitempty"`

		work time.Duration
	}

	// job is a job as clients send it.
	job struct {
		Spec       string `json:"spec"`
		Steps      []step `json:"steps"`
		Repeats    int    `json:"repeats,omitempty"`
		FirstMs    int64  `json:"first_ms,omitempty"`
		IntervalMs int64  `json:"interval_ms,omitempty"`
	}
)

// start starts everything, and waits until the system is ready. lastKind is the kind of the last worker; the others are
// of the kind "a".
func start(target string, r *record, quiet bool, lastKind string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "third")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &deployment{
		record: r, dir: dir, target: target, store: fakes.NewStore(time.Now()), steps: &steps{byJob: map[string][]stepInfo{}},
		ctx: ctx, cancel: cancel,
	}
	d.lossy = newLossyStore(d.store, r)
	storeServer := httptest.NewUnstartedServer(d.lossy)
	_ = storeServer.Listener.Close()
	if storeServer.Listener, err = net.Listen("tcp", freeAddress()); err != nil {
		return d, err
	}
	storeServer.Start()
	d.servers = append(d.servers, storeServer)
	d.storeAddress = strings.TrimPrefix(storeServer.URL, "http://")
	d.store.Put("op", "", "config", []byte(configuration))
	r.add("operator: writes op/config: %s", configuration)
	for i := range workers {
		kind := "a"
		if i == workers-1 {
			kind = lastKind
		}
		if err := d.startWorker(i, kind, quiet); err != nil {
			return d, err
		}
	}
	for i := range gateways {
		if err := d.startGateway(i); err != nil {
			return d, err
		}
	}
	return d, d.awaitReady()
}

const configuration = `{"version":7,"routes":[` +
	`{"name":"captions","host":"jobs.example","prefix":"/captions/","type":"unsafe","timeout_ms":3000,"goal_ms":250,"priority":0,"service":"rec-pipeline","attempts":3,"stretch":1.5,"public":false},` +
	`{"name":"lectures","host":"jobs.example","prefix":"/lectures/","type":"unsafe","timeout_ms":3000,"goal_ms":1000,"priority":1,"service":"rec-pipeline","attempts":3,"stretch":3.0,"public":false},` +
	`{"name":"archive","host":"jobs.example","prefix":"/archive/","type":"unsafe","timeout_ms":3000,"goal_ms":3000,"priority":2,"service":"rec-pipeline","attempts":3,"stretch":3.0,"public":false}],` +
	`"services":[{"name":"rec-pipeline","health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"enforces_capacity":true,"headroom":false}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000},` +
	`"tenants":[{"name":"captions","api_keys":["key-of-captions"],"priority":1,"guaranteed":{"gpu":16}},{"name":"archive","api_keys":["key-of-archive"],"priority":1,"guaranteed":{"gpu":0}}]}`

// startWorker starts a worker and its sidecar, with the settings that deploy/sidecar.ini yields.
func (d *deployment) startWorker(number int, kind string, quiet bool) error {
	control, address := freeAddress(), freeAddress()
	w := &worker{
		name: fmt.Sprintf("w%d", number), address: address, control: control, service: service, zone: fmt.Sprintf("hall-%d", number%3),
		labels: []string{kind, fmt.Sprintf("r1-%d", number/3)}, room: shape{CPU: 128000, Mem: 262144, GPU: 8},
		steps: d.steps, record: d.record, quiet: quiet,
	}
	w.mu.Lock()
	err := w.begin()
	w.mu.Unlock()
	if err != nil {
		return err
	}
	go w.runLoop(d.ctx)
	d.workers = append(d.workers, w)
	settings := fmt.Sprintf("[sidecar]\nname = side-%d\npool = %s\nholders = %s\nheartbeats = %s\nworker = %s\nmetrics = %s\n\n[platform]\nstore = %s\n",
		number, service, freeAddress(), control, address, freeAddress(), d.storeAddress)
	return d.run("hollyfork-sidecar", fmt.Sprintf("side-%d", number), settings)
}

// startGateway starts a gateway with the settings that deploy/gateway.ini yields.
func (d *deployment) startGateway(number int) error {
	front := freeAddress()
	d.fronts = append(d.fronts, front)
	settings := fmt.Sprintf("[gateway]\nname = edge-%d\ncallers = %s\nready = %s\nrelay = %s\nprocessor-share = 0.4\nprocessor-speed = 1\nmetrics = %s\n\n[platform]\nstore = %s\nadvice =\n",
		number, front, freeAddress(), freeAddress(), freeAddress(), d.storeAddress)
	return d.run("hollyfork-gateway", fmt.Sprintf("edge-%d", number), settings)
}

// run starts a program with the command of the deploy file.
func (d *deployment) run(program, node, settings string) error {
	path := filepath.Join(d.dir, node+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	logs, err := os.Create(filepath.Join(d.dir, node+".log"))
	if err != nil {
		return err
	}
	command := exec.CommandContext(context.Background(), filepath.Join(d.target, program), "-config", path) //nolint:gosec // the program under test
	command.Stdout, command.Stderr = logs, logs
	if err := command.Start(); err != nil {
		return err
	}
	d.commands = append(d.commands, command)
	d.record.add("started %s as %s", program, node)
	return nil
}

func (d *deployment) awaitReady() error {
	began := time.Now()
	for range 200 {
		ready := 0
		for i := range d.fronts {
			if status, _, _ := d.call(i, http.MethodGet, urgent, tenantKey, ""); status == http.StatusOK {
				ready++
			}
		}
		if ready == len(d.fronts) {
			time.Sleep(time.Until(began.Add(leadTime)))
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the gateways are not ready")
}

// stop ends all processes that were started.
func (d *deployment) stop() {
	for _, c := range d.commands {
		_ = c.Process.Signal(syscall.SIGTERM)
	}
	time.Sleep(300 * time.Millisecond)
	for _, c := range d.commands {
		_ = c.Process.Kill()
		_ = c.Wait()
	}
	d.cancel()
	for _, s := range d.servers {
		s.CloseClientConnections()
		s.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
		return
	}
	fmt.Println("logs:", d.dir)
}

// Ports of the system and of the stand-ins lie below those that the kernel uses for outgoing connections. Each process
// begins at another port, so that cases can run beside each other.
const (
	firstPort      = 12000
	portBlocks     = 180
	portsPerBlock  = 100
	processesApart = 7
)

var nextPort = firstPort + os.Getpid()*processesApart%portBlocks*portsPerBlock

// freeAddress returns a loopback address on which nothing listens, another one each time.
func freeAddress() string {
	config := net.ListenConfig{}
	for {
		nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		listener, err := config.Listen(context.Background(), "tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address
	}
}

// call sends a client's call to a gateway; the status is 0 if there is no answer.
func (d *deployment) call(gateway int, method, path, key, body string) (status int, content, retryAfter string) {
	ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+d.fronts[gateway]+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, "", ""
	}
	request.Host = jobsHost
	request.Header.Set("Api-Key", key)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", ""
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(text)), response.Header.Get("Retry-After")
}

// send sends a client's call to the next gateway, and records it with its answer.
func (d *deployment) send(method, path, key, body string) (status int, content, retryAfter string) {
	d.next++
	gateway := d.next % len(d.fronts)
	status, content, retryAfter = d.call(gateway, method, path, key, body)
	shown := body
	if len(shown) > 300 {
		shown = shown[:300] + "..."
	}
	d.record.add("client: %s %s %s at edge-%d -> %d %s%s", method, path, shown, gateway, status, content, named(" retry-after ", retryAfter))
	return status, content, retryAfter
}

func named(name, value string) string {
	if value == "" {
		return ""
	}
	return name + value
}

// submit submits a job until it is accepted.
func (d *deployment) submit(queue, id, key string, j job) bool {
	body := d.register(id, j)
	for range 10 {
		if status, _, _ := d.send(http.MethodPost, queue+id, key, body); status/100 == 2 {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// register tells the workers about a job, and returns its body.
func (d *deployment) register(id string, j job) string {
	list := make([]stepInfo, len(j.Steps))
	for i, s := range j.Steps {
		list[i] = stepInfo{room: shape{s.CPU, s.Mem, s.GPU}, work: s.work}
		if s.Fills {
			list[i].room.CPU = 0
		}
	}
	d.steps.set(id, list)
	body, err := json.Marshal(j)
	if err != nil {
		panic(err)
	}
	return string(body)
}

// state asks for a job's state; empty if there is no answer.
func (d *deployment) state(path, key string) string {
	status, content, _ := d.send(http.MethodGet, path, key, "")
	found := struct{ State string }{}
	if status != http.StatusOK || json.Unmarshal([]byte(content), &found) != nil {
		return ""
	}
	return found.State
}

// workerOf returns a worker that runs a task of a job, or nil.
func (d *deployment) workerOf(id string) *worker {
	for _, w := range d.workers {
		if w.runs(id) {
			return w
		}
	}
	return nil
}

// await waits until a condition holds.
func await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// sendTo is like send, for one gateway. It may be called from several goroutines.
func (d *deployment) sendTo(gateway int, method, path, key, body string) (status int, content, retryAfter string) {
	status, content, retryAfter = d.call(gateway, method, path, key, body)
	d.record.add("client: %s %s at edge-%d -> %d %s%s", method, path, gateway, status, content, named(" retry-after ", retryAfter))
	return status, content, retryAfter
}
