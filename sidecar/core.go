package sidecar

import (
	"slices"
	"time"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/hollyfork/job"
	"hollyfork.example/wire/poolpb"
)

const (
	// pollWait is how long a worker may wait for a task to end before it answers a poll. It is short enough
	// for the holder to detect tasks that make no progress.
	pollWait = 400 * time.Millisecond
	// progressInterval is the interval between reports to the holder when only the progress of tasks has changed.
	// Several reports fit into the time after which the holder considers a task stuck.
	progressInterval = 800 * time.Millisecond
	// maxClockDrift is the largest fraction by which the worker's clock may run slow; the platform guarantees it.
	maxClockDrift = 0.02
	// lapseMargin is added to the time at which a silent worker's lease must have ended.
	lapseMargin = 150 * time.Millisecond
	// pauseTolerance is the longest pause of the VM that is ignored. A pause as short as this may only mean that the
	// process waited for a CPU between the two clock readings from which the length of the pause is computed.
	pauseTolerance = 20 * time.Millisecond
	// overdueGrace is the time between the end of the agent's lease and the stop of runs that still go on. It allows
	// for the drift of the worker's clock over the longest lease and for late answers.
	overdueGrace = 300 * time.Millisecond
	// refusalsUntilEnded is the number of consecutive refused connections after which the worker's process is
	// considered ended.
	refusalsUntilEnded = 2
	// maxLease is the longest lease that a worker accepts, including the drift of its clock. After this time, all
	// runs that an earlier incarnation of the agent left behind have ended.
	maxLease = 6300 * time.Millisecond
	// lateCallLimit is the longest time after which a worker may carry out a call that it has not answered.
	lateCallLimit = 12500 * time.Millisecond
)

