package gateway

import (
	"context"
	"sync"
	"time"

	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/store"
)

// maxWithdrawals is the maximum number of unknown jobs that a workspace may cancel at a gateway in each
// pool.WithdrawalAge. Each leaves a row for as long.
const maxWithdrawals = 1000

// withdrawalCounter counts the cancellations of unknown jobs, by workspace. It is safe for concurrent use.
type withdrawalCounter struct {
	mu          sync.Mutex
	since       time.Time
	byWorkspace map[string]int
}

// take reports whether a workspace may cancel another unknown job, and counts it.
func (c *withdrawalCounter) take(now time.Time, workspace string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byWorkspace == nil || now.Sub(c.since) >= pool.WithdrawalAge {
		c.since, c.byWorkspace = now, map[string]int{}
	}
	c.byWorkspace[workspace]++
	return c.byWorkspace[workspace] <= maxWithdrawals
}

// Cancel cancels a job: it writes a row that the pool's holder applies. The row is also written if no job is found,
// and the error is then of KindNoJob: the job's own row may be written later, if the outcome of a submission is unknown.
func (g *Gateway) Cancel(ctx context.Context, call Call) error {
	began := g.now()
	err := g.cancel(ctx, call)
	g.logAnswer(g.now(), "cancel", call, began, err)
	return err
}

func (g *Gateway) cancel(ctx context.Context, call Call) error {
	const op = "cancel"
	t, err := g.resolve(g.now(), op, call)
	if err != nil {
		return err
	}
	err = g.cancelFound(ctx, call, t)
	if err == nil || AsError(err).Kind != KindNoJob || !job.ValidID(t.rest) {
		return err
	}
	if err := g.withdraw(ctx, call, t); store.KindOf(err) != store.KindConflict {
		return err
	}
	// The job was accepted meanwhile, or belongs to another workspace.
	return g.cancelFound(ctx, call, t)
}

// cancelFound cancels a job that exists. The store refuses the cancellation once the identifier is that of another job, or of
// none: it may be carried out late.
func (g *Gateway) cancelFound(ctx context.Context, call Call, t target) error {
	const op = "cancel"
	record, err := g.findJob(ctx, op, call, t)
	if err != nil || record.cancelled {
		return err
	}
	row := pool.Encode(pool.CancelRow(record.pool, g.follower.StoreClock(g.now())))
	txn := store.Txn{
		Checks: []store.Check{{Key: record.keys.Job, Version: record.version}},
		Writes: []store.Write{{Key: record.keys.Cancel, Value: row}},
	}
	outcomeUnknown, err := g.retry(ctx, call, func(ctx context.Context) error { return g.write(ctx, record.pool, txn) })
	if store.KindOf(err) == store.KindConflict {
		return &Error{Op: op, Kind: KindNoJob, Err: err}
	}
	return writeError(op, outcomeUnknown, err)
}

// withdraw cancels an identifier under which there is no job. The store then refuses the job's row for
// pool.WithdrawalAge, longer than a transaction may be under way. An error that is store.KindConflict means that there
// is a job.
func (g *Gateway) withdraw(ctx context.Context, call Call, t target) error {
	const op = "cancel"
	if !g.withdrawals.take(g.now(), t.workspace) {
		return &Error{Op: op, Kind: KindUnavailable, RetryAfter: pool.WithdrawalAge, Err: errManyWithdrawals}
	}
	keys := g.keys(t.queue.Pool, job.ID(t.rest))
	row := pool.Encode(pool.CancelRow(t.queue.Pool, g.follower.StoreClock(g.now())))
	txn := store.Txn{Checks: []store.Check{{Key: keys.Job}}, Writes: []store.Write{{Key: keys.Cancel, Value: row}}}
	outcomeUnknown, err := g.retry(ctx, call, func(ctx context.Context) error { return g.write(ctx, t.queue.Pool, txn) })
	switch {
	case err == nil:
		return &Error{Op: op, Kind: KindNoJob}
	case store.KindOf(err) == store.KindConflict:
		return err
	}
	return writeError(op, outcomeUnknown, err)
}
