package store_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/clock"
	"hollyfork.example/hollyfork/store"
)

// lostAnswerStore refuses the first transactions, commits the next one, and loses the answers to it and to the ones
// after it.
type lostAnswerStore struct {
	store.Store

	refused, lost int
	refusedAt     time.Time
	row           store.Row
	// committedAt is when the row was written.
	committedAt time.Time
}

func (s *lostAnswerStore) Commit(_ context.Context, txn store.Txn) (store.Stamp, error) {
	if s.refused > 0 {
		s.refused--
		s.refusedAt = clock.Now()
		return store.Stamp{}, &store.Error{Op: "commit", Kind: store.KindRefused, Err: errors.New("not now")}
	}
	if s.row.Version == 0 {
		s.row = store.Row{Key: txn.Writes[0].Key, Value: txn.Writes[0].Value, Version: 1}
		s.committedAt = clock.Now()
	}
	if s.lost > 0 {
		s.lost--
		return store.Stamp{}, &store.Error{Op: "commit", Kind: store.KindOutcomeUnknown, Err: errors.New("the answer is lost")}
	}
	return store.Stamp{}, &store.Error{Op: "commit", Kind: store.KindConflict, Rows: []store.Row{s.row}}
}

// A holder whose commits lost their answers for 1.9 s counted its lease from the last attempt, and acted beside the
// holder that had taken the pool over meanwhile.
func TestLeaseCountsFromTheAttemptThatMayHaveRenewedIt(t *testing.T) {
	is := is.New(t)
	s := &lostAnswerStore{refused: 2, lost: 3}
	guard := store.Guard{Value: []byte("mine"), Matches: func(row store.Row) bool { return string(row.Value) == "mine" }}
	outcome, err := store.CommitUntilResolved(t.Context(), s, guard, store.Txn{}, nil)
	is.NoErr(err)
	is.Equal(outcome.Version, uint64(1))
	is.True(!outcome.Sent.After(s.committedAt))
	is.True(outcome.Sent.After(s.refusedAt)) // Refused attempts have done nothing.
}
