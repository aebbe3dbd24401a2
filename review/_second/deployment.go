package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Ports of a machine. Each machine has a loopback address of its own, and the ports are alike on all.
const (
	frontPort     = 8521
	readyPort     = 8523
	controlPort   = 8526
	appPort       = 8080
	storePort     = 8524
	firstPeerPort = 7000
	lastPeerPort  = 7015
)

type (
	// process is one of the deployed programs.
	process struct {
		name    string
		args    []string
		logPath string
		command *exec.Cmd
		ended   chan struct{}
	}

	// play is a running deployment with its stand-ins.
	play struct {
		rec     *record
		runs    *runLog
		root    string
		folder  string
		network string
		trouble bool
		store   *store
		advice  *adviceService
		roles   map[string]role
		// fronts are the addresses of the gateways for callers.
		fronts   []string
		gateways []*process
		sidecars []*process
		workers  []*worker
	}

	// role is a role of the deploy file.
	role struct {
		run      string
		template string
	}
)

// newPlay starts the store of a deployment on free loopback addresses.
func newPlay(rec *record, root string, trouble bool) (*play, error) {
	folder, err := os.MkdirTemp("", "review-second-")
	if err != nil {
		return nil, err
	}
	p := &play{rec: rec, runs: newRunLog(rec), root: root, folder: folder, trouble: trouble}
	if p.roles, err = readRoles(filepath.Join(root, "deploy", "system.toml")); err != nil {
		return nil, err
	}
	for range 50 {
		p.network = fmt.Sprintf("127.%d.%d", 20+rand.N(200), rand.N(250))
		if p.store, err = newStore(rec, p.storeAddress()); err == nil {
			if p.advice, err = newAdviceService(rec, p.adviceAddress()); err != nil {
				return nil, err
			}
			rec.log("store at %s, trouble %t", p.storeAddress(), trouble)
			return p, nil
		}
	}
	return nil, err
}

func (p *play) storeAddress() string {
	return fmt.Sprintf("%s.250:%d", p.network, storePort)
}

func (p *play) adviceAddress() string {
	return fmt.Sprintf("%s.249:%d", p.network, storePort)
}

// readRoles reads the roles of a deploy file, which has one setting a line.
func readRoles(path string) (map[string]role, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	roles := map[string]role{}
	name := ""
	setting := regexp.MustCompile(`^(\w+) = "(.*)"$`)
	for line := range strings.Lines(string(content)) {
		line = strings.TrimSpace(line)
		if section, ok := strings.CutPrefix(line, "[roles."); ok {
			name = strings.TrimSuffix(section, "]")
		}
		if found := setting.FindStringSubmatch(line); found != nil && name != "" {
			r := roles[name]
			switch found[1] {
			case "run":
				r.run = found[2]
			case "template":
				r.template = found[2]
			}
			roles[name] = r
		}
	}
	return roles, nil
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	gapPattern     = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// fill fills a template with the fields of a machine. A section stands once if its value is given.
func fill(template string, fields map[string]any) string {
	text := sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		found := sectionPattern.FindStringSubmatch(section)
		if lookUp(fields, found[1]) == "" {
			return ""
		}
		return found[2]
	})
	return gapPattern.ReplaceAllStringFunc(text, func(gap string) string {
		return lookUp(fields, gapPattern.FindStringSubmatch(gap)[1])
	})
}

// lookUp returns the value of a dotted name; empty if there is none.
func lookUp(fields map[string]any, name string) string {
	var value any = fields
	for _, word := range strings.Split(name, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[word]
		case []any:
			index := 0
			if _, err := fmt.Sscan(word, &index); err != nil || index >= len(v) {
				return ""
			}
			value = v[index]
		default:
			return ""
		}
	}
	if value == nil {
		return ""
	}
	return fmt.Sprint(value)
}

// addGateway starts a gateway in a data centre.
func (p *play) addGateway(zone string) {
	n := len(p.gateways) + 1
	ip := fmt.Sprintf("%s.%d", p.network, n)
	p.gateways = append(p.gateways, p.launch("gateway", map[string]any{
		"node": fmt.Sprintf("edge-%s-%d", zone, n), "ip": ip, "zone": zone,
		"listen":     map[string]any{"front": fmt.Sprintf("%s:%d", ip, frontPort), "ready": fmt.Sprintf("%s:%d", ip, readyPort)},
		"port_range": []any{firstPeerPort, lastPeerPort},
		"limits":     map[string]any{"cpu_share": 0.4, "cores": 1},
		"platform":   map[string]any{"addr": p.storeAddress()},
		"advice":     p.adviceAddress(),
	}))
	p.fronts = append(p.fronts, fmt.Sprintf("%s:%d", ip, frontPort))
}

