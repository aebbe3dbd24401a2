package holder

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/asynkron/protoactor-go/actor"
	"github.com/phuslu/log"

	"hollyfork.example/hollyfork/backoff"
	"hollyfork.example/hollyfork/catalog"
	"hollyfork.example/hollyfork/mailbox"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/store"
	"hollyfork.example/rpc"
)

type (
	// Deps are what a host works with.
	Deps struct {
		System *actor.ActorSystem
		Store  store.Store
		// Metrics gets the holder's counters.
		Metrics *metrics.Set
		Traffic *rpc.Traffic
		Logger  *log.Logger
		// Catalog returns the configuration in force.
		Catalog func() *catalog.Catalog
		// Advisor is asked which workers may run a step, in queues that need it; nil when
		// there is none.
		Advisor Advisor
		// Patience is how long this process leaves a free pool to others, which may be
		// better placed to hold it.
		Patience time.Duration
	}

	// Host waits for a pool to be free, holds it, and waits again when it was lost. Create
	// it with New; Run does the work.
	Host struct {
		pool     string
		name     string
		address  string
		settings pool.Settings
		deps     Deps

		mu  sync.Mutex
		pid *actor.PID
	}
)

// New returns a host for a pool. The name and address are this process's.
func New(poolName, name, address string, settings pool.Settings, deps Deps) *Host {
	return &Host{pool: poolName, name: name, address: address, settings: settings, deps: deps}
}

// Run hosts the pool until ctx is done; then it gives the pool up, so that another process
// takes it at once.
func (h *Host) Run(ctx context.Context) {
	for ctx.Err() == nil {
		row, ok := h.awaitFree(ctx)
		if !ok {
			continue
		}
		ledger, confirmed, err := Acquire(ctx, h.deps.Store, h.pool, h.name, h.address, row.Version, h.storeTrouble)
		if err != nil {
			h.deps.Logger.Info().Err(err).Str("pool", h.pool).Msg("holder: the pool was not taken")
			backoff.Sleep(ctx, rand.N(firstRetry))
			continue
		}
		h.deps.Logger.Info().Str("pool", h.pool).Uint64("epoch", ledger.Epoch()).Msg("holder: this process holds the pool")
		h.hold(ctx, ledger, confirmed)
		h.deps.Logger.Info().Str("pool", h.pool).Uint64("epoch", ledger.Epoch()).Msg("holder: this process no longer holds the pool")
	}
}

func (h *Host) storeTrouble(err error) {
	h.deps.Logger.Warn().Err(err).Str("pool", h.pool).Msg("holder: a transaction failed and is sent again")
}

// awaitFree watches the lease until the pool is free, and returns the lease's row.
func (h *Host) awaitFree(ctx context.Context) (store.Row, bool) {
	candidate := &Candidate{address: h.address}
	pause := backoff.New(firstRetry, lastRetry)
	for ctx.Err() == nil {
		sent := time.Now()
		row, stamp, err := readLease(ctx, h.deps.Store, h.pool)
		if err != nil {
			candidate.Unread()
			pause.Wait(ctx)
			continue
		}
		pause.Reset()
		candidate.Observe(sent, row)
		if candidate.Free(sent.Add(-h.deps.Patience)) {
			return row, true
		}
		h.watch(ctx, candidate, stamp)
	}
	return store.Row{}, false
}

// watch follows the lease until it was released, may have lapsed, or can't be followed.
func (h *Host) watch(ctx context.Context, candidate *Candidate, stamp store.Stamp) {
	key := pool.LeaseKey(h.pool)
	for ctx.Err() == nil {
		sent := time.Now()
		wait := candidate.Wait(sent.Add(-h.deps.Patience))
		if wait == 0 {
			return
		}
		page, err := h.deps.Store.Follow(ctx, key.Table, stamp.Version, min(wait, followWait))
		if err != nil {
			if store.KindOf(err) != store.KindHistoryGone {
				candidate.Unread()
			}
			return
		}
		stamp = page.Stamp
		for _, row := range page.Rows {
			if row.Key == key {
				candidate.Observe(time.Now(), row)
			}
		}
		if candidate.Free(time.Now().Add(-h.deps.Patience)) {
			return
		}
	}
}

// hold runs a holder until the pool is lost or ctx is done.
func (h *Host) hold(ctx context.Context, ledger *Ledger, confirmed time.Time) {
	restored, err := h.load(ctx)
	if err != nil {
		h.deps.Logger.Warn().Err(err).Str("pool", h.pool).Msg("holder: the pool could not be read")
		h.release(ledger)
		return
	}
	holder := newHolder(h, ledger, restored, confirmed)
	pid := h.deps.System.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return holder }))
	h.setHolder(pid)
	defer h.setHolder(nil)
	select {
	case <-holder.lost:
		_ = h.deps.System.Root.StopFuture(pid).Wait()
	case <-ctx.Done():
		h.deps.System.Root.Send(pid, stopping{})
		waitUntil(holder.settled, handOverTimeout)
		_ = h.deps.System.Root.StopFuture(pid).Wait()
		h.release(ledger)
	}
}

func (h *Host) setHolder(pid *actor.PID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pid = pid
}

// Snapshot returns what the holder in this process knows; ok is false while it does not
// hold the pool.
func (h *Host) Snapshot() (snapshot pool.Snapshot, ok bool) {
	h.mu.Lock()
	pid := h.pid
	h.mu.Unlock()
	if pid == nil {
		return pool.Snapshot{}, false
	}
	snapshot, err := mailbox.Call[question, pool.Snapshot](h.deps.System.Root, pid, question{}, snapshotTimeout)
	return snapshot, err == nil
}

func waitUntil(done <-chan struct{}, most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

func (h *Host) release(ledger *Ledger) {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	if err := ledger.Release(ctx); err != nil {
		h.deps.Logger.Warn().Err(err).Str("pool", h.pool).Msg("holder: the pool could not be given up; its lease will lapse")
	}
}
