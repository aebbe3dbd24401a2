package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"hollyfork.example/hollyfork/catalog"
	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire/poolpb"
)

const (
	// tryFor bounds the tries for one request: below half of the time that callers have
	// (3 s), so that they can come again.
	tryFor = 1300 * time.Millisecond
	// RetryAfter is when to come back to a gateway that can't reach the store: its outages
	// last seconds, and another gateway may reach it.
	RetryAfter = 1 * time.Second
)

var errAway = errors.New("the store is away")

type (
	// Call is what all requests have.
	Call struct {
		// ID names the request in the log.
		ID   string
		Host string
		Path string
		Key  string
		// Time is how long the caller waits; 0 when it did not say.
		Time time.Duration
	}

	// Gateway answers callers. Create it with New.
	Gateway struct {
		store    store.Store
		follower *Follower
		logger   *log.Logger
		metrics  *metrics.Set
		stopping atomic.Bool
	}

	// target is what a call is about.
	target struct {
		queue     catalog.Queue
		workspace string
		// rest is the path behind the queue's prefix.
		rest string
	}
)

// New returns a gateway that works with the configuration of a follower and counts in a
// set.
func New(s store.Store, follower *Follower, set *metrics.Set, logger *log.Logger) *Gateway {
	return &Gateway{store: s, follower: follower, metrics: set, logger: logger}
}

// Ready says whether callers should come to this gateway.
func (g *Gateway) Ready(now time.Time) bool {
	return !g.stopping.Load() && g.follower.Fresh(now)
}

// Stop makes the gateway say that it is not ready. It goes on answering.
func (g *Gateway) Stop() {
	g.stopping.Store(true)
}

// Stopping says whether the gateway is about to end.
func (g *Gateway) Stopping() bool {
	return g.stopping.Load()
}

// BodyLimit is the most bytes of a request's body.
func (g *Gateway) BodyLimit() int {
	if limit := g.follower.Catalog().Limits.BodyBytes; limit > 0 {
		return limit
	}
	return defaultBodyLimit
}

// defaultBodyLimit holds until there is a configuration; the users' limit is the same.
const defaultBodyLimit = 256 << 10

// resolve finds what a call is about, and whether it may be made.
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
	ws, known := config.Holder(call.Key)
	if !known && !queue.Open {
		return target{}, &Error{Op: op, Kind: KindUnauthorised}
	}
	t.workspace = ws.Name
	return t, nil
}

// logAnswer writes a line on a request and its outcome.
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

// retry runs a request to the store until it was answered or the caller's time runs out.
// It says whether any try went unanswered.
func (g *Gateway) retry(ctx context.Context, call Call, try func(context.Context) error) (unsettled bool, err error) {
	budget := tryFor
	if call.Time > 0 {
		budget = min(budget, call.Time*2/5)
	}
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	wait := firstRetry
	for {
		err = try(ctx)
		switch store.KindOf(err) {
		case store.KindUnsettled:
			unsettled = true
		case store.KindRefused:
		default:
			return unsettled, err
		}
		if !store.Sleep(ctx, wait/2+rand.N(wait/2)) {
			return unsettled, err
		}
		wait = min(2*wait, lastRetry)
	}
}

// Submit accepts a job under the identifier in the path. The job is read with decode once
// it is known that the caller may hand it in.
func (g *Gateway) Submit(ctx context.Context, call Call, decode func() (job.Job, error)) error {
	began := time.Now()
	err := g.submit(ctx, call, decode)
	g.logAnswer(time.Now(), "submit", call, began, err)
	return err
}

func (g *Gateway) submit(ctx context.Context, call Call, decode func() (job.Job, error)) error {
	const op = "submit"
	t, err := g.resolve(time.Now(), op, call)
	if err != nil {
		return err
	}
	j, err := decode()
	if err != nil {
		return &Error{Op: op, Kind: KindInvalid, Err: err}
	}
	j.ID = job.ID(t.rest)
	j.Queue = t.queue.Name
	j.Workspace = t.workspace
	j.Terms = t.queue.Terms
	if err := j.Validate(); err != nil {
		return &Error{Op: op, Kind: KindInvalid, Err: err}
	}
	return g.accept(ctx, call, t.queue.Pool, j)
}

// accept writes a job's row, unless it is there.
func (g *Gateway) accept(ctx context.Context, call Call, poolName string, j job.Job) error {
	key := pool.JobKey(poolName, j.ID)
	row := pool.Encode(pool.JobRow(j, g.follower.StoreClock(time.Now())))
	txn := store.Txn{
		Checks: []store.Check{{Key: key}},
		Writes: []store.Write{{Key: key, Value: row}},
	}
	unsettled, err := g.retry(ctx, call, func(ctx context.Context) error { return g.write(ctx, txn) })
	if store.KindOf(err) == store.KindConflict {
		// The job was accepted before: by this request, by an earlier one, or elsewhere.
		return nil
	}
	return writeError("submit", unsettled, err)
}

// write commits a transaction, unless the store is known to be away: then it is certain that
// nothing was done, and the caller can be told so.
func (g *Gateway) write(ctx context.Context, txn store.Txn) error {
	if g.follower.StoreAway() {
		return &store.Error{Op: "commit", Kind: store.KindRefused, Err: errAway}
	}
	_, err := g.store.Commit(ctx, txn)
	return err
}

