package hall

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"hollyfork.example/hollyfork/platform"
	"hollyfork.example/policy"
	"hollyfork.example/wire"
)

// Core is the state machine of a hall's holder. Create it with NewCore and load the stored jobs with
// Restore. It is not safe for concurrent use.
type Core struct {
	hall     string
	epoch    uint64
	holder   string
	settings Settings
	policy   *policy.Hall

	jobs   map[string]*job
	agents map[string]*agentRecord
	// active contains the jobs that have parts on workers, by identifier.
	active map[string]*job
	// activeByWorker contains the same jobs, grouped by the workers of their parts.
	activeByWorker map[string]map[string]*job
	// queuedByWorkspace is the number of queued jobs of each workspace; queuedAccelerators is the number of
	// accelerators that all queued jobs need.
	queuedByWorkspace  map[string]int
	queuedAccelerators int
	// endedOrder lists the ended jobs in memory, oldest first, so that the oldest can be evicted.
	endedOrder []string

	config     *wire.Configuration
	entryPolls map[string]entryPoll
	leases     agentLeases

	dirty          []*job
	batch          *Batch
	storeAvailable bool
	changes        changeLog
	pendingCalls   []Call
	stopping       bool
	// supersededBy is a worker whose agent has met a later holder, or empty if none is known.
	supersededBy string
}

// entryPoll records when an entry last asked for the hall's status, and the version of its configuration.
type entryPoll struct {
	configVersion uint64
	polledAt      time.Time
}

// NewCore returns a Core without jobs and workers. The argument earlierLease is the longest lease that an agent may
// have from an earlier holder, as recorded when the hall was taken.
func NewCore(hall, holder string, epoch uint64, earlierLease time.Duration, settings Settings) *Core {
	return &Core{
		hall:              hall,
		epoch:             epoch,
		holder:            holder,
		settings:          settings,
		policy:            policy.New(settings.Policy),
		jobs:              map[string]*job{},
		agents:            map[string]*agentRecord{},
		active:            map[string]*job{},
		activeByWorker:    map[string]map[string]*job{},
		queuedByWorkspace: map[string]int{},
		config:            &wire.Configuration{},
		entryPolls:        map[string]entryPoll{},
		leases:            newAgentLeases(earlierLease),
		storeAvailable:    true,
	}
}

// TakeCalls returns the pending calls to agents and clears the list. It returns none once a later holder is known.
func (c *Core) TakeCalls() []Call {
	calls := c.pendingCalls
	c.pendingCalls = nil
	if c.supersededBy != "" {
		return nil
	}
	return calls
}

// SupersededBy returns a worker whose agent has met a later holder, or an empty string if none is known. The holder then
// gives no lease and no call any more, and must be stopped.
func (c *Core) SupersededBy() string {
	return c.supersededBy
}

// noteRefusal records that an agent refused a request because it has met a later holder.
func (c *Core) noteRefusal(worker string, refusal *wire.Refusal) {
	if refusal.GetKind() == wire.Refusal_OLD_EPOCH {
		c.supersededBy = worker
	}
}

// Tick handles expired timeouts, repeats calls that are due and runs the policy.
func (c *Core) Tick(now time.Time) {
	c.tickAgents(now)
	for _, j := range sortedJobs(c.active, (*job).needsTick) {
		c.tickJob(now, j)
	}
	c.Decide(now)
}

// adjustQueued adds a job to the queue counters if delta is 1, and removes it if delta is -1.
func (c *Core) adjustQueued(j *job, delta int) {
	spec := j.record.GetSpec()
	c.queuedByWorkspace[spec.GetWorkspace()] += delta
	c.queuedAccelerators += delta * int(max(1, spec.GetTasks())*spec.GetShape().GetAccelerators())
}

// activate adds a job to the indexes of jobs that have parts on workers.
func (c *Core) activate(j *job) {
	c.active[j.id()] = j
	for _, p := range j.parts {
		jobs, ok := c.activeByWorker[p.worker]
		if !ok {
			jobs = map[string]*job{}
			c.activeByWorker[p.worker] = jobs
		}
		jobs[j.id()] = j
	}
}

// deactivate removes a job from the indexes of jobs that have parts on workers.
func (c *Core) deactivate(j *job) {
	delete(c.active, j.id())
	for _, p := range j.parts {
		delete(c.activeByWorker[p.worker], j.id())
	}
}

