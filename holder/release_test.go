package holder

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/store"
)

// leaseRowStore holds the row of a lease. It carries a transaction out and loses the answer while loses is set.
type leaseRowStore struct {
	store.Store

	row   store.Row
	loses bool
}

func (s *leaseRowStore) Commit(_ context.Context, txn store.Txn) (store.Stamp, error) {
	if txn.Checks[0].Version != s.row.Version {
		return store.Stamp{}, &store.Error{Op: "commit", Kind: store.KindConflict, Rows: []store.Row{s.row}}
	}
	s.row = store.Row{Key: txn.Writes[0].Key, Value: txn.Writes[0].Value, Version: s.row.Version + 1}
	if s.loses {
		return store.Stamp{}, &store.Error{Op: "commit", Kind: store.KindOutcomeUnknown, Err: errors.New("the answer is lost")}
	}
	return store.Stamp{Version: s.row.Version}, nil
}

// Guards against a holder that stops without releasing the pool, because its last transaction was carried out and the
// answer came too late.
func TestPoolIsReleasedAfterATransactionWithoutAnAnswer(t *testing.T) {
	is := is.New(t)
	s := &leaseRowStore{}
	w, _, err := Acquire(t.Context(), s, "pool", "name", "address", 0, nil)
	is.NoErr(err)
	s.loses = true
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = w.Commit(ctx, nil)
	is.True(err != nil)
	s.loses = false
	is.NoErr(w.Release(t.Context()))
	is.Equal(s.row.Version, uint64(3))
}

// A pool that another process has taken is not released by the one that held it before.
func TestPoolOfALaterHolderIsNotReleased(t *testing.T) {
	is := is.New(t)
	s := &leaseRowStore{}
	w, _, err := Acquire(t.Context(), s, "pool", "name", "address", 0, nil)
	is.NoErr(err)
	_, _, err = Acquire(t.Context(), s, "pool", "other", "address", 1, nil)
	is.NoErr(err)
	is.True(isLeaseLost(w.Release(t.Context())))
	is.Equal(s.row.Version, uint64(2))
}
