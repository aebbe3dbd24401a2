package holder

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"hollyfork.example/hollyfork/clock"
	"hollyfork.example/hollyfork/malformed"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/store"
)

// restoredPool is a pool that was loaded from the store.
type restoredPool struct {
	core   *pool.Core
	agents []pool.AgentAddress
	// intakeVersion is the version of the store from which the intake table is to be followed.
	intakeVersion uint64
	// clocks relates the clock of this process to the store's.
	clocks pool.Clock
}

// load reads a pool from the store for a holder with an epoch. States are read before jobs, so that the job of each
// state is read too.
func (h *Host) load(ctx context.Context, epoch uint64) (*restoredPool, error) {
	states, err := h.deps.Store.Read(ctx, store.Range{Table: pool.StateTable, Part: h.pool})
	if err != nil {
		return nil, &Error{Op: "read states", Kind: KindStore, Err: err}
	}
	intake, err := h.readIntake(ctx)
	if err != nil {
		return nil, &Error{Op: "read jobs", Kind: KindStore, Err: err}
	}
	now := h.deps.Clock.Now()
	r := &restoredPool{
		core:          pool.New(h.pool, h.settings, func(e pool.Event) { h.logEvent(epoch, e) }),
		intakeVersion: intake.Stamp.Version,
		clocks:        pool.Clock{Now: now, Store: intake.Stamp.Clock},
	}
	r.core.SetCatalog(h.deps.Catalog())
	r.core.SetTimeOfDayOffset(clock.WallClockOffset(now))
	items := h.decodeIntake(intake.Rows, r.clocks)
	for _, item := range items {
		if j, ok := item.(pool.NewJob); ok {
			r.core.AddJob(now, j)
		}
	}
	h.restoreStates(now, r.core, states.Rows)
	for _, item := range items {
		r.apply(now, item)
	}
	h.deps.Logger.Info().Str("pool", h.pool).Int("rows", len(intake.Rows)).Int("states", len(states.Rows)).Msg("holder: loaded the pool from the store")
	return r, nil
}

// readIntake reads all parts of the intake table in parallel. The stamp is the oldest of the answers, so that
// no change is missed when the table is followed from there.
func (h *Host) readIntake(ctx context.Context) (store.Page, error) {
	parts := pool.IntakeParts(h.pool)
	pages := make([]store.Page, len(parts))
	group, ctx := errgroup.WithContext(ctx)
	for i, part := range parts {
		group.Go(func() error {
			var err error
			pages[i], err = h.deps.Store.Read(ctx, store.Range{Table: pool.IntakeTable, Part: part})
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return store.Page{}, err
	}
	all := store.Page{Stamp: pages[0].Stamp}
	for _, page := range pages {
		all.Rows = append(all.Rows, page.Rows...)
		if page.Stamp.Version < all.Stamp.Version {
			all.Stamp = page.Stamp
		}
	}
	return all, nil
}

func (h *Host) restoreStates(now time.Time, core *pool.Core, rows []store.Row) {
	for _, row := range rows {
		h.recordDecoded(now, malformed.State, row, core.RestoreState(now, row))
	}
}

// apply applies a cancellation or an agent address from the intake table.
func (r *restoredPool) apply(now time.Time, item pool.Intake) {
	switch i := item.(type) {
	case pool.Cancellation:
		r.core.CancelJob(now, i)
	case pool.AgentAddress:
		r.core.AddAgentRow(now, i)
		r.agents = append(r.agents, i)
	}
}

// logEvent counts and logs an event of the pool. Lines on runs name the task as its worker does, and the epoch of the
// holder that decided.
func (h *Host) logEvent(epoch uint64, e pool.Event) {
	h.deps.Metrics.GetOrCreateCounter(fmt.Sprintf(`hollyfork_pool_events_total{pool=%q,kind=%q}`, h.pool, e.Kind)).Inc()
	entry := h.deps.Logger.Info().Str("pool", h.pool)
	if e.Job != "" {
		entry = entry.Str("job", string(e.Job))
	}
	if e.Task.Job != "" {
		entry = entry.Str("task", e.Task.String()).Int("run", e.Run).Uint64("epoch", epoch)
	}
	if e.Worker != "" {
		entry = entry.Str("worker", e.Worker)
	}
	if e.Detail != "" {
		entry = entry.Str("detail", e.Detail)
	}
	if c := e.Contact; c != nil {
		entry = entry.Str("incarnation", c.Incarnation).Int64("replied_ago_ms", c.SinceReply.Milliseconds()).
			Int64("listed_ago_ms", c.SinceListing.Milliseconds()).Int64("lease_left_ms", c.LeaseRemaining.Milliseconds())
	}
	entry.Msg("holder: " + string(e.Kind))
}
