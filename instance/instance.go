// Package instance identifies the instances of workers. An instance is one run of a worker's process. The next
// instance may have the same name, but its runs, listings and counters start from nothing.
package instance

import (
	"strconv"
	"strings"
	"time"
)

// separator stands between the name and the start time in the text of an ID.
const separator = "@"

// ID identifies an instance of a worker by the worker's name and the instance's start time. The zero value identifies
// no instance. Compare IDs with ==. Start times distinguish instances but do not order them, since they are
// wall-clock times, and the clock may have been set back between two starts.
type ID struct {
	name    string
	startMs int64
}

// New returns the ID of an instance with the name and the start time that its worker reports. The start time is in
// milliseconds since 1970. It is 0 for a worker that does not report it; the name of such a worker differs with each
// start.
func New(name string, startMs int64) ID {
	return ID{name: name, startMs: startMs}
}

// Parse returns the ID that a text represents. A text without a start time, as written by older releases, is the ID
// of an instance whose start time is unknown.
func Parse(text string) ID {
	if i := strings.LastIndex(text, separator); i >= 0 {
		if startMs, err := strconv.ParseUint(text[i+len(separator):], 10, 63); err == nil {
			return ID{name: text[:i], startMs: int64(startMs)}
		}
	}
	return ID{name: text}
}

// IsZero reports whether the ID identifies no instance.
func (id ID) IsZero() bool {
	return id == ID{}
}

// Name returns the worker's name, which several of its instances may share. It is only for calls to the platform,
// which do not contain start times; the linter rejects other uses.
func (id ID) Name() string {
	return id.name
}

// SharesName reports whether two IDs have the same worker name, so that calls for one may reach the other.
func (id ID) SharesName(other ID) bool {
	return id.name == other.name
}

// NameMayRecur reports whether a later instance may have the same name. A worker that does not report its start time
// has another name after each start, so a call for it cannot reach another instance.
func (id ID) NameMayRecur() bool {
	return id.startMs != 0
}

// StartTime returns the time at which the instance started, by the wall clock of its VM, or the zero time if it is
// unknown.
func (id ID) StartTime() time.Time {
	if id.startMs == 0 {
		return time.Time{}
	}
	return time.UnixMilli(id.startMs)
}

// String returns the text of the ID. Parse returns the same ID for it.
func (id ID) String() string {
	if id.startMs == 0 && !strings.Contains(id.name, separator) {
		return id.name
	}
	return id.name + separator + strconv.FormatInt(id.startMs, 10)
}

// MarshalText implements encoding.TextMarshaler.
func (id ID) MarshalText() ([]byte, error) {
	return []byte(id.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *ID) UnmarshalText(text []byte) error {
	*id = Parse(string(text))
	return nil
}

// Matches reports whether two IDs may be of the same instance: they are equal, or they have the same name and one of
// the start times is unknown.
func (id ID) Matches(other ID) bool {
	return id.name == other.name && (id.startMs == other.startMs || id.startMs == 0 || other.startMs == 0)
}
