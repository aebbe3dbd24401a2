package program

import (
	"context"
	"io"
	"net"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/asynkron/protoactor-go/actor"
	"github.com/google/uuid"
	"github.com/phuslu/log"

	"hollyfork.example/hollyfork/agent"
	"hollyfork.example/hollyfork/clock"
	"hollyfork.example/hollyfork/hall"
	"hollyfork.example/hollyfork/platform"
	"hollyfork.example/hollyfork/process"
	"hollyfork.example/hollyfork/process/actors"
	"hollyfork.example/hollyfork/process/launch"
	"hollyfork.example/hollyfork/settings"
	"hollyfork.example/rpc"
)

const (
	// standbyPollInterval and idlePollInterval are the intervals at which a process checks whether its hall is
	// free; see agentProcess.pollInterval.
	standbyPollInterval = time.Second
	idlePollInterval    = 10 * time.Second

	stopTimeout = 20 * time.Second
)

// agentConfig is the configuration of an agent process.
type agentConfig struct {
	name         string
	hall         string
	address      string
	machine      string
	storeAddress string
	vmsURL       string
	workerURL    string
	adminAddress string
	settings     hall.Settings
}

// agentProcess is a running agent, with the host that may hold its hall.
type agentProcess struct {
	agent   *agent.Agent
	host    *hall.Host
	server  *rpc.Server
	traffic *rpc.Traffic
	logger  *log.Logger

	stopHost context.CancelFunc
	running  sync.WaitGroup
}

// Agent is the main function of hollyfork-agent.
func Agent(args []string, stdout, stderr io.Writer) int {
	s := settings.New("hollyfork-agent", stderr)
	c := addCommonSettings(s)
	name := settings.Add(s, "agent.name", "", "name of the worker on this VM", settings.Name)
	hallName := settings.Add(s, "agent.hall", "", "hall of the worker", settings.Name)
	address := settings.Add(s, "agent.listen", "", "IP address and port for the other processes of the system", settings.Address)
	vm := settings.Add(s, "agent.vm", "", "the platform's identifier of this VM", settings.Text)
	worker := settings.Add(s, "platform.worker", "", "base URL of the worker on this VM", settings.URL)
	hallSettings := addHallSettings(s)
	if code, done := launch.Parse(s, args, stdout, stderr); done {
		return code
	}
	logger := process.NewLogger(stderr, *c.logLevel)
	listener, err := launch.Listen(*address)
	if err != nil {
		logger.Error().Err(err).Msg("agent: cannot listen")
		return launch.ExitFailure
	}
	config := agentConfig{
		name:         *name,
		hall:         *hallName,
		address:      *address,
		machine:      process.Machine(*vm),
		storeAddress: *c.storeAddress,
		vmsURL:       *c.vmsURL,
		workerURL:    *worker,
		adminAddress: *c.adminAddress,
		settings:     hallSettings(),
	}
	return runAgent(config, listener, logger)
}

// runAgent runs an agent until the process receives a signal to stop.
func runAgent(config agentConfig, listener net.Listener, logger *log.Logger) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	p, err := startAgent(clock.Now(), config, listener, actors.NewSystem(logger), logger)
	if err != nil {
		logger.Error().Err(err).Msg("agent: cannot start")
		return launch.ExitFailure
	}
	admin, err := startAdmin(config.adminAddress, p.dump, p.metrics())
	if err != nil {
		logger.Error().Err(err).Msg("agent: cannot start the admin server")
		return launch.ExitFailure
	}
	logger.Info().Str("worker", config.name).Str("address", config.address).Msg("agent: ready")
	<-ctx.Done()
	logger.Info().Msg("agent: stopping")
	p.stop()
	_ = admin.Close()
	return launch.ExitOK
}

// startAgent starts an agent and its host on a listener.
func startAgent(now time.Time, config agentConfig, listener net.Listener, system *actor.ActorSystem, logger *log.Logger) (*agentProcess, error) {
	traffic := &rpc.Traffic{}
	p := &agentProcess{
		agent:   agent.New(now, system, platform.NewWorker(config.workerURL), uuid.NewString(), config.machine, logger),
		server:  rpc.NewServer(rpc.DefaultMaxConnections, traffic),
		traffic: traffic,
		logger:  logger,
	}
	deps := hall.Deps{
		System:  system,
		Store:   newStore(config.storeAddress),
		VMs:     platform.NewVMs(config.vmsURL),
		Traffic: traffic,
		Logger:  logger,
	}
	p.host = hall.NewHost(config.hall, config.name, config.address, deps, config.settings, p.pollInterval, p.agent.LearnEpoch)
	if err := p.server.Register(agent.ServiceName, p.agent.Service()); err != nil {
		return nil, err
	}
	if err := p.server.Register(hall.ServiceName, p.host.Service()); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.stopHost = cancel
	p.running.Go(func() { p.host.Run(ctx) })
	p.running.Go(func() { _ = p.server.Serve(listener) })
	return p, nil
}

// pollInterval returns the interval at which to check whether the hall is free. It is short if the holder has made
// this process a standby, or if no holder has renewed the agent's lease yet.
func (p *agentProcess) pollInterval() time.Duration {
	if p.agent.StandbyRank() > 0 || !p.agent.Leased() {
		return standbyPollInterval
	}
	return idlePollInterval
}

// stop rejects new work, hands the hall over, completes the requests in progress, and closes the agent. The worker's
// tasks continue to run.
func (p *agentProcess) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	p.agent.Leave(ctx)
	p.stopHost()
	if err := p.server.Shutdown(ctx); err != nil {
		p.logger.Warn().Err(err).Msg("agent: requests were still in progress")
	}
	p.running.Wait()
	_ = p.agent.Close()
}

// agentDump is the state of an agent process as operators see it.
type agentDump struct {
	Agent *agent.State `json:"agent"`
	Hall  *hall.State  `json:"hall,omitempty"`
}

func (p *agentProcess) dump() any {
	dump := agentDump{}
	if state, err := p.agent.State(); err == nil {
		dump.Agent = &state
	}
	if state, ok := p.host.State(); ok {
		dump.Hall = &state
	}
	return dump
}

func (p *agentProcess) metrics() *metrics.Set {
	set := metrics.NewSet()
	addTrafficMetrics(set, p.traffic)
	addHallMetrics(set, p.host.State)
	return set
}
