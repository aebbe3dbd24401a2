// Package gatewayd implements the main function of hollyfork-gateway, a process that serves the requests of
// callers and can hold pools.
package gatewayd

import (
	"context"
	"io"
	"net"
	"net/http"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"hollyfork.example/hollyfork/clock"
	"hollyfork.example/hollyfork/gateway"
	"hollyfork.example/hollyfork/holder"
	"hollyfork.example/hollyfork/malformed"
	"hollyfork.example/hollyfork/platform/adapter"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/process"
	"hollyfork.example/hollyfork/process/launch"
	"hollyfork.example/hollyfork/relay"
	"hollyfork.example/hollyfork/settings"
	"hollyfork.example/hollyfork/store"
	"hollyfork.example/rpc"
)

const (
	// lameDuckPeriod is the minimum time for which the gateway accepts new connections after the signal to
	// stop. The load balancer probes readiness once per second and stops sending requests after two failures.
	lameDuckPeriod = 2500 * time.Millisecond
	// shutdownTimeout bounds the whole shutdown. The platform allows 6 s.
	shutdownTimeout = 5500 * time.Millisecond
	// maxTakeoverDelay is the time for which a gateway with hardly any CPU capacity leaves a free pool to
	// gateways with more. They check the lease three times in this time.
	maxTakeoverDelay = 800 * time.Millisecond
	// headerTimeout bounds the time to read a request's header, headerBytes bounds the size of the header, and
	// idleTimeout bounds the time between the requests of a connection. They are the users' configured limits.
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	headerBytes   = 16 << 10
	// maxEvacuateWithin is the maximum of the setting gateway.evacuate-within. It is ten times the longest time
	// that any operator required.
	maxEvacuateWithin = time.Minute
	// relayFileDivisor is the number by which the process's limit of open files is divided to get the maximum
	// number of connections of other gateways.
	relayFileDivisor = 4
)

// options are the settings of the process.
type options struct {
	name          *string
	callerAddress *string
	readyAddress  *string
	adminAddress  *string
	storeAddress  *string
	adviceAddress *string
	relayAddress  *string
	// cpuShare is the share of a CPU that the gateway may use, and cpuSpeed is the CPU's speed relative to those
	// of the other gateways.
	cpuShare *float64
	cpuSpeed *float64
	// evacuateWithin is 0 if the operator sets no bound.
	evacuateWithin *time.Duration
	// legacyJobKeys is true while gateways of a release before keys by identifier run, or are to run again.
	legacyJobKeys *bool
	scheduling    schedulingOptions
	logLevel      *string
}

// Main runs the gateway until it receives a signal to stop, and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	s := settings.New("hollyfork-gateway", stderr)
	o := options{
		name:          settings.Add(s, "gateway.name", "", "name of this gateway", settings.Text),
		callerAddress: settings.Add(s, "gateway.callers", "", "IP address and port for callers", settings.Address),
		readyAddress:  settings.Add(s, "gateway.ready", "", "IP address and port for the load balancer's readiness probes", settings.Address),
		adminAddress:  settings.Add(s, "gateway.metrics", "", "IP address and port for metrics and the state dump; empty for none", settings.OptionalAddress),
		storeAddress:  settings.Add(s, "platform.store", "", "IP address and port of the store", settings.Address),
		adviceAddress: settings.Add(s, "platform.advice", "", "IP address and port of the advice service; empty for none", settings.OptionalAddress),
		relayAddress:  settings.Add(s, "gateway.relay", "", "IP address and port for calls of gateways that the store throttles; empty for none", settings.OptionalAddress),
		cpuShare:      settings.Add(s, "gateway.processor-share", "1", "share of a CPU that the gateway may use", settings.PositiveFloat),
		cpuSpeed:      settings.Add(s, "gateway.processor-speed", "1", "speed of the CPU relative to those of the other gateways", settings.PositiveFloat),
		logLevel:      launch.LogLevel(s),

		evacuateWithin: settings.Add(s, "gateway.evacuate-within", "0s", "time limit within which starts in a data centre cease after its evacuation was requested; 0s for no bound", settings.Duration(0, maxEvacuateWithin)),
		legacyJobKeys:  settings.AddBool(s, "gateway.legacy-job-keys", "write new jobs where gateways of earlier releases look for them; no queue may move to another pool meanwhile"),
		scheduling:     addSchedulingOptions(s),
	}
	if code, done := launch.Parse(s, args, stdout, stderr); done {
		return code
	}
	return launch.Run("gateway", *o.logLevel, stdout, stderr, func(logger *log.Logger) error { return run(o, logger) })
}

// gatewayProcess holds the components of the process.
type gatewayProcess struct {
	options options
	logger  *log.Logger
	metrics *metrics.Set
	// malformed records the rows that this process could not decode.
	malformed *malformed.Registry
	store     store.Store
	// configReader reads the configuration, from the store or through a relay.
	configReader store.Reader
	// relay is nil if this gateway does not serve other gateways.
	relay    *relay.Store
	follower *gateway.Follower
	gateway  *gateway.Gateway
	traffic  *rpc.Traffic
	running  sync.WaitGroup

	mu sync.Mutex
	// hosts are the hosts of all pools, by the name of the pool.
	hosts map[string]*holder.Host
}

