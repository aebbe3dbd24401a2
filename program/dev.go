package program

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/asynkron/protoactor-go/actor"
	"github.com/phuslu/log"

	"hollyfork.example/hollyfork/client"
	"hollyfork.example/hollyfork/clock"
	"hollyfork.example/hollyfork/declare"
	"hollyfork.example/hollyfork/entry"
	"hollyfork.example/hollyfork/examples"
	"hollyfork.example/hollyfork/hall"
	"hollyfork.example/hollyfork/platform"
	"hollyfork.example/hollyfork/platform/standin"
	"hollyfork.example/hollyfork/process"
	"hollyfork.example/hollyfork/process/actors"
	"hollyfork.example/hollyfork/process/launch"
	"hollyfork.example/hollyfork/settings"
	"hollyfork.example/rpc"
)

const (
	anyPort        = "127.0.0.1:0"
	workersPerRack = 3
	demoTimeout    = 18 * time.Second
	readyPoll      = 50 * time.Millisecond
	// demoHeadroomAge suits jobs that run for 0.3 to 4 s. The default of ten minutes suits jobs that run for
	// hours: with it, in one of eight runs, a preempted job was still queued in an idle hall after 18 s.
	demoHeadroomAge = 2 * time.Second
)

// hallLayout is the name of a hall with its number of workers.
type hallLayout struct {
	hall    string
	workers int
}

// layout describes the hardware of one user.
type layout struct {
	halls     []hallLayout
	cpuMillis int
	memoryMB  int
}

// layouts holds each example's hardware by the name of the example: eleven workers, with eight accelerators and eight
// slots each.
var layouts = map[string]layout{
	"kitakaze": {
		halls:     []hallLayout{{"sapporo-hall", 4}, {"asahikawa-hall", 4}, {"hakodate-hall", 3}},
		cpuMillis: 128_000,
		memoryMB:  256 << 10,
	},
	"magnolia": {
		halls:     []hallLayout{{"hall-magnolia", 4}, {"hall-sweetgum", 4}, {"hall-tupelo", 3}},
		cpuMillis: 64_000,
		memoryMB:  128 << 10,
	},
}

// Dev is the main function of hollyfork-dev.
func Dev(args []string, stdout, stderr io.Writer) int {
	s := settings.New("hollyfork-dev", stderr)
	example := settings.Add(s, "example", "kitakaze", "whose workers and declarations to use: kitakaze or magnolia", settings.OneOf(examples.Names()...))
	demo := settings.AddBool(s, "demo", "apply the example's declarations, run its jobs and end")
	address := settings.Add(s, "listen", anyPort, "IP address and port of the API", settings.Address)
	level := settings.Add(s, "log.level", "warn", "debug, info, warn or error", settings.OneOf("debug", "info", "warn", "error"))
	if code, done := launch.Parse(s, args, stdout, stderr); done {
		return code
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := startDev(*example, *address, process.NewLogger(stderr, *level))
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return launch.ExitFailure
	}
	defer d.stop()
	if *demo {
		return d.runDemo(ctx, *example, stdout, stderr)
	}
	_, _ = fmt.Fprintln(stdout, "The API is at", d.baseURL)
	<-ctx.Done()
	return launch.ExitOK
}

// devSystem is the whole system in one process, with connections over loopback.
type devSystem struct {
	platform *standin.Platform
	server   *http.Server
	agents   []*agentProcess
	entry    *entry.Entry
	baseURL  string
	logger   *log.Logger
}

func startDev(example, address string, logger *log.Logger) (*devSystem, error) {
	l := layouts[example]
	d := &devSystem{logger: logger}
	vms, listeners, err := l.vms()
	if err != nil {
		return nil, err
	}
	platformURL, err := d.startPlatform(vms)
	if err != nil {
		return nil, err
	}
	system := actors.NewSystem(logger)
	for i, vm := range vms {
		if err := d.startAgent(vm, listeners[i], platformURL, system); err != nil {
			return nil, err
		}
	}
	return d, d.startEntry(l, address, platformURL, system)
}

