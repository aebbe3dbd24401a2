package pool

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire/poolpb"
)

const (
	// WithdrawalAge is how long the cancellation of an unknown job is kept. The store refuses the job's row meanwhile,
	// also if a gateway has sent it before: some seconds may pass between the two.
	WithdrawalAge = time.Minute
	// withdrawalSweepInterval is the time between two deletions of old withdrawals.
	withdrawalSweepInterval = time.Second
	// maxSweepRows is the maximum number of rows in a transaction that deletes withdrawals: each has two checks and
	// a write, of which the store takes 100.
	maxSweepRows = 30
)

type (
	// withdrawals are the cancellations whose effect is open: no job is known under their identifiers, or it is not known
	// whether it was accepted later. They are copies: their rows may have been deleted.
	withdrawals struct {
		byKey   map[store.Key]withdrawal
		sweptAt time.Time
	}

	// withdrawal is the row of such a cancellation.
	withdrawal struct {
		keys    JobKeys
		version uint64
		at      time.Time
	}
)

// WithdrawalEnd returns the reading of the store's clock at which the cancellation of an unknown job is too old to be
// kept; 0 if the row can't be decoded.
func WithdrawalEnd(row store.Row) time.Duration {
	content := &poolpb.CancelRow{}
	if proto.Unmarshal(row.Value, content) != nil {
		return 0
	}
	return time.Duration(content.GetCancelledMs())*time.Millisecond + WithdrawalAge
}

// add records a cancellation, unless a later one under the same key is known.
func (w *withdrawals) add(row withdrawal) {
	if row.version < w.byKey[row.keys.Cancel].version {
		return
	}
	if w.byKey == nil {
		w.byKey = map[store.Key]withdrawal{}
	}
	w.byKey[row.keys.Cancel] = row
}

// legacy reports whether the row lies under the key of earlier releases.
func (w withdrawal) legacy() bool {
	return !inJobPart(w.keys.Cancel)
}

// TakeSweep returns the transactions that delete the rows of withdrawals that are too old, one for each part at most. A
// row that was written again, or whose job exists, is left.
func (c *Core) TakeSweep(now time.Time) []store.Txn {
	w := &c.withdrawals
	if len(w.byKey) == 0 || now.Sub(w.sweptAt) < withdrawalSweepInterval {
		return nil
	}
	w.sweptAt = now
	byPart := map[string]*store.Txn{}
	for _, row := range w.byKey {
		keys := row.keys
		txn, known := byPart[keys.Cancel.Part]
		if !known {
			txn = &store.Txn{}
			byPart[keys.Cancel.Part] = txn
		}
		if now.Sub(row.at) < WithdrawalAge || len(txn.Writes) == maxSweepRows {
			continue
		}
		txn.Checks = append(txn.Checks, store.Check{Key: keys.Cancel, Version: row.version}, store.Check{Key: keys.Job})
		txn.Writes = append(txn.Writes, store.Write{Key: keys.Cancel, Delete: true})
	}
	var sweep []store.Txn
	for _, txn := range byPart {
		if len(txn.Writes) > 0 {
			sweep = append(sweep, *txn)
		}
	}
	return sweep
}

// HandleSweep handles the outcome of a transaction of TakeSweep: it forgets the rows that were deleted, that differ from
// what the transaction expected, or that have a job. The others are deleted later.
func (c *Core) HandleSweep(txn store.Txn, err error) {
	for _, write := range txn.Writes {
		expected := txn.Checks[slices.IndexFunc(txn.Checks, func(check store.Check) bool { return check.Key == write.Key })].Version
		row := c.withdrawals.byKey[write.Key]
		if row.version != expected {
			continue // it was written again, and the feed has told so
		}
		found, conflict := store.ConflictRow(err, write.Key)
		accepted, _ := store.ConflictRow(err, row.keys.Job)
		switch {
		case err == nil || conflict && found.Version != expected:
			delete(c.withdrawals.byKey, write.Key)
		case conflict && accepted.Version > 0 && row.legacy():
			// The job is not known yet, and may have been accepted without regard to the cancellation.
			row.at = c.withdrawals.sweptAt
			c.withdrawals.byKey[write.Key] = row
		case conflict && accepted.Version > 0:
			delete(c.withdrawals.byKey, write.Key)
		}
	}
}