// Core is the state of an agent. Create it with NewCore. It is not safe for concurrent use.
type Core struct {
	incarnation string
	startedAt   time.Time
	// earlierCallsUntil is the time until which calls of earlier incarnations may still reach the worker.
	earlierCallsUntil time.Time

	// epoch is the highest fencing number in the holders' messages, and ownEpoch the first one that only this
	// incarnation was given; 0 if there is none. answeredEpoch is the highest number in a poll that the current instance
	// has answered, and epochAtSwitch the value of epoch when it became the current one.
	epoch         uint64
	ownEpoch      uint64
	answeredEpoch uint64
	epochAtSwitch uint64
	// agentLeaseEnd is the end of the lease that the holder has given the agent. Up to then the agent may extend the
	// worker's lease. longestRenewal is the longest lease that a renewal gave; 0 before the first such renewal.
	agentLeaseEnd  time.Time
	longestRenewal time.Duration

	// heartbeat is the last heartbeat of the current instance, the one that has answered a poll. Unless
	// heartbeatReceived is set, no heartbeat of this instance has arrived, and its capacity is unknown.
	heartbeat         Heartbeat
	heartbeatReceived bool
	// unverified holds other instances that heartbeats have named and that have not answered a poll yet.
	// unverifiedPolledLast is set if the last poll was addressed to one of these with another name than the
	// current instance.
	unverified           []unverifiedInstance
	unverifiedPolledLast bool
	// endedInstances holds instances that have ended, the latest last.
	endedInstances []instance.ID
	// leaveReceivedAt is the time of the last leave message that may be from the current instance or from another
	// one with the same name.
	leaveReceivedAt time.Time
	// instanceEnded is set if the current instance has ended, or has not answered until its lease ended. The field
	// lapse distinguishes these cases. endedAt is when this was last set, for any instance.
	instanceEnded bool
	endedAt       time.Time
	lapse         poolpb.Lapse_Value

	// pollNumber is the number of the last poll that was sent, answeredPoll that of the last one that was answered,
	// and listingNumber that of the poll which returned listing; it is 0 if the current instance has sent none.
	pollNumber    uint64
	answeredPoll  uint64
	listingNumber uint64
	listing       Listing
	// polledAt is the time of the last poll, and totalPauseAtPoll the value of totalPause then.
	polledAt         time.Time
	totalPauseAtPoll time.Duration
	// workerClockAtStart is an upper bound of the reading of the worker's clock at the agent's start.
	workerClockAtStart time.Duration
	// reportedReady is the value of ready in the last report to the holder.
	reportedReady bool
	// listedAt is the time, by the agent's clock, at which the last listing arrived.
	listedAt time.Time
	// extendedTo is the latest lease end, by the worker's clock, that this agent has sent to the current instance; 0
	// if it has sent none.
	extendedTo   time.Duration
	earlierLease earlierLease
	// lateLeasesUntil is the time until which an unanswered poll or start with a lease may still reach the worker.
	// Until earlierLeasesUntil, such a call for the previous instance may reach the current one, whose lease may last
	// until its clock reads lateLeaseEnd.
	lateLeasesUntil    time.Time
	earlierLeasesUntil time.Time
	lateLeaseEnd       time.Duration
	// totalPause is the total time for which the VM has been paused (suspended with all its processes), and
	// totalPauseAtListing its value when the last listing arrived.
	totalPause          time.Duration
	totalPauseAtListing time.Duration
	// silent is set if the current instance did not answer its last poll. refusals counts the connections that were
	// refused since its last answer. leaving is set if one of them was refused after the instance had said that it
	// would end.
	silent   bool
	refusals int
	leaving  bool
	// overdueRuns holds runs that go on although their lease has ended, and that the agent has to stop.
	overdueRuns []*poolpb.StopOrder

	// committed is the number of the last ended run that the holder has committed, so that the worker may forget it.
	// deliveredCommitted is the last such number that the worker has received.
	committed          uint64
	deliveredCommitted uint64
	reportNumber       uint64
	// reportedAt is the time of the last listing that changed the report.
	reportedAt time.Time
	// renewalInterval is the longest time for which the holder lets the agent delay the reply to a renewal.
	renewalInterval time.Duration
	// pendingStarts holds starts that may still reach the worker. revokedStarts holds stop orders that the current
	// instance needs for starts that were sent to the instance before it.
	pendingStarts []pendingStart
	revokedStarts []*poolpb.StopOrder
	// lateForgetUntil is the time until which an unanswered poll with a committed number may still reach the worker.
	// Until startsBlockedUntil, such a poll for the previous instance may reach the current one.
	// startsBlocked is set if starts waited for such a poll, also of an earlier incarnation, at the last listing.
	lateForgetUntil    time.Time
	startsBlockedUntil time.Time
	startsBlocked      bool
	// reportAfterPoll, unless 0, is a poll number. The next listing after it changes the report in any case.
	reportAfterPoll uint64
}

// NewCore returns the state of an agent that has just started. The incarnation must be unique among all agents.
func NewCore(now time.Time, incarnation string) *Core {
	return &Core{incarnation: incarnation, startedAt: now, earlierCallsUntil: now.Add(lateCallLimit), reportNumber: 1, earlierLease: unknownLease{}}
}

// ReportNumber returns the number of the current report. It increases with each change that the holder has to
// receive.
func (c *Core) ReportNumber() uint64 {
	return c.reportNumber
}

// Sync applies a renewal from a holder. It reports whether the renewal is stale, that is of a lower fencing number than
// the agent has seen; a stale renewal changes nothing.
func (c *Core) Sync(request *poolpb.SyncRequest) (stale bool) {
	c.recordOwnNumber(request.GetEpoch(), request.GetIncarnation())
	if c.ObserveEpoch(request.GetEpoch()) {
		return true
	}
	c.renewalInterval = time.Duration(request.GetWaitMs()) * time.Millisecond
	c.longestRenewal = max(c.longestRenewal, time.Duration(request.GetLeaseMs())*time.Millisecond)
	if request.GetIncarnation() == c.incarnation {
		c.extendAgentLease(request)
	}
	if instance.Parse(request.GetInstance()) == c.heartbeat.Instance {
		c.committed = max(c.committed, request.GetCommitted())
	}
	return false
}

