package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Limits of the platform's store, from PROTOCOL.md and the settings of a small deployment.
const (
	storeMaxEntries = 100
	storeMaxBody    = 1 << 20
	storeMaxPage    = 1 << 20
	storeMaxRows    = 500
	storeRowBytes   = 65536
	storeKeyBytes   = 200
	storeWrites     = 800
	storeReads      = 2000
	storeAnswer     = 4 * time.Millisecond
	storeHistory    = 20 * time.Second
)

type (
	rowName struct {
		Table string `json:"table"`
		Part  string `json:"part"`
		Key   string `json:"key"`
	}

	storeRow struct {
		rowName

		Value []byte `json:"value,omitempty"`
		Ver   uint64 `json:"ver"`
		Gone  bool   `json:"gone,omitempty"`
	}

	storeChange struct {
		row storeRow
		at  time.Time
	}

	storeTxn struct {
		IfRev  []storeRow `json:"if_rev"`
		Put    []storeRow `json:"put"`
		Remove []storeRow `json:"remove"`
		Across bool       `json:"across"`
	}

	storePage struct {
		Rows  []storeRow `json:"rows"`
		More  bool       `json:"more"`
		Ver   uint64     `json:"ver"`
		NowMs int64      `json:"now_ms"`
	}

	// rate counts calls per second.
	rate struct {
		second time.Time
		count  int
	}

	// store is a stand-in of the platform's store.
	store struct {
		rec      *record
		mu       sync.Mutex
		startAt  time.Time
		rows     map[rowName]storeRow
		history  []storeChange
		lostUpTo uint64
		version  uint64
		changed  chan struct{}
		writes   rate
		reads    rate
		// rejected counts the transactions that break a limit of the store, by the limit.
		rejected map[string]int
		lossOf   lossOfAnswers
	}

	// lossOfAnswers makes the store leave transactions that write a row without an answer, and carry them out later if
	// their condition still holds then.
	lossOfAnswers struct {
		key   string
		until time.Time
		late  time.Duration
		// lost counts the transactions that were left without an answer, and all those in the same time.
		lost, all int
	}
)

