package gateway

import (
	"context"

	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/store"
)

// Cancel cancels a job: it writes a row that the pool's holder applies.
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
	record, err := g.findJob(ctx, op, call, t)
	if err != nil || record.cancelled {
		return err
	}
	row := pool.Encode(pool.CancelRow(record.pool, g.follower.StoreClock(g.now())))
	txn := store.Txn{Writes: []store.Write{{Key: record.keys.Cancel, Value: row}}}
	outcomeUnknown, err := g.retry(ctx, call, func(ctx context.Context) error { return g.write(ctx, record.pool, txn) })
	return writeError(op, outcomeUnknown, err)
}
