package agent

import (
	"slices"
	"time"

	"hollyfork.example/hollyfork/platform"
	"hollyfork.example/wire"
)

const (
	// StartLease is the time within which the worker must start a task. A task that has not started by then never
	// will.
	StartLease = 5 * time.Second
	// renewInterval is the interval at which the leases of running tasks are renewed on the worker.
	renewInterval = time.Second
)

// Core is the state machine of an agent. Create it with NewCore. It is not safe for concurrent use.
type Core struct {
	incarnation string
	machine     string
	startedAt   time.Time
	// inheritedStartBy is the time after which no start request of an earlier incarnation can start a task.
	inheritedStartBy time.Time
	// adopted reports whether the worker's tasks have been listed since the agent started.
	adopted bool
	// listedAt is the time at which the last answered list request was sent to the worker.
	listedAt time.Time

	epoch uint64
	// epochLearned reports whether the epoch was compared with the store's. Until then a request of an earlier holder
	// can't be distinguished from one of the present holder.
	epochLearned  bool
	configVersion uint64
	drained       bool
	leaving       bool

	leaseUntil time.Time
	renewAt    time.Time
	attempts   map[attemptKey]*attempt
	report     uint64
}

// NewCore returns the Core of an agent that has just started. Its incarnation must differ from that of every other
// agent that ever ran. The machine identifies the VM and its boot.
func NewCore(now time.Time, incarnation, machine string) *Core {
	return &Core{
		incarnation:      incarnation,
		machine:          machine,
		startedAt:        now,
		inheritedStartBy: now.Add(StartLease),
		attempts:         map[attemptKey]*attempt{},
		report:           1,
	}
}

// LearnEpoch sets the holder's epoch to the one read from the store, unless a later one is known.
func (c *Core) LearnEpoch(epoch uint64) {
	c.epoch = max(c.epoch, epoch)
	c.epochLearned = true
}

// Leave makes the agent refuse all new work, permanently.
func (c *Core) Leave() {
	c.leaving = true
	c.report++
}

// Leaving reports whether the agent refuses new work because it is stopping or drained.
func (c *Core) Leaving() bool {
	return c.leaving || c.drained
}

// Report returns the version of the report, which increases with every change to report.
func (c *Core) Report() uint64 {
	return c.report
}

// Epoch returns the latest epoch that the agent has met.
func (c *Core) Epoch() uint64 {
	return c.epoch
}

// Sync renews the lease and returns the report if the holder has not seen its present version. It refuses a holder of
// an earlier epoch.
func (c *Core) Sync(now time.Time, request *wire.SyncRequest) (*wire.SyncReply, []Command) {
	if request.GetEpoch() < c.epoch {
		reply := &wire.SyncReply{Refusal: oldEpochRefusal(), Epoch: c.epoch}
		return reply, nil
	}
	c.epoch = request.GetEpoch()
	if request.GetConfigVersion() >= c.configVersion {
		c.configVersion = request.GetConfigVersion()
		c.setDrained(request.GetDrained())
	}
	var commands []Command
	if request.GetIncarnation() == c.incarnation {
		c.extendLease(request)
		commands = c.forgetCommitted(request.GetSettled())
	}
	return c.syncReply(now, request), commands
}

func (c *Core) setDrained(drained bool) {
	if c.drained != drained {
		c.drained = drained
		c.report++
	}
}

// extendLease extends the lease, counted from the reading of the agent's own clock that the holder sends back. A
// delayed message thus can't make the lease longer for the agent than for the holder.
func (c *Core) extendLease(request *wire.SyncRequest) {
	from := c.startedAt.Add(time.Duration(request.GetLeaseToken()))
	until := from.Add(time.Duration(request.GetLeaseMs()) * time.Millisecond)
	if until.After(c.leaseUntil) {
		c.leaseUntil = until
	}
}

