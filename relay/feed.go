package relay

import (
	"context"
	"errors"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"hollyfork.example/hollyfork/store"
	"hollyfork.example/rpc"
	"hollyfork.example/wire/relaypb"
)

const (
	// watchWaitMargin is how much longer a request may wait at a relay than at the store, so that the
	// relay's own next answer arrives within that wait.
	watchWaitMargin = 300 * time.Millisecond
	// watchReplyMargin is how long after the wait a relay's reply may arrive.
	watchReplyMargin = 200 * time.Millisecond
	// outageWatchWait is the minimum wait of a request at a relay while the store is unavailable.
	outageWatchWait = time.Second
	// maxRelayedAge is the maximum age of a relay's rows. It covers several requests of the relay to the
	// store; older rows mean that the relay cannot reach the store.
	maxRelayedAge = 2 * time.Second
	// relayRetryDelay is the maximum time for which a relay is not asked after a failed request.
	relayRetryDelay = 3 * time.Second
	// standbyPeriod is how long after a relay's reply this gateway stays on standby. It exceeds the
	// interval between two replies.
	standbyPeriod = 2500 * time.Millisecond
)

var (
	errNoUpdate = errors.New("the relay has got no answer itself")
	errStale    = errors.New("the relay's rows are too old")
)

// Feed reads one table for one reader, through a relay while one serves this gateway and otherwise from the
// store. It implements store.Reader for that table. While this gateway is a relay, it serves the rows to
// other gateways.
type Feed struct {
	store  *Store
	table  string
	mirror *mirror

	mu sync.Mutex
	// isRelay reports whether this gateway is a relay. relaysKnown reports whether the list of relays has
	// been read.
	isRelay     bool
	relaysKnown bool
	// relayBackoffs holds the relays that are not asked for a while, by address.
	relayBackoffs map[string]relayBackoff
	// servedBy is the address of the relay that replied to the last request, at servedAt. It is empty after
	// a failure.
	servedBy string
	servedAt time.Time
	// unavailable reports whether the last request to the store itself failed and no relay has replied
	// since.
	unavailable bool
}

// relayBackoff is the time until which a relay is not asked. replied is true if the relay replied without
// current rows, and false if it did not reply.
type relayBackoff struct {
	until   time.Time
	replied bool
}

func newFeed(s *Store, table string) *Feed {
	return &Feed{store: s, table: table, mirror: newMirror(), relayBackoffs: map[string]relayBackoff{}}
}

// Read implements store.Reader.
func (f *Feed) Read(ctx context.Context, r store.Range) (store.Page, error) {
	requestedAt := f.store.clock.Now()
	if page, ok := f.watch(ctx, 0, 0); ok {
		f.mirror.replace(f.store.clock.Now(), requestedAt, r, page)
		return page, nil
	}
	requestedAt = f.store.clock.Now()
	page, err := f.store.Read(ctx, r)
	f.recordDirect(err)
	if err == nil {
		f.mirror.replace(f.store.clock.Now(), requestedAt, r, page)
	}
	return page, err
}

// Follow implements store.Reader.
func (f *Feed) Follow(ctx context.Context, table string, after uint64, wait time.Duration) (store.Page, error) {
	requestedAt := f.store.clock.Now()
	if page, ok := f.watch(ctx, after, wait); ok {
		f.mirror.addChanges(f.store.clock.Now(), requestedAt, after, page)
		return page, nil
	}
	requestedAt = f.store.clock.Now()
	page, err := f.store.Follow(ctx, table, after, wait)
	f.recordDirect(err)
	if err == nil {
		f.mirror.addChanges(f.store.clock.Now(), requestedAt, after, page)
	}
	return page, err
}

