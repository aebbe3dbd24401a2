package gateway

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"hollyfork.example/hollyfork/backoff"
	"hollyfork.example/hollyfork/catalog"
	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/malformed"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/store"
)

const (
	// retryBudget bounds the total time of the tries for one request: below half of the time that callers have
	// (3 s), so that they can retry.
	retryBudget = 1300 * time.Millisecond
	// RetryAfter is the delay before callers should retry when a gateway can't reach the store: outages of the
	// store last seconds, and another gateway may reach it.
	RetryAfter = 1 * time.Second
)

var (
	errStoreUnavailable = errors.New("the store is unavailable")
	errConfigStale      = errors.New("the configuration may be out of date")
	errNoPool           = errors.New("it names no pool")
	errWithdrawn        = errors.New("the identifier was cancelled a short time ago")
	errManyWithdrawals  = errors.New("the workspace has cancelled too many unknown jobs")
)

type (
	// Call has the properties common to all requests.
	Call struct {
		// ID identifies the request in the log.
		ID   string
		Host string
		Path string
		Key  string
		// Timeout is how long the caller waits; 0 if the caller did not set it.
		Timeout time.Duration
	}

	// Notifier notifies the holder of a pool of a committed row, with a reading of the store's clock. It must not
	// block, and may lose notices.
	Notifier interface {
		Notify(poolName string, row store.Row, clock time.Duration)
	}

	// KeysOf returns the keys under which callers' rows of a job that is accepted for a pool are written.
	KeysOf func(poolName string, id job.ID) pool.JobKeys

	// Gateway serves the requests of callers. Create it with New.
	Gateway struct {
		store     store.Store
		recent    store.RecentReader
		keys      KeysOf
		notifier  Notifier
		follower  *Follower
		logger    *log.Logger
		malformed *malformed.Registry
		metrics   *metrics.Set
		stopping  atomic.Bool
		// withdrawals counts the cancellations of unknown jobs.
		withdrawals withdrawalCounter
	}

	// target is the queue and the path in it that a call addresses, and the workspace of the caller.
	target struct {
		queue     catalog.Queue
		workspace string
		// rest is the path after the queue's prefix.
		rest string
	}
)

// New returns a gateway that uses the configuration of a follower. It writes the rows of new jobs under keys, which is
// KeysByID but for a change of releases, reads rows that may be slightly out of date through recent, notifies holders
// of committed rows, and records rows that it can't decode in a registry.
func New(s store.Store, keys KeysOf, recent store.RecentReader, notifier Notifier, follower *Follower, set *metrics.Set, logger *log.Logger, registry *malformed.Registry) *Gateway {
	return &Gateway{store: s, keys: keys, recent: recent, notifier: notifier, follower: follower, metrics: set, logger: logger, malformed: registry}
}

// KeysByID returns the keys by the identifier of the job alone.
func KeysByID(_ string, id job.ID) pool.JobKeys {
	return pool.KeysOf(id)
}

// now returns the current time on the follower's clock.
func (g *Gateway) now() time.Time {
	return g.follower.clock.Now()
}

// Ready reports whether callers should send requests to this gateway.
func (g *Gateway) Ready(now time.Time) bool {
	return !g.stopping.Load() && g.follower.Fresh(now)
}

// Stop makes Ready report false. The gateway still serves requests.
func (g *Gateway) Stop() {
	g.stopping.Store(true)
}

// Stopping reports whether Stop was called.
func (g *Gateway) Stopping() bool {
	return g.stopping.Load()
}

// BodyLimit returns the maximum size of a request's body in bytes.
func (g *Gateway) BodyLimit() int {
	if limit := g.follower.Catalog().Limits.MaxBodyBytes; limit > 0 {
		return limit
	}
	return defaultBodyLimit
}

// defaultBodyLimit applies until there is a configuration; the platform's limit is the same.
const defaultBodyLimit = 256 << 10

// resolve returns the target of a call, or an error if the call is not allowed.
func (g *Gateway) resolve(now time.Time, op string, call Call) (target, error) {
	config := g.follower.Catalog()
	if config.Version == 0 {
		return target{}, &Error{Op: op, Kind: KindUnavailable, RetryAfter: RetryAfter}
	}
	if !g.follower.Fresh(now) {
		return target{}, &Error{Op: op, Kind: KindUnavailable, RetryAfter: RetryAfter}
	}
	queue, ok := config.Match(call.Host, call.Path)
	if !ok {
		return target{}, &Error{Op: op, Kind: KindNoQueue}
	}
	t := target{queue: queue, rest: strings.TrimPrefix(call.Path, queue.Prefix)}
	ws, known := config.WorkspaceByKey(call.Key)
	if !known && !queue.Public {
		return target{}, &Error{Op: op, Kind: KindUnauthorised}
	}
	t.workspace = ws.Name
	return t, nil
}

// logAnswer logs and counts a request and its outcome.
func (g *Gateway) logAnswer(now time.Time, op string, call Call, began time.Time, err error) {
	entry := g.logger.Info()
	if err != nil {
		entry = g.logger.Warn().Err(err)
	}
	outcome := outcomeOf(err)
	g.metrics.GetOrCreateCounter(fmt.Sprintf(`hollyfork_gateway_requests_total{op=%q,outcome=%q}`, op, outcome)).Inc()
	g.metrics.GetOrCreateHistogram(fmt.Sprintf(`hollyfork_gateway_request_seconds{op=%q}`, op)).Update(now.Sub(began).Seconds())
	entry.Str("request", call.ID).Str("op", op).Str("path", call.Path).Str("outcome", outcome).
		Uint64("config", g.follower.Catalog().Version).
		Int64("config_age_ms", g.follower.Age(now).Milliseconds()).
		Int64("took_ms", now.Sub(began).Milliseconds()).
		Msg("gateway: answered")
}

func outcomeOf(err error) string {
	if err == nil {
		return "ok"
	}
	return AsError(err).Kind.String()
}

// tryIfFresh runs a request to the store unless the configuration may be out of date.
func (g *Gateway) tryIfFresh(ctx context.Context, try func(context.Context) error) error {
	if !g.follower.Fresh(g.now()) {
		return &store.Error{Op: "try", Kind: store.KindRefused, Err: errConfigStale}
	}
	return try(ctx)
}

// retry runs a request to the store until it is answered or the time budget is used up. It also reports whether
// the outcome of any try is unknown. It checks the freshness of the configuration before each try, because the
// process may have been paused since the caller's key was checked.
func (g *Gateway) retry(ctx context.Context, call Call, try func(context.Context) error) (outcomeUnknown bool, err error) {
	budget := retryBudget
	if call.Timeout > 0 {
		budget = min(budget, call.Timeout*2/5)
	}
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	retryDelay := backoff.New(minRetryDelay, maxRetryDelay)
	for {
		err = g.tryIfFresh(ctx, try)
		switch store.KindOf(err) {
		case store.KindOutcomeUnknown:
			outcomeUnknown = true
		case store.KindRefused:
		default:
			return outcomeUnknown, err
		}
		if !retryDelay.Wait(ctx) {
			return outcomeUnknown, err
		}
	}
}
