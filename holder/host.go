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
	"hollyfork.example/hollyfork/clock"
	"hollyfork.example/hollyfork/mailbox"
	"hollyfork.example/hollyfork/malformed"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/store"
	"hollyfork.example/rpc"
)

type (
	// Deps are the dependencies of a host.
	Deps struct {
		System *actor.ActorSystem
		Store  store.Store
		// Clock times the leases of the holder and of the agents.
		Clock clock.Clock
		// Metrics receives the holder's counters.
		Metrics *metrics.Set
		Traffic *rpc.Traffic
		Logger  *log.Logger
		// Malformed records the rows that can't be decoded.
		Malformed *malformed.Registry
		// Catalog returns the active configuration.
		Catalog func() *catalog.Catalog
		// Evacuations returns the evacuated data centres, with the time as of which they are confirmed.
		Evacuations func() catalog.Evacuations
		// Advisor is asked which workers may run a step, in queues whose policy requires it; nil if there is
		// none.
		Advisor Advisor
		// TakeoverDelay returns how long this process leaves a free pool to other processes, which may be
		// better placed to hold it. The argument is the address of the last holder. Nil means no delay.
		TakeoverDelay func(holder string) time.Duration
		// Standby reports whether other processes watch the lease, and the address that accepts notices
		// meanwhile; nil if this process always watches the lease itself.
		Standby func(now time.Time) (address string, standby bool)
	}

	// Host waits until a pool is free, holds it, and waits again after it was lost. Create it with New, then
	// call Run.
	Host struct {
		pool     string
		name     string
		address  string
		settings pool.Settings
		deps     Deps

		mu  sync.Mutex
		pid *actor.PID
		// noticeClient calls the process that accepts notices; nil if none is known.
		noticeClient *rpc.Client
		// noticeSlots bounds the notices in flight.
		noticeSlots chan struct{}
	}
)

// New returns a host for a pool. The name and address are those of this process; other processes reach its
// NoticeService at the address.
func New(poolName, name, address string, settings pool.Settings, deps Deps) *Host {
	return &Host{
		pool:        poolName,
		name:        name,
		address:     address,
		settings:    settings,
		deps:        deps,
		noticeSlots: make(chan struct{}, maxNotices),
	}
}

// Run hosts the pool until ctx is done. Then it releases the pool, so that another process can take it at
// once.
func (h *Host) Run(ctx context.Context) {
	for ctx.Err() == nil {
		row, ok := h.awaitFree(ctx)
		if !ok {
			continue
		}
		writer, confirmedSentAt, err := Acquire(ctx, h.deps.Store, h.pool, h.name, h.address, row.Version, h.logCommitRetry)
		if err != nil {
			h.deps.Logger.Info().Err(err).Str("pool", h.pool).Msg("holder: could not acquire the pool")
			backoff.Sleep(ctx, rand.N(minRetryDelay))
			continue
		}
		h.deps.Logger.Info().Str("pool", h.pool).Uint64("epoch", writer.Epoch()).Msg("holder: this process holds the pool")
		h.hold(ctx, writer, confirmedSentAt)
		h.deps.Logger.Info().Str("pool", h.pool).Uint64("epoch", writer.Epoch()).Msg("holder: this process no longer holds the pool")
	}
}

func (h *Host) logCommitRetry(err error) {
	h.deps.Logger.Warn().Err(err).Str("pool", h.pool).Msg("holder: a transaction failed and is sent again")
}

// awaitFree waits until the pool is free, and returns the row of its lease.
func (h *Host) awaitFree(ctx context.Context) (store.Row, bool) {
	for ctx.Err() == nil {
		if h.onStandby() {
			backoff.Sleep(ctx, backoff.Jitter(leasePollInterval))
			continue
		}
		if row, ok := h.watchLease(ctx); ok {
			return row, true
		}
	}
	return store.Row{}, false
}

// onStandby reports whether other processes watch the lease. Meanwhile notices go to them.
func (h *Host) onStandby() bool {
	if h.deps.Standby == nil {
		return false
	}
	address, standby := h.deps.Standby(h.deps.Clock.Now())
	if standby {
		h.setNoticeTarget(address)
	}
	return standby
}

