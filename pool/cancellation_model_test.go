package pool

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/store"
)

type (
	// cancelModel is a store with the rows of submissions and cancellations, its callers, and the holder of a pool that
	// reads the rows. Answers are lost, and transactions are carried out late.
	cancelModel struct {
		t   *rapid.T
		now time.Time

		version uint64
		rows    map[store.Key]store.Row
		feed    []store.Row
		late    []store.Txn
		// lateSince is when the first of them was sent.
		lateSince time.Time
		notices   []store.Row
		// cancelled tells of each accepted job whether it was cancelled after it was accepted or, if its row was written
		// without regard to cancellations, while one was there.
		cancelled map[job.ID]bool

		// boundedDelay tells whether a late transaction is carried out within maxDelay. Else all notices have a version.
		boundedDelay bool

		core *Core
		// read is the number of changes of the feed that the holder has read.
		read int
	}
)

// maxDelay is how late a transaction is carried out at most, if that is bounded.
const maxDelay = 10 * time.Second

// The identifiers of the model. Those with an odd number are used by gateways that write under the keys of earlier
// releases, some of which write a job's row without regard to a cancellation.
const modelIDs = 3

func newCancelModel(t *rapid.T) *cancelModel {
	m := &cancelModel{t: t, boundedDelay: rapid.Bool().Draw(t, "late transactions are carried out soon"), now: time.Unix(9000, 0), rows: map[store.Key]store.Row{}, cancelled: map[job.ID]bool{}}
	m.core = New("pool", DefaultSettings(), nil)
	return m
}

func (m *cancelModel) clock() Clock {
	return Clock{Now: m.now, Store: m.now.Sub(time.Unix(1000, 0))}
}

// drawJob returns one of the jobs and the keys of its rows.
func (m *cancelModel) drawJob() (j job.Job, keys JobKeys, legacy bool) {
	number := rapid.IntRange(0, modelIDs-1).Draw(m.t, "job")
	j = oneTask(number, time.Second)
	if number%2 == 1 {
		return j, LegacyKeysOf("pool", j.ID), true
	}
	return j, KeysOf(j.ID), false
}

// send sends a transaction, which may be carried out late. It reports whether it was committed now.
func (m *cancelModel) send(txn store.Txn) bool {
	if rapid.IntRange(0, 3).Draw(m.t, "late if 0") == 0 {
		m.delay(txn)
		return false
	}
	return m.commit(txn)
}

func (m *cancelModel) delay(txn store.Txn) {
	if len(m.late) == 0 {
		m.lateSince = m.now
	}
	m.late = append(m.late, txn)
}

func (m *cancelModel) commit(txn store.Txn) bool {
	for _, check := range txn.Checks {
		if m.rows[check.Key].Version != check.Version {
			return false
		}
	}
	m.version++
	for _, write := range txn.Writes {
		row := store.Row{Key: write.Key, Value: write.Value, Version: m.version, Deleted: write.Delete}
		if _, there := m.rows[write.Key]; write.Delete && !there {
			continue
		}
		m.feed = append(m.feed, row)
		m.rows[write.Key] = row
		if write.Delete {
			delete(m.rows, write.Key)
		}
		m.note(row)
	}
	return true
}

// note records what a written row means for its job.
func (m *cancelModel) note(row store.Row) {
	switch KindOfIntake(row.Key) {
	case "job":
		id := jobIDOf(row.Key.Name, jobSuffix)
		m.cancelled[id] = m.rows[jobKeysIn(row.Key.Part, id).Cancel].Version > 0
	case "cancellation":
		id := jobIDOf(row.Key.Name, cancelSuffix)
		if _, accepted := m.cancelled[id]; accepted && !row.Deleted {
			m.cancelled[id] = true
		}
	}
}

// tell tells the holder of a row that was written now. The notice may be lost, late, or of a release that sends no version.
func (m *cancelModel) tell(key store.Key) {
	row := m.rows[key]
	kinds := []string{"told", "lost", "told without version"}
	if !m.boundedDelay {
		kinds = kinds[:2]
	}
	switch rapid.SampledFrom(kinds).Draw(m.t, "notice") {
	case "told":
		m.notices = append(m.notices, row)
	case "told without version":
		row.Version = 0
		m.notices = append(m.notices, row)
	}
}

func (m *cancelModel) submit(*rapid.T) {
	j, keys, legacy := m.drawJob()
	row := JobRow("pool", j, m.clock().Store)
	txn := store.Txn{Checks: []store.Check{{Key: keys.Job}, {Key: keys.Cancel}}}
	if legacy && rapid.Bool().Draw(m.t, "by an earlier release") {
		row.Pool = ""
		txn.Checks = txn.Checks[:1]
	}
	txn.Writes = []store.Write{{Key: keys.Job, Value: Encode(row)}}
	if m.send(txn) {
		m.tell(keys.Job)
	}
}

func (m *cancelModel) cancel(*rapid.T) {
	_, keys, _ := m.drawJob()
	txn := store.Txn{Writes: []store.Write{{Key: keys.Cancel, Value: Encode(CancelRow("pool", m.clock().Store))}}}
	if m.rows[keys.Job].Version == 0 {
		txn.Checks = []store.Check{{Key: keys.Job}}
	}
	if m.send(txn) {
		m.tell(keys.Cancel)
	}
}

// carryOut carries out the first of the late transactions.
func (m *cancelModel) carryOut(t *rapid.T) {
	if len(m.late) == 0 {
		t.Skip("none is late")
	}
	m.commit(m.late[0])
	m.late = m.late[1:]
}

