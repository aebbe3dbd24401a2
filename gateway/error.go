package gateway

import (
	"errors"
	"fmt"
	"time"
)

// Kinds of errors.
const (
	// KindNoQueue means that no queue matches the request's host and path.
	KindNoQueue Kind = iota + 1
	// KindUnauthorised means that the key is unknown.
	KindUnauthorised
	// KindNoJob means that the job does not exist.
	KindNoJob
	// KindInvalid means that the request is not valid.
	KindInvalid
	// KindUnavailable means that the request had no effect and may succeed later.
	KindUnavailable
	// KindOutcomeUnknown means that the request may or may not have had an effect.
	KindOutcomeUnknown
)

type (
	// Kind classifies the errors of this package.
	Kind int

	// Error is the error type of this package.
	Error struct {
		// Op is the operation that failed.
		Op   string
		Kind Kind
		// RetryAfter is the delay before the caller should retry, for KindUnavailable.
		RetryAfter time.Duration
		Err        error
	}
)

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("gateway: %s: %s", e.Op, kindNames[e.Kind])
	}
	return fmt.Sprintf("gateway: %s: %s: %v", e.Op, kindNames[e.Kind], e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// AsError returns the Error in the chain of err. It wraps any other error as KindOutcomeUnknown.
func AsError(err error) *Error {
	var failure *Error
	if errors.As(err, &failure) {
		return failure
	}
	return &Error{Op: "request", Kind: KindOutcomeUnknown, Err: err}
}

var kindNames = map[Kind]string{
	KindNoQueue:        "no such queue",
	KindUnauthorised:   "the key is not known",
	KindNoJob:          "no such job",
	KindInvalid:        "the request is not valid",
	KindUnavailable:    "not now",
	KindOutcomeUnknown: "the outcome is not known",
}

// String returns the kind's name.
func (k Kind) String() string {
	return kindNames[k]
}
