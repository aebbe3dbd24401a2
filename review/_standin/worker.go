package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	// workerTick is how often a worker looks for tasks that end and for a lease that lapses.
	workerTick = 5 * time.Millisecond
	maxHold    = 6000 * time.Millisecond
	// stopTime is how long a stop takes, below the bound of 400 ms.
	stopTime      = 50 * time.Millisecond
	maxListedEnds = 500
	// servingAfter is how long after its start a task that lasts is at work.
	servingAfter = 300 * time.Millisecond

	workerCPU = 128000
	workerMem = 262144
	workerGPU = 8
)

type (
	// jobShape is what the platform knows of a job: what each task needs, and for how long it runs.
	jobShape struct {
		cpu, mem, gpu int
		length        time.Duration
		// lasts is true for tasks that run until they are stopped.
		lasts bool
	}

	// task is a running task.
	task struct {
		run       int
		startedAt time.Time
		shape     jobShape
	}

	taskEnd struct {
		number int
		task   string
		run    int
		how    string
	}

	// worker is a stand-in of a worker of the users' platform, as their page describes it.
	worker struct {
		record   *record
		fleet    *fleet
		name     string
		zone     string
		rack     string
		address  string
		control  string
		stopping context.Context

		mu        sync.Mutex
		id        string
		startedAt time.Time
		seq       int
		fence     uint64
		due       time.Time
		running   map[string]*task
		highest   map[string]int
		ended     []taskEnd
		lastEnd   int
		changed   chan struct{}
		server    *http.Server
		conns     map[net.Conn]bool
		down      bool
	}

	// fleet is what all workers share: the jobs that were handed in, and what has run.
	fleet struct {
		mu     sync.Mutex
		shapes map[string]jobShape
		starts map[string][]time.Time
		ends   map[string][]string
	}
)

func newFleet() *fleet {
	return &fleet{shapes: map[string]jobShape{}, starts: map[string][]time.Time{}, ends: map[string][]string{}}
}

// add makes a job known before it is handed in.
func (f *fleet) add(id string, shape jobShape) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shapes[id] = shape
}

func (f *fleet) shapeOf(task string) (jobShape, bool) {
	id, _, _ := strings.Cut(task, ".")
	f.mu.Lock()
	defer f.mu.Unlock()
	shape, known := f.shapes[id]
	return shape, known
}

func (f *fleet) started(task string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts[task] = append(f.starts[task], time.Now())
}

func (f *fleet) endedAs(task, how string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ends[task] = append(f.ends[task], how)
}

// firstStarts returns, for each task of a job that has begun, when it first began.
func (f *fleet) firstStarts(id string) map[string]time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := map[string]time.Time{}
	for name, times := range f.starts {
		if strings.HasPrefix(name, id+".") {
			first[name] = times[0]
		}
	}
	return first
}

// endCounts counts the ends of a job's runs by their kind.
func (f *fleet) endCounts(id string) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := map[string]int{}
	for name, kinds := range f.ends {
		if strings.HasPrefix(name, id+".") {
			for _, how := range kinds {
				counts[how]++
			}
		}
	}
	return counts
}

func newID() string {
	content := make([]byte, 5)
	_, _ = rand.Read(content)
	return "i-" + hex.EncodeToString(content)
}

// begin starts a life of the worker at its address.
func (w *worker) begin() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.start)
	mux.HandleFunc("POST /run-stop", w.stop)
	mux.HandleFunc("POST /hold", w.hold)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.id = newID()
	w.startedAt = time.Now()
	w.seq = 0
	w.fence = 0
	w.due = time.Time{}
	w.running = map[string]*task{}
	w.highest = map[string]int{}
	w.ended = nil
	w.lastEnd = 0
	w.changed = make(chan struct{})
	w.conns = map[net.Conn]bool{}
	w.down = false
	w.server = &http.Server{Handler: mux}
	server := w.server
	go func() { _ = server.Serve(listener) }()
	w.record.add("worker", "%s begins as %s", w.name, w.id)
	return nil
}

