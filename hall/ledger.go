package hall

import (
	"context"
	"errors"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"hollyfork.example/hollyfork/platform"
	"hollyfork.example/hollyfork/table"
	"hollyfork.example/wire"
)

// Ledger writes for the holder of a hall. Each transaction replaces the holder's
// lease and so takes effect at most once, also when its answer is lost and it is
// sent again, and never after another holder took the hall. Create it with Acquire.
// Commit must not be called concurrently.
type Ledger struct {
	store Store
	key   string
	// lease and version are the row as last written.
	lease   *wire.HolderLease
	version int64
	// trouble, unless nil, is told of each failed try.
	trouble func(error)
}

// Acquire takes a hall whose lease was read with a version, and returns an error of
// KindFenced when another was faster.
func Acquire(ctx context.Context, store Store, hall string, held *wire.HolderLease, version int64, holder, address string) (*Ledger, error) {
	l := &Ledger{
		store:   store,
		key:     LeaseKey(hall),
		lease:   proto.CloneOf(held),
		version: version,
	}
	next := &wire.HolderLease{
		Epoch:   held.GetEpoch() + 1,
		Holder:  holder,
		Address: address,
		Counter: held.GetCounter() + 1,
	}
	if err := l.write(ctx, next, nil, nil); err != nil {
		return nil, err
	}
	return l, nil
}

// Epoch is the number of this holding of the hall.
func (l *Ledger) Epoch() uint64 {
	return l.lease.GetEpoch()
}

// NextPosition is the counter that the next transaction will have.
func (l *Ledger) NextPosition() uint64 {
	return l.lease.GetCounter() + 1
}

// Commit writes rows and renews the lease in one transaction. It tries until the
// outcome is known or ctx is done, whatever the store does. An error of KindFenced
// means that the hall is another's; one of KindConflict, that checks on the named
// rows failed and nothing was written.
func (l *Ledger) Commit(ctx context.Context, checks []platform.Check, writes []platform.Write) error {
	next := proto.CloneOf(l.lease)
	next.Counter++
	return l.write(ctx, next, checks, writes)
}

// Release gives the hall up, so that another may take it at once.
func (l *Ledger) Release(ctx context.Context) error {
	next := proto.CloneOf(l.lease)
	next.Counter++
	next.Released = true
	return l.write(ctx, next, nil, nil)
}

// write sends one transaction until its outcome is known.
func (l *Ledger) write(ctx context.Context, next *wire.HolderLease, checks []platform.Check, writes []platform.Write) error {
	next.Transaction = uuid.NewString()
	guard := table.Guard{
		Key:     l.key,
		Version: l.version,
		Value:   encode(next),
		Mine: func(row platform.Row) (bool, error) {
			found := &wire.HolderLease{}
			err := decode(row, found)
			return found.GetTransaction() == next.GetTransaction(), err
		},
	}
	version, err := table.Commit(ctx, l.store, guard, platform.Txn{Checks: checks, Writes: writes}, l.trouble)
	if err != nil {
		return ledgerError(err)
	}
	l.lease = next
	l.version = version
	return nil
}

// ledgerError translates an error of a transaction.
func ledgerError(err error) error {
	failure := &Error{Op: "commit", Kind: KindStore, Err: err}
	var cause *table.Error
	if !errors.As(err, &cause) {
		return failure
	}
	switch cause.Kind {
	case table.KindLost:
		failure.Kind = KindFenced
	case table.KindConflict:
		failure.Kind = KindConflict
		failure.Keys = cause.Keys
	case table.KindUnsettled:
		failure.Kind = KindStopped
	case table.KindCorrupt:
		failure.Kind = KindCorrupt
	}
	return failure
}
