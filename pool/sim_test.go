package pool

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"hollyfork.example/hollyfork/catalog"
	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/store"
)

// simulationStep is the step in which the simulated clock advances.
const simulationStep = 10 * time.Millisecond

// simulation runs a pool in virtual time: its holder, its workers and its rows in the store. At each start it
// checks that the task is not running elsewhere and has not been done.
type simulation struct {
	t       testing.TB
	now     time.Time
	random  *rand.Rand
	core    *Core
	rows    map[store.Key]store.Row
	version uint64
	workers []*fakeWorker
	jobs    map[job.ID]job.Job
	// done are the tasks of which a run succeeded. acknowledged are the done tasks whose end the worker has
	// dropped, since the holder had committed it.
	done         map[job.TaskID]bool
	acknowledged map[job.TaskID]bool
	failures     map[job.TaskID]int
	starts       int
	events       []Event

	// scheduled are the calls to be made at a later time.
	scheduled []scheduledCall
	// losesReply reports whether the next reply to orders or to an advice request is lost.
	losesReply func() bool
	// lateStartDelay, unless nil, returns the delay after which a start is carried out whose reply is lost.
	lateStartDelay func() time.Duration
	// orderDelay is the time that orders take to reach a worker, replyDelay the time that its reply takes, and
	// refusalDelay that of the agent's reply if nothing listens at the worker's address.
	orderDelay   time.Duration
	replyDelay   time.Duration
	refusalDelay time.Duration
	// storeDown makes every commit fail.
	storeDown bool
	epoch     int
	// policy reports whether a worker may run the tasks of advised queues. It must be set if there are such tasks.
	// A ticket is valid for ticketValidity.
	// policyInForce tells of queues whether workers require tickets at present.
	policyInForce  map[string]bool
	policy         func(worker string) bool
	ticketValidity time.Duration
	tickets        map[string]time.Time
	adviceRequests int
	// adviceDelay is the time that the advice service takes for a request.
	adviceDelay time.Duration
	// tokenOwners maps each token of saved progress to the gangs or tasks that may resume from it.
	tokenOwners map[string]map[job.TaskID]bool
	// idleSince is the time at which a job was first seen without a running task in spite of ample capacity.
	idleSince map[job.ID]time.Time
	// pausedUntil is the time until which the holder's VM is paused: it reads no reply and decides nothing.
	pausedUntil time.Time
	// timeOfDayOffset is how far the time of day is ahead of the simulated clock, maxTimeOfDayOffset the
	// largest offset so far.
	timeOfDayOffset    time.Duration
	maxTimeOfDayOffset time.Duration
	// heartbeatInterval is the time between the heartbeats in which a worker states its capacity; 0 states it in
	// each report.
	heartbeatInterval time.Duration
	// capacityRefusals counts the starts that a worker refused because its capacity had shrunk since its last
	// heartbeat.
	capacityRefusals int
	// gangTimeouts counts the tasks that a worker ended because their gang stayed incomplete.
	gangTimeouts int

	// crashingTasks are, by job, the tasks that crash each worker that starts them. crashes counts the workers
	// that crashed under a task, otherRunsLost the runs of other jobs that were lost with them.
	crashingTasks map[job.ID]crashingTask
	crashes       map[job.TaskID]int
	// workersLost counts the workers that ended for any reason while they ran a task.
	workersLost map[job.TaskID]int
	// startsAfterLimit counts the starts of a crashing task after crashLimit crashes.
	startsAfterLimit map[job.TaskID]int
	otherRunsLost    int
	// hangingJobs are the jobs whose tasks make no progress on any worker.
	hangingJobs map[job.ID]bool

	settings Settings
	// evacuations are the evacuations in the store, evacuationRequestedAt the times of their requests and
	// readEvacuations those that the holder has read. evacuationsUnreadable makes the holder's reads fail.
	evacuations           catalog.Evacuations
	evacuationRequestedAt map[string]time.Time
	readEvacuations       catalog.Evacuations
	evacuationsUnreadable bool
}

type scheduledCall struct {
	at time.Time
	do func()
}

