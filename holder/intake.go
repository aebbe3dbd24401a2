package holder

import (
	"slices"
	"time"

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
