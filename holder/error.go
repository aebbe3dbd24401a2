package holder

import "fmt"

// Kinds of errors.
const (
	// KindLeaseLost means that another process holds the pool.
	KindLeaseLost Kind = iota + 1
	// KindStore means that the store could not be read or written.
	KindStore
	// KindAdvice means that the advice service did not answer.
	KindAdvice
)

type (
	// Kind classifies the errors of this package.
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
	return fmt.Sprintf("holder: %s: %v", e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
