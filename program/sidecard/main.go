// Package sidecard implements the main function of hollyfork-sidecar, the agent beside a worker.
package sidecard

import (
	"context"
	"io"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"hollyfork.example/hollyfork/clock"
	"hollyfork.example/hollyfork/holder"
	"hollyfork.example/hollyfork/malformed"
	"hollyfork.example/hollyfork/platform/adapter"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/process"
	"hollyfork.example/hollyfork/process/launch"
	"hollyfork.example/hollyfork/settings"
	"hollyfork.example/hollyfork/sidecar"
	"hollyfork.example/hollyfork/store"
	"hollyfork.example/rpc"
	"hollyfork.example/wire/poolpb"
)

const (
	// headerTimeout bounds the time to read the header of a worker's request, and idleTimeout bounds the time
	// between its requests.
	headerTimeout = 3 * time.Second
	idleTimeout   = 30 * time.Second
	// shutdownTimeout bounds the time for requests in progress to complete during shutdown.
	shutdownTimeout = time.Second
	// maxHolderConnections bounds the connections of holders. Besides the current holder, former holders
	// that have not noticed the loss of the pool may be connected.
	maxHolderConnections = 8
	// holderIdleTimeout is the time without a request after which a holder's connection is closed. A holder
	// renews the agent's lease every 0.5 s and abandons a renewal after 1.3 s.
	holderIdleTimeout = 5 * time.Second
)

// options are the settings of the process.
type options struct {
	name             *string
	pool             *string
	holderAddress    *string
	advertiseAddress *string
	heartbeatAddress *string
	workerAddress    *string
	adminAddress     *string
	storeAddress     *string
	logLevel         *string
}

// Main runs the agent until it receives a signal to stop, and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	s := settings.New("hollyfork-sidecar", stderr)
	o := options{
		name:             settings.Add(s, "sidecar.name", "", "name of this agent", settings.Text),
		pool:             settings.Add(s, "sidecar.pool", "", "name of the worker's pool", settings.Text),
		holderAddress:    settings.Add(s, "sidecar.holders", "", "IP address and port for the pool's holder", settings.Address),
		advertiseAddress: settings.Add(s, "sidecar.advertise", "", "IP address and port at which the holder reaches the agent, if it differs from sidecar.holders", settings.OptionalAddress),
		heartbeatAddress: settings.Add(s, "sidecar.heartbeats", "", "IP address and port for the worker's heartbeats", settings.Address),
		workerAddress:    settings.Add(s, "sidecar.worker", "", "IP address and port of the worker", settings.Address),
		adminAddress:     settings.Add(s, "sidecar.metrics", "", "IP address and port for metrics and the state dump; empty for none", settings.OptionalAddress),
		storeAddress:     settings.Add(s, "platform.store", "", "IP address and port of the store", settings.Address),
		logLevel:         launch.LogLevel(s),
	}
	if code, done := launch.Parse(s, args, stdout, stderr); done {
		return code
	}
	return launch.Run("agent", *o.logLevel, stdout, stderr, func(logger *log.Logger) error { return run(o, logger) })
}

func run(o options, logger *log.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGHUP)
	holderListener, err := launch.Listen(*o.holderAddress)
	if err != nil {
		return err
	}
	heartbeatListener, err := launch.Listen(*o.heartbeatAddress)
	if err != nil {
		return err
	}
	set := metrics.NewSet()
	worker := adapter.NewWorker(*o.workerAddress)
	// The agent counts the leases of earlier incarnations from its own start, so it starts once their ports are free.
	agent := sidecar.New(clock.System{}, worker, set, logger)
	server := rpc.NewServer(maxHolderConnections, nil).WithIdleTimeout(holderIdleTimeout)
	if err := server.Register(holder.ServiceName, agent.Service()); err != nil {
		return err
	}
	registry := malformed.New(logger, set)
	if err := serveAdmin(*o.adminAddress, agent, registry, set); err != nil {
		return err
	}
	go func() { _ = server.Serve(holderListener) }()
	heartbeatServer := &http.Server{Handler: adapter.HeartbeatHandler(agent, *o.pool, registry), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	go func() { _ = heartbeatServer.Serve(heartbeatListener) }()
	go newRegistrar(o, agent, logger).Run(ctx)
	go clock.WatchPauses(ctx, clock.System{}, func(pause clock.Pause) {
		logger.Warn().Dur("for", pause.Duration).Dur("suspended", pause.Suspended).Dur("lease_left", agent.State(clock.Now()).LeaseRemaining).Msg("agent: process was paused")
		worker.CloseIdleConnections()
	})
	go process.LogDelays(ctx, "agent", logger)
	logger.Info().Str("name", *o.name).Str("pool", *o.pool).Str("worker", *o.workerAddress).Str("incarnation", agent.State(clock.Now()).Incarnation).Msg("agent: started")
	agent.Run(ctx)
	logger.Info().Msg("agent: stopping")
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = heartbeatServer.Shutdown(shutdownCtx)
	_ = server.Shutdown(shutdownCtx)
	return nil
}

// newRegistrar returns a registrar that registers the agent's address in the store.
func newRegistrar(o options, agent *sidecar.Agent, logger *log.Logger) *sidecar.Registrar {
	address := *o.advertiseAddress
	if address == "" {
		address = *o.holderAddress
	}
	row := store.Write{Key: pool.AgentKey(*o.pool, *o.name), Value: pool.Encode(&poolpb.AgentRow{Address: address})}
	return sidecar.NewRegistrar(clock.System{}, adapter.NewStore(*o.storeAddress).Background(), row, agent.LastSync, logger)
}

// state is the state of the process as operators see it.
type state struct {
	sidecar.State
	// Malformed lists the heartbeats that could not be decoded, by sender.
	Malformed []malformed.Entry `json:"malformed,omitempty"`
}

func serveAdmin(address string, agent *sidecar.Agent, registry *malformed.Registry, set *metrics.Set) error {
	if address == "" {
		return nil
	}
	listener, err := launch.Listen(address)
	if err != nil {
		return err
	}
	go process.NewAdmin(func() any { return state{State: agent.State(clock.Now()), Malformed: registry.List()} }, set).Serve(listener)
	return nil
}