// extendAgentLease extends the agent's lease. The lease starts at the agent's own clock reading that the holder sends
// back, so that no delay of messages makes it longer for the agent than for the holder.
func (c *Core) extendAgentLease(request *poolpb.SyncRequest) {
	granted := c.startedAt.Add(time.Duration(request.GetLeaseToken()))
	end := granted.Add(time.Duration(request.GetLeaseMs()) * time.Millisecond)
	if end.After(c.agentLeaseEnd) {
		c.agentLeaseEnd = end
	}
}

// Reply returns the reply to a renewal. It contains the worker's state unless the holder has seen the current
// report.
func (c *Core) Reply(now time.Time, request *poolpb.SyncRequest) *poolpb.SyncReply {
	reply := &poolpb.SyncReply{
		Epoch:       c.epoch,
		Incarnation: c.incarnation,
		LeaseToken:  int64(now.Sub(c.startedAt)),
		Report:      c.reportNumber,
	}
	if request.GetIncarnation() != c.incarnation || request.GetSeenReport() != c.reportNumber {
		reply.Worker = c.workerState()
	}
	return reply
}

func (c *Core) workerState() *poolpb.WorkerState {
	return &poolpb.WorkerState{
		Instance:     c.heartbeat.Instance.String(),
		Draining:     c.heartbeat.Draining || c.leaving,
		CpuMillis:    int32(c.heartbeat.Capacity.CPUMillis),
		MemoryMb:     int32(c.heartbeat.Capacity.MemoryMB),
		Accelerators: int32(c.heartbeat.Capacity.Accelerators),
		Labels:       c.heartbeat.Labels,
		Rack:         c.heartbeat.Rack,
		DataCentre:   c.heartbeat.DataCentre,
		RemainingMs:  int32(c.heartbeat.Remaining.Milliseconds()),
		Listing:      c.listingNumber,
		Running:      c.listing.Running,
		Ended:        c.listing.Ended,
		Lapsed:       c.instanceEnded,
		Lapse:        c.lapse,
		NotReady:     !c.ready(),
	}
}

// SetTotalPause sets the total time for which the VM has been paused. It must be called with each reading of the
// clock that is passed to NextPoll, CheckStart, HandleListing or HandlePollFailure.
func (c *Core) SetTotalPause(total time.Duration) {
	c.totalPause = total
}

// pauseSinceListing returns the time for which the VM has been paused since the last listing. The worker runs on the
// same VM, so its clock may have stopped for as long.
func (c *Core) pauseSinceListing() time.Duration {
	if pause := c.totalPause - c.totalPauseAtListing; pause > pauseTolerance {
		return pause
	}
	return 0
}

// HandleListing applies the answer to a poll. It reports whether the holder has to receive the change. Answers that
// arrive after the answer to a later poll are ignored.
func (c *Core) HandleListing(now time.Time, poll PollRequest, number uint64, listing Listing) bool {
	if number <= c.answeredPoll {
		return false
	}
	c.answeredPoll = number
	before := c.reportNumber
	if previous := c.heartbeat.Instance; !refersTo(listing.Instance, previous) {
		c.switchInstance(listing)
		c.revokeStarts(now, previous, listing)
	}
	c.dropUnverified(c.heartbeat.Instance, number)
	c.resolveStarts(number, listing)
	if refersTo(listing.Instance, poll.Instance) {
		c.deliveredCommitted = max(c.deliveredCommitted, poll.Committed)
	}
	c.estimateClockAtStart(listing.Clock)
	c.recordAnsweredNumber(now, poll, listing)
	first := c.listingNumber == 0
	c.listingNumber = number
	c.startsBlocked = c.earlierForgetMayArrive(now)
	c.updateReady()
	progress := len(listing.Running) > 0 && now.Sub(c.reportedAt) >= max(progressInterval, c.renewalInterval)
	due := c.reportAfterPoll > 0 && number > c.reportAfterPoll
	changed := c.reportNumber != before || first || c.instanceEnded || c.silent || due || progress || listingsDiffer(c.listing.withEndsAfter(c.deliveredCommitted), listing)
	c.listing = listing
	c.overdueRuns = c.runsPastLease(now)
	c.recordAnswer(now)
	if due {
		c.reportAfterPoll = 0
	}
	if changed {
		c.reportNumber++
		c.reportedAt = now
	}
	return changed
}

