package hall

import (
	"errors"

	"hollyfork.example/hollyfork/store"
)

// Kind tells errors of this package apart.
type Kind int

const (
	// KindFenced means that another process holds the hall.
	KindFenced Kind = iota + 1
	// KindConflict means that a check on other rows than the lease failed.
	KindConflict
	// KindStore means that the table service failed.
	KindStore
	// KindCorrupt means that a row could not be understood.
	KindCorrupt
	// KindStopped means that the holder stops.
	KindStopped
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	// Keys names the rows whose checks failed, for KindConflict.
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

// kindOf returns the kind of an error of this package, or 0 for any other.
func kindOf(err error) Kind {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Kind
	}
	return 0
}
