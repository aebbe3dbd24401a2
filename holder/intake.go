package holder

import (
	"slices"
	"time"

	"hollyfork.example/hollyfork/backoff"
	"hollyfork.example/hollyfork/malformed"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/store"
)

// recordDecoded records a row that can't be decoded, and clears the record of a row that can.
func (h *Host) recordDecoded(now time.Time, kind malformed.Kind, row store.Row, err error) {
	if err == nil {
		h.deps.Malformed.Clear(kind, row.Key.Name)
		return
	}
	h.deps.Malformed.Note(now, kind, row.Key.Name, len(row.Value), err)
}

// decodeIntake decodes the pool's rows of the intake table and keeps their order: that of a feed is the order of the
// changes. Rows of other pools and malformed rows are skipped.
func (h *Host) decodeIntake(rows []store.Row, clock pool.Clock) []pool.Intake {
	parts := pool.IntakeParts(h.pool)
	var items []pool.Intake
	for _, row := range rows {
		if !slices.Contains(parts, row.Key.Part) {
			continue
		}
		item, err := pool.DecodeIntake(row, clock)
		h.recordDecoded(clock.Now, pool.KindOfIntake(row.Key), row, err)
		if err != nil {
			continue
		}
		switch i := item.(type) {
		case pool.NewJob:
			if i.Pool == h.pool {
				items = append(items, i)
			}
		case pool.Cancellation:
			if i.Pool == h.pool {
				items = append(items, i)
			}
		case pool.CancellationRemoval, pool.AgentAddress:
			items = append(items, i)
		}
	}
	return items
}

// handleIntake handles new rows of the intake table.
func (h *Holder) handleIntake(now time.Time, page store.Page) {
	clocks := pool.Clock{Now: now, Store: page.Stamp.Clock}
	for _, item := range h.host.decodeIntake(page.Rows, clocks) {
		switch i := item.(type) {
		case pool.NewJob:
			h.core.AddJob(now, i)
		case pool.Cancellation:
			h.core.CancelJob(now, i)
		case pool.CancellationRemoval:
			h.core.RemoveCancellation(i)
		case pool.AgentAddress:
			h.handleAgentAddress(now, i)
		}
	}
}

// handleNotice handles a row that its writer has told of, and that the feed may not have brought yet.
func (h *Holder) handleNotice(now time.Time, m noticedRow) {
	clocks := pool.Clock{Now: now, Store: m.storeClock}
	for _, item := range h.host.decodeIntake([]store.Row{m.row}, clocks) {
		switch i := item.(type) {
		case pool.NewJob:
			i.Noticed = true
			h.core.AddJob(now, i)
		case pool.Cancellation:
			i.Noticed = true
			h.core.CancelJob(now, i)
		}
	}
}

// handleAgentAddress applies an agent's new address, or removes an agent whose row was deleted.
func (h *Holder) handleAgentAddress(now time.Time, a pool.AgentAddress) {
	if a.Address != "" {
		h.core.AddAgentRow(now, a)
		h.setAgent(a)
	} else if h.core.RemoveAgentRow(a) {
		h.setAgent(a)
	}
}

// followIntake sends changed rows of the intake table to the actor.
func (h *Holder) followIntake() {
	version := h.intakeVersion
	retry := backoff.New(minRetryDelay, maxRetryDelay)
	for h.ctx.Err() == nil {
		page, err := h.host.deps.Store.Follow(h.ctx, pool.IntakeTable, version, intakeWait)
		complete := store.KindOf(err) == store.KindHistoryGone
		if complete {
			page, err = h.host.readIntake(h.ctx)
		}
		if err != nil {
			retry.Wait(h.ctx)
			continue
		}
		retry.Reset()
		version = page.Stamp.Version
		if len(page.Rows) > 0 || complete {
			h.send(intakeRows{page: page, complete: complete})
		}
	}
}