// crash ends the life without a word, and begins the next one after a while.
func (w *worker) crash(after time.Duration) {
	w.mu.Lock()
	w.down = true
	lost := len(w.running)
	w.running = map[string]*task{}
	id, server := w.id, w.server
	close(w.changed)
	w.changed = make(chan struct{})
	w.mu.Unlock()
	_ = server.Close()
	w.record.say("worker", "%s (%s) crashes with %d tasks", w.name, id, lost)
	time.AfterFunc(after, func() {
		if w.stopping.Err() == nil {
			_ = w.begin()
			w.beat()
		}
	})
}

// loop ends tasks and sends heartbeats until the case ends.
func (w *worker) loop() {
	tick, beat := time.NewTicker(workerTick), time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	defer beat.Stop()
	for {
		select {
		case <-w.stopping.Done():
			return
		case <-tick.C:
			w.mu.Lock()
			w.endTasks(time.Now())
			w.mu.Unlock()
		case <-beat.C:
			go w.beat()
		}
	}
}

// endTasks ends the tasks that are done or whose lease has lapsed. The lock must be held.
func (w *worker) endTasks(now time.Time) {
	lapsed := now.After(w.due)
	for name, t := range w.running {
		switch {
		case lapsed:
			w.end(name, "lapsed")
		case !t.shape.lasts && now.Sub(t.startedAt) >= t.shape.length:
			w.end(name, "done")
		}
	}
}

// end ends a task. The lock must be held.
func (w *worker) end(name, how string) {
	t := w.running[name]
	delete(w.running, name)
	w.highest[name] = max(w.highest[name], t.run)
	w.lastEnd++
	w.ended = append(w.ended, taskEnd{number: w.lastEnd, task: name, run: t.run, how: how})
	w.fleet.endedAs(name, how)
	w.record.add("worker", "%s (%s) ends %s run %d: %s", w.name, w.id, name, t.run, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) clockMs() int64 {
	return time.Since(w.startedAt).Milliseconds()
}

// extend extends the lease. The lock must be held.
func (w *worker) extend(dueMs int64) {
	due := w.startedAt.Add(time.Duration(dueMs) * time.Millisecond)
	if latest := time.Now().Add(maxHold); due.After(latest) {
		due = latest
	}
	if due.After(w.due) {
		w.due = due
	}
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	DueMs    int64  `json:"due_ms"`
	Fence    uint64 `json:"fence"`
	Saved    string `json:"saved"`
	SeenUpto int    `json:"seen_upto"`
	WaitMs   int64  `json:"wait_ms"`
}

// admit decodes a call and checks whom it is for. If it returns true, the lock is held.
func (w *worker) admit(response http.ResponseWriter, r *http.Request, body *order) bool {
	if json.NewDecoder(r.Body).Decode(body) != nil {
		response.WriteHeader(http.StatusBadRequest)
		return false
	}
	w.mu.Lock()
	switch {
	case w.down:
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != w.id:
		w.mu.Unlock()
		response.WriteHeader(http.StatusMisdirectedRequest)
		return false
	case body.Fence < w.fence:
		w.conflict(response, "fence")
		w.mu.Unlock()
		return false
	}
	w.fence = body.Fence
	w.endTasks(time.Now())
	return true
}

func (w *worker) conflict(response http.ResponseWriter, reason string) {
	writeJSON(response, http.StatusConflict, map[string]any{"clock_ms": w.clockMs(), "reason": reason})
}

func (w *worker) start(response http.ResponseWriter, r *http.Request) {
	body := order{}
	if !w.admit(response, r, &body) {
		return
	}
	defer w.mu.Unlock()
	shape, known := w.fleet.shapeOf(body.Task)
	t, runs := w.running[body.Task]
	switch {
	case !known:
		w.record.say("worker", "%s is told to start %s, which no client sent", w.name, body.Task)
		response.WriteHeader(http.StatusBadRequest)
		return
	case runs && t.run == body.Run:
		writeJSON(response, http.StatusOK, map[string]any{"clock_ms": w.clockMs()})
		return
	case body.Run <= w.highest[body.Task]:
		w.extend(body.DueMs)
		w.conflict(response, "old")
		return
	case body.DueMs <= w.clockMs():
		w.conflict(response, "late")
		return
	case !w.hasRoom(shape):
		w.extend(body.DueMs)
		w.conflict(response, "room")
		return
	}
	w.extend(body.DueMs)
	w.running[body.Task] = &task{run: body.Run, startedAt: time.Now(), shape: shape}
	w.fleet.started(body.Task)
	w.record.add("worker", "%s (%s) starts %s run %d, fence %d", w.name, w.id, body.Task, body.Run, body.Fence)
	writeJSON(response, http.StatusOK, map[string]any{"clock_ms": w.clockMs()})
}

// inUse returns what the running tasks use. The lock must be held.
func (w *worker) inUse() (cpu, mem, gpu int) {
	for _, t := range w.running {
		cpu += t.shape.cpu
		mem += t.shape.mem
		gpu += t.shape.gpu
	}
	return cpu, mem, gpu
}

// hasRoom reports whether a task fits. The lock must be held.
func (w *worker) hasRoom(shape jobShape) bool {
	cpu, mem, gpu := w.inUse()
	return cpu+shape.cpu <= workerCPU && mem+shape.mem <= workerMem && gpu+shape.gpu <= workerGPU
}

// count returns how many tasks of a job run, or of all jobs if the identifier is empty.
func (w *worker) count(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for name := range w.running {
		if strings.HasPrefix(name, id) {
			count++
		}
	}
	return count
}

// wasCalled reports whether a holder's sidecar has called the worker with a fencing number.
func (w *worker) wasCalled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fence > 0
}

