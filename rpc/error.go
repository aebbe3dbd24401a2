package rpc

import "errors"

// Kind classifies errors of this package.
type Kind int

const (
	// KindUnreachable means that the request was certainly not delivered.
	KindUnreachable Kind = iota + 1
	// KindUnanswered means that no answer arrived; the peer may have executed the request.
	KindUnanswered
	// KindRemote means that the peer answered with an error.
	KindRemote
	// KindProtocol means that a message could not be encoded or decoded, or is larger than MaxMessageBytes. A request
	// was not sent.
	KindProtocol
	// KindClosed means that the client or server was closed.
	KindClosed
)

var (
	errNotProto = errors.New("not a protobuf message")
	errTooLarge = errors.New("the message is too large")
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	Err  error
}

func newError(op string, kind Kind, err error) *Error {
	return &Error{Op: op, Kind: kind, Err: err}
}

// Error implements error.
func (e *Error) Error() string {
	return "rpc: " + e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
