package model

import "fmt"

// Kinds of errors.
const (
	// KindWorkload means that a workload file is invalid.
	KindWorkload Kind = iota + 1
	// KindSetting means that the name or value of a setting is invalid.
	KindSetting
	// KindRow means that the pool could not decode a row that it had written.
	KindRow
)

type (
	// Kind distinguishes the errors of this package.
	Kind int

	// Error is the error type of this package.
	Error struct {
		// Op is the operation that failed.
		Op   string
		Kind Kind
		Err  error
	}
)

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("model: %s: %v", e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