// fakeWorker simulates a worker and its agent.
type fakeWorker struct {
	name        string
	instance    instance.ID
	incarnation string
	// capacity is the current capacity, reportedCapacity that of the last heartbeat, which was at heartbeatAt.
	capacity         job.Shape
	reportedCapacity job.Shape
	heartbeatAt      time.Time
	rack             string
	dataCentre       string
	labels           []string
	// slowdown is the factor by which its runs take longer than usual; 0 counts as 1.
	slowdown float64
	// remaining is the time that a draining worker reports until it leaves.
	remaining     time.Duration
	running       map[runKey]*fakeRun
	ended         []Ended
	lastEndNumber uint64
	listing       uint64
	highestRun    map[job.TaskID]int
	leaseUntil    time.Time
	// unansweredStarts are the starts whose replies have been lost since the agent started.
	unansweredStarts []Start
	// silent means that neither worker nor agent replies. Their tasks run on until the lease ends.
	silent   bool
	draining bool
	// notReady means that the agent refuses starts and reports that it does.
	notReady bool
	// fails means that every task fails.
	fails bool
	hangs bool
	// down means that the worker has crashed and that nothing listens at its address. The agent notices at
	// agentNoticesAt.
	down           bool
	agentNoticesAt time.Time
	// noticesAfter is the time that the agent takes to notice a crash; 0 is a time that differs for each worker.
	noticesAfter time.Duration
	// rejectsLate means that the agent answers that the lease had ended to each start, and passes none on.
	rejectsLate bool
}

type fakeRun struct {
	acceptedAt  time.Time
	startedAt   time.Time
	work        time.Duration
	resumedFrom string
	// savedToken is the token of the last saved progress, savedPercent the part of the work done by then.
	savedToken   string
	savedPercent int
}

// fullCapacity is the capacity of a worker that has not shrunk.
var fullCapacity = job.Shape{CPUMillis: 128000, MemoryMB: 262144, Accelerators: 8}

// gangTimeout is how long a worker lets a task wait for the rest of its gang.
const gangTimeout = 3 * time.Second

func newSimulation(t testing.TB, workers int) *simulation {
	sim := &simulation{
		t:            t,
		now:          time.Unix(1000, 0),
		random:       rand.New(rand.NewPCG(1, 2)),
		rows:         map[store.Key]store.Row{},
		jobs:         map[job.ID]job.Job{},
		done:         map[job.TaskID]bool{},
		acknowledged: map[job.TaskID]bool{},
		failures:     map[job.TaskID]int{},

		tickets:     map[string]time.Time{},
		adviceDelay: 20 * time.Millisecond,

		policyInForce: map[string]bool{},
		tokenOwners:   map[string]map[job.TaskID]bool{},
		losesReply:    func() bool { return false },

		replyDelay:   3 * time.Millisecond,
		refusalDelay: 20 * time.Millisecond,

		idleSince: map[job.ID]time.Time{},

		crashingTasks:    map[job.ID]crashingTask{},
		crashes:          map[job.TaskID]int{},
		workersLost:      map[job.TaskID]int{},
		startsAfterLimit: map[job.TaskID]int{},
		hangingJobs:      map[job.ID]bool{},

		settings:              DefaultSettings(),
		evacuationRequestedAt: map[string]time.Time{},
	}
	for i := range workers {
		sim.workers = append(sim.workers, &fakeWorker{
			name:        fmt.Sprintf("worker-%d", i),
			instance:    instance.New(fmt.Sprintf("i-%d", i), 1),
			incarnation: fmt.Sprintf("agent-%d", i),
			capacity:    fullCapacity,
			rack:        fmt.Sprintf("rack-%d", i/3),
			running:     map[runKey]*fakeRun{},
			highestRun:  map[job.TaskID]int{},
		})
	}
	sim.takeOver()
	return sim
}

// takeOver replaces the holder by one that restores the pool from its rows alone.
func (sim *simulation) takeOver() {
	sim.epoch++
	sim.pausedUntil = time.Time{}
	sim.readEvacuations = catalog.Evacuations{}
	core := New("pool", sim.settings, func(e Event) { sim.events = append(sim.events, e) })
	if sim.core != nil {
		core.SetCatalog(sim.core.catalog)
	}
	for _, f := range sim.workers {
		core.AddAgent(sim.now, f.name)
	}
	keys := slices.SortedFunc(maps.Keys(sim.rows), func(a, b store.Key) int { return strings.Compare(a.Name, b.Name) })
	for _, key := range keys {
		if key.Table != IntakeTable {
			continue
		}
		item, err := DecodeIntake(sim.rows[key], Clock{Now: sim.now, Store: sim.storeClock()})
		if err != nil {
			sim.t.Fatal(err)
		}
		core.AddJob(sim.now, item.(NewJob))
	}
	for _, key := range keys {
		if key.Table == IntakeTable {
			continue
		}
		if err := core.RestoreState(sim.now, sim.rows[key]); err != nil {
			sim.t.Fatal(err)
		}
	}
	sim.core = core
	sim.scheduled = slices.DeleteFunc(sim.scheduled, func(e scheduledCall) bool { return e.do == nil })
}

