package hall

import (
	"errors"

	"hollyfork.example/hollyfork/store"
)

// Kind classifies the errors of this package.
type Kind int

const (
	// KindFenced means that another process has taken the hall.
	KindFenced Kind = iota + 1
	// KindConflict means that a check on a row other than the lease failed.
	KindConflict
	// KindStore means that the table service failed.
	KindStore
	// KindCorrupt means that a row could not be decoded.
	KindCorrupt
	// KindStopped means that the holder stopped before the outcome was known.
	KindStopped
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	// Keys lists the rows whose checks failed, for KindConflict.
	Keys []store.Key
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	text := "hall: " + e.Op
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// kindOf returns the Kind of an error of this package, or 0 for any other error.
func kindOf(err error) Kind {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Kind
	}
	return 0
}
