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

// policy holds decide_ms, each_ms and valid_ms of a queue.
type policy struct {
	decide, each, valid time.Duration
}

// config returns the policy's entry in a configuration.
func (p policy) config() map[string]any {
	return map[string]any{"decide_ms": p.decide.Milliseconds(), "each_ms": p.each.Milliseconds(), "valid_ms": p.valid.Milliseconds()}
}

// adviceService is a stand-in of the advice service. It allows every worker. Workers ask it about tickets once the
// queue's policy is in force.
type adviceService struct {
	rec *record
	// turn is held by the call that the service works on.
	turn sync.Mutex

	mu      sync.Mutex
	policy  policy
	inForce bool
	// tickets holds the end of each ticket, by step, worker and text.
	tickets map[string]time.Time
	refused int
	// calls counts the calls, and asked those for each job.
	calls int
	asked map[string]int
}

func newAdviceService(rec *record, address string) (*adviceService, error) {
	a := &adviceService{rec: rec, tickets: map[string]time.Time{}, asked: map[string]int{}}
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
func (a *adviceService) putInForce(p policy) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inForce, a.policy = true, p
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
	a.turn.Lock()
	defer a.turn.Unlock()
	a.mu.Lock()
	p := a.policy
	a.mu.Unlock()
	time.Sleep(p.decide + time.Duration(len(body.Workers))*p.each)
	a.mu.Lock()
	defer a.mu.Unlock()
	good := [][]string{}
	for _, id := range body.Workers {
		text := fmt.Sprintf("%08x", rand.Uint32())
		a.tickets[body.Step+" "+id+" "+text] = time.Now().Add(p.valid)
		good = append(good, []string{id, text})
	}
	a.asked[jobOf(body.Step)]++
	if a.calls++; a.calls <= 20 || a.calls%20 == 0 {
		a.rec.log("advice: call %d, for %s and %d workers", a.calls, body.Step, len(body.Workers))
	}
	reply(w, http.StatusOK, map[string]any{"good": good, "valid_ms": p.valid.Milliseconds()})
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

// callsFor returns the number of calls for a job.
func (a *adviceService) callsFor(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.asked[id]
}
