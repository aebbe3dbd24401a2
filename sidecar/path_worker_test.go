package sidecar

import (
	"fmt"
	"slices"
	"time"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/hollyfork/job"
	"hollyfork.example/wire/poolpb"
)

const (
	pathStopTime  = 300 * time.Millisecond
	pathWorkerMax = 6 * time.Second
)

type (
	// pathWorker is a machine with a worker. Each of its lives has a name of its own.
	pathWorker struct {
		pathProcess

		number int
		lives  int
		id     instance.ID
		up     bool
		// rate is how fast the clock of the worker runs.
		rate       float64
		startedAt  time.Time
		sequence   uint64
		fence      uint64
		leaseUntil time.Time
		running    map[string]*pathRun
		highest    map[string]int32
		ended      []*poolpb.EndedTask
		lastEnd    uint64
		// endedAt is when each run ended, by the number of its end. lastLapse is the last time at which the lease was over.
		endedAt   map[uint64]time.Time
		lastLapse time.Time
	}

	pathRun struct {
		run   int32
		until time.Time
	}
)

func newPathWorker(p *path, number int) *pathWorker {
	w := &pathWorker{pathProcess: pathProcess{path: p}, number: number}
	w.begin()
	return w
}

// begin begins another life.
func (w *pathWorker) begin() {
	w.lives++
	w.id = instance.New(fmt.Sprintf("i-%d-%d", w.number, w.lives), 0)
	w.up, w.startedAt, w.sequence, w.fence = true, w.path.now, 0, 0
	w.rate = []float64{0.98, 1}[w.path.random.IntN(2)]
	w.running, w.highest, w.ended, w.lastEnd = map[string]*pathRun{}, map[string]int32{}, nil, 0
	w.endedAt = map[uint64]time.Time{}
	w.leaseUntil = w.path.now
	w.frozenUntil = w.path.now
	w.path.note("worker %d begins as %s", w.number, w.id)
}

// crash ends the life with all its runs.
func (w *pathWorker) crash() {
	if !w.up {
		return
	}
	w.path.note("worker %s crashes with %d runs", w.id, len(w.running))
	w.up = false
	w.running = map[string]*pathRun{}
	w.path.after(w.path.between(20*time.Millisecond, 3*time.Second), w.begin)
}

func (w *pathWorker) clock() time.Duration {
	return time.Duration(float64(w.path.now.Sub(w.startedAt)) * w.rate).Truncate(time.Millisecond)
}

// expire ends all runs if the lease has ended.
func (w *pathWorker) expire() {
	if !w.path.now.After(w.leaseUntil) {
		return
	}
	w.lastLapse = w.path.now
	for task := range w.running {
		w.end(task, poolpb.EndKind_LAPSED)
	}
}

func (w *pathWorker) end(task string, kind poolpb.EndKind_Value) {
	run := w.running[task].run
	delete(w.running, task)
	w.highest[task] = max(w.highest[task], run)
	w.lastEnd++
	w.endedAt[w.lastEnd] = w.path.now
	w.ended = append(w.ended, &poolpb.EndedTask{Number: w.lastEnd, Task: task, Run: run, Kind: kind})
	w.path.note("  %s run %d on %s ends: %v", task, run, w.id, kind)
	if kind == poolpb.EndKind_DONE {
		w.path.done++
	}
}

func (w *pathWorker) extend(due time.Duration) {
	until := w.startedAt.Add(time.Duration(float64(due) / w.rate))
	if latest := w.path.now.Add(time.Duration(float64(pathWorkerMax) / w.rate)); until.After(latest) {
		until = latest
	}
	if until.After(w.leaseUntil) {
		w.leaseUntil = until
	}
}

// tick ends the runs that are done. Those of a frozen worker stand still, but its lease does not.
func (w *pathWorker) tick() {
	w.expire()
	if w.path.now.Before(w.frozenUntil) {
		return
	}
	for task, run := range w.running {
		if w.path.now.After(run.until) {
			w.end(task, poolpb.EndKind_DONE)
		}
	}
}

// admit reports whether the worker accepts a call.
func (w *pathWorker) admit(id instance.ID, epoch uint64) Kind {
	switch {
	case id != w.id:
		return KindOtherInstance
	case epoch < w.fence:
		return KindRefused
	}
	w.fence = epoch
	w.expire()
	return 0
}