func (c *Core) syncReply(now time.Time, request *wire.SyncRequest) *wire.SyncReply {
	reply := &wire.SyncReply{
		Epoch:         c.epoch,
		Incarnation:   c.incarnation,
		LeaseToken:    int64(now.Sub(c.startedAt)),
		ConfigVersion: c.configVersion,
		Leaving:       c.Leaving(),
		Report:        c.report,
		Machine:       c.machine,
	}
	same := request.GetIncarnation() == c.incarnation && request.GetSeenReport() == c.report
	if same || !c.adopted {
		// Before the worker's tasks have been listed, a report would lack them, and the holder would consider
		// them lost.
		reply.Report = request.GetSeenReport()
		return reply
	}
	reply.Changed = true
	for _, a := range c.sorted() {
		reply.Attempts = append(reply.Attempts, a.report())
	}
	return reply
}

// forgetCommitted deletes attempts whose end the holder has committed.
func (c *Core) forgetCommitted(ids []*wire.AttemptId) []Command {
	var keys []string
	for _, id := range ids {
		a, ok := c.attempts[keyOf(id)]
		if !ok || a.holdsAccelerators() {
			continue
		}
		keys = append(keys, a.taskKeys(taskExited, taskStopped)...)
		delete(c.attempts, a.key)
	}
	if len(keys) == 0 {
		return nil
	}
	return []Command{ForgetTasks{Keys: keys}}
}

// Prepare reserves accelerators for an attempt, or refuses to.
func (c *Core) Prepare(now time.Time, request *wire.PrepareRequest) *wire.PrepareReply {
	if refusal := c.refuseWork(now, request.GetEpoch(), request.GetIncarnation()); refusal != nil {
		return &wire.PrepareReply{Refusal: refusal}
	}
	if request.GetConfigVersion() < c.configVersion {
		return &wire.PrepareReply{Refusal: newRefusal(wire.Refusal_OLD_CONFIGURATION, "the agent has a newer configuration")}
	}
	c.configVersion = request.GetConfigVersion()
	if c.Leaving() {
		return &wire.PrepareReply{Refusal: newRefusal(wire.Refusal_LEAVING, "the backend server is leaving")}
	}
	key := keyOf(request.GetId())
	if known, ok := c.attempts[key]; ok {
		return &wire.PrepareReply{Refusal: known.refusePrepare(request), Report: c.report}
	}
	if refusal := c.refuseAccelerators(request.GetTasks()); refusal != nil {
		return &wire.PrepareReply{Refusal: refusal}
	}
	c.attempts[key] = newAttempt(now, key, request)
	c.report++
	return &wire.PrepareReply{Report: c.report}
}

func newAttempt(now time.Time, key attemptKey, request *wire.PrepareRequest) *attempt {
	a := &attempt{
		key:            key,
		state:          wire.AttemptState_HELD,
		others:         noTasks{},
		command:        request.GetCommand(),
		checkpointable: request.GetCheckpointable(),
		reservedUntil:  now.Add(time.Duration(request.GetHoldMs()) * time.Millisecond),
	}
	for _, spec := range request.GetTasks() {
		a.tasks = append(a.tasks, &task{
			index:            spec.GetIndex(),
			firstAccelerator: spec.GetFirstAccelerator(),
			accelerators:     spec.GetAccelerators(),
		})
	}
	return a
}

// refusePrepare returns the refusal of a repeated Prepare, or nil if it asks for the attempt's present reservation.
func (a *attempt) refusePrepare(request *wire.PrepareRequest) *wire.Refusal {
	same := slices.EqualFunc(a.tasks, request.GetTasks(), func(t *task, spec *wire.TaskSpec) bool {
		return t.index == spec.GetIndex() && t.firstAccelerator == spec.GetFirstAccelerator() && t.accelerators == spec.GetAccelerators()
	})
	if a.state == wire.AttemptState_HELD && same {
		return nil
	}
	return newRefusal(wire.Refusal_BUSY, "the attempt was started or revoked")
}