// storeClock returns the reading of the store's monotonic clock.
func (sim *simulation) storeClock() time.Duration {
	return sim.now.Sub(time.Unix(1000, 0))
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.scheduled = append(sim.scheduled, scheduledCall{at: sim.now.Add(d), do: do})
}

// forCurrentHolder wraps a call that only concerns the current holder: it is dropped after a takeover and
// postponed while the holder is paused.
func (sim *simulation) forCurrentHolder(do func()) func() {
	epoch := sim.epoch
	var wrapped func()
	wrapped = func() {
		switch {
		case sim.epoch != epoch:
		case sim.holderPaused():
			sim.scheduled = append(sim.scheduled, scheduledCall{at: sim.pausedUntil, do: wrapped})
		default:
			do()
		}
	}
	return wrapped
}

// pauseHolder pauses the holder's VM for a time.
func (sim *simulation) pauseHolder(length time.Duration) {
	sim.pausedUntil = sim.now.Add(length)
}

func (sim *simulation) holderPaused() bool {
	return sim.now.Before(sim.pausedUntil)
}

// setTimeOfDayOffset sets how far the time of day is ahead of the simulated clock.
func (sim *simulation) setTimeOfDayOffset(offset time.Duration) {
	sim.timeOfDayOffset = offset
	sim.maxTimeOfDayOffset = max(sim.maxTimeOfDayOffset, offset)
}

// submit adds a job to the pool.
func (sim *simulation) submit(j job.Job) {
	j.Accepted = sim.now
	if j.Terms.Attempts == 0 {
		j.Terms.Attempts = 3
	}
	sim.jobs[j.ID] = j
	key := KeysOf(j.ID).Job
	sim.rows[key] = store.Row{Key: key, Value: Encode(JobRow("pool", j, sim.storeClock())), Version: 1}
	sim.core.AddJob(sim.now, NewJob{Job: j, Version: 1, Checked: true})
}

// cancel cancels a job that was submitted before.
func (sim *simulation) cancel(id job.ID) {
	sim.core.CancelJob(sim.now, withdrawalOf(id, 2, sim.now))
}

// guarantee adds a workspace with a guaranteed number of accelerators.
func (sim *simulation) guarantee(workspace string, accelerators int) {
	sim.core.SetCatalog(&catalog.Catalog{
		Version:    sim.core.catalog.Version + 1,
		Workspaces: append(sim.core.catalog.Workspaces, catalog.Workspace{Name: workspace, GuaranteedAccelerators: accelerators}),
	})
}

// configureQueue makes a configuration active in which a queue has a policy or none.
func (sim *simulation) configureQueue(queue string, advised bool) {
	sim.core.SetCatalog(&catalog.Catalog{
		Version:    sim.core.catalog.Version + 1,
		Queues:     []catalog.Queue{{Name: queue, Pool: "pool", Terms: job.Terms{Advised: advised}}},
		Workspaces: sim.core.catalog.Workspaces,
	})
}

// evacuate requests the evacuation of a data centre, unless it is evacuated already.
func (sim *simulation) evacuate(dataCentre string) {
	if sim.evacuations.Contains(dataCentre) {
		return
	}
	sim.version++
	sim.evacuations = sim.evacuations.With(dataCentre, sim.version)
	sim.evacuationRequestedAt[dataCentre] = sim.now
}

// endEvacuation withdraws the evacuation of a data centre.
func (sim *simulation) endEvacuation(dataCentre string) {
	sim.evacuations = sim.evacuations.Without(dataCentre)
}

// run advances the simulation by a time.
func (sim *simulation) run(length time.Duration) {
	end := sim.now.Add(length)
	for sim.now.Before(end) {
		sim.now = sim.now.Add(simulationStep)
		sim.runScheduled()
		for _, f := range sim.workers {
			sim.stepWorker(f)
		}
		sim.runHolder()
	}
}

