package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"hollyfork.example/hollyfork/platform/fakes"
)

type (
	// lossyStore is the project's stand-in of the store, which leaves some transactions without an answer after they
	// were done.
	lossyStore struct {
		handler http.Handler
		record  *record

		mu sync.Mutex
		// loses decides which transactions lose their answers, from beginsAt for lossLength, as long as these are no
		// more than maxLost of the writing calls in that time. Probes, which write nothing, count as no calls.
		loses       func(transaction) bool
		beginsAt    time.Time
		calls, lost int
	}

	transaction struct {
		Put    []rowKey `json:"put"`
		Remove []rowKey `json:"remove"`
	}

	rowKey struct {
		Table string `json:"table"`
		Key   string `json:"key"`
	}
)

// The limits of platform_lost in the site file: x and for_s.
const (
	maxLost    = 0.35
	lossLength = 4500 * time.Millisecond
)

func newLossyStore(store *fakes.Store, r *record) *lossyStore {
	return &lossyStore{handler: store.Handler(), record: r}
}

// loseAnswers makes the store lose answers from now on.
func (s *lossyStore) loseAnswers(loses func(transaction) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loses, s.beginsAt = loses, time.Now()
}

// ServeHTTP implements http.Handler.
func (s *lossyStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || !s.losing() {
		s.handler.ServeHTTP(w, r)
		return
	}
	content, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(content))
	t := transaction{}
	_ = json.Unmarshal(content, &t)
	answered := httptest.NewRecorder()
	s.handler.ServeHTTP(answered, r)
	if answered.Code == http.StatusOK && s.takes(t) {
		s.record.add("store: the transaction that writes %s is done, and its answer is lost", t.names())
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	for name, values := range answered.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answered.Code)
	_, _ = w.Write(answered.Body.Bytes())
}

func (s *lossyStore) losing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loses != nil && time.Since(s.beginsAt) < lossLength
}

// takes counts a transaction, and reports whether its answer is lost.
func (s *lossyStore) takes(t transaction) bool {
	if len(t.Put)+len(t.Remove) == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if !s.loses(t) || float64(s.lost+1) > maxLost*float64(s.calls) {
		return false
	}
	s.lost++
	return true
}

// share returns how many of the writing calls lost their answers.
func (s *lossyStore) share() (lost, calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost, s.calls
}

func (t transaction) names() string {
	var names []string
	for _, k := range append(t.Put, t.Remove...) {
		names = append(names, k.Table+"/"+k.Key)
	}
	return strings.Join(names, " ")
}