func (m *cancelModel) wait(t *rapid.T) {
	length := time.Duration(rapid.IntRange(1, 70).Draw(t, "seconds")) * time.Second
	for m.boundedDelay && len(m.late) > 0 && m.now.Add(length).Sub(m.lateSince) > maxDelay {
		m.carryOut(t)
	}
	m.now = m.now.Add(length)
}

// sweep lets the holder delete old cancellations. The answers may be lost.
func (m *cancelModel) sweep(t *rapid.T) {
	for _, txn := range m.core.TakeSweep(m.now) {
		switch rapid.SampledFrom([]string{"answered", "answer lost", "late", "refused"}).Draw(t, "sweep") {
		case "answered":
			m.core.HandleSweep(txn, m.answer(txn))
		case "answer lost":
			m.commit(txn)
			m.core.HandleSweep(txn, &store.Error{Op: "commit", Kind: store.KindOutcomeUnknown})
		case "late":
			m.delay(txn)
		case "refused":
			m.core.HandleSweep(txn, &store.Error{Op: "commit", Kind: store.KindRefused})
		}
	}
}

// answer commits a transaction and returns the store's answer.
func (m *cancelModel) answer(txn store.Txn) error {
	if m.commit(txn) {
		return nil
	}
	conflict := &store.Error{Op: "commit", Kind: store.KindConflict}
	for _, check := range txn.Checks {
		row := m.rows[check.Key]
		row.Key = check.Key
		conflict.Rows = append(conflict.Rows, row)
	}
	return conflict
}

// apply lets the holder handle rows.
func (m *cancelModel) apply(rows []store.Row, noticed bool) {
	for _, row := range rows {
		item, err := DecodeIntake(row, m.clock())
		if err != nil {
			m.t.Fatal(err)
		}
		switch i := item.(type) {
		case NewJob:
			i.Noticed = noticed
			m.core.AddJob(m.now, i)
		case Cancellation:
			i.Noticed = noticed
			m.core.CancelJob(m.now, i)
		case CancellationRemoval:
			m.core.RemoveCancellation(i)
		}
	}
}

// follow lets the holder read the next changes of the feed.
func (m *cancelModel) follow(t *rapid.T) {
	next := min(len(m.feed), m.read+rapid.IntRange(1, 4).Draw(t, "changes"))
	m.apply(m.feed[m.read:next], false)
	m.read = next
}

func (m *cancelModel) takeNotice(t *rapid.T) {
	if len(m.notices) == 0 {
		t.Skip("no notice")
	}
	i := rapid.IntRange(0, len(m.notices)-1).Draw(t, "notice")
	m.apply(m.notices[i:i+1], true)
	m.notices = slices.Delete(m.notices, i, i+1)
}

// sortedRows returns the rows of a kind of keys in the order of their names.
func (m *cancelModel) sortedRows(include func(store.Key) bool) []store.Row {
	var rows []store.Row
	for key, row := range m.rows {
		if include(key) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b store.Row) int { return compareNames(a.Key, b.Key) })
	return rows
}

func compareNames(a, b store.Key) int {
	return slices.Compare([]byte(a.Name), []byte(b.Name))
}

// readAll reads all rows. Two pages of a part may be of two moments, between which a late transaction is carried out and a
// job is accepted: here the cancellations under the present keys are read first.
func (m *cancelModel) readAll(t *rapid.T) store.Page {
	page := store.Page{Stamp: store.Stamp{Version: m.version}}
	read := len(m.feed)
	early := func(key store.Key) bool { return inJobPart(key) && KindOfIntake(key) == "cancellation" }
	page.Rows = m.sortedRows(early)
	if len(m.late) > 0 && rapid.Bool().Draw(t, "of two moments") {
		m.carryOut(t)
		m.submit(t)
	}
	page.Rows = append(page.Rows, m.sortedRows(func(key store.Key) bool { return !early(key) })...)
	m.read = read
	return page
}

// forgetHistory makes the feed begin anew.
func (m *cancelModel) forgetHistory(t *rapid.T) {
	page := m.readAll(t)
	m.core.RemoveMissingCancellations(page)
	m.apply(page.Rows, false)
}

// takeOver replaces the holder by one that reads all rows.
func (m *cancelModel) takeOver(t *rapid.T) {
	page := m.readAll(t)
	m.core = New("pool", DefaultSettings(), nil)
	m.apply(page.Rows, false)
}

// check fails if the holder has ended a job that nobody cancelled.
func (m *cancelModel) check(t *rapid.T) {
	for id, j := range m.core.jobs {
		if j.state == Cancelled && !m.cancelled[id] {
			t.Fatalf("job %s was accepted and not cancelled since, and its state is %s: %s", id, j.state, j.endReason)
		}
	}
}

// finish lets the holder read all that is left, and fails unless it has ended just the jobs that were cancelled.
func (m *cancelModel) finish(t *rapid.T) {
	m.apply(m.feed[m.read:], false)
	m.read = len(m.feed)
	m.check(t)
	for id, cancelled := range m.cancelled {
		j, known := m.core.jobs[id]
		if !known || cancelled && j.state != Cancelled {
			t.Fatalf("job %s: known %v, cancelled by its caller %v, and not by the holder", id, known, cancelled)
		}
	}
}

// In all orders of writes, lost answers, feeds, notices and takeovers a job is cancelled if, and only if, its caller has
// cancelled it since it was accepted.
func TestCancellationsInRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newCancelModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":         m.submit,
			"cancel":         m.cancel,
			"carry out":      m.carryOut,
			"wait":           m.wait,
			"sweep":          m.sweep,
			"follow":         m.follow,
			"notice":         m.takeNotice,
			"forget history": m.forgetHistory,
			"take over":      m.takeOver,
			"":               m.check,
		})
		m.finish(t)
	})
}