// refuseWork returns the refusal if the agent can't accept work from the sender of a request, or nil.
func (c *Core) refuseWork(now time.Time, epoch uint64, incarnation string) *wire.Refusal {
	switch {
	case !c.epochLearned || !c.adopted:
		return newRefusal(wire.Refusal_BUSY, "the agent has just started")
	case epoch < c.epoch:
		return oldEpochRefusal()
	case epoch > c.epoch:
		return newRefusal(wire.Refusal_BUSY, "the agent has not met this holder yet")
	case incarnation != c.incarnation:
		return newRefusal(wire.Refusal_WRONG_INCARNATION, "the agent was restarted")
	case !now.Before(c.leaseUntil):
		return newRefusal(wire.Refusal_NO_LEASE, "the agent's lease has lapsed")
	default:
		return nil
	}
}

func (c *Core) refuseAccelerators(tasks []*wire.TaskSpec) *wire.Refusal {
	for _, t := range tasks {
		for _, a := range c.attempts {
			if a.overlaps(t.GetFirstAccelerator(), t.GetAccelerators()) {
				return newRefusal(wire.Refusal_BUSY, "an accelerator is held by job "+a.key.job)
			}
		}
	}
	return nil
}

// Start starts the tasks of a prepared attempt. A repeated Start only reports the attempt's state.
func (c *Core) Start(now time.Time, request *wire.StartRequest) (*wire.StartReply, []Command) {
	if refusal := c.refuseWork(now, request.GetEpoch(), request.GetIncarnation()); refusal != nil {
		return &wire.StartReply{Refusal: refusal}, nil
	}
	a, ok := c.attempts[keyOf(request.GetId())]
	if !ok {
		return &wire.StartReply{Refusal: newRefusal(wire.Refusal_NOT_FOUND, "the attempt is not held")}, nil
	}
	if a.state != wire.AttemptState_HELD {
		return &wire.StartReply{Report: a.report()}, nil
	}
	commands := c.start(now, a)
	return &wire.StartReply{Report: a.report()}, commands
}

func (c *Core) start(now time.Time, a *attempt) []Command {
	a.state = wire.AttemptState_STARTING
	a.startBy = now.Add(StartLease)
	if c.leaseUntil.Before(a.startBy) {
		a.startBy = c.leaseUntil
	}
	c.report++
	requests := make([]platform.Task, 0, len(a.tasks))
	for _, t := range a.tasks {
		t.state = taskUnconfirmed
		requests = append(requests, platform.Task{
			Key:              a.key.taskKey(t.index),
			FirstAccelerator: int(t.firstAccelerator),
			Accelerators:     int(t.accelerators),
			Command:          a.command,
			Checkpoint:       a.checkpointName(t),
			LeaseUntil:       a.startBy,
		})
	}
	return []Command{StartTasks{Tasks: requests}}
}

// Revoke prevents an attempt from starting, and stops it if it has started.
func (c *Core) Revoke(now time.Time, request *wire.RevokeRequest) (*wire.RevokeReply, []Command) {
	switch {
	case !c.epochLearned || !c.adopted:
		return &wire.RevokeReply{Refusal: newRefusal(wire.Refusal_BUSY, "the agent has just started")}, nil
	case request.GetEpoch() < c.epoch:
		return &wire.RevokeReply{Refusal: oldEpochRefusal()}, nil
	}
	key := keyOf(request.GetId())
	a, ok := c.attempts[key]
	if !ok {
		a = c.addInherited(key, wire.AttemptState_STOPPING)
		c.updateAttempt(a)
	}
	if request.GetCheckpointMs() > 0 && a.saveUntil.IsZero() {
		a.saveUntil = now.Add(time.Duration(request.GetCheckpointMs()) * time.Millisecond)
	}
	commands := c.stopAttempt(now, a)
	return &wire.RevokeReply{Report: a.report()}, commands
}

// stopAttempt stops the tasks of an attempt, including those whose start is not confirmed. The attempt does not end
// until it is certain that none of its tasks is running or can start.
func (c *Core) stopAttempt(now time.Time, a *attempt) []Command {
	switch a.state {
	case wire.AttemptState_HELD:
		a.state = wire.AttemptState_NEVER_RAN
		c.report++
		return nil
	case wire.AttemptState_STARTING, wire.AttemptState_RUNNING:
		a.state = wire.AttemptState_STOPPING
		c.report++
	}
	keys := a.taskKeys(taskUnconfirmed, taskRunning)
	switch {
	case len(keys) == 0:
		return nil
	case a.checkpointable && now.Before(a.saveUntil):
		return []Command{CheckpointTasks{Keys: keys}}
	default:
		return []Command{StopTasks{Keys: keys}}
	}
}

