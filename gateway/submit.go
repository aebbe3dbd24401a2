package gateway

import (
	"context"

	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/store"
)

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
	key := pool.KeysOf(j.ID).Job
	row := pool.Encode(pool.JobRow(poolName, j, g.follower.StoreClock(g.now())))
	txn := store.Txn{
		Checks: []store.Check{{Key: key}},
		Writes: []store.Write{{Key: key, Value: row}},
	}
	outcomeUnknown, err := g.retry(ctx, call, func(ctx context.Context) error { return g.write(ctx, poolName, txn) })
	if store.KindOf(err) == store.KindConflict {
		// The job is already accepted: by an earlier try, by an earlier request or by another gateway.
		return nil
	}
	return writeError("submit", outcomeUnknown, err)
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
