// Package malformed records heartbeats and rows that could not be decoded because another program wrote
// them or because they were damaged. It logs, counts and lists them, so that operators can tell a malformed
// entry from a missing one.
package malformed

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

// Kinds of entries.
const (
	Heartbeat     Kind = "heartbeat"
	Configuration Kind = "configuration"
	Agent         Kind = "agent"
	Job           Kind = "job"
	Cancellation  Kind = "cancellation"
	State         Kind = "state"
	Summary       Kind = "summary"
	Gateway       Kind = "gateway"
	Other         Kind = "other"
)

const (
	// maxEntries bounds the memory of the registry: 60 KB at 300 bytes per entry. Further entries are
	// counted and logged, but not listed.
	maxEntries = 200
	// minLogInterval is the minimum time between two log lines (10 lines per second), because another
	// program may write thousands of malformed rows.
	minLogInterval = 100 * time.Millisecond
	// maxCause is the maximum length of a cause in bytes.
	maxCause = 200
)

type (
	// Kind is the expected kind of an entry.
	Kind string

	// Entry is a malformed heartbeat or row.
	Entry struct {
		Kind Kind `json:"kind"`
		// Name is the key of the row or the name of the sender.
		Name  string `json:"name"`
		Cause string `json:"cause"`
		// Bytes is the size of the entry.
		Bytes int `json:"bytes"`
		// Since is when the entry was first seen with its current cause. Seen counts how often the entry
		// was seen.
		Since time.Time `json:"since"`
		Seen  int       `json:"seen"`
	}

	// Registry records malformed entries. Create it with New. It is safe for concurrent use.
	Registry struct {
		logger  *log.Logger
		metrics *metrics.Set

		mu       sync.Mutex
		records  map[entryKey]*record
		loggedAt time.Time
	}

	entryKey struct {
		kind Kind
		name string
	}

	// record is an entry, and whether it has been logged with its current cause.
	record struct {
		Entry

		logged bool
	}
)

// New returns an empty registry with the given logger and metrics.
func New(logger *log.Logger, set *metrics.Set) *Registry {
	return &Registry{logger: logger, metrics: set, records: map[entryKey]*record{}}
}

// Note records a malformed entry. It logs an entry once per cause, and at most one line per minLogInterval; an entry
// that has to wait is logged when it is noted again.
func (r *Registry) Note(now time.Time, kind Kind, name string, size int, err error) {
	r.metrics.GetOrCreateCounter(fmt.Sprintf(`hollyfork_malformed_total{kind=%q}`, kind)).Inc()
	cause := truncate(err.Error())
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.record(Entry{Kind: kind, Name: name, Cause: cause, Bytes: size, Since: now})
	if rec.logged || now.Sub(r.loggedAt) < minLogInterval {
		return
	}
	r.loggedAt = now
	rec.logged = true
	r.logger.Warn().Str("kind", string(kind)).Str("name", name).Str("cause", cause).Int("bytes", size).Msg("malformed: entry ignored")
}

// record adds an entry, or counts it if it is recorded with the same cause. It returns its record, which is not kept
// if there are maxEntries others. The lock must be held.
func (r *Registry) record(e Entry) *record {
	key := entryKey{e.Kind, e.Name}
	rec, known := r.records[key]
	switch {
	case known && rec.Cause == e.Cause:
		rec.Seen++
		return rec
	case known:
		e.Seen = rec.Seen + 1
	default:
		e.Seen = 1
	}
	rec = &record{Entry: e}
	if known || len(r.records) < maxEntries {
		r.records[key] = rec
	}
	return rec
}

// Clear removes an entry that is well-formed now or no longer exists.
func (r *Registry) Clear(kind Kind, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.records, entryKey{kind, name})
}

// List returns the malformed entries, sorted by kind and name.
func (r *Registry) List() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Entry, 0, len(r.records))
	for _, rec := range r.records {
		list = append(list, rec.Entry)
	}
	slices.SortFunc(list, func(a, b Entry) int {
		return strings.Compare(string(a.Kind)+" "+a.Name, string(b.Kind)+" "+b.Name)
	})
	return list
}

// truncate shortens a cause to maxCause bytes.
func truncate(text string) string {
	if len(text) <= maxCause {
		return text
	}
	return strings.ToValidUTF8(text[:maxCause], "") + "…"
}