// addInherited records an attempt that an earlier incarnation may have started.
func (c *Core) addInherited(key attemptKey, state wire.AttemptState_Value) *attempt {
	a := &attempt{key: key, state: state, others: unknownTasks{}, startBy: c.inheritedStartBy}
	c.attempts[key] = a
	c.learnOthers(a)
	return a
}

// learnOthers records that an attempt has no tasks but those that were listed, once a listing shows all that can have
// started. It reports whether this was unknown before.
func (c *Core) learnOthers(a *attempt) bool {
	if _, known := a.others.(noTasks); known || !c.listedAt.After(a.startBy) {
		return false
	}
	a.others = noTasks{}
	return true
}

// TaskStarted records the result of a start request; err is nil if the task started. If err does not show whether it
// started, a later call of Listed does.
func (c *Core) TaskStarted(now time.Time, key string, err error) {
	attemptKey, index, _ := parseTaskKey(key)
	a, ok := c.attempts[attemptKey]
	if !ok {
		return
	}
	t := a.findTask(index)
	if t == nil || t.state != taskUnconfirmed {
		return
	}
	switch platform.KindOf(err) {
	case 0:
		t.state = taskRunning
		t.confirmed = now
	case platform.KindRefused, platform.KindInvalid:
		t.state = taskNeverRan
	default:
		return
	}
	c.updateAttempt(a)
}

// updateAttempt updates an attempt's state and marks it for the next report. If the attempt has to stop, the next
// Tick stops the tasks that are still running.
func (c *Core) updateAttempt(a *attempt) {
	a.updateState()
	c.report++
}

// Tick does periodic work: it expires reservations, renews the leases of tasks, and repeats the stop requests of
// attempts that have not stopped yet.
func (c *Core) Tick(now time.Time) []Command {
	var commands []Command
	for _, a := range c.sorted() {
		if a.state == wire.AttemptState_HELD && now.After(a.reservedUntil) {
			a.state = wire.AttemptState_NEVER_RAN
			c.report++
		}
		if a.state == wire.AttemptState_STOPPING {
			commands = append(commands, c.stopAttempt(now, a)...)
		}
	}
	if now.Before(c.renewAt) {
		return commands
	}
	c.renewAt = now.Add(renewInterval)
	if keys := c.renewableKeys(); len(keys) > 0 && now.Before(c.leaseUntil) {
		commands = append(commands, RenewLeases{Renewal: platform.LeaseRenewal{Keys: keys, Until: c.leaseUntil}})
	}
	return commands
}

// renewableKeys returns the keys of the tasks that the worker should keep running.
func (c *Core) renewableKeys() []string {
	var keys []string
	for _, a := range c.sorted() {
		saving := a.state == wire.AttemptState_STOPPING && a.checkpointable
		if a.state == wire.AttemptState_RUNNING || saving {
			keys = append(keys, a.taskKeys(taskRunning)...)
		}
	}
	return keys
}

// NeedsListing reports whether the worker's tasks have to be listed.
func (c *Core) NeedsListing() bool {
	for _, a := range c.attempts {
		if a.holdsAccelerators() && a.state != wire.AttemptState_HELD {
			return true
		}
	}
	return !c.adopted
}

func (c *Core) sorted() []*attempt {
	list := make([]*attempt, 0, len(c.attempts))
	for _, a := range c.attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, compareAttempts)
	return list
}

func newRefusal(kind wire.Refusal_Kind, detail string) *wire.Refusal {
	return &wire.Refusal{Kind: kind, Detail: detail}
}

func oldEpochRefusal() *wire.Refusal {
	return newRefusal(wire.Refusal_OLD_EPOCH, "a later holder decides for the hall")
}