// runUntil advances the simulation until a condition holds, and fails the test after ten simulated seconds.
func (sim *simulation) runUntil(what string, condition func() bool) {
	sim.t.Helper()
	for end := sim.now.Add(10 * time.Second); !condition(); {
		if sim.now.After(end) {
			sim.t.Fatalf("timed out waiting until %s", what)
		}
		sim.run(simulationStep)
	}
}

func (sim *simulation) runScheduled() {
	calls := sim.scheduled
	sim.scheduled = nil
	for _, e := range calls {
		if e.at.After(sim.now) {
			sim.scheduled = append(sim.scheduled, e)
			continue
		}
		e.do()
	}
}

// runHolder does what a holder does after each message.
func (sim *simulation) runHolder() {
	if sim.holderPaused() {
		return
	}
	sim.core.SetTimeOfDayOffset(sim.timeOfDayOffset)
	if !sim.evacuationsUnreadable {
		sim.readEvacuations = sim.evacuations.WithConfirmedAt(sim.now)
	}
	sim.core.SetEvacuations(sim.readEvacuations)
	sim.core.Tick(sim.now)
	sim.core.Decide(sim.now)
	for _, orders := range sim.core.TakeOrders(sim.now) {
		sim.deliver(orders)
	}
	if request, ok := sim.core.TakeAdviceRequest(sim.now); ok {
		sim.after(sim.adviceDelay, sim.forCurrentHolder(func() { sim.replyToAdviceRequest(request) }))
	}
	for _, txn := range sim.core.TakeAgentSweep(sim.now) {
		sim.commitSweep(txn)
	}
	if batch := sim.core.TakeBatch(); batch != nil {
		sim.after(4*time.Millisecond, sim.forCurrentHolder(func() { sim.commit(batch) }))
	}
}

// replyToAdviceRequest answers a request to the advice service.
func (sim *simulation) replyToAdviceRequest(request AdviceRequest) {
	sim.adviceRequests++
	reply := AdviceReply{Tickets: map[instance.ID]string{}, Valid: sim.ticketValidity}
	for _, id := range request.Workers {
		for _, f := range sim.workers {
			if f.instance == id && sim.policy(f.name) {
				text := fmt.Sprintf("%s for %s, %d", id, request.Step.StepName(), sim.adviceRequests)
				reply.Tickets[id] = text
				sim.tickets[text] = sim.now.Add(sim.ticketValidity)
			}
		}
	}
	sim.core.HandleAdviceReply(sim.now, request, reply, !sim.losesReply())
}

func (sim *simulation) commit(batch *Batch) {
	if sim.storeDown {
		sim.core.BatchFailed()
		return
	}
	sim.version++
	for _, write := range batch.Writes {
		if write.Delete {
			delete(sim.rows, write.Key)
			continue
		}
		sim.rows[write.Key] = store.Row{Key: write.Key, Value: write.Value, Version: sim.version}
	}
	sim.core.BatchCommitted(sim.now)
}

func (sim *simulation) workerByName(name string) *fakeWorker {
	for _, f := range sim.workers {
		if f.name == name {
			return f
		}
	}
	sim.t.Fatalf("there is no worker %s", name)
	return nil
}

// countEvents returns the number of events of a kind so far.
func (sim *simulation) countEvents(kind EventKind) int {
	count := 0
	for _, e := range sim.events {
		if e.Kind == kind {
			count++
		}
	}
	return count
}

// state returns the state of a job.
func (sim *simulation) state(id job.ID) State {
	return sim.core.jobs[id].state
}

// oneTask returns a job with a single task.
func oneTask(id int, work time.Duration) job.Job {
	return job.Job{
		ID:    job.ID(fmt.Sprintf("%016x", id)),
		Spec:  "work",
		Steps: []job.Step{{Count: 1, Shape: job.Shape{CPUMillis: 4000, MemoryMB: 1000, Accelerators: 1}, Estimate: work}},
	}
}

// gang returns a job with a single gang.
func gang(id, tasks, accelerators int, work time.Duration) job.Job {
	j := oneTask(id, work)
	j.Steps[0].Count = tasks
	j.Steps[0].Gang = true
	j.Steps[0].Shape.Accelerators = accelerators
	return j
}
