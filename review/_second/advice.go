package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of the advice service: decide_ms, each_ms and valid_ms of the queue.
const (
	decideTime  = 20 * time.Millisecond
	eachTime    = 2 * time.Millisecond
	ticketValid = 10 * time.Second
)

// adviceService is a stand-in of the advice service. It allows every worker. Workers ask it about tickets once the
// queue's policy is in force.
type adviceService struct {
	rec *record

	mu      sync.Mutex
	inForce bool
	// tickets holds the end of each ticket, by step, worker and text.
	tickets map[string]time.Time
	refused int
}

func newAdviceService(rec *record, address string) (*adviceService, error) {
	a := &adviceService{rec: rec, tickets: map[string]time.Time{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", a.advise)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, mux) }()
	return a, nil
}

// putInForce makes workers require tickets from now on.
func (a *adviceService) putInForce() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inForce = true
	a.rec.log("workers require tickets from now on")
}

func (a *adviceService) advise(w http.ResponseWriter, r *http.Request) {
	body := struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}{}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(decideTime + time.Duration(len(body.Workers))*eachTime)
	a.mu.Lock()
	defer a.mu.Unlock()
	good := [][]string{}
	for _, id := range body.Workers {
		text := fmt.Sprintf("%08x", rand.Uint32())
		a.tickets[body.Step+" "+id+" "+text] = time.Now().Add(ticketValid)
		good = append(good, []string{id, text})
	}
	a.rec.log("advice: asked for %s and %d workers", body.Step, len(body.Workers))
	reply(w, http.StatusOK, map[string]any{"good": good, "valid_ms": ticketValid.Milliseconds()})
}

// admits reports whether a start on a worker may go on.
func (a *adviceService) admits(id, task, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	stepName := task[:strings.LastIndexByte(task, '.')]
	if !a.inForce || time.Now().Before(a.tickets[stepName+" "+id+" "+ticket]) {
		return true
	}
	a.refused++
	if a.refused <= 3 || a.refused%20 == 0 {
		a.rec.log("worker %s: rejects a start of %s with ticket %q (%d times so far)", id, task, ticket, a.refused)
	}
	return false
}
