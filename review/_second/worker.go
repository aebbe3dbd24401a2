package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of a worker, from PROTOCOL.md and the settings of a small deployment.
const (
	heartbeatInterval = 1500 * time.Millisecond
	maxHold           = 6 * time.Second
	stopTime          = 100 * time.Millisecond
	saveInterval      = 500 * time.Millisecond
	maxListedEnds     = 500
	maxHoldWait       = 2 * time.Second
)

type (
	// shape is an amount of resources.
	shape struct {
		CPU   int `json:"cpu"`
		MemMB int `json:"mem_mb"`
		GPU   int `json:"gpu"`
	}

	// taskSpec is the text that tells a worker what a task does.
	taskSpec struct {
		shape

		WorkMs int64 `json:"work_ms"`
	}

	workerRun struct {
		run     int
		spec    taskSpec
		beganAt time.Time
		// done is the progress from which the run resumed.
		done  time.Duration
		timer *time.Timer
	}

	workerEnd struct {
		number int
		task   string
		run    int
		how    string
		saved  string
	}

	// worker is a stand-in of a worker, which enforces its capacity.
	worker struct {
		rec      *record
		runs     *runLog
		advice   *adviceService
		service  string
		zone     string
		rack     string
		address  string
		control  string
		capacity shape
		id       string
		born     int64
		startAt  time.Time

		mu      sync.Mutex
		server  *http.Server
		down    bool
		seq     int
		fence   uint64
		due     time.Duration
		running map[string]*workerRun
		highest map[string]int
		ended   []workerEnd
		lastEnd int
		changed chan struct{}
	}

	orderBody struct {
		Task     string `json:"task"`
		Run      int    `json:"run"`
		Spec     string `json:"spec"`
		DueMs    int64  `json:"due_ms"`
		Fence    uint64 `json:"fence"`
		Saved    string `json:"saved"`
		Ticket   string `json:"ticket"`
		SeenUpto int    `json:"seen_upto"`
		WaitMs   int64  `json:"wait_ms"`
	}
)

func (s shape) plus(o shape) shape {
	return shape{s.CPU + o.CPU, s.MemMB + o.MemMB, s.GPU + o.GPU}
}

func (s shape) minus(o shape) shape {
	return shape{s.CPU - o.CPU, s.MemMB - o.MemMB, s.GPU - o.GPU}
}

// largest returns the one of two shapes with more processor time.
func (s shape) largest(o shape) shape {
	if o.CPU > s.CPU {
		return o
	}
	return s
}

// start serves the worker at its address and begins to send heartbeats.
func (w *worker) start() error {
	w.startAt = time.Now()
	w.born = w.startAt.UnixMilli()
	w.running = map[string]*workerRun{}
	w.highest = map[string]int{}
	w.changed = make(chan struct{})
	if err := w.listen(); err != nil {
		return err
	}
	go w.expire()
	go func() {
		for {
			w.heartbeat()
			time.Sleep(heartbeatInterval)
		}
	}()
	return nil
}

// listen serves the worker at its address.
func (w *worker) listen() error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.order(w.runStart))
	mux.HandleFunc("POST /run-stop", w.order(w.runStop))
	mux.HandleFunc("POST /hold", w.order(w.hold))
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(listener) }()
	return nil
}

// crash ends the worker's life with all its runs. After a time it lives again, with a new id, and has seen no fence.
func (w *worker) crash(down time.Duration) {
	w.mu.Lock()
	w.down = true
	for task, r := range w.running {
		r.timer.Stop()
		w.runs.ended(w, task, r.run, "lost with its worker")
	}
	w.running = map[string]*workerRun{}
	_ = w.server.Close()
	w.mu.Unlock()
	w.rec.log("worker %s (%s): crashed, %s until its next life", w.id, w.rack, down)
	time.AfterFunc(down, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.id = fmt.Sprintf("i-%08x", rand.Uint32())
		w.startAt = time.Now()
		w.born = w.startAt.UnixMilli()
		w.seq, w.fence, w.due, w.lastEnd, w.ended = 0, 0, 0, 0, nil
		w.highest = map[string]int{}
		if err := w.listen(); err != nil {
			w.rec.log("worker %s: %v", w.id, err)
			return
		}
		w.down = false
		w.rec.log("worker %s (%s): up", w.id, w.rack)
		go w.heartbeat()
	})
}

func (w *worker) clock() time.Duration {
	return time.Since(w.startAt)
}

func (w *worker) heartbeat() {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return
	}
	w.seq++
	id := w.id
	body, _ := json.Marshal(map[string]any{
		"service": w.service, "addr": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "seq": w.seq, "capacity": w.capacity, "labels": []string{"a", w.rack},
		"clock_ms": w.clock().Milliseconds(), "born": w.born,
	})
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.control+"/Instances.Heartbeat/"+id, bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	if response, err := http.DefaultClient.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// order decodes a call and rejects it if it is for another life or has a lower fence.
func (w *worker) order(handle func(http.ResponseWriter, *http.Request, orderBody)) http.HandlerFunc {
	return func(response http.ResponseWriter, r *http.Request) {
		body := orderBody{}
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			response.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.down {
			panic(http.ErrAbortHandler)
		}
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
			response.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if body.Fence < w.fence {
			w.conflict(response, "fence")
			return
		}
		w.fence = body.Fence
		handle(response, r, body)
	}
}

