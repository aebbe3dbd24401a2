package relay

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"hollyfork.example/hollyfork/store"
)

// mirror is a gateway's copy of a table, with the time as of which it was confirmed to be current. Create
// it with newMirror. It is safe for concurrent use.
type mirror struct {
	mu   sync.Mutex
	rows map[store.Key]store.Row
	// version is the store's version that the rows reflect. All changes after historyFrom are known.
	version     uint64
	historyFrom uint64
	// confirmedAsOf is the latest time at which the rows are known to have been current.
	confirmedAsOf time.Time
	// storeClock is the reading of the store's clock at storeClockAt.
	storeClock   time.Duration
	storeClockAt time.Time
	// lastErr is the error of the last request for changes; nil if it succeeded.
	lastErr error
	// changed is closed and replaced after each request for changes.
	changed chan struct{}
}

func newMirror() *mirror {
	return &mirror{rows: map[store.Key]store.Row{}, changed: make(chan struct{})}
}

// replace sets all rows of a range from the page that answers a request sent at requestedAt. Rows that are
// missing from the page stay as deleted rows, so that gateways that have them learn of the deletion. A page
// older than the mirror is ignored.
func (m *mirror) replace(now, requestedAt time.Time, r store.Range, page store.Page) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if page.Stamp.Version < m.version {
		return
	}
	for key, row := range m.rows {
		if !row.Deleted && r.Contains(key) {
			m.rows[key] = store.Row{Key: key, Version: page.Stamp.Version, Deleted: true}
		}
	}
	if m.historyFrom == 0 {
		m.historyFrom = page.Stamp.Version
	}
	m.apply(now, requestedAt, page)
}

// addChanges adds the rows that changed after a version. Pages that are older than the mirror, or that
// leave a gap after its version, are ignored.
func (m *mirror) addChanges(now, requestedAt time.Time, after uint64, page store.Page) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if page.Stamp.Version < m.version || after > m.version || m.historyFrom == 0 {
		return
	}
	m.apply(now, requestedAt, page)
}

// apply stores the rows and the stamp of a page. m.mu must be held.
func (m *mirror) apply(now, requestedAt time.Time, page store.Page) {
	for _, row := range page.Rows {
		m.rows[row.Key] = row
	}
	m.version = page.Stamp.Version
	m.storeClock, m.storeClockAt = page.Stamp.Clock, now
	if confirmed := requestedAt.Add(-page.Stamp.Age); confirmed.After(m.confirmedAsOf) {
		m.confirmedAsOf = confirmed
	}
	m.notifyWaiters(nil)
}

// recordFailure records that a request for changes failed.
func (m *mirror) recordFailure(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.notifyWaiters(err)
}

// notifyWaiters records the result of a request and wakes all waiting calls of watch. m.mu must be held.
func (m *mirror) notifyWaiters(err error) {
	m.lastErr = err
	close(m.changed)
	m.changed = make(chan struct{})
}

// watch returns the rows that changed after a version, for another gateway. It returns known changes, or
// all rows if after is 0, immediately, and otherwise waits for the next answer that this gateway receives.
// If unavailable is true, the other gateway cannot reach the store either, and watch waits for the next
// successful answer instead of returning the last failure.
func (m *mirror) watch(ctx context.Context, now func() time.Time, after uint64, unavailable bool) (store.Page, error) {
	const op = "watch"
	receivedAt := now()
	updated := false
	for {
		m.mu.Lock()
		page, ready, err := m.changesAfter(op, receivedAt, now(), after)
		changed := m.changed
		m.mu.Unlock()
		if err != nil && (!unavailable || store.KindOf(err) != store.KindRefused) {
			return page, err
		}
		if ready && (updated || after == 0 || len(page.Rows) > 0) {
			return page, nil
		}
		select {
		case <-changed:
			updated = true
		case <-ctx.Done():
			return store.Page{}, &store.Error{Op: op, Kind: store.KindRefused, Err: errNoUpdate}
		}
	}
}

// changesAfter returns the known changes after a version. ready is false while that version is later than
// the mirror's, or while the mirror is empty. m.mu must be held.
func (m *mirror) changesAfter(op string, receivedAt, now time.Time, after uint64) (page store.Page, ready bool, err error) {
	switch {
	case m.lastErr != nil:
		return page, false, &store.Error{Op: op, Kind: store.KindRefused, Err: m.lastErr}
	case m.historyFrom == 0 || after > m.version:
		return page, false, nil
	case after > 0 && after < m.historyFrom:
		return page, false, &store.Error{Op: op, Kind: store.KindHistoryGone}
	}
	page.Stamp = store.Stamp{Version: m.version, Clock: m.storeClock + now.Sub(m.storeClockAt), Age: receivedAt.Sub(m.confirmedAsOf)}
	for _, row := range m.rows {
		if row.Version > after && (after > 0 || !row.Deleted) {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b store.Row) int { return strings.Compare(a.Key.Name, b.Key.Name) })
	return page, true, nil
}

// currentVersion returns the store's version that the rows reflect.
func (m *mirror) currentVersion() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}
