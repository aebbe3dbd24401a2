package model

import (
	"time"

	"hollyfork.example/hollyfork/holder"
	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/store"
)

const (
	poolName = "pool"
	// drainTime is how long a simulation continues after the last arrivals.
	drainTime = 20 * time.Second
	// decideInterval is the shortest time between decisions, tickInterval the longest.
	decideInterval = 10 * time.Millisecond
	tickInterval   = 50 * time.Millisecond
	// readDelay is the time that a new holder takes to read the pool's rows.
	readDelay = 150 * time.Millisecond
	// commitTimeout is the time after which the holder stops waiting for the store's answer to a commit.
	commitTimeout = 800 * time.Millisecond
	// submitRetryDelay is the time from the end of an outage of the store to the next attempt of rejected callers.
	submitRetryDelay = 250 * time.Millisecond
)

// simulationStart is the virtual time at which simulations begin. Its value has no effect on outcomes.
var simulationStart = time.Unix(1000, 0)

// simulation is the state of one simulated workload.
type simulation struct {
	workload Workload
	settings pool.Settings
	seed     uint64
	now      time.Time
	events   eventQueue
	core     *pool.Core
	// epoch changes with each loss of a holder and each takeover. noHolder is set while the pool has no holder.
	epoch           int
	noHolder        bool
	rows            map[store.Key]store.Row
	version         uint64
	workers         []*worker
	workersByName   map[string]*worker
	arrivals        map[job.ID]*Arrival
	runs            map[runKey]*run
	outcome         *Outcome
	jobs            map[job.ID]*jobOutcome
	lastDecision    time.Time
	decisionPending bool
	storeSlowdown   float64
	// storeSilentFrom and storeSilentUntil are the start and end of the store's last outage.
	storeSilentFrom, storeSilentUntil time.Time
	err                               error
}

// Simulate simulates a workload under settings.
func Simulate(workload Workload, settings pool.Settings, seed uint64) (*Outcome, error) {
	sim := &simulation{
		workload:      workload,
		settings:      settings,
		seed:          seed,
		now:           simulationStart,
		rows:          map[store.Key]store.Row{},
		workersByName: map[string]*worker{},
		arrivals:      map[job.ID]*Arrival{},
		runs:          map[runKey]*run{},
		jobs:          map[job.ID]*jobOutcome{},
		outcome:       newOutcome(workload),
		storeSlowdown: 1,
	}
	sim.addWorkers()
	sim.takeOver()
	for _, a := range workload.GenerateArrivals(seed) {
		sim.arrivals[a.Job.ID] = &a
		sim.jobs[a.Job.ID] = sim.outcome.addJob(a)
		sim.after(a.At, func() { sim.submit(&a) })
	}
	for _, t := range workload.Troubles {
		sim.schedule(t)
	}
	sim.after(0, sim.tick)
	sim.runUntil(simulationStart.Add(workload.Length + drainTime))
	if sim.err != nil {
		return nil, sim.err
	}
	sim.outcome.finish(sim)
	return sim.outcome, nil
}

// addWorkers adds the pool's workers. The reports of their agents are spread evenly over reportInterval.
func (sim *simulation) addWorkers() {
	for i := range sim.workload.Pool.Workers {
		w := newWorker(sim, i)
		sim.workers = append(sim.workers, w)
		sim.workersByName[w.name] = w
	}
	for i, w := range sim.workers {
		stagger := reportInterval * time.Duration(i) / time.Duration(len(sim.workers))
		sim.after(stagger, func() { sim.reportPeriodically(w) })
	}
}

// runUntil executes the events up to a time, in order.
func (sim *simulation) runUntil(end time.Time) {
	for len(sim.events.events) > 0 && sim.err == nil {
		e := sim.events.next()
		if e.at.After(end) {
			return
		}
		sim.now = e.at
		e.action()
	}
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.events.add(sim.now.Add(d), do)
}

