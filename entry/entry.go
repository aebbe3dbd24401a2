package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/asynkron/protoactor-go/actor"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"hollyfork.example/hollyfork/api"
	"hollyfork.example/hollyfork/clock"
	"hollyfork.example/hollyfork/hall"
	"hollyfork.example/hollyfork/mailbox"
	"hollyfork.example/hollyfork/store"
	"hollyfork.example/rpc"
	"hollyfork.example/wire"
)

const (
	pollInterval = time.Second
	// rebalanceInterval is the interval at which halls are asked to move waiting jobs to halls with free
	// accelerators.
	rebalanceInterval = 5 * time.Second
	viewTimeout       = 2 * time.Second
	retryAfter        = 2 * time.Second

	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// DefaultMaxRequests is the limit on concurrent requests if Settings.MaxRequests is 0.
	DefaultMaxRequests = 512
)

// Settings are the settings of an entry.
type Settings struct {
	// Name identifies this entry among the others.
	Name string
	// Halls are the halls that it serves.
	Halls []string
	// MaxRequests limits the concurrent requests; 0 means DefaultMaxRequests.
	MaxRequests int
}

// Deps are the dependencies of an entry.
type Deps struct {
	System  *actor.ActorSystem
	Store   store.Store
	VMs     hall.VMLister
	Traffic *rpc.Traffic
	// Metrics is the set in which the entry registers its counters.
	Metrics *metrics.Set
	Logger  *log.Logger
}

// Entry serves the resource API. Create it with New, then call Serve.
type Entry struct {
	settings    Settings
	deps        Deps
	directory   *directory
	catalog     *actor.PID
	server      *http.Server
	slots       chan struct{}
	submissions *submissionLimiter

	// ctx is cancelled to stop polling.
	ctx    context.Context
	cancel context.CancelFunc
	// watchersStopped is closed when watchers have to reconnect to another entry.
	watchersStopped  chan struct{}
	stopWatchersOnce sync.Once
	// leaving reports whether the entry is about to stop.
	leaving atomic.Bool
	// sentCount numbers the jobs that were sent to halls.
	sentCount atomic.Uint64
}

// New returns an entry that has begun to poll the configuration and the halls' statuses.
func New(settings Settings, deps Deps) *Entry {
	if settings.MaxRequests <= 0 {
		settings.MaxRequests = DefaultMaxRequests
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		settings:        settings,
		deps:            deps,
		directory:       newDirectory(deps.Store, deps.Traffic),
		catalog:         deps.System.Root.Spawn(actor.PropsFromProducer(newCatalog)),
		slots:           make(chan struct{}, settings.MaxRequests),
		submissions:     newSubmissionLimiter(settings.MaxRequests),
		ctx:             ctx,
		cancel:          cancel,
		watchersStopped: make(chan struct{}),
	}
	e.server = &http.Server{
		Handler:           e.handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
	go e.poll(pollInterval, e.readConfig)
	go e.poll(rebalanceInterval, e.rebalance)
	for _, name := range settings.Halls {
		go e.poll(pollInterval, func() { e.readStatus(name) })
	}
	return e
}

// Serve handles requests on a listener until Shutdown is called, and then returns nil.
func (e *Entry) Serve(listener net.Listener) error {
	if err := e.server.Serve(listener); err != http.ErrServerClosed {
		return api.NewError(api.KindInternal, err.Error()).WithOp("serve")
	}
	return nil
}

// Leave makes the entry report that it is not ready. It keeps serving requests.
func (e *Entry) Leave() {
	e.leaving.Store(true)
}

// Shutdown stops accepting requests, tells watchers to reconnect to another entry, waits for the requests in progress
// until ctx is done, and stops the entry.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.stopWatchersOnce.Do(func() { close(e.watchersStopped) })
	err := e.server.Shutdown(ctx)
	e.cancel()
	e.directory.close()
	_ = e.deps.System.Root.StopFuture(e.catalog).Wait()
	return err
}

// poll calls do immediately and then at each interval, until the entry stops.
func (e *Entry) poll(interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		do()
		select {
		case <-e.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (e *Entry) readConfig() {
	view := e.View()
	var config *wire.Configuration
	var err error
	if view.Config == nil {
		config, _, err = hall.ReadConfig(e.ctx, e.deps.Store)
	} else {
		config, err = hall.ReadNewerConfig(e.ctx, e.deps.Store, view.ConfigVersion())
	}
	if err != nil {
		e.deps.Logger.Warn().Err(err).Msg("entry: the configuration could not be read")
		return
	}
	if config == nil {
		return
	}
	e.deps.System.Root.Send(e.catalog, configRead{config: config})
}

func (e *Entry) readStatus(name string) {
	ctx, cancel := context.WithTimeout(e.ctx, viewTimeout)
	defer cancel()
	request := &wire.HallStatusRequest{Entry: e.settings.Name, ConfigVersion: e.View().ConfigVersion()}
	if _, err := e.askStatus(ctx, name, request); err != nil {
		e.deps.Logger.Debug().Str("hall", name).Err(err).Msg("entry: a hall did not answer")
	}
}

// askStatus requests the status of a hall. The catalog records it without the workers.
func (e *Entry) askStatus(ctx context.Context, name string, request *wire.HallStatusRequest) (*wire.HallStatus, error) {
	requestedAt := clock.Now()
	status, err := callHolder[wire.HallStatus](ctx, e.directory, name, "Status", request)
	if err != nil || status.GetRefusal() != nil {
		return status, err
	}
	workers := status.GetWorkers()
	status.Workers = nil
	recorded := proto.CloneOf(status)
	status.Workers = workers
	e.deps.System.Root.Send(e.catalog, statusRead{hall: name, requestedAt: requestedAt, status: recorded})
	return status, nil
}

// View returns the entry's current view. It is empty if the catalog does not answer within viewTimeout.
func (e *Entry) View() View {
	view, err := mailbox.Call[viewRequest, View](e.deps.System.Root, e.catalog, viewRequest{}, viewTimeout)
	if err != nil {
		return View{}
	}
	return view
}
