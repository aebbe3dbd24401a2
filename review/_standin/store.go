package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"hollyfork.example/hollyfork/platform/fakes"
)

// Limits of the platform's store, as its page and the settings state them.
const (
	maxRowBytes   = 65536
	maxTxnEntries = 100
	maxTxnBytes   = 1 << 20
)

// platformStore is the project's own stand-in of the store, with the limits of the users' page in front of it.
type platformStore struct {
	rows    *fakes.Store
	record  *record
	address string
	server  *http.Server
	// refused counts the transactions that were over a limit.
	refused atomic.Int64
}

func startStore(r *record) (*platformStore, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &platformStore{rows: fakes.NewStore(time.Now()), record: r, address: listener.Addr().String()}
	s.rows.SetFaults(fakes.StoreFaults{Delay: time.Millisecond, TxnDuration: 3 * time.Millisecond})
	s.server = &http.Server{Handler: s.withLimits(s.rows.Handler())}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// withLimits answers 400 to a transaction that the store's page doesn't allow, and passes all other calls on.
func (s *platformStore) withLimits(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/rows-tx" {
			next.ServeHTTP(w, r)
			return
		}
		content, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if reason := overLimit(content); reason != "" {
			if n := s.refused.Add(1); n <= 20 || n%100 == 0 {
				s.record.add("platform", "the store answers 400 to a transaction: %s (%d so far)", reason, n)
			}
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(content))
		next.ServeHTTP(w, r)
	})
}

// overLimit returns the limit that a transaction exceeds; empty if none.
func overLimit(content []byte) string {
	body := struct {
		IfRev []json.RawMessage `json:"if_rev"`
		Put   []struct {
			Table string `json:"table"`
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"put"`
		Remove []json.RawMessage `json:"remove"`
	}{}
	if json.Unmarshal(content, &body) != nil {
		return ""
	}
	switch {
	case len(content) > maxTxnBytes:
		return "it has over 1 MB"
	case len(body.IfRev)+len(body.Put)+len(body.Remove) > maxTxnEntries:
		return "it has over 100 entries"
	}
	for _, row := range body.Put {
		if len(row.Value) > maxRowBytes {
			return "the value of " + row.Table + " " + row.Key + " has over 65536 bytes"
		}
	}
	return ""
}

// refusedCount returns how many transactions were over a limit.
func (s *platformStore) refusedCount() int64 {
	return s.refused.Load()
}

func (s *platformStore) stop() {
	_ = s.server.Close()
}