// recordAnswer records that the current instance has answered a poll.
func (c *Core) recordAnswer(now time.Time) {
	c.listedAt = now
	c.totalPauseAtListing = c.totalPause
	c.silent = false
	c.refusals = 0
	c.leaving = false
	c.markAlive()
}

// runsPastLease returns stop orders for the runs of the last listing if the leases of this agent and of all earlier
// incarnations have ended. The worker lets them go on if its clock stopped while the VM was paused, or if it took an
// extension to be longer than it was: its lease then lasts longer than the holder assumes.
func (c *Core) runsPastLease(now time.Time) []*poolpb.StopOrder {
	if now.Before(c.lastAgentLeaseEnd().Add(overdueGrace)) {
		return nil
	}
	var runs []*poolpb.StopOrder
	for _, r := range c.listing.Running {
		runs = append(runs, &poolpb.StopOrder{Task: r.GetTask(), Run: r.GetRun()})
	}
	return runs
}

// leaseRemaining returns the remaining time of the agent's lease. It is negative after the lease has ended, and 0
// before the first lease.
func (c *Core) leaseRemaining(now time.Time) time.Duration {
	if c.agentLeaseEnd.IsZero() {
		return 0
	}
	return c.agentLeaseEnd.Sub(now)
}

// TakeOverdueRuns returns stop orders for the runs that go on although their lease has ended. It returns each once.
func (c *Core) TakeOverdueRuns() []*poolpb.StopOrder {
	runs := c.overdueRuns
	c.overdueRuns = nil
	return runs
}

// ReportNextListing makes the listing of the next poll change the report even if the listing itself is unchanged,
// since the holder waits for the effect of its orders. A poll that has been sent before does not count: the worker
// may have answered it before it carried out the orders.
func (c *Core) ReportNextListing() {
	c.reportAfterPoll = c.pollNumber
}

// withEndsAfter returns the listing without the ended runs up to a number. Ended runs that the worker may forget are
// removed before two listings are compared: the holder has committed them, and would otherwise receive all of the
// worker's runs again for each batch of ended runs that the worker has forgotten.
func (l Listing) withEndsAfter(number uint64) Listing {
	i := slices.IndexFunc(l.Ended, func(e *poolpb.EndedTask) bool { return e.GetNumber() > number })
	if i < 0 {
		i = len(l.Ended)
	}
	l.Ended = l.Ended[i:]
	return l
}

// listingsDiffer reports whether two listings differ in their running or ended runs. Progress is not compared.
func listingsDiffer(a, b Listing) bool {
	sameRun := func(x, y *poolpb.RunningTask) bool {
		return x.GetTask() == y.GetTask() && x.GetRun() == y.GetRun()
	}
	sameEnd := func(x, y *poolpb.EndedTask) bool { return x.GetNumber() == y.GetNumber() }
	return !slices.EqualFunc(a.Running, b.Running, sameRun) || !slices.EqualFunc(a.Ended, b.Ended, sameEnd)
}

// HandlePollFailure records that the worker has not answered a poll, or has refused it. It reports whether the holder
// has to receive the change.
func (c *Core) HandlePollFailure(now time.Time, poll PollRequest, number uint64, kind Kind) bool {
	if kind == KindUnanswered {
		c.recordUnanswered(now, poll)
	}
	if kind == KindOtherInstance {
		c.dropUnverified(poll.Instance, number)
		c.updateReady()
	}
	if poll.Instance != c.heartbeat.Instance {
		return false
	}
	before := c.reportNumber
	switch kind {
	case KindNoWorker:
		c.handleRefusal(now)
	case KindOtherInstance:
		c.markProcessEnded(now)
	default:
		c.handleSilence(now)
	}
	return c.reportNumber != before
}

