package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeatInterval is the heartbeat_ms of the site.
	heartbeatInterval = 1500 * time.Millisecond
	tickInterval      = 20 * time.Millisecond
	// maxLease is the page's max_hold_ms, stopDuration is below its stop_ms, and startDuration is the short start of
	// a task that lasts.
	maxLease      = 6 * time.Second
	stopDuration  = 50 * time.Millisecond
	startDuration = 300 * time.Millisecond
	maxListedEnds = 500
)

type (
	// shape is an amount of resources.
	shape struct {
		CPU int `json:"cpu"`
		Mem int `json:"mem_mb"`
		GPU int `json:"gpu"`
	}

	// stepInfo is what workers know of the tasks of a step: their room, and how long they work; 0 if they last.
	stepInfo struct {
		room shape
		work time.Duration
	}

	// steps holds the steps of all jobs, by the job's ID.
	steps struct {
		mu    sync.Mutex
		byJob map[string][]stepInfo
	}

	// worker is a sound worker, as the page "Running tasks" describes it. It can be crashed.
	worker struct {
		name, address, control, service, zone string
		labels                                []string
		room                                  shape
		steps                                 *steps
		record                                *record
		// quiet leaves single starts and ends out of the record.
		quiet bool

		mu         sync.Mutex
		life       int
		bornAt     time.Time
		sequence   int
		down, gone bool
		fence      uint64
		leaseUntil time.Time
		running    map[string]*taskRun
		highest    map[string]int
		ended      []runEnd
		lastEnd    int
		changed    chan struct{}
		server     *http.Server
	}

	taskRun struct {
		run       int
		startedAt time.Time
		info      stepInfo
	}

	runEnd struct {
		number int
		task   string
		run    int
		how    string
	}

	orderBody struct {
		Task     string `json:"task"`
		Run      int    `json:"run"`
		DueMs    int64  `json:"due_ms"`
		Fence    uint64 `json:"fence"`
		SeenUpto int    `json:"seen_upto"`
		WaitMs   int64  `json:"wait_ms"`
	}
)

// of returns what is known of a task, by its name.
func (s *steps) of(task string) (stepInfo, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var round, step, index int
	job, rest, _ := strings.Cut(task, ".")
	if n, _ := fmt.Sscanf(rest, "%d.%d.%d", &round, &step, &index); n != 3 || step >= len(s.byJob[job]) {
		return stepInfo{}, false
	}
	return s.byJob[job][step], true
}

func (s *steps) set(job string, list []stepInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byJob[job] = list
}

// begin starts a life of the worker. The lock must be held.
func (w *worker) begin() error {
	config := net.ListenConfig{}
	listener, err := config.Listen(context.Background(), "tcp", w.address)
	if err != nil {
		return err
	}
	w.life++
	w.bornAt = time.Now()
	w.sequence, w.fence, w.lastEnd = 0, 0, 0
	w.leaseUntil = time.Time{}
	w.running, w.highest, w.ended = map[string]*taskRun{}, map[string]int{}, nil
	w.changed = make(chan struct{})
	w.down = false
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.start)
	mux.HandleFunc("POST /run-stop", w.stop)
	mux.HandleFunc("POST /hold", w.hold)
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func(s *http.Server) { _ = s.Serve(listener) }(w.server)
	w.record.add("worker %s begins as %s", w.name, w.id())
	return nil
}

// runLoop sends heartbeats and ends the runs that are due, until ctx is done.
func (w *worker) runLoop(ctx context.Context) {
	beat := time.NewTicker(heartbeatInterval)
	defer beat.Stop()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
			go w.heartbeat(ctx)
		case <-tick.C:
			w.tick(time.Now())
		}
	}
}

// crash ends the worker's process. It is back as another life after the downtime; 0 means that it is gone for good.
func (w *worker) crash(downtime time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return
	}
	var lost []string
	for task, r := range w.running {
		lost = append(lost, fmt.Sprintf("%s/%d", task, r.run))
	}
	w.down = true
	w.running = map[string]*taskRun{}
	_ = w.server.Close()
	w.record.add("worker %s crashes as %s, back in %s (0s: never); it ran %s", w.name, w.id(), downtime, firstOf(lost))
	if downtime == 0 {
		w.gone = true
		return
	}
	time.AfterFunc(downtime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if err := w.begin(); err != nil {
			w.record.add("worker %s: %v", w.name, err)
		}
	})
}

// firstOf names some of the texts.
func firstOf(texts []string) string {
	const most = 4
	if len(texts) > most {
		return fmt.Sprintf("%s and %d more", strings.Join(texts[:most], " "), len(texts)-most)
	}
	return strings.Join(texts, " ")
}

// runs reports whether the worker runs a task of a job.
func (w *worker) runs(job string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task := range w.running {
		if strings.HasPrefix(task, job+".") {
			return true
		}
	}
	return false
}

// inUse returns the room that is taken. The lock must be held.
func (w *worker) inUse() shape {
	sum := shape{}
	for _, r := range w.running {
		sum = shape{sum.CPU + r.info.room.CPU, sum.Mem + r.info.room.Mem, sum.GPU + r.info.room.GPU}
	}
	return sum
}

func (w *worker) id() string {
	return fmt.Sprintf("i-%s-%d", w.name, w.life)
}

func (w *worker) clock() int64 {
	return time.Since(w.bornAt).Milliseconds()
}

