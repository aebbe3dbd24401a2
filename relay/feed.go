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
	// watchSlack is how much longer than a question to the store one to a relay may wait: until the relay's own
	// next answer.
	watchSlack = 300 * time.Millisecond
	// watchTimeout is how long an answer of a relay may take beyond that.
	watchTimeout = 200 * time.Millisecond
	// awayWait is how long a question may wait at a relay while the store answers nobody.
	awayWait = time.Second
	// oldestProof is how old a relay's proof may be: several of its own questions to the store. An older one says
	// that the relay does not reach the store.
	oldestProof = 2 * time.Second
	// relayPause is how long a relay that did not help is left alone.
	relayPause = 3 * time.Second
	// standbyFor is for how long a relay's answer shows that relays look after what needs one gateway only: above the
	// time between two answers.
	standbyFor = 2500 * time.Millisecond
)

var (
	errNoNews   = errors.New("the relay has got no answer itself")
	errOldProof = errors.New("the relay's proof is old")
)

// Feed reads a table for one reader: through a relay while one serves this gateway, else from the store. It
// implements store.Reader for that table, and passes what it reads on to other gateways.
type Feed struct {
	store  *Store
	table  string
	mirror *mirror

	mu sync.Mutex
	// relay says that this gateway is a relay, decided that it has looked which gateways are.
	relay   bool
	decided bool
	// paused are the relays that are left alone, by address.
	paused map[string]pause
	// servedBy is the relay that answered last, at servedAt.
	servedBy string
	servedAt time.Time
	// away says that the store itself did not answer the last question.
	away bool
}

// pause says until when a relay is left alone, and whether because it said that it is not served itself.
type pause struct {
	until   time.Time
	refused bool
}

func newFeed(s *Store, table string) *Feed {
	return &Feed{store: s, table: table, mirror: newMirror(), paused: map[string]pause{}}
}

// Read implements store.Reader.
func (f *Feed) Read(ctx context.Context, r store.Range) (store.Page, error) {
	sent := f.store.clock.Now()
	if page, ok := f.watch(ctx, 0, 0); ok {
		f.mirror.replace(f.store.clock.Now(), sent, r, page)
		return page, nil
	}
	sent = f.store.clock.Now()
	page, err := f.store.Read(ctx, r)
	f.noteDirect(err)
	if err == nil {
		f.mirror.replace(f.store.clock.Now(), sent, r, page)
	}
	return page, err
}

// Follow implements store.Reader.
func (f *Feed) Follow(ctx context.Context, table string, after uint64, wait time.Duration) (store.Page, error) {
	sent := f.store.clock.Now()
	if page, ok := f.watch(ctx, after, wait); ok {
		f.mirror.add(f.store.clock.Now(), sent, after, page)
		return page, nil
	}
	sent = f.store.clock.Now()
	page, err := f.store.Follow(ctx, table, after, wait)
	f.noteDirect(err)
	if err == nil {
		f.mirror.add(f.store.clock.Now(), sent, after, page)
	}
	return page, err
}

