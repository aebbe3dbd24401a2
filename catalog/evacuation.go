package catalog

import (
	"maps"
	"slices"
	"time"
)

// Evacuations is the set of data centres whose workers get no new work, at the request of the operator. The
// zero value is empty and unconfirmed. A set is immutable; With and Without return changed copies.
type Evacuations struct {
	// requests maps each data centre to the version of the store at the request.
	requests map[string]uint64
	// confirmedAt is the time of the request to the store whose answer last confirmed the set.
	confirmedAt time.Time
}

// ConfirmedAt returns the time as of which the set is confirmed to be complete, which is the time of the
// request to the store rather than of its answer; the zero time for an unconfirmed set.
func (e Evacuations) ConfirmedAt() time.Time {
	return e.confirmedAt
}

// Contains reports whether a data centre is evacuated.
func (e Evacuations) Contains(dataCentre string) bool {
	_, requested := e.requests[dataCentre]
	return requested
}

// DataCentres returns the evacuated data centres in the order of their names.
func (e Evacuations) DataCentres() []string {
	return slices.Sorted(maps.Keys(e.requests))
}

// SameRequests reports whether two sets contain the same requests, regardless of when they were confirmed.
func (e Evacuations) SameRequests(other Evacuations) bool {
	return maps.Equal(e.requests, other.requests)
}

// With returns a copy with one more data centre, whose evacuation was requested at a version of the store.
func (e Evacuations) With(dataCentre string, version uint64) Evacuations {
	next := maps.Clone(e.requests)
	if next == nil {
		next = map[string]uint64{}
	}
	next[dataCentre] = version
	e.requests = next
	return e
}

// Without returns a copy without a data centre.
func (e Evacuations) Without(dataCentre string) Evacuations {
	if !e.Contains(dataCentre) {
		return e
	}
	e.requests = maps.Clone(e.requests)
	delete(e.requests, dataCentre)
	return e
}

// WithConfirmedAt returns a copy with another time of confirmation.
func (e Evacuations) WithConfirmedAt(confirmedAt time.Time) Evacuations {
	e.confirmedAt = confirmedAt
	return e
}