// use returns what the running tasks use.
func (w *worker) use() (cpu, mem, gpu int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inUse()
}

func (w *worker) stop(response http.ResponseWriter, r *http.Request) {
	body := order{}
	if !w.admit(response, r, &body) {
		return
	}
	defer w.mu.Unlock()
	w.highest[body.Task] = max(w.highest[body.Task], body.Run)
	if t, runs := w.running[body.Task]; runs && t.run == body.Run {
		id := w.id
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if now, still := w.running[body.Task]; still && now == t && w.id == id {
				w.end(body.Task, "stopped")
			}
		})
	}
	writeJSON(response, http.StatusOK, map[string]any{"clock_ms": w.clockMs()})
}

func (w *worker) hold(response http.ResponseWriter, r *http.Request) {
	body := order{}
	if !w.admit(response, r, &body) {
		return
	}
	if body.DueMs > 0 {
		w.extend(body.DueMs)
	}
	for len(w.ended) > 0 && w.ended[0].number <= body.SeenUpto {
		w.ended = w.ended[1:]
	}
	id, changed, wait := w.id, w.changed, body.WaitMs > 0 && len(w.ended) == 0
	w.mu.Unlock()
	if wait {
		timer := time.NewTimer(time.Duration(body.WaitMs) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down || w.id != id {
		panic(http.ErrAbortHandler)
	}
	writeJSON(response, http.StatusOK, w.lists(time.Now()))
}

// lists returns both lists of the worker. The lock must be held.
func (w *worker) lists(now time.Time) map[string]any {
	running, ended := [][]any{}, [][]any{}
	for name, t := range w.running {
		running = append(running, []any{name, t.run, "", t.percent(now)})
	}
	for _, e := range w.ended[:min(len(w.ended), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return map[string]any{"clock_ms": w.clockMs(), "running": running, "ended": ended}
}

func (t *task) percent(now time.Time) int {
	passed := now.Sub(t.startedAt)
	if t.shape.lasts {
		if passed >= servingAfter {
			return 100
		}
		return 0
	}
	return int(min(99, 100*passed/max(1, t.shape.length)))
}

// beat sends a heartbeat.
func (w *worker) beat() {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return
	}
	w.seq++
	id := w.id
	body, _ := json.Marshal(map[string]any{
		"service": serviceName, "addr": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMem, "gpu": workerGPU},
		"labels": []string{"a", w.rack}, "clock_ms": w.clockMs(), "seq": w.seq,
	})
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(w.stopping, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.control+"/Instances.Heartbeat/"+id, bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	if answer, err := http.DefaultClient.Do(request); err == nil {
		_ = answer.Body.Close()
	}
}

func writeJSON(response http.ResponseWriter, status int, body any) {
	content, _ := json.Marshal(body)
	response.Header().Set("Content-Type", "application/json")
	response.Header().Set("Content-Length", strconv.Itoa(len(content)))
	response.WriteHeader(status)
	_, _ = fmt.Fprintf(response, "%s", content)
}