// recordDirect records the result of a request to the store.
func (f *Feed) recordDirect(err error) {
	if err != nil {
		f.mirror.recordFailure(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unavailable = err != nil
	if f.unavailable {
		// Relays without access to the store delay the reply to the next request until they have access
		// again, so they can be asked at once.
		maps.DeleteFunc(f.relayBackoffs, func(_ string, b relayBackoff) bool { return b.replied })
	}
}

// watch requests the changes after a version from a relay, or all rows if after is 0. ok is false if no
// relay serves this gateway; the caller then asks the store.
func (f *Feed) watch(ctx context.Context, after uint64, wait time.Duration) (page store.Page, ok bool) {
	upstream := f.upstream(f.store.clock.Now())
	if upstream == nil {
		return store.Page{}, false
	}
	requestedAt := f.store.clock.Now()
	unavailable := f.storeUnavailable()
	wait += watchWaitMargin
	if unavailable {
		wait = max(wait, outageWatchWait)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchReplyMargin)
	defer cancel()
	outcome, err := rpc.Call[relaypb.Outcome](ctx, upstream.client, watchMethod, &relaypb.WatchRequest{Table: f.table, After: after, WaitMs: int32(wait.Milliseconds()), Away: unavailable})
	noReply := err != nil
	if err == nil {
		page, err = pageFromOutcome(opWatch, outcome)
	}
	now := f.store.clock.Now()
	if err == nil && now.Sub(requestedAt)+page.Stamp.Age > maxRelayedAge {
		err = errStale
	}
	f.recordWatch(now, upstream, err, noReply)
	return page, err == nil
}

// recordWatch records the result of a request to a relay. noReply reports whether the relay did not reply
// at all.
func (f *Feed) recordWatch(now time.Time, upstream *peer, err error, noReply bool) {
	f.store.countCall(opWatch, resultLabel(err))
	f.mu.Lock()
	previous := f.servedBy
	if err == nil {
		f.servedBy, f.servedAt, f.unavailable = upstream.address, now, false
	} else {
		f.servedBy = ""
		if noReply || !f.unavailable {
			f.relayBackoffs[upstream.address] = relayBackoff{until: now.Add(relayRetryDelay - rand.N(relayRetryDelay/2)), replied: !noReply}
		}
	}
	f.mu.Unlock()
	switch {
	case err != nil:
		if noReply {
			upstream.client.Reset()
		}
		f.store.logger.Warn().Err(err).Str("relay", upstream.address).Msg("relay: request to a relay failed")
	case previous != upstream.address:
		f.store.logger.Info().Str("relay", upstream.address).Str("before", previous).Msg("relay: reading the table through another relay")
	}
}

func resultLabel(err error) string {
	if err == nil {
		return "ok"
	}
	return "failed"
}

// upstream returns the relay to ask, or nil for the store itself. Each gateway has its own order of
// preference, which spreads the load over the relays.
func (f *Feed) upstream(now time.Time) *peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isRelay {
		return nil
	}
	var best *peer
	var bestRank uint32
	for _, p := range f.store.peers.all() {
		if now.Before(f.relayBackoffs[p.address].until) {
			continue
		}
		if rank := f.rank(p.address); best == nil || rank < bestRank {
			best, bestRank = p, rank
		}
	}
	return best
}

// rank returns the position of a relay in this gateway's order of preference; lower is better.
func (f *Feed) rank(address string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(address + " " + f.store.name)) // never fails
	return hash.Sum32()
}

// servingRelay returns the relay that serves this gateway, or nil if there is none.
func (f *Feed) servingRelay() *peer {
	f.mu.Lock()
	address := f.servedBy
	f.mu.Unlock()
	if address == "" {
		return nil
	}
	all := f.store.peers.all()
	i := slices.IndexFunc(all, func(p *peer) bool { return p.address == address })
	if i < 0 {
		return nil
	}
	return all[i]
}

// fetchMembers returns the slot rows that the serving relay read last.
func (f *Feed) fetchMembers(ctx context.Context) (store.Page, bool) {
	upstream := f.servingRelay()
	if upstream == nil {
		return store.Page{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	outcome, err := rpc.Call[relaypb.Outcome](ctx, upstream.client, membersMethod, &relaypb.MembersRequest{})
	if err != nil {
		return store.Page{}, false
	}
	page, err := pageFromOutcome(opMembers, outcome)
	return page, err == nil
}

// Standby reports whether this gateway leaves work that one gateway does for all, such as holding a pool's
// lease, to the relays. address is the relay that serves this gateway and takes notices meanwhile. Without
// an address, the list of relays has not been read yet, or neither a relay nor the store answers, so that
// there is no such work.
func (f *Feed) Standby(now time.Time) (address string, standby bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.isRelay:
		return "", false
	case !f.relaysKnown:
		return "", true
	case f.servedBy != "" && now.Sub(f.servedAt) < standbyPeriod:
		return f.servedBy, true
	default:
		return "", f.unavailable
	}
}

// Summary describes the source of the table for the state dump.
func (f *Feed) Summary() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.isRelay:
		return "from the store, as a relay, at version " + strconv.FormatUint(f.mirror.currentVersion(), 10)
	case f.servedBy != "":
		return "through " + f.servedBy
	default:
		return "from the store"
	}
}

// storeUnavailable reports whether the last request to the store itself failed and no relay has replied
// since.
func (f *Feed) storeUnavailable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unavailable
}

// IsRelay reports whether this gateway serves other gateways.
func (f *Feed) IsRelay() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isRelay
}

// setRelay sets whether this gateway is a relay.
func (f *Feed) setRelay(relay bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isRelay == relay {
		return
	}
	f.isRelay = relay
	f.servedBy = ""
	f.store.logger.Info().Bool("relay", relay).Msg("relay: this gateway's relay role changed")
}

// setRelaysKnown records that the list of relays has been read.
func (f *Feed) setRelaysKnown() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relaysKnown = true
}