// noteDirect takes over how a question to the store ended.
func (f *Feed) noteDirect(err error) {
	if err != nil {
		f.mirror.fail(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away = err != nil
	if f.away {
		// A relay that is not served either says so as soon as it is again.
		maps.DeleteFunc(f.paused, func(_ string, p pause) bool { return p.refused })
	}
}

// watch asks a relay for changes after a version, or for all rows for 0. ok is false when none serves this gateway
// well: then the store itself is to be asked.
func (f *Feed) watch(ctx context.Context, after uint64, wait time.Duration) (page store.Page, ok bool) {
	upstream := f.upstream(f.store.clock.Now())
	if upstream == nil {
		return store.Page{}, false
	}
	sent := f.store.clock.Now()
	away := f.isAway()
	wait += watchSlack
	if away {
		wait = max(wait, awayWait)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchTimeout)
	defer cancel()
	outcome, err := rpc.Call[relaypb.Outcome](ctx, upstream.client, watchMethod, &relaypb.WatchRequest{Table: f.table, After: after, WaitMs: int32(wait.Milliseconds()), Away: away})
	silent := err != nil
	if err == nil {
		page, err = pageFrom(opWatch, outcome)
	}
	now := f.store.clock.Now()
	if err == nil && now.Sub(sent)+page.Stamp.Age > oldestProof {
		err = errOldProof
	}
	f.noteWatch(now, upstream, err, silent)
	return page, err == nil
}

// noteWatch takes over how a question to a relay ended.
func (f *Feed) noteWatch(now time.Time, upstream *peer, err error, silent bool) {
	f.store.count(opWatch, resultOf(err))
	f.mu.Lock()
	before := f.servedBy
	if err == nil {
		f.servedBy, f.servedAt, f.away = upstream.address, now, false
	} else {
		f.servedBy = ""
		if silent || !f.away {
			f.paused[upstream.address] = pause{until: now.Add(relayPause - rand.N(relayPause/2)), refused: !silent}
		}
	}
	f.mu.Unlock()
	switch {
	case err != nil:
		if silent {
			upstream.client.Reset()
		}
		f.store.logger.Warn().Err(err).Str("relay", upstream.address).Msg("relay: a relay does not serve this gateway")
	case before != upstream.address:
		f.store.logger.Info().Str("relay", upstream.address).Str("before", before).Msg("relay: a relay serves this gateway")
	}
}

func resultOf(err error) string {
	if err == nil {
		return "ok"
	}
	return "failed"
}

// upstream returns the relay to ask; nil for the store itself. Each gateway prefers relays in an order of its own,
// so that they share the work.
func (f *Feed) upstream(now time.Time) *peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.relay {
		return nil
	}
	var best *peer
	var bestRank uint32
	for _, p := range f.store.peers.all() {
		if now.Before(f.paused[p.address].until) {
			continue
		}
		if rank := f.rank(p.address); best == nil || rank < bestRank {
			best, bestRank = p, rank
		}
	}
	return best
}

// rank is the place of a relay in this gateway's order.
func (f *Feed) rank(address string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(address + " " + f.store.name)) // never fails
	return hash.Sum32()
}

// serving returns the relay that serves this gateway; nil for none.
func (f *Feed) serving() *peer {
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

// members returns the rows of the relays as the relay that serves this gateway read them last.
func (f *Feed) members(ctx context.Context) (store.Page, bool) {
	upstream := f.serving()
	if upstream == nil {
		return store.Page{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	outcome, err := rpc.Call[relaypb.Outcome](ctx, upstream.client, membersMethod, &relaypb.MembersRequest{})
	if err != nil {
		return store.Page{}, false
	}
	page, err := pageFrom(opMembers, outcome)
	return page, err == nil
}

// Standby says whether other gateways look after what needs one gateway only: relays that serve this one, which are
// told of it at the address. While the store answers nobody there is nothing to be looked after either.
func (f *Feed) Standby(now time.Time) (relay string, standing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.relay:
		return "", false
	case !f.decided:
		return "", true
	case f.servedBy != "" && now.Sub(f.servedAt) < standbyFor:
		return f.servedBy, true
	default:
		return "", f.away
	}
}

// Summary says by which way the table comes, for the state dump.
func (f *Feed) Summary() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.relay:
		return "from the store, as a relay, at version " + strconv.FormatUint(f.mirror.at(), 10)
	case f.servedBy != "":
		return "through " + f.servedBy
	default:
		return "from the store"
	}
}

// isAway says whether the store itself did not answer the last question.
func (f *Feed) isAway() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.away
}

// IsRelay says whether this gateway serves others.
func (f *Feed) IsRelay() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.relay
}

// setRelay takes over whether this gateway is a relay.
func (f *Feed) setRelay(relay bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.relay == relay {
		return
	}
	f.relay = relay
	f.servedBy = ""
	f.store.logger.Info().Bool("relay", relay).Msg("relay: whether this gateway serves others has changed")
}

// setDecided notes that it is known which gateways are relays.
func (f *Feed) setDecided() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decided = true
}
