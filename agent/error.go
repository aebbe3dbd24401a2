package agent

// Kind classifies errors of this package.
type Kind int

const (
	// KindWorker means that the worker could not be reached.
	KindWorker Kind = iota + 1
	// KindListen means that the agent could not listen for requests.
	KindListen
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return "agent: " + e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
