package pool

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"hollyfork.example/hollyfork/job"
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
	// withdrawals are the cancellations of unknown jobs.
	withdrawals struct {
		byJob   map[job.ID]withdrawal
		sweptAt time.Time
	}

	// withdrawal is the row of a cancellation whose job is unknown.
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

// add records the cancellation of an unknown job. Without a version, as in a notice, the feed has it later.
func (w *withdrawals) add(c Cancellation) {
	if c.Version == 0 || c.Version < w.byJob[c.ID].version {
		return
	}
	if w.byJob == nil {
		w.byJob = map[job.ID]withdrawal{}
	}
	w.byJob[c.ID] = withdrawal{keys: c.Keys, version: c.Version, at: c.At}
}

// TakeSweep returns the transactions that delete the rows of withdrawals that are too old, one for each part at most. A
// row that was written again, or whose job exists, is left.
func (c *Core) TakeSweep(now time.Time) []store.Txn {
	w := &c.withdrawals
	if len(w.byJob) == 0 || now.Sub(w.sweptAt) < withdrawalSweepInterval {
		return nil
	}
	w.sweptAt = now
	byPart := map[string]*store.Txn{}
	for _, row := range w.byJob {
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

// HandleSweep handles the outcome of a transaction of TakeSweep: it forgets the rows that were deleted, or that differ
// from what the transaction expected. The others are deleted later.
func (c *Core) HandleSweep(txn store.Txn, err error) {
	for _, write := range txn.Writes {
		id := jobIDOf(write.Key.Name, cancelSuffix)
		expected := txn.Checks[slices.IndexFunc(txn.Checks, func(check store.Check) bool { return check.Key == write.Key })].Version
		row := c.withdrawals.byJob[id]
		if row.version != expected {
			continue // it was written again, and the feed has told so
		}
		found, conflict := store.ConflictRow(err, write.Key)
		accepted, _ := store.ConflictRow(err, row.keys.Job)
		if err == nil || conflict && (found.Version != expected || accepted.Version > 0) {
			delete(c.withdrawals.byJob, id)
		}
	}
}
