package relay

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"hollyfork.example/hollyfork/backoff"
	"hollyfork.example/hollyfork/clock"
	"hollyfork.example/hollyfork/malformed"
	"hollyfork.example/hollyfork/store"
	"hollyfork.example/rpc"
	"hollyfork.example/wire/relaypb"
)

const (
	// commitTimeout bounds a transaction through another gateway. It is slightly longer than the time that
	// the other gateway gives the store (0.8 s), because a transaction that is cut short has an unknown
	// outcome.
	commitTimeout = 900 * time.Millisecond
	// readTimeout bounds a read through another gateway, in addition to the requested wait. A slow store
	// answers within 0.3 s. An unresponsive gateway must not delay the request to the store itself until
	// the configuration is no longer fresh (3.5 s).
	readTimeout = 400 * time.Millisecond
	// followWait bounds the wait of a request for changes at another gateway, for the same reason.
	followWait = 500 * time.Millisecond
	// checkTimeout bounds the check whether the store is available. It is longer than a slow store takes.
	checkTimeout = 400 * time.Millisecond
	// minProbeDelay and maxProbeDelay bound the delays between probes of the store while it is unavailable.
	minProbeDelay = 200 * time.Millisecond
	maxProbeDelay = time.Second
)

// Operation names for logs and counters.
const (
	opCommit = "commit"
	opRead   = "read"
	opFollow = "follow"

	opWatch   = "watch"
	opMembers = "members"
	opRecent  = "recent"
)

type (
	// Deps holds the dependencies of a Store.
	Deps struct {
		// Direct is the platform's store without relays.
		Direct store.Store
		// Clock is the clock for the ages of rows.
		Clock clock.Clock
		// Name is the name of this gateway.
		Name string
		// Table is the table that gateways read through relays.
		Table   string
		Metrics *metrics.Set
		Traffic *rpc.Traffic
		Logger  *log.Logger
		// Malformed records slot rows that cannot be decoded.
		Malformed *malformed.Registry
	}

	// Store is the platform's store, called through another gateway while it is unavailable to this one.
	// Create it with New, then call Run.
	//
	// With the store unavailable to two of four gateways four times a day for 6 s, always including the
	// holder, calls through other gateways raise the share of the work completed in time from 0.921 to
	// 0.995.
	Store struct {
		direct    store.Store
		clock     clock.Clock
		name      string
		metrics   *metrics.Set
		logger    *log.Logger
		malformed *malformed.Registry
		route     *route
		peers     *peers
		feed      *Feed
		cache     *rowCache
		// lastSlotPage is the last page of slot rows that was read.
		lastSlotPage atomic.Pointer[store.Page]
	}

	// peerCall is a call through another gateway.
	peerCall func(ctx context.Context, client *rpc.Client) (*relaypb.Outcome, error)
)

// New returns a Store whose list of relays is empty.
func New(deps Deps) *Store {
	s := &Store{
		direct:    deps.Direct,
		clock:     deps.Clock,
		name:      deps.Name,
		metrics:   deps.Metrics,
		logger:    deps.Logger,
		malformed: deps.Malformed,
		route:     newRoute(),
		peers:     &peers{traffic: deps.Traffic},
	}
	s.feed = newFeed(s, deps.Table)
	s.cache = newRowCache(s.clock, s)
	return s
}

// Feed returns the feed of the table that gateways read through relays.
func (s *Store) Feed() *Feed {
	return s.feed
}

// MaxCPUs returns the largest CPU capacity of the relays other than this gateway and the one at the given
// address.
func (s *Store) MaxCPUs(except string) float64 {
	return s.peers.maxCPUs(except)
}

// Recent implements store.RecentReader. It reads from the cache of the relay that serves this gateway, so
// that the load on the store does not grow with the number of gateways.
func (s *Store) Recent(ctx context.Context, key store.Key, maxAge time.Duration) (store.Row, error) {
	upstream := s.feed.servingRelay()
	if upstream == nil {
		return s.cache.get(ctx, key, maxAge)
	}
	request := &relaypb.RecentRequest{Key: keyToProto(key), MaxAgeMs: int32(maxAge.Milliseconds())}
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	outcome, err := rpc.Call[relaypb.Outcome](callCtx, upstream.client, recentMethod, request)
	if err == nil {
		page, err := pageFromOutcome(opRecent, outcome)
		if err == nil && len(page.Rows) == 1 {
			return page.Rows[0], nil
		}
	}
	s.countCall(opRecent, "failed")
	return s.cache.get(ctx, key, maxAge)
}

// Commit implements store.Store.
func (s *Store) Commit(ctx context.Context, txn store.Txn) (store.Stamp, error) {
	call := func(ctx context.Context, client *rpc.Client) (*relaypb.Outcome, error) {
		return rpc.Call[relaypb.Outcome](ctx, client, commitMethod, txnToProto(txn))
	}
	if page, done, err := s.tryPeers(ctx, opCommit, commitTimeout, call); done {
		return page.Stamp, err
	}
	if s.confirmUnavailable(ctx) {
		if page, done, err := s.tryPeers(ctx, opCommit, commitTimeout, call); done {
			return page.Stamp, err
		}
	}
	stamp, err := s.direct.Commit(ctx, txn)
	s.recordDirect(ctx, err)
	if store.KindOf(err) != store.KindRefused {
		return stamp, err
	}
	if page, done, viaErr := s.tryPeers(ctx, opCommit, commitTimeout, call); done {
		return page.Stamp, viaErr
	}
	return stamp, err
}

