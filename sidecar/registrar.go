package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"

	"hollyfork.example/hollyfork/backoff"
	"hollyfork.example/hollyfork/clock"
	"hollyfork.example/hollyfork/store"
)

const (
	// minRegisterRetry and maxRegisterRetry limit the waits between an agent's attempts to register its address. The
	// longest wait is long enough that the agents of a large fleet do not exceed the store's rate of writes when the
	// store throttles all of them at once.
	minRegisterRetry = 200 * time.Millisecond
	maxRegisterRetry = 5 * time.Second
	// reregisterAfter is the time without a call from a holder after which the agent registers its address again.
	reregisterAfter = 10 * time.Second
)

type (
	// Committer commits transactions to the store.
	Committer interface {
		Commit(ctx context.Context, txn store.Txn) (store.Stamp, error)
	}

	// Registrar registers an agent's address for holders by writing a row to the store. Create it with NewRegistrar,
	// then call Run.
	Registrar struct {
		clock    clock.Clock
		store    Committer
		row      store.Write
		lastSync func() time.Time
		logger   *log.Logger
	}
)

// NewRegistrar returns a Registrar that writes row. The function lastSync returns the time of the last call from a
// holder to the agent.
func NewRegistrar(c clock.Clock, s Committer, row store.Write, lastSync func() time.Time, logger *log.Logger) *Registrar {
	return &Registrar{clock: c, store: s, row: row, lastSync: lastSync, logger: logger}
}

// Run registers the address, and registers it again whenever no holder calls for reregisterAfter, until ctx is done.
func (r *Registrar) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.register(ctx)
		r.awaitHolderSilence(ctx)
	}
}

// register writes the row. It stops retrying when a holder calls: the holder then has the address, possibly from an
// attempt whose answer was lost.
func (r *Registrar) register(ctx context.Context) {
	began := r.clock.Now()
	retry := backoff.New(minRegisterRetry, maxRegisterRetry)
	for ctx.Err() == nil {
		_, err := r.store.Commit(ctx, store.Txn{Writes: []store.Write{r.row}})
		if err == nil {
			r.logger.Info().Str("row", r.row.Key.Name).Msg("agent: address registered in the store")
			return
		}
		r.logger.Warn().Err(err).Msg("agent: failed to register address in the store")
		retry.WaitAtLeast(ctx, store.RetryAfter(err))
		if r.lastSync().After(began) {
			r.logger.Info().Msg("agent: a holder has called; its address is already registered")
			return
		}
	}
}

// awaitHolderSilence waits until no holder has called for reregisterAfter.
func (r *Registrar) awaitHolderSilence(ctx context.Context) {
	began := r.clock.Now()
	for backoff.Sleep(ctx, reregisterAfter/4+rand.N(reregisterAfter/4)) {
		if now := r.clock.Now(); now.Sub(began) > reregisterAfter && now.Sub(r.lastSync()) > reregisterAfter {
			return
		}
	}
}