// newStore serves a store at an address.
func newStore(rec *record, address string) (*store, error) {
	s := &store{rec: rec, startAt: time.Now(), rows: map[rowName]storeRow{}, changed: make(chan struct{}), rejected: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(storeTxn{Put: []storeRow{{rowName: rowName{Table: table, Key: key}, Value: content}}})
}

// admit counts a call and reports whether it is within the rate.
func (s *store) admit(w http.ResponseWriter, r *rate, most int) bool {
	time.Sleep(storeAnswer)
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(r.second) >= time.Second {
		*r = rate{second: now}
	}
	r.count++
	if r.count > most {
		w.WriteHeader(http.StatusTooManyRequests)
		return false
	}
	return true
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !s.admit(w, &s.writes, storeWrites) {
		return
	}
	t := storeTxn{}
	if err := json.Unmarshal(body, &t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if limit := t.brokenLimit(len(body)); limit != "" {
		s.reject(limit)
		w.WriteHeader(http.StatusBadRequest)
		_, _ = io.WriteString(w, limit)
		return
	}
	if s.losesAnswer(t) {
		time.AfterFunc(s.lossOf.late, func() {
			status, _ := s.runTxn(t)
			s.rec.log("store: carried out the transaction on %s that had no answer: %d", s.lossOf.key, status)
		})
		<-r.Context().Done()
		return
	}
	status, answer := s.runTxn(t)
	reply(w, status, answer)
}

// loseAnswers begins a loss of the answers to the transactions that write a row.
func (s *store) loseAnswers(key string, length, late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lossOf = lossOfAnswers{key: key, until: time.Now().Add(length), late: late}
}

// lossCounts returns how many transactions were left without an answer, and how many there were in the same time.
func (s *store) lossCounts() (lost, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lossOf.lost, s.lossOf.all
}

// losesAnswer reports whether the answer to a transaction is lost.
func (s *store) losesAnswer(t storeTxn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().After(s.lossOf.until) {
		return false
	}
	s.lossOf.all++
	for _, row := range t.Put {
		if row.Key == s.lossOf.key {
			s.lossOf.lost++
			s.rec.log("store: a transaction on %s gets no answer", row.Key)
			return true
		}
	}
	return false
}

// runTxn carries out a transaction if its condition holds.
func (s *store) runTxn(t storeTxn) (int, storePage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []storeRow
	holds := true
	for _, c := range t.IfRev {
		current := s.rows[c.rowName]
		current.rowName = c.rowName
		found = append(found, current)
		holds = holds && current.Ver == c.Ver
	}
	if !holds {
		return http.StatusPreconditionFailed, s.page(found)
	}
	s.apply(t)
	return http.StatusOK, s.page(nil)
}

// reject records a transaction that breaks a limit.
func (s *store) reject(limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejected[limit]++
	if n := s.rejected[limit]; n <= 3 || n%500 == 0 {
		s.rec.log("store: transaction rejected with 400: %s (%d times so far)", limit, n)
	}
}

// brokenLimit names the limit that a transaction breaks; empty if it breaks none.
func (t storeTxn) brokenLimit(bodyBytes int) string {
	entries := len(t.IfRev) + len(t.Put) + len(t.Remove)
	switch {
	case entries > storeMaxEntries:
		return fmt.Sprintf("over %d entries", storeMaxEntries)
	case bodyBytes > storeMaxBody:
		return "over 1 MB in one transaction"
	}
	parts := map[string]bool{}
	for _, rows := range [][]storeRow{t.IfRev, t.Put, t.Remove} {
		for _, row := range rows {
			parts[row.Part] = true
			if len(row.Key) > storeKeyBytes || len(row.Part) > storeKeyBytes || len(row.Table) > storeKeyBytes {
				return "a text of over 200 bytes"
			}
			if len(row.Value) > storeRowBytes {
				return fmt.Sprintf("a value of over row_bytes (%d) in %s %s", storeRowBytes, row.Table, row.Key)
			}
		}
	}
	if len(parts) > 1 && !t.Across {
		return "several parts without across"
	}
	return ""
}

// apply performs the writes of a transaction. The lock must be held.
func (s *store) apply(t storeTxn) {
	s.version++
	now := time.Now()
	for _, p := range t.Put {
		p.Ver, p.Gone = s.version, false
		s.rows[p.rowName] = p
		s.history = append(s.history, storeChange{p, now})
	}
	for _, p := range t.Remove {
		if _, known := s.rows[p.rowName]; known {
			delete(s.rows, p.rowName)
			s.history = append(s.history, storeChange{storeRow{rowName: p.rowName, Ver: s.version, Gone: true}, now})
		}
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > storeHistory {
		s.lostUpTo = s.history[0].row.Ver
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) page(rows []storeRow) storePage {
	if rows == nil {
		rows = []storeRow{}
	}
	return storePage{Rows: rows, Ver: s.version, NowMs: time.Since(s.startAt).Milliseconds()}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, &s.reads, storeReads) {
		return
	}
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > storeMaxRows {
		limit = storeMaxRows
	}
	to := query.Get("target_version")
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []storeRow
	for name, row := range s.rows {
		if name.Table == query.Get("table") && name.Part == query.Get("part") && name.Key >= query.Get("from") && (to == "" || name.Key < to) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storeRow) int { return cmp.Compare(a.Key, b.Key) })
	count, bytes := 0, 0
	for count < len(rows) && count < limit {
		bytes += len(rows[count].Value)
		if count > 0 && bytes > storeMaxPage {
			break
		}
		count++
	}
	answer := s.page(rows[:count])
	answer.More = count < len(rows)
	reply(w, http.StatusOK, answer)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, &s.reads, storeReads) {
		return
	}
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if after < s.lostUpTo {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var rows []storeRow
		for _, c := range s.history {
			if c.row.Table == query.Get("table") && c.row.Ver > after {
				rows = append(rows, c.row)
			}
		}
		answer, changed := s.page(rows), s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			reply(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			reply(w, http.StatusOK, answer)
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