func run(o options, logger *log.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGHUP)
	listeners, err := listenAll(*o.callerAddress, *o.readyAddress, *o.adminAddress)
	if err != nil {
		return err
	}
	p := &gatewayProcess{options: o, logger: logger, metrics: metrics.NewSet(), traffic: &rpc.Traffic{}, hosts: map[string]*holder.Host{}}
	p.malformed = malformed.New(logger, p.metrics)
	client := adapter.NewStore(*o.storeAddress)
	direct := store.NewMetered(client, p.metrics)
	p.store, p.configReader = direct, direct
	var recentReader store.RecentReader = store.NewDirectReader(direct)
	if *o.relayAddress != "" {
		if p.relay, err = p.startRelay(ctx, direct); err != nil {
			return err
		}
		p.store, p.configReader, recentReader = p.relay, p.relay.Feed(), p.relay
	}
	p.follower = gateway.NewFollower(clock.System{}, adapter.NewConfigReader(p.configReader), logger, p.malformed)
	var keys gateway.KeysOf = gateway.KeysByID
	if *o.legacyJobKeys {
		keys = pool.LegacyKeysOf
	}
	p.gateway = gateway.New(p.store, keys, recentReader, p, p.follower, p.metrics, logger, p.malformed)
	followCtx, stopFollowing := context.WithCancel(context.Background())
	defer stopFollowing()
	go p.follower.Run(followCtx)
	go clock.WatchPauses(followCtx, clock.System{}, func(pause clock.Pause) { p.handlePause(pause, client) })
	go process.LogDelays(followCtx, "gateway", logger)
	p.serveAdmin(listeners[2])
	go serve(listeners[1], adapter.ReadyHandler(func() bool { return p.gateway.Ready(clock.Now()) }))
	callers := &http.Server{
		Handler:           adapter.NewCallerHandler(p.gateway),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
	}
	go func() { _ = callers.Serve(listeners[0]) }()
	logger.Info().Str("name", *o.name).Str("callers", *o.callerAddress).Msg("gateway: started")
	p.hostPools(ctx)
	<-ctx.Done()
	p.shutdown(callers)
	return nil
}

// handlePause handles a pause of the process: it notifies the hosts, logs whether the configuration has lapsed, and
// closes idle connections to the store, which may have broken.
func (p *gatewayProcess) handlePause(pause clock.Pause, client *adapter.Store) {
	p.metrics.GetOrCreateCounter("hollyfork_gateway_absences_total").Inc()
	age := p.follower.Age(clock.Now())
	p.logger.Warn().Dur("for", pause.Duration).Dur("suspended", pause.Suspended).Int64("config_age_ms", age.Milliseconds()).
		Bool("config_lapsed", age > gateway.MaxConfigAge).Strs("pools", p.resumeHosts()).Msg("gateway: process was paused")
	client.CloseIdleConnections()
}

// startRelay starts the server for other gateways. It returns a store that goes through other gateways while the
// store itself throttles this one or is unavailable to it.
func (p *gatewayProcess) startRelay(ctx context.Context, direct store.Store) (*relay.Store, error) {
	listener, err := launch.Listen(*p.options.relayAddress)
	if err != nil {
		return nil, err
	}
	maxGateways, err := launch.FileLimit(relayFileDivisor)
	if err != nil {
		return nil, err
	}
	relayStore := relay.New(relay.Deps{
		Direct: direct, Clock: clock.System{}, Name: *p.options.name, Table: adapter.ConfigTable,
		Metrics: p.metrics, Traffic: p.traffic, Logger: p.logger, Malformed: p.malformed,
	})
	server := rpc.NewServer(maxGateways, p.traffic)
	if err := server.Register(relay.ServiceName, relayStore.Service()); err != nil {
		return nil, err
	}
	if err := server.Register(holder.NoticeServiceName, holder.NewNoticeService(p.host)); err != nil {
		return nil, err
	}
	go func() { _ = server.Serve(listener) }()
	p.running.Go(func() {
		relayStore.Run(ctx, relay.Gateway{Name: *p.options.name, Address: *p.options.relayAddress, CPUs: p.cpuCapacity()})
	})
	return relayStore, nil
}

// cpuCapacity returns the gateway's CPU capacity, in CPUs of the usual speed.
func (p *gatewayProcess) cpuCapacity() float64 {
	return *p.options.cpuShare * *p.options.cpuSpeed
}

// takeoverDelay returns how long this gateway leaves a free pool to relays with more CPU capacity. The argument is
// the address of the pool's last holder, which is not counted.
func (p *gatewayProcess) takeoverDelay(holder string) time.Duration {
	strongest := p.relay.MaxCPUs(holder)
	if strongest <= p.cpuCapacity() {
		return 0
	}
	return time.Duration((1 - p.cpuCapacity()/strongest) * float64(maxTakeoverDelay))
}

// shutdown hands the pools over, waits until the load balancer sends no more requests, and completes the requests
// in progress.
func (p *gatewayProcess) shutdown(callers *http.Server) {
	p.logger.Info().Msg("gateway: stopping")
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	p.gateway.Stop()
	lameDuckEnd := time.NewTimer(lameDuckPeriod)
	p.running.Wait()
	<-lameDuckEnd.C
	if err := callers.Shutdown(ctx); err != nil {
		p.logger.Warn().Err(err).Msg("gateway: requests were still in progress")
	}
	p.logger.Info().Msg("gateway: stopped")
}

// listenAll listens on the addresses. The listener of an empty address is nil.
func listenAll(addresses ...string) ([]net.Listener, error) {
	listeners := make([]net.Listener, len(addresses))
	for i, address := range addresses {
		if address == "" {
			continue
		}
		listener, err := launch.Listen(address)
		if err != nil {
			return nil, err
		}
		listeners[i] = listener
	}
	return listeners, nil
}

func serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	_ = server.Serve(listener)
}
