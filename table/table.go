// Package table writes to the platform's table service such that each write takes
// effect at most once and its outcome is known, although answers can be lost.
//
// Every transaction replaces one row, its guard, whose version it checks. While the
// guard is unchanged the transaction had no effect, and sending it again is safe,
// since only one sending can take effect. When the guard has changed, its content
// tells whose transaction did that.
package table

import (
	"context"
	"errors"
	"slices"
	"time"

	"hollyfork.example/hollyfork/backoff"
	"hollyfork.example/hollyfork/platform"
)

// Kinds of errors of this package.
const (
	// KindLost means that another transaction replaced the guard; nothing was written.
	KindLost Kind = iota + 1
	// KindConflict means that a check on another row failed; nothing was written.
	KindConflict
	// KindUnsettled means that ctx was done before the outcome was known.
	KindUnsettled
	// KindCorrupt means that the guard could not be understood.
	KindCorrupt
)

// Bounds of the waits between the tries of Commit.
const (
	firstRetry = 50 * time.Millisecond
	lastRetry  = 2 * time.Second
)

// Kind tells errors of this package apart.
type Kind int

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	// Keys names the rows whose checks failed, for KindConflict.
	Keys []string
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return "table: " + e.Op
	}
	return "table: " + e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// KindOf returns the kind of an error of this package, or 0 for any other.
func KindOf(err error) Kind {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Kind
	}
	return 0
}

// Store is what Commit needs of the table service.
type Store interface {
	Get(ctx context.Context, key string) (platform.Row, error)
	Commit(ctx context.Context, txn platform.Txn) ([]int64, error)
}

// Guard is the row that a transaction replaces first.
type Guard struct {
	Key string
	// Version is the version that is replaced.
	Version int64
	// Value is the new content.
	Value []byte
	// Mine says whether a row that was read carries this transaction's content.
	Mine func(row platform.Row) (bool, error)
}

// Commit sends a transaction that replaces the guard until its outcome is known or
// ctx is done, and returns the guard's new version. Unless nil, trouble is told of
// each failure after which the transaction is sent again.
func Commit(ctx context.Context, store Store, guard Guard, txn platform.Txn, trouble func(error)) (int64, error) {
	txn.Checks = append([]platform.Check{{Key: guard.Key, Version: guard.Version}}, txn.Checks...)
	txn.Writes = append([]platform.Write{{Key: guard.Key, Value: guard.Value}}, txn.Writes...)
	retry := backoff.New(firstRetry, lastRetry)
	for {
		versions, err := store.Commit(ctx, txn)
		if err == nil {
			return versions[0], nil
		}
		version, settled, outcome := settle(ctx, store, guard, err)
		if settled {
			return version, outcome
		}
		if trouble != nil {
			trouble(err)
		}
		if !retry.Wait(ctx) {
			return 0, &Error{Op: "commit", Kind: KindUnsettled, Err: err}
		}
	}
}

// settle finds out what became of a transaction that failed or was not answered. It is
// not settled while the guard is unchanged, or cannot be read.
func settle(ctx context.Context, store Store, guard Guard, err error) (version int64, settled bool, outcome error) {
	conflicts := platform.ConflictKeys(err)
	switch platform.KindOf(err) {
	case platform.KindConflict:
		if !slices.Contains(conflicts, guard.Key) {
			return 0, true, &Error{Op: "commit", Kind: KindConflict, Keys: conflicts}
		}
	case platform.KindRefused:
		return 0, false, nil
	}
	row, err := store.Get(ctx, guard.Key)
	if err == nil && row.Version != guard.Version {
		version, outcome = judge(guard, row)
		return version, true, outcome
	}
	return 0, false, nil
}

// judge says whose transaction replaced the guard.
func judge(guard Guard, row platform.Row) (version int64, outcome error) {
	mine, err := guard.Mine(row)
	switch {
	case err != nil:
		return 0, &Error{Op: "read guard", Kind: KindCorrupt, Err: err}
	case mine:
		return row.Version, nil
	default:
		return 0, &Error{Op: "commit", Kind: KindLost}
	}
}
