package pool

import (
	"time"

	"hollyfork.example/hollyfork/catalog"
	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/store"
)

// Core is the state of a pool. Create it with New, then load the stored rows with AddJob and
// RestoreState. It is not safe for concurrent use.
type Core struct {
	name     string
	settings Settings
	observer Observer
	catalog  *catalog.Catalog
	// evacuations lists the data centres in which no task is started.
	evacuations catalog.Evacuations

	// jobs holds every known job, including ended ones until they expire. liveJobs holds those that
	// have not ended, or that still have uncommitted changes or runs. Jobs with an unreadable state row
	// are not live.
	jobs     map[job.ID]*jobState
	liveJobs map[job.ID]*jobState
	workers  map[string]*worker
	// workersByName caches the workers sorted by name. It is rebuilt when its length differs from that
	// of workers.
	workersByName []*worker

	// capacityChanged reports that a group that did not fit before may fit now. lastDecision is the
	// time of the last placement pass.
	capacityChanged bool
	lastDecision    time.Time
	// averageUse is a moving average of the used share of the pool, as of averageUseAt.
	averageUse   float64
	averageUseAt time.Time
	// paces estimates the pace of each worker.
	paces paceEstimator
	// serviceLevels tracks the service level of each queue.
	serviceLevels serviceTracker
	// urgentUse is a moving average of the accelerators that urgent jobs use, as of urgentUseAt.
	urgentUse   float64
	urgentUseAt time.Time
	// urgentPlacements are the recent placements of urgent groups.
	urgentPlacements recentPlacements
	// waitingEmittedAt is when the reasons why jobs wait were last emitted.
	waitingEmittedAt time.Time
	// ordersDue reports that orders may be due. Each tick sets it, so that orders without an answer are
	// sent again.
	ordersDue bool

	// dirty lists the jobs with changes that no batch contains yet. batchInFlight is the batch whose
	// commit is pending; nil if there is none.
	dirty         []*jobState
	batchInFlight *Batch
	// committedChanged lists the agents for which the result of Committed may have changed.
	committedChanged []string
	// removedAgentRows are, by agent, the versions of the rows of removed agents, which are to be deleted.
	removedAgentRows map[string]map[store.Key]uint64
	agentsSweptAt    time.Time
	// recentCrashes are the times of recent worker crashes. crashesCountedSince is when this holder
	// began to count them.
	recentCrashes       []recentCrash
	crashesCountedSince time.Time
	// timeOfDayOffset is added to the time that methods are passed to get the time of day.
	timeOfDayOffset time.Duration
	// everAdvised reports that there was a job of a queue with an advice policy.
	everAdvised bool
	// adviceInFlight reports that a request to the advice service awaits its reply. The next request
	// is not sent before nextAdviceAt.
	adviceInFlight bool
	// firstAdviceInRow counts the last requests in a row that were for steps that may begin with the answer.
	firstAdviceInRow int
	nextAdviceAt     time.Time

	// withdrawals are the cancellations whose effect is open.
	withdrawals withdrawals

	// committedSummary is the last committed number of waiting jobs by queue.
	committedSummary map[string]int
}

// New returns an empty pool that emits its events to observer, which may be nil.
func New(name string, settings Settings, observer Observer) *Core {
	return &Core{
		name:             name,
		settings:         settings,
		observer:         observer,
		catalog:          &catalog.Catalog{},
		jobs:             map[job.ID]*jobState{},
		liveJobs:         map[job.ID]*jobState{},
		workers:          map[string]*worker{},
		removedAgentRows: map[string]map[store.Key]uint64{},
		paces:            paceEstimator{minSpread: settings.LeastPaceSpread},
	}
}

func (c *Core) emit(e Event) {
	if c.observer != nil {
		c.observer(e)
	}
}

// SetCatalog makes next the active configuration unless its version is older than, or the same as, the
// active one.
func (c *Core) SetCatalog(next *catalog.Catalog) {
	if next.Version <= c.catalog.Version {
		return
	}
	c.catalog = next
	for _, j := range c.jobs {
		c.applyPolicy(j)
	}
	c.capacityChanged = true
}

// SetRenewalInterval sets how often the holder calls agents whose state does not change, and derives
// FreshFor from it.
func (c *Core) SetRenewalInterval(interval time.Duration) {
	c.settings.FreshFor = 2*interval + c.settings.RenewalSlack
}

// AddJob adds an accepted job of the pool, unless it is already known. The notice of a row that was written without regard
// to cancellations is left to the feed, which alone can tell whether one was there.
func (c *Core) AddJob(now time.Time, added NewJob) {
	if added.Noticed && !added.Checked {
		return
	}
	state, known := c.jobs[added.Job.ID]
	switch {
	case !known:
		state = c.addNewJob(now, added.Job)
	case state.isReplacedBy(added):
		state.successor = &added
		return
	}
	state.addRow(added)
	c.applyCancellations(now, state)
}

