package store

import (
	"context"
	"fmt"
	"time"

	"hollyfork.example/hollyfork/clock"

	"github.com/VictoriaMetrics/metrics"
)

// Metered is a Store that counts the calls to another one and records their duration. Create it with
// NewMetered.
type Metered struct {
	inner Store
	set   *metrics.Set
}

// NewMetered returns a store that records its calls in a set of metrics.
func NewMetered(inner Store, set *metrics.Set) *Metered {
	return &Metered{inner: inner, set: set}
}

// Commit implements Store.
func (m *Metered) Commit(ctx context.Context, txn Txn) (Stamp, error) {
	start := clock.Now()
	stamp, err := m.inner.Commit(ctx, txn)
	m.observe("commit", start, err)
	return stamp, err
}

// Read implements Reader.
func (m *Metered) Read(ctx context.Context, r Range) (Page, error) {
	start := clock.Now()
	page, err := m.inner.Read(ctx, r)
	m.observe("read", start, err)
	return page, err
}

// Follow implements Reader. Only the count is recorded: the duration is mostly the wait for a change.
func (m *Metered) Follow(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error) {
	page, err := m.inner.Follow(ctx, table, after, wait)
	m.count("follow", err)
	return page, err
}

func (m *Metered) observe(op string, start time.Time, err error) {
	m.count(op, err)
	m.set.GetOrCreateHistogram(fmt.Sprintf(`hollyfork_store_call_seconds{op=%q}`, op)).UpdateDuration(start)
}

func (m *Metered) count(op string, err error) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`hollyfork_store_calls_total{op=%q,result=%q}`, op, KindOf(err))).Inc()
}

// String returns the name of the kind, or "ok" if there was no error.
func (k Kind) String() string {
	switch k {
	case KindRefused:
		return "refused"
	case KindOutcomeUnknown:
		return "unsettled"
	case KindConflict:
		return "conflict"
	case KindHistoryGone:
		return "history gone"
	case KindGuardReplaced:
		return "lost"
	case KindInvalid:
		return "invalid"
	default:
		return "ok"
	}
}