// recordUnanswered records that a poll was not answered, or was cancelled, and may still reach the worker.
func (c *Core) recordUnanswered(now time.Time, poll PollRequest) {
	if poll.Committed > 0 {
		c.lateForgetUntil = now.Add(lateCallLimit)
	}
	if poll.LeaseEnd > 0 {
		c.lateLeasesUntil = now.Add(lateCallLimit)
	}
}

// LapseUnseenWorker records that nothing runs on the worker any more if no instance of it has answered since the
// agent started and the longest lease has ended. It reports whether the holder has to receive the change.
func (c *Core) LapseUnseenWorker(now time.Time) bool {
	if c.instanceEnded || !c.heartbeat.Instance.IsZero() || now.Sub(c.startedAt) < maxLease+c.totalPause {
		return false
	}
	c.markEnded(now, poolpb.Lapse_SILENT)
	return true
}

// CheckStart returns the lease end, by the worker's clock, to send with a start, or the reason to reject the start.
func (c *Core) CheckStart(now time.Time, request *poolpb.OrderRequest) (time.Duration, poolpb.OrderResult_Value) {
	switch {
	case instance.Parse(request.GetInstance()) != c.heartbeat.Instance || c.instanceEnded || !c.knowsInstance():
		return 0, poolpb.OrderResult_OTHER_INSTANCE
	case c.heartbeat.Draining:
		return 0, poolpb.OrderResult_DRAINING
	case c.orderExpired(now, request) || c.earlierForgetMayArrive(now):
		return 0, poolpb.OrderResult_LATE
	case c.capacityShrunk(request):
		return 0, poolpb.OrderResult_ROOM
	}
	leaseEnd := c.extendWorkerLease(now)
	if leaseEnd == 0 {
		return 0, poolpb.OrderResult_LATE
	}
	return leaseEnd, poolpb.OrderResult_OK
}

// orderExpired reports whether the time in which a start may be carried out has ended. It counts from the reading of
// this agent's clock that the holder had last received when it gave the order. The holder considers the runs of an
// agent that is silent for longer than its lease as lost, so a start that was delayed on its way may belong to a run
// whose task has been run elsewhere in the meantime. Without this check a task ran twice in 6 of 10 simulations in
// which a quarter of the workers were disconnected for 6 s and restarted. The same holds for the runs of a worker that
// the agent has reported as ended since, even if the worker has answered again.
func (c *Core) orderExpired(now time.Time, request *poolpb.OrderRequest) bool {
	if request.GetIncarnation() != c.incarnation {
		return true
	}
	granted := c.startedAt.Add(time.Duration(request.GetLeaseToken()))
	return granted.Before(c.endedAt) || now.After(granted.Add(time.Duration(request.GetLeaseMs())*time.Millisecond))
}

// capacityShrunk reports whether the worker's capacity is less than the capacity that the holder assumed for an
// order. Only the holder accounts for the other runs on the worker, so the agent rejects the start and the holder
// decides again.
func (c *Core) capacityShrunk(request *poolpb.OrderRequest) bool {
	assumed := request.GetCapacity()
	if assumed == nil {
		return false
	}
	return c.heartbeat.Capacity.Sub(job.Shape{
		CPUMillis:    int(assumed.GetCpuMillis()),
		MemoryMB:     int(assumed.GetMemoryMb()),
		Accelerators: int(assumed.GetAccelerators()),
	}).AnyNegative()
}

// ObserveEpoch records the fencing number of a holder's message. It reports whether the message is stale, that is of a
// lower number than one seen before.
func (c *Core) ObserveEpoch(epoch uint64) (stale bool) {
	if epoch < c.epoch {
		return true
	}
	c.epoch = epoch
	return false
}