func (c *Core) addNewJob(now time.Time, j job.Job) *jobState {
	state := newJob(now, j)
	for _, g := range state.groups {
		// A job may see several changes of holder in a row. Its groups must not wait for preferred
		// workers anew after each, so the wait counts from the acceptance of the job.
		if len(g.spec().After) == 0 && now.Sub(j.Accepted) > c.settings.RelaxAfter {
			g.preferenceWaitSince = j.Accepted
		}
	}
	c.addState(state)
	return state
}

func (c *Core) addState(j *jobState) {
	c.capacityChanged = true
	c.applyPolicy(j)
	c.jobs[j.job.ID] = j
	c.liveJobs[j.job.ID] = j
}

// SetTimeOfDayOffset sets the difference between the time of day, at which rounds of repeating jobs are
// due, and the monotonic time that the other methods are passed.
func (c *Core) SetTimeOfDayOffset(offset time.Duration) {
	c.timeOfDayOffset = offset
}

// Tick does the work that depends only on the time: it marks runs as lost whose workers' leases have
// lapsed, aborts runs that start too slowly or stall, opens rounds, and expires ended jobs.
func (c *Core) Tick(now time.Time) {
	c.ordersDue = true
	if c.crashesCountedSince.IsZero() {
		c.crashesCountedSince = now
	}
	c.updatePaces(now)
	c.updateServiceLevels(now)
	for _, w := range c.workers {
		c.tickWorker(now, w)
	}
	for _, j := range c.liveJobs {
		c.endSetAside(now, j)
		if !j.state.ended() {
			c.openRounds(now, j)
		}
		for _, g := range j.groups {
			if g.placed() {
				c.tickGroup(now, g)
			}
		}
		j.closeRounds()
		c.retire(j)
	}
	for _, j := range c.jobs {
		c.expire(now, j)
	}
}

// tickGroup checks a group's current run. It aborts a run that does not start in time, stalls, waits to
// start in an evacuated data centre or will not end before a worker leaves, and the remaining tasks of
// a group that is done or whose job has ended. The time to start is not checked while it is not known
// whether the tasks run: until the agent's first listing, or until the lease has lapsed.
func (c *Core) tickGroup(now time.Time, g *group) {
	switch {
	case g.ending:
	case g.done:
		if now.Sub(g.doneAt) > c.settings.StopLinger {
			c.abort(now, g)
		}
	case g.job.state.ended():
		c.abort(now, g)
	case g.running():
		c.clearSurvivor(now, g)
		c.checkStall(now, g)
		c.checkLeaving(now, g)
	case g.hasEvacuatedStarts():
		c.abortEvacuated(now, g)
	case g.hasUnknownRuns():
	case !g.orderedAt.IsZero() && now.Sub(g.orderedAt) > c.settings.StartWithin:
		c.emit(g.event(EventStartRejected, "not all tasks started in time"))
		c.abort(now, g)
	}
}

// retire removes an ended job from liveJobs once it has no runs and all its changes are committed.
func (c *Core) retire(j *jobState) {
	if !j.state.ended() || j.dirty || j.committedChanges < j.changes {
		return
	}
	for _, g := range j.groups {
		if g.placed() {
			return
		}
	}
	delete(c.liveJobs, j.job.ID)
}

// expire marks a job's rows for deletion KeepEnded after the job ended.
func (c *Core) expire(now time.Time, j *jobState) {
	if j.toRemove || !j.state.ended() || now.Sub(j.endedAt) < c.settings.KeepEnded {
		return
	}
	if _, live := c.liveJobs[j.job.ID]; live {
		return
	}
	j.toRemove = true
	c.markDirty(j)
}

const (
	// decideInterval is the interval between placement passes while nothing but the time changes.
	decideInterval = 250 * time.Millisecond
	// minDecideGap is the minimum time between two passes. After a quiet period a change is handled at
	// once. When 240 agents send a message every millisecond, the gap reduces the cost of the passes
	// from a whole processor to a twentieth of one, and delays starts by 5 ms on average.
	minDecideGap = 10 * time.Millisecond
)

// NextDecisionIn returns how long the caller may wait before it calls Decide: minDecideGap after the
// last pass if capacity has changed since, or else decideInterval after it.
func (c *Core) NextDecisionIn(now time.Time) time.Duration {
	gap := decideInterval
	if c.capacityChanged {
		gap = minDecideGap
	}
	return max(0, gap-now.Sub(c.lastDecision))
}
