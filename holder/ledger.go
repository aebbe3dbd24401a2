package holder

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire/poolpb"
)

// Ledger writes for the holder of a pool. Each transaction replaces the lease's row, and
// so renews the lease, takes effect at most once, and has none after another process took
// the pool. Create it with Acquire. Commit must not be called concurrently.
type Ledger struct {
	store   store.Store
	pool    string
	name    string
	address string
	epoch   uint64
	version uint64
	trouble func(error)
}

// Acquire takes a pool whose lease's row was read with a version. It returns when the
// store began to confirm it.
func Acquire(ctx context.Context, s store.Store, poolName, name, address string, version uint64, trouble func(error)) (*Ledger, time.Time, error) {
	l := &Ledger{store: s, pool: poolName, name: name, address: address, version: version, trouble: trouble}
	sent, err := l.write(ctx, nil, false)
	if err != nil {
		return nil, time.Time{}, err
	}
	l.epoch = l.version
	return l, sent, nil
}

// Epoch is the number of this holding of the pool. It grows with each.
func (l *Ledger) Epoch() uint64 {
	return l.epoch
}

// Commit writes rows and renews the lease in one transaction. It tries until the outcome
// is known or ctx is done, and returns when the try that succeeded was sent.
func (l *Ledger) Commit(ctx context.Context, writes []store.Write) (time.Time, error) {
	return l.write(ctx, writes, false)
}

// Release gives the pool up, so that another process may take it at once, and tells those
// that wait for it.
func (l *Ledger) Release(ctx context.Context) error {
	handover := store.Write{Key: pool.HandoverKey(l.pool), Value: pool.Encode(&poolpb.HandoverRow{Holder: l.name, Epoch: l.epoch})}
	_, err := l.write(ctx, []store.Write{handover}, true)
	return err
}

func (l *Ledger) write(ctx context.Context, writes []store.Write, release bool) (time.Time, error) {
	row := &poolpb.HolderRow{
		Holder:      l.name,
		Address:     l.address,
		Transaction: uuid.NewString(),
		Released:    release,
	}
	guard := store.Guard{
		Key:     pool.LeaseKey(l.pool),
		Version: l.version,
		Value:   pool.Encode(row),
		Mine:    func(found store.Row) bool { return transactionOf(found) == row.GetTransaction() },
	}
	outcome, err := store.Settle(ctx, l.store, guard, store.Txn{Writes: writes}, l.trouble)
	if err != nil {
		kind := KindStore
		if store.KindOf(err) == store.KindLost {
			kind = KindLost
		}
		return time.Time{}, &Error{Op: "commit", Kind: kind, Err: err}
	}
	l.version = outcome.Version
	return outcome.Sent, nil
}

// transactionOf returns the transaction that wrote a lease's row; empty when that can not
// be told.
func transactionOf(row store.Row) string {
	content := &poolpb.HolderRow{}
	if err := proto.Unmarshal(row.Value, content); err != nil {
		return ""
	}
	return content.GetTransaction()
}

// lost says whether an error means that another process holds the pool.
func lost(err error) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.Kind == KindLost
}
