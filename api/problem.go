package api

import (
	"net/http"
	"time"

	"hollyfork.example/wire"
)

// Kinds of problems. They are part of the API and must not change, since programs depend on them.
const (
	KindInvalidField         = "invalid_field"
	KindMalformedBody        = "malformed_body"
	KindBodyTooLarge         = "body_too_large"
	KindNotFound             = "not_found"
	KindMethodNotAllowed     = "method_not_allowed"
	KindPreconditionFailed   = "precondition_failed"
	KindPreconditionRequired = "precondition_required"
	KindKeyReused            = "key_reused"
	KindInUse                = "in_use"
	KindInfeasible           = "infeasible_guarantee"
	KindQueueFull            = "queue_full"
	KindOverloaded           = "overloaded"
	KindStoreUnavailable     = "store_unavailable"
	KindHallUnavailable      = "hall_unavailable"
	KindStarting             = "starting"
	KindPositionGone         = "position_gone"
	KindInternal             = "internal"
)

const problemTypePrefix = "https://hollyfork.example/problems/"

var (
	// statuses maps kinds to HTTP statuses.
	statuses = map[string]int{
		KindInvalidField:         http.StatusUnprocessableEntity,
		KindMalformedBody:        http.StatusBadRequest,
		KindBodyTooLarge:         http.StatusRequestEntityTooLarge,
		KindNotFound:             http.StatusNotFound,
		KindMethodNotAllowed:     http.StatusMethodNotAllowed,
		KindPreconditionFailed:   http.StatusPreconditionFailed,
		KindPreconditionRequired: http.StatusPreconditionRequired,
		KindKeyReused:            http.StatusConflict,
		KindInUse:                http.StatusConflict,
		KindInfeasible:           http.StatusConflict,
		KindQueueFull:            http.StatusTooManyRequests,
		KindOverloaded:           http.StatusServiceUnavailable,
		KindStoreUnavailable:     http.StatusServiceUnavailable,
		KindHallUnavailable:      http.StatusServiceUnavailable,
		KindStarting:             http.StatusServiceUnavailable,
		KindPositionGone:         http.StatusGone,
		KindInternal:             http.StatusInternalServerError,
	}

	// refusalKinds maps the kinds of refusals in RPC replies to kinds of problems.
	refusalKinds = map[wire.Refusal_Kind]string{
		wire.Refusal_NOT_HOLDER:        KindHallUnavailable,
		wire.Refusal_OTHER_HALL:        KindHallUnavailable,
		wire.Refusal_STORE_UNAVAILABLE: KindStoreUnavailable,
		wire.Refusal_QUEUE_FULL:        KindQueueFull,
		wire.Refusal_NOT_FOUND:         KindNotFound,
		wire.Refusal_KEY_REUSED:        KindKeyReused,
		wire.Refusal_INVALID:           KindInvalidField,
		wire.Refusal_BUSY:              KindOverloaded,
		wire.Refusal_OLD_CONFIGURATION: KindStarting,
		wire.Refusal_POSITION_GONE:     KindPositionGone,
	}
)

// Error is the error that a request responds with. It is the error type of this package.
type Error struct {
	// Op is the operation that failed; it is not shown to callers.
	Op   string
	Kind string
	// Detail is a human-readable description.
	Detail string
	// Field is the name of the invalid field, or empty.
	Field string
	// RetryAfter is the time after which the caller may retry; 0 if a retry would not help.
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field != "" {
		return e.Kind + ": " + e.Field + ": " + e.Detail
	}
	return e.Kind + ": " + e.Detail
}

// NewError returns an error of a kind.
func NewError(kind, detail string) *Error {
	return &Error{Kind: kind, Detail: detail}
}

// NewFieldError returns an error of KindInvalidField that names the field.
func NewFieldError(field, detail string) *Error {
	return &Error{Kind: KindInvalidField, Field: field, Detail: detail}
}

// WithRetryAfter returns a copy with RetryAfter set.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	changed := *e
	changed.RetryAfter = d
	return &changed
}

// WithOp returns a copy with Op set.
func (e *Error) WithOp(op string) *Error {
	changed := *e
	changed.Op = op
	return &changed
}

// Status returns the error's HTTP status.
func (e *Error) Status() int {
	status, ok := statuses[e.Kind]
	if !ok {
		return http.StatusInternalServerError
	}
	return status
}

// RetryAfterSeconds returns RetryAfter in whole seconds, rounded up.
func (e *Error) RetryAfterSeconds() int32 {
	return int32((e.RetryAfter + time.Second - 1) / time.Second)
}

// Problem returns the problem details for the body of the response.
func (e *Error) Problem() *wire.Problem {
	return &wire.Problem{
		Type:              problemTypePrefix + e.Kind,
		Title:             http.StatusText(e.Status()),
		Status:            int32(e.Status()),
		Kind:              e.Kind,
		Detail:            e.Detail,
		Field:             e.Field,
		RetryAfterSeconds: e.RetryAfterSeconds(),
	}
}

// FromRefusal converts the refusal in an RPC reply to an error, and nil to nil.
func FromRefusal(r *wire.Refusal) *Error {
	if r == nil {
		return nil
	}
	kind, ok := refusalKinds[r.GetKind()]
	if !ok {
		kind = KindInternal
	}
	return &Error{
		Kind:       kind,
		Detail:     r.GetDetail(),
		Field:      r.GetField(),
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
	}
}