func (w *worker) tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return
	}
	w.expireLease(now)
	for task, r := range w.running {
		if r.info.work > 0 && now.Sub(r.startedAt) >= r.info.work {
			w.end(task, "done")
		}
	}
}

func (w *worker) expireLease(now time.Time) {
	if !now.After(w.leaseUntil) {
		return
	}
	for task := range w.running {
		w.end(task, "lapsed")
	}
}

func (w *worker) end(task, how string) {
	r := w.running[task]
	delete(w.running, task)
	w.highest[task] = max(w.highest[task], r.run)
	w.lastEnd++
	w.ended = append(w.ended, runEnd{w.lastEnd, task, r.run, how})
	if !w.quiet || how != "done" {
		w.record.add("worker %s ends %s run %d: %s", w.name, task, r.run, how)
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

// admit decodes a call and takes the lock, or answers it and returns false.
func (w *worker) admit(response http.ResponseWriter, r *http.Request, body *orderBody) bool {
	if json.NewDecoder(r.Body).Decode(body) != nil {
		response.WriteHeader(http.StatusBadRequest)
		return false
	}
	w.mu.Lock()
	switch expected := r.Header.Get("X-Expect-Instance"); {
	case w.down:
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	case expected != "" && expected != w.id():
		w.mu.Unlock()
		response.WriteHeader(http.StatusMisdirectedRequest)
		return false
	case body.Fence < w.fence:
		w.conflict(response, "fence")
		w.mu.Unlock()
		return false
	}
	w.fence = body.Fence
	w.expireLease(time.Now())
	return true
}

func (w *worker) conflict(response http.ResponseWriter, reason string) {
	answer(response, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason})
}

func (w *worker) extendLease(dueMs int64) {
	until := w.bornAt.Add(time.Duration(dueMs) * time.Millisecond)
	if latest := time.Now().Add(maxLease); until.After(latest) {
		until = latest
	}
	if until.After(w.leaseUntil) {
		w.leaseUntil = until
	}
}

func (w *worker) start(response http.ResponseWriter, r *http.Request) {
	body := orderBody{}
	if !w.admit(response, r, &body) {
		return
	}
	defer w.mu.Unlock()
	info, known := w.steps.of(body.Task)
	if !known {
		w.record.add("worker %s is told to start %s, which nobody sent", w.name, body.Task)
		response.WriteHeader(http.StatusBadRequest)
		return
	}
	if current, runs := w.running[body.Task]; runs && current.run == body.Run {
		answer(response, http.StatusOK, map[string]any{"clock_ms": w.clock()})
		return
	}
	used := w.inUse()
	switch {
	case body.Run <= w.highest[body.Task]:
		w.conflict(response, "old")
	case body.DueMs <= w.clock():
		w.conflict(response, "late")
	case used.CPU+info.room.CPU > w.room.CPU || used.Mem+info.room.Mem > w.room.Mem || used.GPU+info.room.GPU > w.room.GPU:
		w.conflict(response, "room")
	default:
		w.extendLease(body.DueMs)
		w.running[body.Task] = &taskRun{run: body.Run, startedAt: time.Now(), info: info}
		if !w.quiet {
			w.record.add("worker %s starts %s run %d", w.name, body.Task, body.Run)
		}
		answer(response, http.StatusOK, map[string]any{"clock_ms": w.clock()})
	}
}

func (w *worker) stop(response http.ResponseWriter, r *http.Request) {
	body := orderBody{}
	if !w.admit(response, r, &body) {
		return
	}
	defer w.mu.Unlock()
	w.highest[body.Task] = max(w.highest[body.Task], body.Run)
	life := w.life
	time.AfterFunc(stopDuration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if current, runs := w.running[body.Task]; runs && current.run == body.Run && w.life == life && !w.down {
			w.end(body.Task, "stopped")
		}
	})
	answer(response, http.StatusOK, map[string]any{"clock_ms": w.clock()})
}

func (w *worker) hold(response http.ResponseWriter, r *http.Request) {
	body := orderBody{}
	if !w.admit(response, r, &body) {
		return
	}
	if body.DueMs > 0 {
		w.extendLease(body.DueMs)
	}
	for len(w.ended) > 0 && w.ended[0].number <= body.SeenUpto {
		w.ended = w.ended[1:]
	}
	changed, life, waits := w.changed, w.life, len(w.ended) == 0 && body.WaitMs > 0
	w.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(body.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life != life || w.down {
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for task, run := range w.running {
		running = append(running, []any{task, run.run, "", run.percent()})
	}
	for _, e := range w.ended[:min(len(w.ended), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	answer(response, http.StatusOK, map[string]any{"clock_ms": w.clock(), "running": running, "ended": ended})
}

func (r *taskRun) percent() int {
	length := r.info.work
	if length == 0 {
		length = startDuration
	}
	return int(min(100, 100*time.Since(r.startedAt)/length))
}

func (w *worker) heartbeat(ctx context.Context) {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return
	}
	w.sequence++
	id := w.id()
	body, _ := json.Marshal(map[string]any{
		"service": w.service, "addr": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": w.room, "labels": w.labels, "clock_ms": w.clock(), "seq": w.sequence,
	})
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.control+"/Instances.Heartbeat/"+id, strings.NewReader(string(body)))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	if response, err := http.DefaultClient.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

func answer(response http.ResponseWriter, status int, body any) {
	response.Header().Set("Content-Type", "application/json")
	response.WriteHeader(status)
	_ = json.NewEncoder(response).Encode(body)
}