// writeError says what a caller is told of a write that failed.
func writeError(op string, unsettled bool, err error) error {
	switch {
	case err == nil:
		return nil
	case unsettled:
		return &Error{Op: op, Kind: KindUnsettled, Err: err}
	default:
		return &Error{Op: op, Kind: KindUnavailable, RetryAfter: RetryAfter, Err: err}
	}
}

// State tells where a job stands.
func (g *Gateway) State(ctx context.Context, call Call) (pool.State, error) {
	began := time.Now()
	state, err := g.state(ctx, call)
	g.logAnswer(time.Now(), "state", call, began, err)
	return state, err
}

func (g *Gateway) state(ctx context.Context, call Call) (pool.State, error) {
	const op = "state"
	t, err := g.resolve(time.Now(), op, call)
	if err != nil {
		return 0, err
	}
	found, err := g.find(ctx, op, call, t)
	if err != nil {
		return 0, err
	}
	row, err := g.readRow(ctx, op, call, pool.StateKey(t.queue.Pool, found.id))
	if err != nil {
		return 0, err
	}
	state, err := pool.StateOf(row)
	if err != nil {
		return 0, &Error{Op: op, Kind: KindUnavailable, RetryAfter: RetryAfter, Err: err}
	}
	if found.cancelled && state != pool.Done && state != pool.Failed {
		return pool.Cancelled, nil
	}
	return state, nil
}

// found is what callers wrote of a job.
type found struct {
	id        job.ID
	cancelled bool
}

// find reads what callers wrote of the job that a call names.
func (g *Gateway) find(ctx context.Context, op string, call Call, t target) (found, error) {
	id := job.ID(t.rest)
	if !job.ValidID(t.rest) {
		return found{}, &Error{Op: op, Kind: KindNoJob}
	}
	page, err := g.read(ctx, op, call, pool.JobRange(t.queue.Pool, id))
	if err != nil {
		return found{}, err
	}
	result := found{id: id}
	exists := false
	for _, row := range page.Rows {
		switch row.Key {
		case pool.JobKey(t.queue.Pool, id):
			exists = g.mayRead(t, row)
		case pool.CancelKey(t.queue.Pool, id):
			result.cancelled = true
		}
	}
	if !exists {
		return found{}, &Error{Op: op, Kind: KindNoJob}
	}
	return result, nil
}

// mayRead says whether a job belongs to the caller's workspace.
func (g *Gateway) mayRead(t target, row store.Row) bool {
	content := &poolpb.JobRow{}
	if err := proto.Unmarshal(row.Value, content); err != nil {
		g.logger.Error().Err(err).Str("row", row.Key.Name).Msg("gateway: a row can not be read")
		return false
	}
	return content.GetWorkspace() == t.workspace || t.queue.Open
}

func (g *Gateway) read(ctx context.Context, op string, call Call, r store.Range) (store.Page, error) {
	var page store.Page
	_, err := g.retry(ctx, call, func(ctx context.Context) error {
		var err error
		page, err = g.store.Read(ctx, r)
		return err
	})
	if err != nil {
		return page, &Error{Op: op, Kind: KindUnavailable, RetryAfter: RetryAfter, Err: err}
	}
	return page, nil
}

// readRow reads one row; one that does not exist has version 0.
func (g *Gateway) readRow(ctx context.Context, op string, call Call, key store.Key) (store.Row, error) {
	page, err := g.read(ctx, op, call, store.Range{Table: key.Table, Part: key.Part, From: key.Name, To: key.Name + "~"})
	if err != nil {
		return store.Row{}, err
	}
	for _, row := range page.Rows {
		if row.Key == key {
			return row, nil
		}
	}
	return store.Row{Key: key}, nil
}

// Cancel ends a job.
func (g *Gateway) Cancel(ctx context.Context, call Call) error {
	began := time.Now()
	err := g.cancel(ctx, call)
	g.logAnswer(time.Now(), "cancel", call, began, err)
	return err
}

func (g *Gateway) cancel(ctx context.Context, call Call) error {
	const op = "cancel"
	t, err := g.resolve(time.Now(), op, call)
	if err != nil {
		return err
	}
	found, err := g.find(ctx, op, call, t)
	if err != nil || found.cancelled {
		return err
	}
	key := pool.CancelKey(t.queue.Pool, found.id)
	row := pool.Encode(pool.CancelRow(g.follower.StoreClock(time.Now())))
	txn := store.Txn{Writes: []store.Write{{Key: key, Value: row}}}
	unsettled, err := g.retry(ctx, call, func(ctx context.Context) error { return g.write(ctx, txn) })
	return writeError(op, unsettled, err)
}

// Waiting counts a queue's jobs of which no task has begun.
func (g *Gateway) Waiting(ctx context.Context, call Call) (int, error) {
	began := time.Now()
	count, err := g.waiting(ctx, call)
	g.logAnswer(time.Now(), "waiting", call, began, err)
	return count, err
}

func (g *Gateway) waiting(ctx context.Context, call Call) (int, error) {
	const op = "waiting"
	t, err := g.resolve(time.Now(), op, call)
	if err != nil {
		return 0, err
	}
	row, err := g.readRow(ctx, op, call, pool.SummaryKey(t.queue.Pool))
	if err != nil {
		return 0, err
	}
	return pool.WaitingOf(row, t.queue.Name), nil
}