// Read implements store.Reader.
func (s *Store) Read(ctx context.Context, r store.Range) (store.Page, error) {
	call := func(ctx context.Context, client *rpc.Client) (*relaypb.Outcome, error) {
		return rpc.Call[relaypb.Outcome](ctx, client, readMethod, rangeToProto(r))
	}
	return s.read(ctx, opRead, readTimeout, call, func() (store.Page, error) { return s.direct.Read(ctx, r) })
}

// Follow implements store.Reader.
func (s *Store) Follow(ctx context.Context, table string, after uint64, wait time.Duration) (store.Page, error) {
	peerWait := min(wait, followWait)
	request := &relaypb.FollowRequest{Table: table, After: after, WaitMs: int32(peerWait.Milliseconds())}
	call := func(ctx context.Context, client *rpc.Client) (*relaypb.Outcome, error) {
		return rpc.Call[relaypb.Outcome](ctx, client, followMethod, request)
	}
	return s.read(ctx, opFollow, peerWait+readTimeout, call, func() (store.Page, error) { return s.direct.Follow(ctx, table, after, wait) })
}

// read makes a call that can be repeated safely: if one route fails, it tries the other.
func (s *Store) read(ctx context.Context, op string, timeout time.Duration, call peerCall, direct func() (store.Page, error)) (store.Page, error) {
	if page, done, err := s.tryPeers(ctx, op, timeout, call); done {
		return page, err
	}
	if s.confirmUnavailable(ctx) {
		if page, done, err := s.tryPeers(ctx, op, timeout, call); done {
			return page, err
		}
	}
	page, err := direct()
	s.recordDirect(ctx, err)
	if !isUnavailable(err) || ctx.Err() != nil {
		return page, err
	}
	if viaPage, done, viaErr := s.tryPeers(ctx, op, timeout, call); done {
		return viaPage, viaErr
	}
	return page, err
}

// confirmUnavailable reports whether the store is unavailable, and checks that with a small read if the
// last successful call is too long ago. A gateway that reads its table through relays may not have called
// the store for a long time, and a transaction without a reply costs its caller most of the available time.
func (s *Store) confirmUnavailable(ctx context.Context) bool {
	if !s.route.availabilityUnknown(s.clock.Now()) || s.peers.empty() {
		return false
	}
	checkCtx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	_, err := s.direct.Read(checkCtx, store.Range{Table: Table, Part: part, Limit: 1})
	if ctx.Err() == nil {
		s.record(err)
	}
	return !s.route.storeAvailable()
}

// isUnavailable reports whether an error means that the store did not serve the call.
func isUnavailable(err error) bool {
	kind := store.KindOf(err)
	return kind == store.KindRefused || kind == store.KindOutcomeUnknown
}

// recordDirect records the result of a call to the store itself, except if the call's own context ended,
// which shows nothing about the store.
func (s *Store) recordDirect(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	s.record(err)
}

// record records whether the store served a call and logs a change.
func (s *Store) record(err error) {
	if !s.route.record(s.clock.Now(), !isUnavailable(err)) {
		return
	}
	if err == nil {
		s.logger.Info().Msg("relay: store is available again")
		return
	}
	s.logger.Warn().Err(err).Msg("relay: store is unavailable to this gateway")
}

// tryPeers makes a call through other gateways while the store is unavailable. handled reports whether one
// of them made the call or may have made it.
func (s *Store) tryPeers(ctx context.Context, op string, timeout time.Duration, call peerCall) (page store.Page, handled bool, err error) {
	if !s.route.usePeers(s.clock.Now()) {
		return store.Page{}, false, nil
	}
	for _, p := range s.peers.choose(s.clock.Now()) {
		if s.route.storeAvailable() {
			return store.Page{}, false, nil
		}
		page, handled, err = s.tryPeer(ctx, p, op, timeout, call)
		if handled {
			return page, true, err
		}
	}
	s.route.recordNoPeer(s.clock.Now())
	return store.Page{}, false, nil
}

func (s *Store) tryPeer(ctx context.Context, p *peer, op string, timeout time.Duration, call peerCall) (page store.Page, handled bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	outcome, err := call(ctx, p.client)
	if err != nil {
		s.peers.recordFailure(s.clock.Now(), p, true)
		s.countCall(op, "no answer")
		if op != opCommit || undelivered(err) {
			return store.Page{}, false, nil
		}
		return store.Page{}, true, &store.Error{Op: op, Kind: store.KindOutcomeUnknown, Err: err}
	}
	page, err = pageFromOutcome(op, outcome)
	s.countCall(op, store.KindOf(err).String())
	if store.KindOf(err) == store.KindRefused {
		s.peers.recordFailure(s.clock.Now(), p, false)
		return store.Page{}, false, nil
	}
	return page, true, err
}

// undelivered reports whether a call certainly did not reach the other gateway.
func undelivered(err error) bool {
	var failure *rpc.Error
	return errors.As(err, &failure) && failure.Kind == rpc.KindUnreachable
}

func (s *Store) countCall(op, result string) {
	s.metrics.GetOrCreateCounter(fmt.Sprintf(`hollyfork_relay_calls_total{op=%q,result=%q}`, op, result)).Inc()
}

// probe calls the store at growing intervals while it is unavailable, until ctx is done.
func (s *Store) probe(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.route.becameUnavailable:
		}
		retry := backoff.New(minProbeDelay, maxProbeDelay)
		for !s.route.storeAvailable() && retry.Wait(ctx) {
			_, err := s.direct.Read(ctx, store.Range{Table: Table, Part: part, Limit: 1})
			s.recordDirect(ctx, err)
		}
	}
}
