package relay

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"hollyfork.example/hollyfork/store"
)

// mirror is a gateway's copy of a table's rows, with the time at which they were surely the newest. Create
// it with newMirror. It is safe for concurrent use.
type mirror struct {
	mu   sync.Mutex
	rows map[store.Key]store.Row
	// version is the store's when the rows were as they are, and since that from which on changes are
	// known.
	version uint64
	since   uint64
	// provenAt is up to when the rows are known to be the newest.
	provenAt time.Time
	// clock is the store's clock at clockAt.
	clock   time.Duration
	clockAt time.Time
	// err says why the last question for news was not answered.
	err error
	// changed is closed, and replaced, with each answer.
	changed chan struct{}
}

func newMirror() *mirror {
	return &mirror{rows: map[store.Key]store.Row{}, changed: make(chan struct{})}
}

// replace takes over all rows of a range, as an answer has them to a question that was sent at a time. Rows that are not
// there any more are kept as removed, for those that know them.
func (m *mirror) replace(now, sent time.Time, r store.Range, page store.Page) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if page.Stamp.Version < m.version {
		return
	}
	for key, row := range m.rows {
		if !row.Deleted && r.Has(key) {
			m.rows[key] = store.Row{Key: key, Version: page.Stamp.Version, Deleted: true}
		}
	}
	if m.since == 0 {
		m.since = page.Stamp.Version
	}
	m.apply(now, sent, page)
}

// add takes over the rows that have changed after a version.
func (m *mirror) add(now, sent time.Time, after uint64, page store.Page) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if page.Stamp.Version < m.version || after > m.version || m.since == 0 {
		return
	}
	m.apply(now, sent, page)
}

// apply takes over rows. The lock must be held.
func (m *mirror) apply(now, sent time.Time, page store.Page) {
	for _, row := range page.Rows {
		m.rows[row.Key] = row
	}
	m.version = page.Stamp.Version
	m.clock, m.clockAt = page.Stamp.Clock, now
	if proven := sent.Add(-page.Stamp.Age); proven.After(m.provenAt) {
		m.provenAt = proven
	}
	m.wake(nil)
}

// fail notes that a question for news was not answered.
func (m *mirror) fail(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wake(err)
}

// wake lets those that wait look again. The lock must be held.
func (m *mirror) wake(err error) {
	m.err = err
	close(m.changed)
	m.changed = make(chan struct{})
}

// watch answers another gateway's question for what has changed after a version, with the next answer that
// this gateway gets; at once if there is news already. One whose store is away as well waits until this gateway is
// answered again.
func (m *mirror) watch(ctx context.Context, now func() time.Time, after uint64, away bool) (store.Page, error) {
	const op = "watch"
	came := now()
	waited := false
	for {
		m.mu.Lock()
		page, ready, err := m.answer(op, came, now(), after)
		changed := m.changed
		m.mu.Unlock()
		if err != nil && (!away || store.KindOf(err) != store.KindRefused) {
			return page, err
		}
		if ready && (waited || after == 0 || len(page.Rows) > 0) {
			return page, nil
		}
		select {
		case <-changed:
			waited = true
		case <-ctx.Done():
			return store.Page{}, &store.Error{Op: op, Kind: store.KindRefused, Err: errNoNews}
		}
	}
}

// answer is what is known of changes after a version; ready is false while that is later than the rows. The
// lock must be held.
func (m *mirror) answer(op string, came, now time.Time, after uint64) (page store.Page, ready bool, err error) {
	switch {
	case m.err != nil:
		return page, false, &store.Error{Op: op, Kind: store.KindRefused, Err: m.err}
	case m.since == 0 || after > m.version:
		return page, false, nil
	case after > 0 && after < m.since:
		return page, false, &store.Error{Op: op, Kind: store.KindHistoryGone}
	}
	page.Stamp = store.Stamp{Version: m.version, Clock: m.clock + now.Sub(m.clockAt), Age: came.Sub(m.provenAt)}
	for _, row := range m.rows {
		if row.Version > after && (after > 0 || !row.Deleted) {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b store.Row) int { return strings.Compare(a.Key.Name, b.Key.Name) })
	return page, true, nil
}

// at returns the store's version when the rows were as they are.
func (m *mirror) at() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}
