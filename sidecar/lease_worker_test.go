package sidecar

import (
	"fmt"
	"slices"
	"time"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/wire/poolpb"
)

const (
	// longestDelay is the longest time after which a worker may carry out a call that it has not answered.
	longestDelay = 12 * time.Second
)

type (
	// steadyClock is the clock of the worker's VM. It may run slow, and may stop while the VM is paused.
	steadyClock struct {
		reading time.Duration
		rate    float64
		// stopsInPauses is set if the clock stops while the VM is paused.
		stopsInPauses bool
	}

	// leasedWorker is an instance of a worker whose runs end with their lease.
	leasedWorker struct {
		id    instance.ID
		clock *steadyClock
		// clockZero is the reading of the VM's clock at which the clock of this instance read 0.
		clockZero time.Duration
		// longestLease is the longest lease that the worker accepts, counted from the arrival of the call.
		longestLease time.Duration
		epoch        uint64
		// fence is the number that the agent was first given for this instance; 0 before.
		fence               uint64
		leaseEnd            time.Duration
		sequence            uint64
		draining            bool
		drainAcknowledgedAt time.Time
		// leaves is set once the agent has received the leave message, and closed once the worker has stopped listening:
		// it then refuses calls, and its runs go on.
		leaves     bool
		closed     bool
		lastEnd    uint64
		running    map[string]int32
		highestRun map[string]int32
		ended      []*poolpb.EndedTask
		listed     map[uint64]bool
	}

	// workerCall is a poll, a start or a stop: one of the requests is set.
	workerCall struct {
		poll  *PollRequest
		start *StartRequest
		stop  *StopRequest
		// expiresAt is the time after which the worker does not carry out the call any more.
		expiresAt time.Time
	}

	// callEffect is what the worker did with a call. It did nothing unless accepted is set.
	callEffect struct {
		accepted  bool
		listing   Listing
		result    poolpb.OrderResult_Value
		forgotten []*poolpb.EndedTask
		// began is set if the call started a run.
		began bool
		// fault describes a violation of a rule, if any.
		fault string
	}
)

func (c *steadyClock) advance(length time.Duration, paused bool) {
	if !paused || !c.stopsInPauses {
		c.reading += time.Duration(float64(length) * c.rate)
	}
}

func newLeasedWorker(id instance.ID, clock *steadyClock, zero, longestLease time.Duration) *leasedWorker {
	return &leasedWorker{id: id, clock: clock, clockZero: zero, longestLease: longestLease, running: map[string]int32{}, highestRun: map[string]int32{}, listed: map[uint64]bool{}}
}

// now returns the reading of the instance's clock.
func (w *leasedWorker) now() time.Duration {
	return w.clock.reading - w.clockZero
}

// expireLease ends all runs if their lease has ended.
func (w *leasedWorker) expireLease() {
	if w.now() < w.leaseEnd {
		return
	}
	for _, task := range w.tasks() {
		w.end(task, poolpb.EndKind_LAPSED)
	}
}

// extend extends the lease, but no further than the longest lease from now. It never shortens it.
func (w *leasedWorker) extend(leaseEnd time.Duration) {
	w.leaseEnd = max(w.leaseEnd, min(leaseEnd, w.now()+w.longestLease))
}

// tasks returns the running tasks in order.
func (w *leasedWorker) tasks() []string {
	var tasks []string
	for task := range w.running {
		tasks = append(tasks, task)
	}
	slices.Sort(tasks)
	return tasks
}

func (w *leasedWorker) end(task string, kind poolpb.EndKind_Value) {
	run := w.running[task]
	delete(w.running, task)
	w.highestRun[task] = max(w.highestRun[task], run)
	w.lastEnd++
	w.ended = append(w.ended, &poolpb.EndedTask{Number: w.lastEnd, Task: task, Run: run, Kind: kind})
}

// carryOut carries out a call, unless it is for a worker with another name or of an earlier epoch than a call before.
func (w *leasedWorker) carryOut(call workerCall) callEffect {
	id, epoch := call.addressee()
	if !id.SharesName(w.id) || epoch < w.epoch {
		return callEffect{result: poolpb.OrderResult_OTHER_INSTANCE}
	}
	w.epoch = epoch
	effect := callEffect{accepted: true, result: poolpb.OrderResult_OK}
	switch {
	case call.poll != nil:
		w.answerPoll(*call.poll, &effect)
	case call.start != nil:
		effect.result = w.begin(*call.start)
		effect.began = effect.result == poolpb.OrderResult_OK
	case call.stop != nil:
		order := call.stop.Order
		w.highestRun[order.GetTask()] = max(w.highestRun[order.GetTask()], order.GetRun())
		if w.running[order.GetTask()] == order.GetRun() {
			w.end(order.GetTask(), poolpb.EndKind_STOPPED)
		}
	}
	return effect
}

// isFenced reports whether the instance has accepted a call with the number that the agent was given for it.
func (w *leasedWorker) isFenced() bool {
	return w.fence > 0 && w.epoch >= w.fence
}

// rejection returns how the worker rejects a poll for an instance: as for another one, or for its epoch.
func (w *leasedWorker) rejection(id instance.ID) Kind {
	if id.SharesName(w.id) {
		return KindRefused
	}
	return KindOtherInstance
}

func (w *leasedWorker) answerPoll(poll PollRequest, effect *callEffect) {
	w.extend(poll.LeaseEnd)
	w.ended = slices.DeleteFunc(w.ended, func(e *poolpb.EndedTask) bool {
		if e.GetNumber() > poll.Committed {
			return false
		}
		if !w.listed[e.GetNumber()] {
			effect.fault = fmt.Sprintf("the ended run of %s, number %d of %s, was forgotten before it was listed", e.GetTask(), e.GetNumber(), w.id)
		}
		effect.forgotten = append(effect.forgotten, e)
		return true
	})
	effect.listing = Listing{Instance: w.id, Clock: w.now(), Ended: slices.Clone(w.ended)}
	for _, task := range w.tasks() {
		effect.listing.Running = append(effect.listing.Running, &poolpb.RunningTask{Task: task, Run: w.running[task]})
	}
	for _, e := range w.ended {
		w.listed[e.GetNumber()] = true
	}
}

// begin starts a run, unless it has stopped or ended here before or its lease is over.
func (w *leasedWorker) begin(start StartRequest) poolpb.OrderResult_Value {
	task, run := start.Order.GetTask(), start.Order.GetRun()
	if w.running[task] == run {
		return poolpb.OrderResult_OK
	}
	if run <= w.highestRun[task] {
		w.extend(start.LeaseEnd)
		return poolpb.OrderResult_OLD_RUN
	}
	if start.LeaseEnd <= w.now() {
		return poolpb.OrderResult_LATE
	}
	w.extend(start.LeaseEnd)
	w.running[task] = run
	return poolpb.OrderResult_OK
}

// addressee returns the instance that a call is for, and the epoch in it.
func (c workerCall) addressee() (id instance.ID, epoch uint64) {
	switch {
	case c.poll != nil:
		return c.poll.Instance, c.poll.Epoch
	case c.start != nil:
		return c.start.Instance, c.start.Epoch
	default:
		return c.stop.Instance, c.stop.Epoch
	}
}
