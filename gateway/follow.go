package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"hollyfork.example/hollyfork/backoff"
	"hollyfork.example/hollyfork/catalog"
	"hollyfork.example/hollyfork/clock"
	"hollyfork.example/hollyfork/malformed"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/store"
)

const (
	// followWait is how long the store may delay its answer while there is no newer configuration. It bounds the
	// age of the confirmation that the active configuration is the newest: to twice followWait through a relay,
	// which is well below MaxConfigAge.
	followWait = 750 * time.Millisecond
	// MaxConfigAge is the age of that confirmation above which requests are refused. A revoked key must be
	// refused everywhere within 5 s; the remaining 1.5 s exceed the time for which a feed may be silent before
	// it breaks (1 s).
	MaxConfigAge = 3500 * time.Millisecond

	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

type (
	// Evacuation is a request that the workers of a data centre get no new work, or the withdrawal of such a
	// request.
	Evacuation struct {
		DataCentre string
		// Version is the version of the store at the request.
		Version   uint64
		Withdrawn bool
	}

	// Update is an answer of a ConfigSource.
	Update struct {
		// Catalog is the newest configuration; nil if the answer has none that can be decoded.
		Catalog *catalog.Catalog
		// DecodeError is why the newest configuration can't be decoded, and ConfigBytes its size.
		DecodeError error
		ConfigBytes int
		// Evacuations are all requested evacuations if Complete is true, otherwise those that have changed.
		Evacuations []Evacuation
		Complete    bool
		Stamp       store.Stamp
	}

	// ConfigSource reads the operator's configuration and evacuations.
	ConfigSource interface {
		// ReadConfig returns the configuration and all evacuations.
		ReadConfig(ctx context.Context) (Update, error)
		// FollowConfig returns the changes after a version of the store, as soon as there are any, or no
		// changes after a wait.
		FollowConfig(ctx context.Context, after uint64, wait time.Duration) (Update, error)
	}
)

// Follower keeps the newest configuration and the evacuated data centres. Create it with NewFollower, then call
// Run.
type Follower struct {
	clock     clock.Clock
	source    ConfigSource
	logger    *log.Logger
	malformed *malformed.Registry
	startedAt time.Time

	current     atomic.Pointer[catalog.Catalog]
	evacuations atomic.Pointer[catalog.Evacuations]
	// newestVersion is the newest version of the store in any answer.
	newestVersion uint64
	// confirmedAsOf is the time as of which the configuration is confirmed to be the newest, which may be before
	// startedAt; nil for never.
	confirmedAsOf atomic.Pointer[time.Time]
	// storeUnavailable is true if the last request to the store failed.
	storeUnavailable atomic.Bool
	storeClock       atomic.Pointer[pool.Clock]

	mu sync.Mutex
	// changed is closed and replaced when a new configuration becomes active.
	changed chan struct{}
}

// NewFollower returns a follower that has no configuration yet.
func NewFollower(c clock.Clock, source ConfigSource, logger *log.Logger, registry *malformed.Registry) *Follower {
	f := &Follower{clock: c, source: source, logger: logger, malformed: registry, startedAt: c.Now(), changed: make(chan struct{})}
	f.current.Store(&catalog.Catalog{})
	f.evacuations.Store(&catalog.Evacuations{})
	return f
}

// Catalog returns the active configuration; its version is 0 while there is none.
func (f *Follower) Catalog() *catalog.Catalog {
	return f.current.Load()
}

// Changed returns a channel that is closed when the next configuration becomes active.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Evacuations returns the evacuated data centres, with the time as of which they are confirmed.
func (f *Follower) Evacuations() catalog.Evacuations {
	return *f.evacuations.Load()
}

// Age returns how long ago the configuration was last confirmed to be the newest, or the time since the start if it
// never was.
func (f *Follower) Age(now time.Time) time.Duration {
	if asOf := f.confirmedAsOf.Load(); asOf != nil {
		return now.Sub(*asOf)
	}
	return now.Sub(f.startedAt)
}

// StoreClock returns an estimate of the store's clock; 0 while it is unknown.
func (f *Follower) StoreClock(now time.Time) time.Duration {
	c := f.storeClock.Load()
	if c == nil {
		return 0
	}
	return c.Store + now.Sub(c.Now)
}

// StoreUnavailable reports whether the last request to the store failed.
func (f *Follower) StoreUnavailable() bool {
	return f.storeUnavailable.Load()
}

// Fresh reports whether there is a configuration that was confirmed recently enough to act on it.
func (f *Follower) Fresh(now time.Time) bool {
	return f.Catalog().Version > 0 && f.confirmedAsOf.Load() != nil && f.Age(now) <= MaxConfigAge
}

// Run follows the configuration until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	version := uint64(0)
	retry := backoff.New(minRetryDelay, maxRetryDelay)
	available := true
	for ctx.Err() == nil {
		sent := f.clock.Now()
		update, err := f.poll(ctx, version)
		f.storeUnavailable.Store(err != nil)
		if (err == nil) != available && ctx.Err() == nil {
			available = err == nil
			f.logStoreAvailability(available, err)
		}
		if err != nil {
			version = 0
			retry.Wait(ctx)
			continue
		}
		retry.Reset()
		version = update.Stamp.Version
		f.storeClock.Store(&pool.Clock{Now: f.clock.Now(), Store: update.Stamp.Clock})
		f.apply(sent, update)
	}
}

