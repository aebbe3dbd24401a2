package hall

import (
	"context"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire"
)

// FencedWriter writes to the store for the holder of a hall. Each transaction also replaces the row of the
// lease, provided that the row is unchanged. A transaction thus renews the lease, takes effect at most once
// even if its answer is lost and it is sent again, and has no effect after another process has taken the
// hall. Create it with Acquire. Commit must not be called concurrently.
type FencedWriter struct {
	store store.Store
	key   store.Key
	// lease and version are the content and version of the lease's row after the last transaction.
	lease   *wire.HolderLease
	version uint64
	// onRetry is called with the error of each failed try of a transaction, unless it is nil.
	onRetry func(error)
}

// Acquire takes a hall, given its lease, the version of the lease's row and the longest lease that an agent may have.
// It returns an error of KindFenced if another process has taken the hall first.
func Acquire(ctx context.Context, s store.Store, hall string, current *wire.HolderLease, version uint64, holder, address string, agentLease time.Duration) (*FencedWriter, error) {
	w := &FencedWriter{
		store:   s,
		key:     LeaseKey(hall),
		lease:   proto.CloneOf(current),
		version: version,
	}
	next := &wire.HolderLease{
		Epoch:   current.GetEpoch() + 1,
		Holder:  holder,
		Address: address,
		Counter: current.GetCounter() + 1,

		LongestAgentLeaseMs: int32(agentLease.Milliseconds()),
	}
	if err := w.write(ctx, next, nil, nil); err != nil {
		return nil, err
	}
	return w, nil
}

// AgentLease returns the longest lease that an agent may have, as the last transaction recorded it.
func (w *FencedWriter) AgentLease() time.Duration {
	return time.Duration(w.lease.GetLongestAgentLeaseMs()) * time.Millisecond
}

// Epoch returns the number of this holding of the hall. Each later holding has a higher number.
func (w *FencedWriter) Epoch() uint64 {
	return w.lease.GetEpoch()
}

// NextPosition returns the position that the next transaction will have in the hall's change stream.
func (w *FencedWriter) NextPosition() uint64 {
	return w.lease.GetCounter() + 1
}

// Commit writes rows, renews the lease and records the longest lease that an agent may have, in one transaction. It
// retries until the outcome is known or ctx
// is done. An error of KindFenced means that another process has taken the hall; KindConflict means that
// checks of the rows in Keys failed and nothing was written.
func (w *FencedWriter) Commit(ctx context.Context, checks []store.Check, writes []store.Write, agentLease time.Duration) error {
	next := proto.CloneOf(w.lease)
	next.Counter++
	next.LongestAgentLeaseMs = int32(agentLease.Milliseconds())
	return w.write(ctx, next, checks, writes)
}

// Release releases the hall, so that another process can take it immediately.
func (w *FencedWriter) Release(ctx context.Context) error {
	next := proto.CloneOf(w.lease)
	next.Counter++
	next.Released = true
	return w.write(ctx, next, nil, nil)
}

// write sends one transaction, which replaces the lease with next, until its outcome is known.
func (w *FencedWriter) write(ctx context.Context, next *wire.HolderLease, checks []store.Check, writes []store.Write) error {
	next.Transaction = uuid.NewString()
	guard := store.Guard{
		Key:     w.key,
		Version: w.version,
		Value:   encode(next),
		Matches: func(row store.Row) bool {
			found := &wire.HolderLease{}
			return decode(row, found) == nil && found.GetTransaction() == next.GetTransaction()
		},
	}
	outcome, err := store.CommitUntilResolved(ctx, w.store, guard, store.Txn{Checks: checks, Writes: writes}, w.onRetry)
	if err != nil {
		return commitError(checks, err)
	}
	w.lease = next
	w.version = outcome.Version
	return nil
}

// commitError converts an error of a transaction with the given checks to an Error.
func commitError(checks []store.Check, err error) error {
	failure := &Error{Op: "commit", Kind: KindStore, Err: err}
	switch store.KindOf(err) {
	case store.KindGuardReplaced:
		failure.Kind = KindFenced
	case store.KindConflict:
		failure.Kind = KindConflict
		failure.Keys = failedChecks(checks, err)
	case store.KindOutcomeUnknown:
		failure.Kind = KindStopped
	}
	return failure
}

// failedChecks returns the keys of the rows whose checks failed.
func failedChecks(checks []store.Check, err error) []store.Key {
	var keys []store.Key
	for _, c := range checks {
		if row, found := store.ConflictRow(err, c.Key); found && row.Version != c.Version {
			keys = append(keys, c.Key)
		}
	}
	return keys
}