// vms returns the VMs of the layout and the listeners of their agents.
func (l layout) vms() ([]platform.VM, []net.Listener, error) {
	var vms []platform.VM
	var listeners []net.Listener
	for _, s := range l.halls {
		for i := range s.workers {
			listener, err := launch.Listen(anyPort)
			if err != nil {
				return nil, nil, err
			}
			listeners = append(listeners, listener)
			vms = append(vms, l.vm(s.hall, i, listener.Addr().String()))
		}
	}
	return vms, listeners, nil
}

func (l layout) vm(hallName string, number int, address string) platform.VM {
	short := strings.TrimSuffix(strings.TrimPrefix(hallName, "hall-"), "-hall")
	name := fmt.Sprintf("%s-%d", short, number+1)
	return platform.VM{
		Name:         name,
		ID:           "vm-" + name,
		Hall:         hallName,
		Rack:         fmt.Sprintf("%s-rack-%d", short, number/workersPerRack+1),
		AgentAddress: address,
		Accelerators: 8,
		CPUMillis:    l.cpuMillis,
		MemoryMB:     l.memoryMB,
		Slots:        8,
	}
}

func (d *devSystem) startPlatform(vms []platform.VM) (string, error) {
	listener, err := launch.Listen(anyPort)
	if err != nil {
		return "", err
	}
	d.platform = standin.New(vms, time.Second)
	d.server = &http.Server{Handler: d.platform, ReadHeaderTimeout: time.Second}
	go func() { _ = d.server.Serve(listener) }()
	return "http://" + listener.Addr().String(), nil
}

// demoHallSettings returns settings of halls for jobs that run for seconds.
func demoHallSettings() hall.Settings {
	settings := hall.DefaultSettings
	settings.Policy.HeadroomHalfLife = demoHeadroomAge
	return settings
}

func (d *devSystem) startAgent(vm platform.VM, listener net.Listener, platformURL string, system *actor.ActorSystem) error {
	config := agentConfig{
		name:         vm.Name,
		hall:         vm.Hall,
		address:      vm.AgentAddress,
		machine:      vm.ID,
		storeAddress: strings.TrimPrefix(platformURL, "http://"),
		vmsURL:       platformURL,
		workerURL:    platformURL + "/workers/" + vm.Name,
		settings:     demoHallSettings(),
	}
	p, err := startAgent(clock.Now(), config, listener, system, d.logger)
	if err != nil {
		return err
	}
	d.agents = append(d.agents, p)
	return nil
}

func (d *devSystem) startEntry(l layout, address, platformURL string, system *actor.ActorSystem) error {
	listener, err := launch.Listen(address)
	if err != nil {
		return err
	}
	halls := make([]string, len(l.halls))
	for i, s := range l.halls {
		halls[i] = s.hall
	}
	config := entryConfig{
		settings:     entry.Settings{Name: "dev", Halls: halls},
		storeAddress: strings.TrimPrefix(platformURL, "http://"),
		vmsURL:       platformURL,
	}
	d.entry = startEntry(config, listener, system, &rpc.Traffic{}, metrics.NewSet(), d.logger)
	d.baseURL = "http://" + listener.Addr().String()
	return nil
}

func (d *devSystem) stop() {
	stopEntry(d.entry, 0, d.logger)
	var group sync.WaitGroup
	for _, a := range d.agents {
		group.Go(a.stop)
	}
	group.Wait()
	_ = d.server.Close()
}

// runDemo applies the declarations of an example, runs its jobs and prints their outcomes.
func (d *devSystem) runDemo(ctx context.Context, example string, stdout, stderr io.Writer) int {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	folder, _ := examples.Open(example)
	set, err := declare.Read(folder)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return launch.ExitUsage
	}
	run := newDemo(client.New(d.baseURL), stdout)
	if err := run.run(ctx, set, len(d.agents)); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return launch.ExitFailure
	}
	tally := run.countResults(d.platform.Record(time.Now()))
	_, _ = fmt.Fprintln(stdout, tally)
	if !tally.succeeded() {
		return launch.ExitFailure
	}
	return launch.ExitOK
}
