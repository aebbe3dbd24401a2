package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// The deployment is as small as the smallest one of the users: three gateways, and eleven workers with a sidecar each.
const (
	gatewayCount = 3
	workerCount  = 11
	perRack      = 3
	serviceName  = "rec-pipeline"
	// readyWithin is how long the processes may take until they serve.
	readyWithin = 20 * time.Second
	// The ports lie below those that the kernel uses for outgoing connections. Each process that plays a case begins at
	// another one.
	firstPort = 20000
	portBlock = 200
	portCount = 50 * portBlock
)

var errNotReady = errors.New("the system was not ready in time")

type (
	// deployment is the system under test with its platform.
	deployment struct {
		record   *record
		fleet    *fleet
		store    *platformStore
		workers  []*worker
		gateways []*process
		sidecars []*process
		folder   string
		stopping context.Context
		cancel   context.CancelFunc
		nextPort int
	}

	// process is one of the project's programs.
	process struct {
		name    string
		program string
		config  string
		callers string
		ready   string
		folder  string
		command *exec.Cmd
	}
)

var zones = []string{"sapporo-hall", "asahikawa-hall", "hakodate-hall"}

// deploy starts the platform and all processes, and waits until they serve.
func deploy(r *record, config string) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &deployment{record: r, fleet: newFleet(), folder: folder, stopping: ctx, cancel: cancel, nextPort: os.Getpid() * portBlock % portCount}
	if d.store, err = startStore(r); err != nil {
		return d, err
	}
	d.configure(config)
	for i := range workerCount {
		if err := d.addWorker(i); err != nil {
			return d, err
		}
	}
	for i := range gatewayCount {
		if err := d.addGateway(i); err != nil {
			return d, err
		}
	}
	return d, d.awaitReady()
}

// configure writes a configuration as the operator does.
func (d *deployment) configure(config string) {
	d.store.rows.Put("op", "", "config", []byte(config))
	d.record.add("operator", "op/config: %s", config)
}

// freeAddress returns a loopback address on which nothing listens.
func (d *deployment) freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+d.nextPort%portCount)
		d.nextPort++
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
}

func (d *deployment) addWorker(number int) error {
	zone := zones[number%len(zones)]
	name := fmt.Sprintf("side-%s-%d", zone, number/len(zones)+1)
	w := &worker{
		record: d.record, fleet: d.fleet, name: name, zone: zone, rack: fmt.Sprintf("r1-%d", number/perRack),
		address: d.freeAddress(), control: d.freeAddress(), stopping: d.stopping,
	}
	if err := w.begin(); err != nil {
		return err
	}
	d.workers = append(d.workers, w)
	p := &process{name: name, program: "target/hollyfork-sidecar", folder: d.folder}
	p.config = fmt.Sprintf("[sidecar]\nname = %s\npool = %s\nholders = %s\nheartbeats = %s\nworker = %s\nmetrics = %s\n\n[platform]\nstore = %s\n",
		name, serviceName, d.freeAddress(), w.control, w.address, d.freeAddress(), d.store.address)
	d.sidecars = append(d.sidecars, p)
	if err := p.launch(d.record); err != nil {
		return err
	}
	go w.loop()
	time.AfterFunc(200*time.Millisecond, w.beat)
	return nil
}

func (d *deployment) addGateway(number int) error {
	p := &process{name: "edge-" + zones[number%len(zones)] + "-1", program: "target/hollyfork-gateway", folder: d.folder}
	p.callers, p.ready = d.freeAddress(), d.freeAddress()
	p.config = fmt.Sprintf("[gateway]\nname = %s\ncallers = %s\nready = %s\nrelay = %s\nprocessor-share = 0.4\nprocessor-speed = 1\nmetrics = %s\n\n[platform]\nstore = %s\nadvice =\n",
		p.name, p.callers, p.ready, d.freeAddress(), d.freeAddress(), d.store.address)
	d.gateways = append(d.gateways, p)
	return p.launch(d.record)
}

// launch starts the process with the command of the deploy file. The settings are those of its template, filled.
func (p *process) launch(r *record) error {
	path := filepath.Join(p.folder, p.name+".ini")
	if err := os.WriteFile(path, []byte(p.config), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(p.folder, p.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	p.command = exec.Command(p.program, "-config", path)
	p.command.Stdout, p.command.Stderr = output, output
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	r.add("process", "%s started as process %d", p.name, p.command.Process.Pid)
	return nil
}

// awaitReady waits until every gateway says that it is ready, and every worker has been called by its sidecar.
func (d *deployment) awaitReady() error {
	deadline := time.Now().Add(readyWithin)
	for !d.allReady() {
		if time.Now().After(deadline) {
			return errNotReady
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

func (d *deployment) allReady() bool {
	for _, w := range d.workers {
		if !w.wasCalled() {
			return false
		}
	}
	for _, g := range d.gateways {
		if !ready(g.ready) {
			return false
		}
	}
	return true
}

func ready(address string) bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + address + "/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// use returns the share of the service's capacity in use: the largest of its shares of processors, memory and GPUs.
func (d *deployment) use() float64 {
	cpu, mem, gpu := 0, 0, 0
	for _, w := range d.workers {
		c, m, g := w.use()
		cpu, mem, gpu = cpu+c, mem+m, gpu+g
	}
	n := float64(len(d.workers))
	return max(float64(cpu)/(n*workerCPU), float64(mem)/(n*workerMem), float64(gpu)/(n*workerGPU))
}

// stop ends all processes that were started, and removes the temporary folder. If keep is not empty, the logs are
// copied there first.
func (d *deployment) stop(keep string) {
	if d == nil {
		return
	}
	d.cancel()
	for _, p := range append(d.gateways, d.sidecars...) {
		if p.command == nil || p.command.Process == nil {
			continue
		}
		_ = p.command.Process.Kill()
		_ = p.command.Wait()
	}
	if d.store != nil {
		d.store.stop()
	}
	for _, w := range d.workers {
		_ = w.server.Close()
	}
	if keep != "" {
		_ = os.MkdirAll(keep, 0o755)
		files, _ := filepath.Glob(filepath.Join(d.folder, "*.log"))
		for _, f := range files {
			content, err := os.ReadFile(f)
			if err == nil {
				_ = os.WriteFile(filepath.Join(keep, filepath.Base(f)), content, 0o600)
			}
		}
	}
	_ = os.RemoveAll(d.folder)
}

// encode returns the JSON text of a value.
func encode(value any) string {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return string(content)
}