// afterForHolder schedules an action of the current holder. It is skipped if that holder is lost before.
func (sim *simulation) afterForHolder(d time.Duration, do func()) {
	epoch := sim.epoch
	sim.after(d, func() {
		if sim.epoch == epoch && !sim.noHolder {
			do()
		}
	})
}

// storeClock returns the reading of the store's monotonic clock.
func (sim *simulation) storeClock() time.Duration {
	return sim.now.Sub(simulationStart)
}

func (sim *simulation) storeSilent() bool {
	return sim.now.Before(sim.storeSilentUntil)
}

// submit submits a job to the store, and retries after an outage of the store.
func (sim *simulation) submit(a *Arrival) {
	if sim.storeSilent() {
		sim.after(sim.storeSilentUntil.Sub(sim.now)+submitRetryDelay, func() { sim.submit(a) })
		return
	}
	sim.after(sim.storeLatency(), func() { sim.accept(a) })
}

func (sim *simulation) accept(a *Arrival) {
	a.Job.Accepted = sim.now
	key := pool.KeysOf(a.Job.ID).Job
	sim.version++
	sim.rows[key] = store.Row{Key: key, Value: pool.Encode(pool.JobRow(poolName, a.Job, sim.storeClock())), Version: sim.version}
	if !sim.noHolder {
		sim.core.AddJob(sim.now, pool.NewJob{Job: a.Job, Pool: poolName})
		sim.decideSoon()
	}
}

func (sim *simulation) storeLatency() time.Duration {
	return time.Duration(float64(sim.workload.Pool.StoreLatency) * sim.storeSlowdown)
}

// tick does the periodic work: it ends a holder whose lease has lapsed, samples the pool's use and schedules a
// decision.
func (sim *simulation) tick() {
	sim.after(tickInterval, sim.tick)
	if sim.storeSilent() && !sim.noHolder && sim.now.Sub(sim.storeSilentFrom) > holder.LeaseValidity {
		sim.loseHolder(sim.storeSilentUntil.Sub(sim.now) + readDelay)
	}
	sim.outcome.sample(sim)
	sim.decideSoon()
}

// reportPeriodically sends a report of an agent every reportInterval, and ends the worker's tasks if its lease has
// lapsed.
func (sim *simulation) reportPeriodically(w *worker) {
	sim.after(reportInterval, func() { sim.reportPeriodically(w) })
	if sim.now.After(w.leaseUntil) && !w.leaseUntil.IsZero() {
		sim.endLapsedTasks(w)
	}
	sim.report(w)
}

// reportSoon sends a report of an agent newsDelay after an event.
func (sim *simulation) reportSoon(w *worker) {
	if w.newsPending {
		return
	}
	w.newsPending = true
	sim.after(newsDelay, func() {
		w.newsPending = false
		sim.report(w)
	})
}

func (sim *simulation) report(w *worker) {
	if sim.noHolder || w.down && !w.crashNoticed {
		return
	}
	w.leaseUntil = sim.now.Add(sim.settings.AgentLease)
	sim.core.RecordReply(sim.now, w.name, pool.Grant{Incarnation: "agent", Reading: sim.storeClock()})
	sim.core.Report(sim.now, w.name, w.report())
	sim.decideSoon()
}

// runForStart returns the run that a start belongs to. It creates the run if none with its key is active.
func (sim *simulation) runForStart(a *Arrival, s pool.Start) *run {
	key := runKeyOf(a, s)
	r, known := sim.runs[key]
	if known && !r.ended {
		return r
	}
	resumed := savedProgress(s.Saved)
	r = &run{key: key, arrival: a, done: resumed, resumed: resumed, updated: sim.now, failsAfter: drawFailure(sim.seed, a, sim.workload.Kinds[a.Kind], key)}
	if r.failsAfter < resumed {
		r.failsAfter = resumed
	}
	sim.runs[key] = r
	return r
}

func (sim *simulation) recordStart(a *Arrival) {
	sim.jobs[a.Job.ID].recordStart(sim.storeClock())
}