func (w *worker) conflict(response http.ResponseWriter, reason string) {
	reply(response, http.StatusConflict, map[string]any{"clock_ms": w.clock().Milliseconds(), "reason": reason})
}

func (w *worker) ok(response http.ResponseWriter) {
	reply(response, http.StatusOK, map[string]any{"clock_ms": w.clock().Milliseconds()})
}

func (w *worker) extend(dueMs int64) {
	due := min(time.Duration(dueMs)*time.Millisecond, w.clock()+maxHold)
	w.due = max(w.due, due)
}

func (w *worker) runStart(response http.ResponseWriter, _ *http.Request, body orderBody) {
	spec := taskSpec{}
	if err := json.Unmarshal([]byte(body.Spec), &spec); err != nil {
		response.WriteHeader(http.StatusBadRequest)
		return
	}
	current, runs := w.running[body.Task]
	switch {
	case runs && current.run == body.Run:
		w.ok(response)
		return
	case body.Run <= w.highest[body.Task] || runs && body.Run < current.run:
		w.extend(body.DueMs)
		w.conflict(response, "old")
		return
	case body.DueMs <= w.clock().Milliseconds():
		w.conflict(response, "late")
		return
	case !w.advice.admits(w.id, body.Task, body.Ticket):
		w.conflict(response, "ticket")
		return
	case runs || !w.fits(spec.shape):
		w.extend(body.DueMs)
		w.conflict(response, "room")
		return
	}
	w.extend(body.DueMs)
	started := &workerRun{run: body.Run, spec: spec, beganAt: time.Now()}
	if body.Saved != "" {
		var ms int64
		_, _ = fmt.Sscanf(body.Saved, "%016x", &ms)
		started.done = time.Duration(ms) * time.Millisecond
	}
	left := time.Duration(spec.WorkMs)*time.Millisecond - started.done
	task, run := body.Task, body.Run
	started.timer = time.AfterFunc(left, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if now, still := w.running[task]; still && now.run == run {
			w.end(task, "done")
		}
	})
	w.running[task] = started
	w.runs.started(w, task, run, body.Spec, body.Saved)
	w.ok(response)
}

func (w *worker) fits(s shape) bool {
	used := w.used()
	return used.CPU+s.CPU <= w.capacity.CPU && used.MemMB+s.MemMB <= w.capacity.MemMB && used.GPU+s.GPU <= w.capacity.GPU
}

// used returns what the runs take. The lock must be held.
func (w *worker) used() shape {
	sum := shape{}
	for _, r := range w.running {
		sum.CPU += r.spec.CPU
		sum.MemMB += r.spec.MemMB
		sum.GPU += r.spec.GPU
	}
	return sum
}

func (w *worker) runStop(response http.ResponseWriter, _ *http.Request, body orderBody) {
	w.highest[body.Task] = max(w.highest[body.Task], body.Run)
	if r, runs := w.running[body.Task]; runs && r.run == body.Run {
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if now, still := w.running[body.Task]; still && now.run == body.Run {
				w.end(body.Task, "stopped")
			}
		})
	}
	w.ok(response)
}

// end ends a run. The lock must be held.
func (w *worker) end(task, how string) {
	r := w.running[task]
	r.timer.Stop()
	delete(w.running, task)
	w.highest[task] = max(w.highest[task], r.run)
	w.lastEnd++
	saved := ""
	if how != "done" {
		saved = r.saved()
	}
	w.ended = append(w.ended, workerEnd{w.lastEnd, task, r.run, how, saved})
	w.runs.ended(w, task, r.run, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// progress returns the work done.
func (r *workerRun) progress() time.Duration {
	return r.done + time.Since(r.beganAt)
}

// saved returns the text for the progress that was last saved, of 16 digits; empty if there is none.
func (r *workerRun) saved() string {
	if r.progress() < saveInterval {
		return ""
	}
	return fmt.Sprintf("%016x", r.progress().Truncate(saveInterval).Milliseconds())
}

func (w *worker) hold(response http.ResponseWriter, r *http.Request, body orderBody) {
	if body.DueMs > 0 {
		w.extend(body.DueMs)
	}
	for len(w.ended) > 0 && w.ended[0].number <= body.SeenUpto {
		w.ended = w.ended[1:]
	}
	if len(w.ended) == 0 && body.WaitMs > 0 {
		changed, id := w.changed, w.id
		w.mu.Unlock()
		timer := time.NewTimer(min(time.Duration(body.WaitMs)*time.Millisecond, maxHoldWait))
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
		}
		timer.Stop()
		w.mu.Lock()
		if w.down || w.id != id {
			panic(http.ErrAbortHandler)
		}
	}
	running, ended := [][]any{}, [][]any{}
	for task, t := range w.running {
		percent := min(99, 100*t.progress().Milliseconds()/max(1, t.spec.WorkMs))
		running = append(running, []any{task, t.run, t.saved(), percent, t.spec.CPU})
	}
	for _, e := range w.ended[:min(len(w.ended), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	reply(response, http.StatusOK, map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born, "running": running, "ended": ended})
}

// expire kills the runs once the lease has ended.
func (w *worker) expire() {
	for {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		if !w.down && w.clock() >= w.due {
			for task := range w.running {
				w.end(task, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// inUse returns the used and the whole capacity.
func (w *worker) inUse() (used, whole shape) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.used(), w.capacity
}

// jobOf returns the job of a task's name.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
