package gateway

import (
	"context"
	"time"

	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/store"
)

// maxWriteDelay is how long after it was sent a transaction without an answer may be carried out; some seconds, by the
// platform's interface.
const maxWriteDelay = 10 * time.Second

// Submit accepts a job under the identifier in the path. It calls decode to read the job only after it has checked
// that the caller may submit it.
func (g *Gateway) Submit(ctx context.Context, call Call, decode func() (job.Job, error)) error {
	began := g.now()
	err := g.submit(ctx, call, decode)
	g.logAnswer(g.now(), "submit", call, began, err)
	return err
}

func (g *Gateway) submit(ctx context.Context, call Call, decode func() (job.Job, error)) error {
	const op = "submit"
	t, err := g.resolve(g.now(), op, call)
	if err != nil {
		return err
	}
	j, err := decode()
	if err != nil {
		return &Error{Op: op, Kind: KindInvalid, Err: err}
	}
	j.ID = job.ID(t.rest)
	j.Queue = t.queue.Name
	j.Workspace = t.workspace
	j.Terms = t.queue.Terms
	if err := j.Validate(); err != nil {
		return &Error{Op: op, Kind: KindInvalid, Err: err}
	}
	return g.accept(ctx, call, t.queue.Pool, j)
}

// accept writes a job's row unless it exists. The job stays with the pool that the row names.
func (g *Gateway) accept(ctx context.Context, call Call, poolName string, j job.Job) error {
	keys := g.keys(poolName, j.ID)
	row := pool.Encode(pool.JobRow(poolName, j, g.follower.StoreClock(g.now())))
	cancel := store.Check{Key: keys.Cancel}
	outcomeUnknown, err := g.retry(ctx, call, func(ctx context.Context) error {
		err := g.write(ctx, poolName, store.Txn{
			Checks: []store.Check{{Key: keys.Job}, cancel},
			Writes: []store.Write{{Key: keys.Job, Value: row}},
		})
		if found, ok := store.ConflictRow(err, keys.Cancel); ok && found.Version != cancel.Version && !g.isCancelled(found) {
			// A malformed row cancels nothing.
			cancel.Version = found.Version
			return &store.Error{Op: "commit", Kind: store.KindRefused, Err: err}
		}
		return err
	})
	if store.KindOf(err) == store.KindConflict {
		return g.conflictError(keys, outcomeUnknown, err)
	}
	return writeError("submit", outcomeUnknown, err)
}

// conflictError returns the error for the caller when the row of a job could not be written because one of its rows
// exists. The outcome of an earlier try may be unknown.
func (g *Gateway) conflictError(keys pool.JobKeys, outcomeUnknown bool, err error) error {
	const op = "submit"
	if row, ok := store.ConflictRow(err, keys.Job); !ok || row.Version > 0 {
		// The job is already accepted: by an earlier try, by an earlier request or by another gateway.
		return nil
	}
	// The identifier was cancelled: no try was carried out, and none will be while the row is there.
	keptFor := pool.WithdrawalAge
	if row, ok := store.ConflictRow(err, keys.Cancel); ok {
		keptFor = pool.WithdrawalEnd(row) - g.follower.StoreClock(g.now())
	}
	if outcomeUnknown && keptFor < maxWriteDelay {
		return &Error{Op: op, Kind: KindOutcomeUnknown, Err: errWithdrawn}
	}
	return &Error{Op: op, Kind: KindUnavailable, RetryAfter: min(max(keptFor, RetryAfter), pool.WithdrawalAge), Err: errWithdrawn}
}

// write commits a transaction and notifies the pool's holder of the written rows. If the store is known to be
// unavailable, write fails without a try, so that the caller can be told for certain that nothing was written.
func (g *Gateway) write(ctx context.Context, poolName string, txn store.Txn) error {
	if g.follower.StoreUnavailable() {
		return &store.Error{Op: "commit", Kind: store.KindRefused, Err: errStoreUnavailable}
	}
	stamp, err := g.store.Commit(ctx, txn)
	if err != nil {
		return err
	}
	for _, w := range txn.Writes {
		row := store.Row{Key: w.Key, Value: w.Value, Version: stamp.Version}
		g.notifier.Notify(poolName, row, g.follower.StoreClock(g.now()))
	}
	return nil
}

// writeError returns the error for the caller when a write failed.
func writeError(op string, outcomeUnknown bool, err error) error {
	switch {
	case err == nil:
		return nil
	case outcomeUnknown:
		return &Error{Op: op, Kind: KindOutcomeUnknown, Err: err}
	default:
		return &Error{Op: op, Kind: KindUnavailable, RetryAfter: RetryAfter, Err: err}
	}
}