// jobsOn returns the jobs that have parts on a worker, ordered by identifier.
func (c *Core) jobsOn(worker string) []*job {
	return sortedJobs(c.activeByWorker[worker], func(*job) bool { return true })
}

// sortedJobs returns the jobs that match, ordered by identifier.
func sortedJobs(jobs map[string]*job, match func(*job) bool) []*job {
	var list []*job
	for _, j := range jobs {
		if match(j) {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *job) int { return cmp.Compare(a.id(), b.id()) })
	return list
}

// Decide carries out the policy's decisions. It does nothing while the store is unavailable, because a
// placement could not be committed.
func (c *Core) Decide(now time.Time) {
	if !c.storeAvailable || c.stopping {
		return
	}
	for _, action := range c.policy.Decide(now) {
		switch a := action.(type) {
		case policy.Place:
			c.place(now, a)
		case policy.Preempt:
			c.preempt(now, a)
		case policy.Refuse:
			c.refuse(now, a)
		}
	}
}

// refuse fails a queued job that the policy has found impossible to run.
func (c *Core) refuse(now time.Time, action policy.Refuse) {
	j, ok := c.jobs[action.Job]
	if !ok || j.phase != phaseQueued {
		return
	}
	c.finish(now, j, wire.JobState_FAILED, action.Reason.String())
}

// SetConfiguration activates a configuration, unless it is not newer than the active one.
func (c *Core) SetConfiguration(config *wire.Configuration) {
	if config.GetVersion() <= c.config.GetVersion() {
		return
	}
	c.config = config
	c.policy.SetWorkspaces(policyWorkspaces(config, c.hall))
	for _, a := range c.agents {
		a.drained = slices.Contains(config.GetDrainedWorkers(), a.vm.Name)
	}
}

// Configuration returns the active configuration.
func (c *Core) Configuration() *wire.Configuration {
	return c.config
}

// policyWorkspaces converts the workspaces and their guarantees in this hall to the policy's types.
func policyWorkspaces(config *wire.Configuration, hall string) []policy.Workspace {
	var list []policy.Workspace
	for _, ws := range config.GetWorkspaces() {
		list = append(list, policy.Workspace{Name: ws.GetName(), Guarantees: policyGuarantees(ws, hall)})
	}
	return list
}

func policyGuarantees(ws *wire.Workspace, hall string) []policy.Guarantee {
	var list []policy.Guarantee
	for _, g := range ws.GetGuarantees() {
		if g.GetHall() == hall {
			list = append(list, policy.Guarantee{
				Size:  int(g.GetCellAccelerators()),
				Cells: int(g.GetCells()),
			})
		}
	}
	return list
}

// CheckGuarantees returns an error if the hall cannot provide all guarantees of a configuration.
func CheckGuarantees(config *wire.Configuration, hall string, vms []platform.VM) error {
	workers := make([]policy.Worker, len(vms))
	for i, vm := range vms {
		workers[i] = policyWorker(vm)
	}
	if err := policy.Feasible(workers, policyWorkspaces(config, hall)); err != nil {
		return fmt.Errorf("hall %s: %w", hall, err)
	}
	return nil
}

// workspace returns the declaration of a workspace, or nil if there is none.
func (c *Core) workspace(name string) *wire.Workspace {
	for _, ws := range c.config.GetWorkspaces() {
		if ws.GetName() == name {
			return ws
		}
	}
	return nil
}

// StoreFailed records that an attempt to commit has failed. It rejects the requests that wait for a commit;
// new requests are rejected until a transaction succeeds.
func (c *Core) StoreFailed() {
	if !c.storeAvailable {
		return
	}
	c.storeAvailable = false
	for _, j := range c.jobs {
		c.refuseWaiters(j)
	}
}

// StoreRecovered records that the store has completed a transaction.
func (c *Core) StoreRecovered() {
	c.storeAvailable = true
}

// StoreAvailable reports whether the store is available, according to the last attempt to commit.
func (c *Core) StoreAvailable() bool {
	return c.storeAvailable
}

// Stop makes the holder place no more jobs and reject new requests, in preparation for releasing the hall.
func (c *Core) Stop() {
	c.stopping = true
}

// Flushed reports whether all changes have been committed.
func (c *Core) Flushed() bool {
	return c.batch == nil && len(c.dirty) == 0
}
