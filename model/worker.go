package model

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/pool"
)

const (
	// reportInterval is the time between an agent's periodic reports. newsDelay is the time from an event to the
	// arrival of its report.
	reportInterval = 500 * time.Millisecond
	newsDelay      = 5 * time.Millisecond
	// orderDelay and resultDelay are the times that orders and their results take to arrive.
	orderDelay  = 2 * time.Millisecond
	resultDelay = 3 * time.Millisecond
	// gangTimeout is how long a task waits for the other tasks of its gang to start.
	gangTimeout = 3 * time.Second
	// gangBreakDelay is the time from the end of a gang's task to the end of the other tasks.
	gangBreakDelay = 50 * time.Millisecond
	// failureDelay is the time from the start of a task to its failure on a worker that fails all tasks.
	failureDelay = 100 * time.Millisecond
	// crashNoticeDelay is the time that an agent takes to notice the end of its worker's process.
	crashNoticeDelay = 50 * time.Millisecond
)

type (
	// worker is a worker and its agent.
	worker struct {
		sim            *simulation
		name           string
		instance       instance.ID
		instanceNumber int64
		rack           string
		speed          float64
		slowdown       float64
		failing        bool
		down           bool
		crashNoticed   bool
		// capacity is the same for all workers.
		capacity   job.Shape
		members    map[taskRun]*member
		highestRun map[job.TaskID]int
		ended      []pool.Ended
		lastEnd    uint64
		listing    uint64
		leaseUntil time.Time
		// newsPending is set while a report of an event is on its way.
		newsPending bool
	}

	// taskRun identifies a run of a task.
	taskRun struct {
		task job.TaskID
		run  int
	}
)

func newWorker(sim *simulation, number int) *worker {
	shape := sim.workload.Pool
	return &worker{
		sim:            sim,
		name:           fmt.Sprintf("worker-%d", number),
		instance:       instance.New(fmt.Sprintf("worker-%d", number), 1),
		instanceNumber: 1,
		rack:           fmt.Sprintf("rack-%d", number/shape.WorkersPerRack),
		speed:          shape.Speeds[number%len(shape.Speeds)],
		slowdown:       1,
		capacity:       shape.WorkerCapacity,
		members:        map[taskRun]*member{},
		highestRun:     map[job.TaskID]int{},
	}
}

// currentSpeed returns the amount of work that a task does on the worker per second.
func (w *worker) currentSpeed() float64 {
	return w.speed / w.slowdown
}

func (w *worker) free() job.Shape {
	free := w.capacity
	for _, m := range w.members {
		free = free.Sub(m.run.arrival.Job.Steps[0].Demand())
	}
	return free
}

// execute executes orders and returns their results.
func (w *worker) execute(o pool.Orders) pool.Results {
	results := pool.Results{Incarnation: "agent", Listing: w.listing}
	for _, s := range o.Stops {
		results.Stops = append(results.Stops, w.stop(s))
	}
	for _, s := range o.Starts {
		results.Starts = append(results.Starts, w.start(s))
	}
	return results
}

func (w *worker) start(s pool.Start) pool.Result {
	key := taskRun{task: s.Task, run: s.Run}
	switch {
	case w.down:
		return pool.ResultRefused
	case w.members[key] != nil:
		return pool.ResultOK
	case s.Run <= w.highestRun[s.Task]:
		return pool.ResultOldRun
	case w.sim.now.After(w.leaseUntil):
		return pool.ResultLate
	}
	a := w.sim.arrivals[s.Task.Job]
	if w.free().FitCount(a.Job.Steps[0].Demand()) < 1 {
		return pool.ResultNoCapacity
	}
	m := &member{run: w.sim.runForStart(a, s), worker: w, task: s.Task, startedAt: w.sim.now}
	w.members[key] = m
	m.run.members = append(m.run.members, m)
	w.sim.recordStart(a)
	w.sim.after(w.sim.workload.Pool.StartDelay, func() { w.sim.taskReady(m) })
	w.sim.after(gangTimeout, func() { w.sim.endIfGangIncomplete(m) })
	return pool.ResultOK
}

func (w *worker) stop(s pool.Stop) pool.Result {
	if w.down {
		return pool.ResultRefused
	}
	w.highestRun[s.Task] = max(w.highestRun[s.Task], s.Run)
	m := w.members[taskRun{task: s.Task, run: s.Run}]
	if m == nil || m.stopping {
		return pool.ResultOK
	}
	m.stopping = true
	w.sim.updateRate(m.run)
	w.sim.after(w.sim.workload.Pool.StopDelay, func() { w.sim.endMember(m, pool.EndStopped) })
	return pool.ResultOK
}

// report returns the agent's next report.
func (w *worker) report() pool.Report {
	w.listing++
	r := pool.Report{
		Incarnation: "agent",
		Instance:    w.instance,
		Capacity:    w.capacity,
		Rack:        w.rack,
		Listing:     w.listing,
		Ended:       slices.Clone(w.ended),
	}
	if w.down {
		r.Lapsed = true
		r.Lapse = pool.LapseCrashed
		return r
	}
	for key, m := range w.members {
		r.Running = append(r.Running, pool.Running{
			Task:    key.task,
			Run:     key.run,
			Percent: m.percent(w.sim.now),
			Saved:   w.sim.saveToken(m.run),
		})
	}
	slices.SortFunc(r.Running, func(a, b pool.Running) int {
		return strings.Compare(a.Task.String(), b.Task.String())
	})
	return r
}

// dropCommitted drops the ended runs of an instance whose effects the pool has committed.
func (w *worker) dropCommitted(id instance.ID, committed uint64) {
	if id != w.instance {
		return
	}
	w.ended = slices.DeleteFunc(w.ended, func(e pool.Ended) bool { return e.Number <= committed })
}

// saveToken encodes the saved work of a run for savedProgress. The token is empty if no work is saved.
func (sim *simulation) saveToken(r *run) string {
	saved := r.savedWork(sim.workload.Pool.CheckpointInterval)
	if saved <= 0 {
		return ""
	}
	return strconv.FormatFloat(saved, 'f', -1, 64)
}

// savedProgress decodes saved work, in seconds at speed 1.
func savedProgress(token string) float64 {
	if token == "" {
		return 0
	}
	value, err := strconv.ParseFloat(token, 64)
	if err != nil {
		return 0 // not a token of this simulation
	}
	return value
}