// hold carries out a poll, and passes the answer on when the time to wait is over or a run has ended.
func (w *pathWorker) hold(poll PollRequest, answer func(Listing, Kind)) {
	if kind := w.admit(poll.Instance, poll.Epoch); kind != 0 {
		answer(Listing{}, kind)
		return
	}
	if poll.LeaseEnd > 0 {
		w.extend(poll.LeaseEnd.Truncate(time.Millisecond))
	}
	for len(w.ended) > 0 && w.ended[0].GetNumber() <= poll.Committed {
		if e := w.ended[0]; e.GetKind() == poolpb.EndKind_DONE && !w.lastLapse.After(w.endedAt[e.GetNumber()]) {
			w.path.noted[e.GetTask()] = true
		}
		w.ended = w.ended[1:]
	}
	w.await(w.lives, w.path.now.Add(poll.Wait), answer)
}

func (w *pathWorker) await(life int, until time.Time, answer func(Listing, Kind)) {
	if w.path.now.Before(until) && len(w.ended) == 0 && life == w.lives {
		w.path.after(10*time.Millisecond, func() { w.do(func() { w.await(life, until, answer) }) })
		return
	}
	if life != w.lives || !w.up {
		return
	}
	w.expire()
	answer(w.listing(), 0)
}

func (w *pathWorker) listing() Listing {
	l := Listing{Instance: w.id, Clock: w.clock(), Ended: slices.Clone(w.ended)}
	for task, run := range w.running {
		l.Running = append(l.Running, &poolpb.RunningTask{Task: task, Run: run.run})
	}
	slices.SortFunc(l.Running, func(a, b *poolpb.RunningTask) int {
		if a.GetTask() < b.GetTask() {
			return -1
		}
		return 1
	})
	return l
}

// start carries out a start.
func (w *pathWorker) start(s StartRequest) poolpb.OrderResult_Value {
	switch w.admit(s.Instance, s.Epoch) {
	case 0:
	case KindOtherInstance:
		return poolpb.OrderResult_OTHER_INSTANCE
	default:
		return poolpb.OrderResult_FENCED
	}
	task, run := s.Order.GetTask(), s.Order.GetRun()
	due := s.LeaseEnd.Truncate(time.Millisecond)
	if r, runs := w.running[task]; runs && r.run == run {
		return poolpb.OrderResult_OK
	}
	if run <= w.highest[task] {
		w.extend(due)
		return poolpb.OrderResult_OLD_RUN
	}
	if due <= w.clock() {
		return poolpb.OrderResult_LATE
	}
	w.extend(due)
	w.path.checkStart(w, task, run)
	w.path.starts++
	length := w.path.between(100*time.Millisecond, 8*time.Second)
	w.running[task] = &pathRun{run: run, until: w.path.now.Add(length)}
	w.path.note("  %s run %d starts on %s", task, run, w.id)
	return poolpb.OrderResult_OK
}

// stop carries out a stop.
func (w *pathWorker) stop(s StopRequest) poolpb.OrderResult_Value {
	switch w.admit(s.Instance, s.Epoch) {
	case 0:
	case KindOtherInstance:
		return poolpb.OrderResult_OTHER_INSTANCE
	default:
		return poolpb.OrderResult_FENCED
	}
	task, run, life := s.Order.GetTask(), s.Order.GetRun(), w.lives
	w.highest[task] = max(w.highest[task], run)
	w.path.after(w.path.between(0, pathStopTime), func() {
		if r, runs := w.running[task]; runs && r.run == run && life == w.lives {
			w.end(task, poolpb.EndKind_STOPPED)
		}
	})
	return poolpb.OrderResult_OK
}

// checkStart fails the history if a task runs elsewhere or its success was noted.
func (p *path) checkStart(on *pathWorker, task string, run int32) {
	if p.noted[task] {
		p.fail("%s run %d starts on %s after its success was noted", task, run, on.id)
	}
	for _, w := range p.workers {
		w.expire()
		if r, runs := w.running[task]; runs && w.up {
			p.fail("%s run %d starts on %s beside run %d on %s", task, run, on.id, r.run, w.id)
		}
	}
}

// heartbeat returns the worker's next heartbeat.
func (w *pathWorker) heartbeat() Heartbeat {
	w.sequence++
	return Heartbeat{
		Instance: w.id, Sequence: w.sequence, Clock: ReadingOf(w.clock()), Rack: "r",
		Capacity: job.Shape{CPUMillis: 4000, MemoryMB: 4000},
	}
}
