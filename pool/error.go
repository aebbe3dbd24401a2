package pool

import "fmt"

// KindCorrupt means that a row cannot be decoded, has invalid content, or belongs to an unknown job.
const KindCorrupt Kind = 1

type (
	// Kind classifies an Error.
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
	if e.Err == nil {
		return "pool: " + e.Op + ": the row is malformed"
	}
	return fmt.Sprintf("pool: %s: %v", e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
