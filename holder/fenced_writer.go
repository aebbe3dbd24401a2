package holder

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire/poolpb"
)

// FencedWriter writes to the store for the holder of a pool. Each transaction also replaces the row of the
// lease, provided that the row is unchanged. A transaction thus renews the lease, takes effect at most once
// even if its answer is lost and it is sent again, and has no effect after another process has taken the
// pool. Create it with Acquire. Commit must not be called concurrently.
type FencedWriter struct {
	store   store.Store
	pool    string
	name    string
	address string
	epoch   uint64
	// replaced is the version of the row that Acquire has replaced, and version that of the row at present.
	replaced uint64
	version  atomic.Uint64
	// lastCommit identifies the last transaction of Commit. Its outcome may be unknown when the pool is released.
	lastCommit atomic.Pointer[string]
	onRetry    func(error)
}

// Acquire takes a pool, given the version of its lease's row. It also returns a time no later than the commit
// (store.Outcome.Sent), from which the lease counts. The function onRetry is called with the error of each failed
// try of a transaction.
func Acquire(ctx context.Context, s store.Store, poolName, name, address string, version uint64, onRetry func(error)) (*FencedWriter, time.Time, error) {
	w := &FencedWriter{store: s, pool: poolName, name: name, address: address, replaced: version, onRetry: onRetry}
	w.version.Store(version)
	sent, err := w.write(ctx, nil, false)
	if err != nil {
		return nil, time.Time{}, err
	}
	w.epoch = w.LastVersion()
	return w, sent, nil
}

// Epoch returns the number of this holding of the pool. Each later holding has a higher number.
func (w *FencedWriter) Epoch() uint64 {
	return w.epoch
}

// FirstNumber returns the lowest fencing number of this holding: one above all of the holdings before it.
func (w *FencedWriter) FirstNumber() uint64 {
	return w.replaced + 1
}

// LastVersion returns the last version of the lease's row that this holding is known to have written. It is below all
// fencing numbers of later holdings. It is safe for concurrent use.
func (w *FencedWriter) LastVersion() uint64 {
	return w.version.Load()
}

// Commit writes rows and renews the lease in one transaction. It retries until the outcome is known or ctx is
// done. It returns a time no later than the commit, from which the lease counts.
func (w *FencedWriter) Commit(ctx context.Context, writes []store.Write) (time.Time, error) {
	return w.write(ctx, writes, false)
}

// Release releases the pool, so that another process can take it at once, and notifies the processes that
// wait for it.
func (w *FencedWriter) Release(ctx context.Context) error {
	handover := store.Write{Key: pool.HandoverKey(w.pool), Value: pool.Encode(&poolpb.HandoverRow{Holder: w.name, Epoch: w.epoch})}
	_, err := w.write(ctx, []store.Write{handover}, true)
	if row, ok := store.ConflictRow(err, pool.LeaseKey(w.pool)); ok && w.wroteLast(row) {
		w.version.Store(row.Version)
		_, err = w.write(ctx, []store.Write{handover}, true)
	}
	return err
}

// wroteLast reports whether the last transaction of Commit wrote a lease's row.
func (w *FencedWriter) wroteLast(row store.Row) bool {
	last := w.lastCommit.Load()
	return last != nil && transactionOf(row) == *last
}

func (w *FencedWriter) write(ctx context.Context, writes []store.Write, release bool) (time.Time, error) {
	row := &poolpb.HolderRow{
		Holder:      w.name,
		Address:     w.address,
		Transaction: uuid.NewString(),
		Released:    release,
	}
	if !release {
		w.lastCommit.Store(&row.Transaction)
	}
	guard := store.Guard{
		Key:     pool.LeaseKey(w.pool),
		Version: w.LastVersion(),
		Value:   pool.Encode(row),
		Matches: func(found store.Row) bool { return transactionOf(found) == row.GetTransaction() },
	}
	outcome, err := store.CommitUntilResolved(ctx, w.store, guard, store.Txn{Writes: writes}, w.onRetry)
	if err != nil {
		kind := KindStore
		if store.KindOf(err) == store.KindGuardReplaced {
			kind = KindLeaseLost
		}
		return time.Time{}, &Error{Op: "commit", Kind: kind, Err: err}
	}
	w.version.Store(outcome.Version)
	return outcome.Sent, nil
}

// transactionOf returns the identifier of the transaction that wrote a lease's row; empty if the row can't be
// decoded.
func transactionOf(row store.Row) string {
	content := &poolpb.HolderRow{}
	if err := proto.Unmarshal(row.Value, content); err != nil {
		return ""
	}
	return content.GetTransaction()
}

// isLeaseLost reports whether an error means that another process holds the pool.
func isLeaseLost(err error) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.Kind == KindLeaseLost
}