// watchLease polls the lease until the pool is free or other processes watch the lease.
func (h *Host) watchLease(ctx context.Context) (store.Row, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	handovers := make(chan struct{}, 1)
	go h.followHandovers(ctx, handovers)
	candidate := &Candidate{address: h.address}
	retry := backoff.New(minRetryDelay, maxRetryDelay)
	for ctx.Err() == nil && !h.onStandby() {
		sent := h.deps.Clock.Now()
		row, _, err := readLease(ctx, h.deps.Store, h.pool)
		if err != nil {
			candidate.ReadFailed()
			retry.WaitAtLeast(ctx, store.RetryAfter(err))
			continue
		}
		retry.Reset()
		candidate.Observe(sent, h.deps.Clock.Now(), row)
		h.setNoticeTarget(holderAddress(row))
		delay := h.takeoverDelay(holderAddress(row))
		wait := candidate.FreeIn(sent.Add(-delay))
		if wait == 0 {
			return row, true
		}
		waitFor(ctx, handovers, min(wait, backoff.Jitter(max(leasePollInterval, delay))))
	}
	return store.Row{}, false
}

// takeoverDelay returns how long this process leaves a free pool, last held at an address, to other processes.
func (h *Host) takeoverDelay(holder string) time.Duration {
	if h.deps.TakeoverDelay == nil {
		return 0
	}
	return h.deps.TakeoverDelay(holder)
}

// followHandovers sends a signal each time the pool may have been released, until ctx is done.
func (h *Host) followHandovers(ctx context.Context, handovers chan<- struct{}) {
	version := uint64(0)
	retry := backoff.New(minRetryDelay, maxRetryDelay)
	for ctx.Err() == nil {
		page, err := h.pollHandovers(ctx, version)
		if err != nil {
			version = 0
			retry.Wait(ctx)
			continue
		}
		retry.Reset()
		if version == 0 || len(page.Rows) > 0 {
			signal(handovers)
		}
		version = page.Stamp.Version
	}
}

// pollHandovers waits for a change of the handover table after a version. With version 0 it returns the
// current rows at once.
func (h *Host) pollHandovers(ctx context.Context, version uint64) (store.Page, error) {
	key := pool.HandoverKey(h.pool)
	if version == 0 {
		return h.deps.Store.Read(ctx, store.Range{Table: key.Table, Part: key.Part})
	}
	return h.deps.Store.Follow(ctx, key.Table, version, handoverWait)
}

// signal sends to a channel with a buffer of one, unless the buffer is full.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// waitFor waits until a signal arrives, ctx is done or the timeout expires.
func waitFor(ctx context.Context, c <-chan struct{}, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-c:
	case <-timer.C:
	}
}

// hold runs a holder until the pool is lost or ctx is done.
func (h *Host) hold(ctx context.Context, writer *FencedWriter, confirmedSentAt time.Time) {
	loaded, err := h.load(ctx, writer.Epoch())
	if err != nil {
		h.deps.Logger.Warn().Err(err).Str("pool", h.pool).Msg("holder: could not load the pool from the store")
		h.release(writer)
		return
	}
	holder := newHolder(h, writer, loaded, confirmedSentAt)
	pid := h.deps.System.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return holder }))
	h.setHolder(pid)
	defer h.setHolder(nil)
	select {
	case <-holder.lost:
		_ = h.deps.System.Root.StopFuture(pid).Wait()
	case <-ctx.Done():
		h.deps.System.Root.Send(pid, stopRequest{})
		waitFor(context.Background(), holder.flushed, handoverTimeout)
		_ = h.deps.System.Root.StopFuture(pid).Wait()
		h.release(writer)
	}
}

func (h *Host) setHolder(pid *actor.PID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pid = pid
}

// ProcessResumed notifies the holder in this process, if there is one, that the process was paused.
func (h *Host) ProcessResumed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pid != nil {
		h.deps.System.Root.Send(h.pid, processResumed{})
	}
}

// Snapshot returns a snapshot of the pool from the holder in this process; ok is false if this process does
// not hold the pool or the holder does not answer in time.
func (h *Host) Snapshot() (snapshot pool.Snapshot, ok bool) {
	h.mu.Lock()
	pid := h.pid
	h.mu.Unlock()
	if pid == nil {
		return pool.Snapshot{}, false
	}
	snapshot, err := mailbox.Call[snapshotRequest, pool.Snapshot](h.deps.System.Root, pid, snapshotRequest{}, snapshotTimeout)
	return snapshot, err == nil
}

func (h *Host) release(writer *FencedWriter) {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	if err := writer.Release(ctx); err != nil {
		h.deps.Logger.Warn().Err(err).Str("pool", h.pool).Msg("holder: failed to release the pool; its lease will lapse")
	}
}