func (f *Follower) poll(ctx context.Context, version uint64) (Update, error) {
	if version == 0 {
		return f.source.ReadConfig(ctx)
	}
	return f.source.FollowConfig(ctx, version, followWait)
}

// apply applies an answer. It ignores an answer of an older state of the store than an earlier answer, which
// could undo an evacuation.
func (f *Follower) apply(sent time.Time, update Update) {
	if update.Stamp.Version < f.newestVersion {
		f.logger.Warn().Uint64("version", update.Stamp.Version).Uint64("seen", f.newestVersion).Msg("gateway: ignored an answer of an earlier state of the store")
		return
	}
	f.newestVersion = update.Stamp.Version
	confirmed := sent.Add(-update.Stamp.Age)
	f.applyEvacuations(confirmed, update)
	f.applyCatalog(update.Catalog)
	f.recordDecoded(sent, update)
	if last := f.confirmedAsOf.Load(); last == nil || confirmed.After(*last) {
		f.confirmedAsOf.Store(&confirmed)
	}
}

// applyCatalog makes a configuration active unless it is older than the active one.
func (f *Follower) applyCatalog(next *catalog.Catalog) {
	if next == nil || next.Version <= f.Catalog().Version {
		return
	}
	f.current.Store(next)
	f.mu.Lock()
	close(f.changed)
	f.changed = make(chan struct{})
	f.mu.Unlock()
	f.logger.Info().Uint64("version", next.Version).Int("queues", len(next.Queues)).Int("workspaces", len(next.Workspaces)).Msg("gateway: configuration is active")
}

// recordDecoded records a configuration that can't be decoded, and clears the record when one can. The last valid
// configuration stays active.
func (f *Follower) recordDecoded(now time.Time, update Update) {
	switch {
	case update.DecodeError != nil:
		f.malformed.Note(now, malformed.Configuration, "configuration", update.ConfigBytes, update.DecodeError)
	case update.Catalog != nil:
		f.malformed.Clear(malformed.Configuration, "configuration")
	}
}

// applyEvacuations updates the evacuated data centres and the time as of which they are confirmed.
func (f *Follower) applyEvacuations(confirmed time.Time, update Update) {
	before := f.Evacuations()
	next := before
	if update.Complete {
		next = catalog.Evacuations{}
	}
	for _, e := range update.Evacuations {
		if e.Withdrawn {
			next = next.Without(e.DataCentre)
			continue
		}
		next = next.With(e.DataCentre, e.Version)
	}
	if confirmed.Before(before.ConfirmedAt()) {
		confirmed = before.ConfirmedAt()
	}
	next = next.WithConfirmedAt(confirmed)
	f.evacuations.Store(&next)
	if !next.SameRequests(before) {
		f.logger.Info().Strs("data_centres", next.DataCentres()).Uint64("version", update.Stamp.Version).Msg("gateway: evacuated data centres changed")
	}
}

func (f *Follower) logStoreAvailability(available bool, err error) {
	if available {
		f.logger.Info().Msg("gateway: store is available again")
		return
	}
	f.logger.Warn().Err(err).Msg("gateway: store is unavailable")
}
