package sidecar

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"hollyfork.example/hollyfork/backoff"
	"hollyfork.example/hollyfork/clock"
	"hollyfork.example/hollyfork/store"
)

const (
	// registerRetry is how often the agent tries to make its address known.
	registerRetry = 200 * time.Millisecond
	// registerAgain is how long the agent waits for a holder before it makes its address
	// known again.
	registerAgain = 10 * time.Second
)

type (
	// Committer makes transactions.
	Committer interface {
		Commit(ctx context.Context, txn store.Txn) (store.Stamp, error)
	}

	// Registrar makes an agent's address known to holders, by a row in the store. Create it with
	// NewRegistrar, then call Run.
	Registrar struct {
		clock  clock.Clock
		store  Committer
		row    store.Write
		synced func() time.Time
		logger *log.Logger
	}
)

// NewRegistrar returns a Registrar that writes a row, and that is told by synced when a holder called the
// agent last.
func NewRegistrar(c clock.Clock, s Committer, row store.Write, synced func() time.Time, logger *log.Logger) *Registrar {
	return &Registrar{clock: c, store: s, row: row, synced: synced, logger: logger}
}

// Run makes the address known, and again when no holder calls, until ctx is done.
func (r *Registrar) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if _, err := r.store.Commit(ctx, store.Txn{Writes: []store.Write{r.row}}); err != nil {
			r.logger.Warn().Err(err).Msg("agent: its address could not be made known")
			backoff.Sleep(ctx, registerRetry)
			continue
		}
		r.logger.Info().Str("row", r.row.Key.Name).Msg("agent: its address is known")
		r.awaitSilence(ctx)
	}
}

// awaitSilence waits until no holder has called for some time.
func (r *Registrar) awaitSilence(ctx context.Context) {
	began := r.clock.Now()
	for backoff.Sleep(ctx, registerAgain/4) {
		if now := r.clock.Now(); now.Sub(began) > registerAgain && now.Sub(r.synced()) > registerAgain {
			return
		}
	}
}
