package policy

// ErrorKind classifies the errors of this package.
type ErrorKind int

const (
	// KindInfeasible means that the guarantees exceed the capacity of the hall.
	KindInfeasible ErrorKind = iota + 1
	// KindUnknownJob means that the hall does not have the job.
	KindUnknownJob
	// KindInvalid means that an input is malformed.
	KindInvalid
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return "policy: " + e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