// addWorker starts a worker of a service and the sidecar beside it.
func (p *play) addWorker(service, zone, rack string, capacity shape) {
	n := len(p.workers) + 1
	ip := fmt.Sprintf("%s.%d", p.network, 100+n)
	w := &worker{
		rec: p.rec, runs: p.runs, advice: p.advice, service: service, zone: zone, rack: rack, capacity: capacity,
		address: fmt.Sprintf("%s:%d", ip, appPort), control: fmt.Sprintf("%s:%d", ip, controlPort),
		id: fmt.Sprintf("i-%08x", rand.Uint32()),
	}
	if err := w.start(); err != nil {
		panic(err)
	}
	p.rec.log("worker %s of %s at %s, %s, rack %s", w.id, service, w.address, zone, rack)
	p.workers = append(p.workers, w)
	p.sidecars = append(p.sidecars, p.launch("sidecar", map[string]any{
		"node": fmt.Sprintf("side-%s-%d", zone, n), "ip": ip, "zone": zone, "service": service, "app": w.address,
		"listen":     map[string]any{"control": w.control},
		"port_range": []any{firstPeerPort, lastPeerPort},
		"platform":   map[string]any{"addr": p.storeAddress()},
	}))
}

// launch writes the settings of a program and starts it.
func (p *play) launch(roleName string, fields map[string]any) *process {
	r := p.roles[roleName]
	template, err := os.ReadFile(filepath.Join(p.root, r.template))
	if err != nil {
		panic(err)
	}
	name := fmt.Sprint(fields["node"])
	settings := filepath.Join(p.folder, name+".ini")
	if err := os.WriteFile(settings, []byte(fill(string(template), fields)), 0o600); err != nil {
		panic(err)
	}
	words := strings.Fields(strings.ReplaceAll(r.run, "/etc/hollyfork/local.yaml", settings))
	words[0] = filepath.Join(p.root, words[0])
	proc := &process{name: name, args: words, logPath: filepath.Join(p.folder, name+".log")}
	p.start(proc)
	return proc
}

// start starts a program, which ends with this process at the latest.
func (p *play) start(proc *process) {
	logFile, err := os.OpenFile(proc.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	defer func() { _ = logFile.Close() }()
	command := exec.Command(proc.args[0], proc.args[1:]...)
	command.Dir = p.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.folder}
	command.Stdout, command.Stderr = logFile, logFile
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		panic(err)
	}
	proc.command, proc.ended = command, make(chan struct{})
	ended := proc.ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	p.rec.log("started %s, process %d", proc.name, command.Process.Pid)
}

// kill ends a program at once.
func (p *play) kill(proc *process) {
	p.rec.log("SIGKILL to %s, process %d", proc.name, proc.command.Process.Pid)
	_ = proc.command.Process.Kill()
	<-proc.ended
}

// hasEnded reports whether a program has ended by itself.
func (proc *process) hasEnded() bool {
	select {
	case <-proc.ended:
		return true
	default:
		return false
	}
}

// close ends all programs, and removes the folder.
func (p *play) close() {
	for _, proc := range append(append([]*process(nil), p.gateways...), p.sidecars...) {
		if proc.command != nil && !proc.hasEnded() {
			_ = proc.command.Process.Kill()
			<-proc.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(p.folder)
	} else {
		fmt.Println("kept", p.folder)
	}
}

// awaitReady waits until all gateways are ready.
func (p *play) awaitReady() {
	for _, proc := range p.gateways {
		if proc.hasEnded() {
			panic(proc.name + " has ended")
		}
	}
	end := time.Now().Add(15 * time.Second)
	for _, front := range p.fronts {
		host, _, _ := net.SplitHostPort(front)
		for !isReady(fmt.Sprintf("%s:%d", host, readyPort)) {
			if time.Now().After(end) {
				panic("a gateway is not ready after 15 s")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	p.rec.log("all gateways are ready")
}

// tenant and queue are the only ones of a deployment.
const (
	apiKey     = "key-of-review"
	queueHost  = "nony24.example"
	queueName  = "lohu930"
	queuePath  = "/lohu930/"
	tenantName = "tenant-1"
)

// route returns a queue of a configuration.
func route(service string, goalMs int) map[string]any {
	return map[string]any{
		"name": queueName, "host": queueHost, "prefix": queuePath, "service": service, "goal_ms": goalMs,
		"timeout_ms": 30000, "attempts": 3, "priority": 1, "stretch": 3.0,
	}
}

// configure writes a configuration as the operator does.
func (p *play) configure(version int, services []string, routes ...map[string]any) {
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "enforces_capacity": true})
	}
	config := map[string]any{
		"version": version, "routes": routes, "services": list, "limits": map[string]any{"max_body_bytes": 262144},
		"tenants": []any{map[string]any{"name": tenantName, "api_keys": []string{apiKey}, "guaranteed": map[string]any{"gpu": 0}}},
	}
	p.store.put("op", "config", config)
	text, _ := json.Marshal(config)
	p.rec.log("operator: wrote op/config %s", text)
}
