package sidecar

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/hollyfork/job"
	"hollyfork.example/wire/poolpb"
)

// Kinds of errors.
const (
	// KindUnanswered means that the outcome of a call is unknown: the worker may or may not have carried it out.
	KindUnanswered Kind = iota + 1
	// KindNoWorker means that no process listens at the worker's address.
	KindNoWorker
	// KindOtherInstance means that a worker with another name answered.
	KindOtherInstance
	// KindRefused means that the worker rejected the call and did nothing.
	KindRefused
)

type (
	// Kind is the kind of an error of this package.
	Kind int

	// Error is the error type of this package.
	Error struct {
		// Op is the operation that failed.
		Op   string
		Kind Kind
		Err  error
	}

	// Listing contains the runs of a worker, and the ended runs that it has not been allowed to forget.
	Listing struct {
		// Instance is the instance that answered the poll.
		Instance instance.ID
		// Clock is the reading of the worker's monotonic clock.
		Clock   time.Duration
		Running []*poolpb.RunningTask
		// Ended is ordered by the numbers of the ended runs.
		Ended []*poolpb.EndedTask
	}

	// PollRequest requests a worker's listing and extends its lease.
	PollRequest struct {
		Instance instance.ID
		Epoch    uint64
		// Committed is the number of the last ended run that the worker may forget.
		Committed uint64
		// LeaseEnd is the reading of the worker's clock at which its lease ends; 0 leaves the lease unchanged.
		LeaseEnd time.Duration
		// Wait is the time that the worker may wait for a run to end before it answers.
		Wait time.Duration
	}

	// StartRequest requests that a worker start a task.
	StartRequest struct {
		Instance instance.ID
		Epoch    uint64
		// LeaseEnd is the reading of the worker's clock at which its lease ends.
		LeaseEnd time.Duration
		Order    *poolpb.StartOrder
	}

	// StopRequest requests that a worker stop a run, or refuse to start it if its start arrives later.
	StopRequest struct {
		Instance instance.ID
		Epoch    uint64
		Order    *poolpb.StopOrder
	}

	// Worker is the connection to the worker beside the agent.
	Worker interface {
		Poll(ctx context.Context, poll PollRequest) (Listing, error)
		Start(ctx context.Context, start StartRequest) (poolpb.OrderResult_Value, error)
		Stop(ctx context.Context, stop StopRequest) (poolpb.OrderResult_Value, error)
	}

	// ClockReading is a reading of a worker's clock. The zero value is none, which differs from a reading of 0.
	ClockReading struct {
		known bool
		value time.Duration
	}

	// Heartbeat is a worker's periodic report of its state.
	Heartbeat struct {
		Instance instance.ID
		// Sequence increases with each heartbeat of an instance.
		Sequence uint64
		// Clock is the reading of the worker's monotonic clock when the heartbeat was sent, if the worker reports it.
		Clock    ClockReading
		Draining bool
		// Remaining is the least time for which a draining worker stays; 0 if unknown.
		Remaining time.Duration
		Capacity  job.Shape
		Labels    []string
		Rack      string
		// DataCentre is the worker's data centre; empty if the worker does not report it.
		DataCentre string
	}
)

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("sidecar: %s: %v", e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// String returns the name of the kind, or "ok" if there is no error of this package.
func (k Kind) String() string {
	switch k {
	case KindUnanswered:
		return "unanswered"
	case KindNoWorker:
		return "no worker"
	case KindOtherInstance:
		return "other instance"
	case KindRefused:
		return "refused"
	default:
		return "ok"
	}
}

// String returns the name of the effect.
func (e HeartbeatEffect) String() string {
	switch e {
	case HeartbeatChanged:
		return "news"
	case HeartbeatUnverified:
		return "unverified"
	case HeartbeatLate:
		return "late"
	case HeartbeatEndedInstance:
		return "former"
	case HeartbeatOverLimit:
		return "crowded"
	default:
		return "known"
	}
}

// KindOf returns the kind of an error of this package, or 0 for any other.
func KindOf(err error) Kind {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Kind
	}
	return 0
}

// ReadingOf returns a reading of a worker's clock.
func ReadingOf(value time.Duration) ClockReading {
	return ClockReading{known: true, value: value}
}

// String returns the reading as a duration, or "unknown".
func (r ClockReading) String() string {
	if !r.known {
		return "unknown"
	}
	return r.value.String()
}

// before reports whether the reading is known to be earlier than a time of the same clock.
func (r ClockReading) before(t time.Duration) bool {
	return r.known && r.value < t
}
