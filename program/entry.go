package program

import (
	"context"
	"io"
	"net"
	"os/signal"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/asynkron/protoactor-go/actor"
	"github.com/phuslu/log"

	"hollyfork.example/hollyfork/entry"
	"hollyfork.example/hollyfork/platform"
	"hollyfork.example/hollyfork/process"
	"hollyfork.example/hollyfork/process/actors"
	"hollyfork.example/hollyfork/process/launch"
	"hollyfork.example/hollyfork/settings"
	"hollyfork.example/rpc"
)

const maxRequestsLimit = 100_000

// entryConfig is the configuration of an entry process.
type entryConfig struct {
	settings     entry.Settings
	storeAddress string
	vmsURL       string
	adminAddress string
	// lameDuckPeriod is the time for which the entry continues to serve after the signal to stop. It reports that
	// it is not ready during this time, so that the load balancer stops sending requests.
	lameDuckPeriod time.Duration
}

// Entry is the main function of hollyfork-entry.
func Entry(args []string, stdout, stderr io.Writer) int {
	s := settings.New("hollyfork-entry", stderr)
	c := addCommonSettings(s)
	name := settings.Add(s, "entry.name", "", "name of this entry", settings.Name)
	address := settings.Add(s, "entry.listen", "", "IP address and port for callers", settings.Address)
	halls := settings.Add(s, "entry.halls", "", "comma-separated halls that the entry serves", settings.Names)
	maxRequests := settings.Add(s, "entry.max-requests", "512", "maximum number of concurrent requests", settings.Int(1, maxRequestsLimit))
	lameDuck := settings.Add(s, "entry.lame-duck", "3s", "time for which to continue to serve after the signal to stop", settings.Duration(0, time.Minute))
	if code, done := launch.Parse(s, args, stdout, stderr); done {
		return code
	}
	logger := process.NewLogger(stderr, *c.logLevel)
	listener, err := launch.Listen(*address)
	if err != nil {
		logger.Error().Err(err).Msg("entry: cannot listen")
		return launch.ExitFailure
	}
	config := entryConfig{
		settings:       entry.Settings{Name: *name, Halls: *halls, MaxRequests: *maxRequests},
		storeAddress:   *c.storeAddress,
		vmsURL:         *c.vmsURL,
		adminAddress:   *c.adminAddress,
		lameDuckPeriod: *lameDuck,
	}
	return runEntry(config, listener, logger)
}

// runEntry runs an entry until the process receives a signal to stop.
func runEntry(config entryConfig, listener net.Listener, logger *log.Logger) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	traffic := &rpc.Traffic{}
	set := metrics.NewSet()
	e := startEntry(config, listener, actors.NewSystem(logger), traffic, set, logger)
	addTrafficMetrics(set, traffic)
	admin, err := startAdmin(config.adminAddress, func() any { return e.View() }, set)
	if err != nil {
		logger.Error().Err(err).Msg("entry: cannot start the admin server")
		return launch.ExitFailure
	}
	logger.Info().Str("address", listener.Addr().String()).Msg("entry: ready")
	<-ctx.Done()
	logger.Info().Msg("entry: stopping")
	stopEntry(e, config.lameDuckPeriod, logger)
	_ = admin.Close()
	return launch.ExitOK
}

func startEntry(config entryConfig, listener net.Listener, system *actor.ActorSystem, traffic *rpc.Traffic, set *metrics.Set, logger *log.Logger) *entry.Entry {
	e := entry.New(config.settings, entry.Deps{
		System:  system,
		Store:   newStore(config.storeAddress),
		VMs:     platform.NewVMs(config.vmsURL),
		Traffic: traffic,
		Metrics: set,
		Logger:  logger,
	})
	go func() {
		if err := e.Serve(listener); err != nil {
			logger.Error().Err(err).Msg("entry: serving failed")
		}
	}()
	return e
}

// stopEntry waits until the load balancer sends no more requests, and then completes the requests in progress.
func stopEntry(e *entry.Entry, lameDuckPeriod time.Duration, logger *log.Logger) {
	e.Leave()
	time.Sleep(lameDuckPeriod)
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := e.Shutdown(ctx); err != nil {
		logger.Warn().Err(err).Msg("entry: requests were still in progress")
	}
}
