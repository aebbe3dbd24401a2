package model

import "fmt"

// Kinds of errors.
const (
	// KindWorkload means that a workload file is wrong.
	KindWorkload Kind = iota + 1
	// KindSetting means that a setting's name or value is wrong.
	KindSetting
	// KindRow means that the pool could not read what it had written.
	KindRow
)

type (
	// Kind tells errors of this package apart.
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
