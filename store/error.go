package store

import (
	"errors"
	"fmt"
	"time"
)

// Kinds of errors.
const (
	// KindRefused means that the store has not executed the request; a later attempt may succeed.
	KindRefused Kind = iota + 1
	// KindOutcomeUnknown means that there was no answer. A write may have taken effect, or may still take
	// effect later.
	KindOutcomeUnknown
	// KindConflict means that a check failed and nothing was written.
	KindConflict
	// KindHistoryGone means that the store no longer has the changes after the requested version.
	KindHistoryGone
	// KindGuardReplaced means that another transaction replaced the guard.
	KindGuardReplaced
	// KindInvalid means that the request or a row could not be understood.
	KindInvalid
)

type (
	// Kind is the kind of an error of this package.
	Kind int

	// Error is the error type of this package.
	Error struct {
		// Op is the operation that failed.
		Op   string
		Kind Kind
		// Rows are the current rows of the checks, for KindConflict, or that of the guard, for KindGuardReplaced. Rows that
		// do not exist have version 0.
		Rows []Row
		// RetryAfter is the delay that the store requests before the next attempt, for KindRefused; 0 for none.
		RetryAfter time.Duration
		Err        error
	}
)

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return "store: " + e.Op
	}
	return fmt.Sprintf("store: %s: %v", e.Op, e.Err)
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

// RetryAfter returns the delay that the store requests before the next attempt; 0 if the error contains none.
func RetryAfter(err error) time.Duration {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.RetryAfter
	}
	return 0
}

// ConflictRow returns the row with this key as the store found it when a check failed.
func ConflictRow(err error, key Key) (Row, bool) {
	var failure *Error
	if !errors.As(err, &failure) {
		return Row{}, false
	}
	for _, row := range failure.Rows {
		if row.Key == key {
			return row, true
		}
	}
	return Row{}, false
}
