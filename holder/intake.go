package holder

import (
	"slices"

	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/store"
)

// decodeIntake decodes the pool's rows of the intake table, jobs before what else is told: a row
// that cancels a job is named before the job's own, and a cancellation of a job that is not known
// is lost. Rows of other pools, and those that can't be read, are passed over.
func (h *Host) decodeIntake(rows []store.Row, clock pool.Clock) []pool.Intake {
	parts := pool.IntakeParts(h.pool)
	var jobs, others []pool.Intake
	for _, row := range rows {
		if !slices.Contains(parts, row.Key.Part) {
			continue
		}
		item, err := pool.DecodeIntake(row, clock)
		if err != nil {
			h.deps.Logger.Error().Err(err).Msg("holder: a row is passed over")
			continue
		}
		switch item.(type) {
		case nil:
		case pool.NewJob:
			jobs = append(jobs, item)
		default:
			others = append(others, item)
		}
	}
	return append(jobs, others...)
}
