package sidecar

import (
	"slices"
	"time"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/hollyfork/job"
	"hollyfork.example/wire/poolpb"
)

const (
	// holdWait is how long a worker waits for an end before it answers: short enough for
	// the holder to see progress stand still.
	holdWait = 400 * time.Millisecond
	// progressEvery is how often the holder is told how far the tasks are, if that is the
	// only news: several times within the time after which a task counts as standing still.
	progressEvery = 800 * time.Millisecond
	// clockDrift is the share by which the worker's clock may run slow, as the platform
	// promises.
	clockDrift = 0.02
	// lapseMargin is added to when a silent worker's lease must have ended.
	lapseMargin = 150 * time.Millisecond
	// suspensionSlack is how much more of suspensions a reading may tell for want of a processor.
	suspensionSlack = 20 * time.Millisecond
	// overdueAfter is how long after the end of its lease a run is stopped that goes on: the drift of the
	// worker's clock in the longest lease, and late answers.
	overdueAfter = 300 * time.Millisecond
	// refusalsUntilGone is how many connections in a row must be refused before the
	// worker's process is taken to have ended.
	refusalsUntilGone = 2
	// longestLease is the longest lease that a worker takes, with its clock's drift. What
	// an earlier agent left running has ended after it.
	longestLease = 6300 * time.Millisecond
)

// Core is the state of an agent. Create it with NewCore. It is not safe for concurrent
// use.
type Core struct {
	incarnation string
	began       time.Time

	epoch uint64
	// leaseUntil is until when the worker's lease may be kept up.
	leaseUntil time.Time

	// beat is of the instance that has answered to its name; told says that a heartbeat of it has come, which
	// tells what it has.
	beat Heartbeat
	told bool
	// unverified are other instances that heartbeats name and that are still to be asked;
	// unverifiedAsked says that the last question went to one with another name.
	unverified      []unverified
	unverifiedAsked bool
	// former are instances that are over.
	former []instance.ID
	// leftAt is when it was said last that the worker has ended, without its being certain which instance.
	leftAt time.Time
	// gone says that the worker has ended, or has not answered until its lease ended; lapse says
	// which.
	gone  bool
	lapse poolpb.Lapse_Value

	// asked counts the listings asked for; answered is the number of the last that came, listed that of the
	// one held.
	asked    uint64
	answered uint64
	listed   uint64
	listing  Listing
	// askedAt is when the last question was asked, clockAtStart what the worker's clock read at the most when
	// the agent started.
	askedAt      time.Time
	clockAtStart time.Duration
	// saidSure is what the holder was last told about whether starts are carried out.
	saidSure bool
	// heldAt is when the last listing came, by the agent's clock.
	heldAt time.Time
	// until is the latest end of the lease that the worker may have been given.
	until time.Duration
	// suspended is for how long the VM has been suspended, heldSuspended how much of it was before
	// the last listing.
	suspended     time.Duration
	heldSuspended time.Duration
	// silent says that the last question was not answered.
	silent   bool
	refusals int
	// overdue are runs that go on although their lease has ended, and are to be stopped.
	overdue []*poolpb.StopOrder

	// committed is the last end that the worker may forget, toldCommitted the last that it was told it may.
	committed     uint64
	toldCommitted uint64
	report        uint64
	// reportedAt is when the last news were noted.
	reportedAt time.Time
	// renewedEvery is how long the holder lets renewals be held back.
	renewedEvery time.Duration
	// open are starts that may be under way to the worker, recalled stops of such as were meant for its former instance.
	open     []openStart
	recalled []*poolpb.StopOrder
	// lateUntil is until when a question that let the worker forget ends and was not answered may still reach it,
	// exposedUntil until when one may reach the living instance that was meant for the one before.
	lateUntil    time.Time
	exposedUntil time.Time
	// tellAfter, unless 0, is the number of a listing; the next after it is news in any case.
	tellAfter uint64
}

// NewCore returns the state of an agent that has just started. Its incarnation must differ
// from every other agent's.
func NewCore(now time.Time, incarnation string) *Core {
	return &Core{incarnation: incarnation, began: now, report: 1}
}

// Report returns a number that grows with whatever there is to tell.
func (c *Core) Report() uint64 {
	return c.report
}

// Sync takes over a holder's renewal. It says whether the holder is of an epoch that is
// over.
func (c *Core) Sync(request *poolpb.SyncRequest) (old bool) {
	if request.GetEpoch() < c.epoch {
		return true
	}
	c.epoch = request.GetEpoch()
	c.renewedEvery = time.Duration(request.GetWaitMs()) * time.Millisecond
	if request.GetIncarnation() == c.incarnation {
		c.extendLease(request)
	}
	if instance.Parse(request.GetInstance()) == c.beat.Instance {
		c.committed = max(c.committed, request.GetCommitted())
	}
	return false
}

// extendLease counts the lease from the agent's own clock reading that the holder sends
// back, so that no delay on the way makes it longer than the holder counts.
func (c *Core) extendLease(request *poolpb.SyncRequest) {
	from := c.began.Add(time.Duration(request.GetLeaseToken()))
	until := from.Add(time.Duration(request.GetLeaseMs()) * time.Millisecond)
	if until.After(c.leaseUntil) {
		c.leaseUntil = until
	}
}

// Reply makes the answer to a renewal.
func (c *Core) Reply(now time.Time, request *poolpb.SyncRequest) *poolpb.SyncReply {
	reply := &poolpb.SyncReply{
		Epoch:       c.epoch,
		Incarnation: c.incarnation,
		LeaseToken:  int64(now.Sub(c.began)),
		Report:      c.report,
	}
	if request.GetIncarnation() != c.incarnation || request.GetSeenReport() != c.report {
		reply.Worker = c.worker()
	}
	return reply
}

func (c *Core) worker() *poolpb.WorkerState {
	return &poolpb.WorkerState{
		Instance:     c.beat.Instance.String(),
		Draining:     c.beat.Draining,
		CpuMillis:    int32(c.beat.Capacity.CPUMillis),
		MemoryMb:     int32(c.beat.Capacity.MemoryMB),
		Accelerators: int32(c.beat.Capacity.Accelerators),
		Labels:       c.beat.Labels,
		Rack:         c.beat.Rack,
		DataCentre:   c.beat.DataCentre,
		RemainingMs:  int32(c.beat.Remaining.Milliseconds()),
		Listing:      c.listed,
		Running:      c.listing.Running,
		Ended:        c.listing.Ended,
		Lapsed:       c.gone,
		Lapse:        c.lapse,
		NotReady:     !c.sure(),
	}
}

// NoteSuspended takes over for how long the VM has been suspended so far. It is to be called with each
// reading of the clock that NextHold, StartUntil, Listed and HoldFailed are given.
func (c *Core) NoteSuspended(total time.Duration) {
	c.suspended = total
}

// suspendedSinceHeld is for how long the VM has been suspended since the last listing. The worker's clock
// may have stood still for as long: it stands on the same VM.
func (c *Core) suspendedSinceHeld() time.Duration {
	if missed := c.suspended - c.heldSuspended; missed > suspensionSlack {
		return missed
	}
	return 0
}

// extend returns the reading of the worker's clock up to which its lease may be extended;
// 0 when it may not, or when the worker's clock is not known. A worker that does not
// answer gets no extension: one that comes late would outlast what the agent counts. After a suspension
// it is not known what the worker's clock says until the next listing.
func (c *Core) extend(now time.Time) time.Duration {
	if c.heldAt.IsZero() || c.silent || c.listed == 0 || !now.Before(c.leaseUntil) || c.suspendedSinceHeld() > 0 {
		return 0
	}
	until := c.listing.Clock + c.leaseUntil.Sub(c.heldAt)
	c.until = max(c.until, until)
	return until
}

// Listed takes over the answer to a question with a number. It says whether there is news in it.
func (c *Core) Listed(now time.Time, hold Hold, number uint64, listing Listing) bool {
	if number <= c.answered {
		return false
	}
	c.answered = number
	before := c.report
	if former := c.beat.Instance; !isOf(listing.Instance, former) {
		c.adopt(listing.Instance)
		c.recallStarts(now, former, listing)
	}
	c.dropUnverified(c.beat.Instance, number)
	c.settleStarts(number, listing)
	if isOf(listing.Instance, hold.Instance) {
		c.toldCommitted = max(c.toldCommitted, hold.Committed)
	}
	c.noteClock(listing.Clock)
	first := c.listed == 0
	c.listed = number
	c.noteSure()
	progress := len(listing.Running) > 0 && now.Sub(c.reportedAt) >= max(progressEvery, c.renewedEvery)
	due := c.tellAfter > 0 && number > c.tellAfter
	news := c.report != before || first || c.gone || c.silent || due || progress || differs(c.listing.from(c.toldCommitted), listing)
	c.listing = listing
	c.overdue = c.outlasting(now)
	c.noteAnswer(now)
	if due {
		c.tellAfter = 0
	}
	if news {
		c.report++
		c.reportedAt = now
	}
	return news
}

// noteAnswer notes that the living instance has answered.
func (c *Core) noteAnswer(now time.Time) {
	c.heldAt = now
	c.heldSuspended = c.suspended
	c.silent = false
	c.refusals = 0
	c.revive()
}

// outlasting returns the runs of a new listing that go on although their lease has ended. That is so when the
// VM was suspended and the worker's clock stood still with it, or when the worker took an extension for longer
// than it was meant: its lease lasts longer then than the holder counts. An agent that has had no lease yet
// leaves what an earlier one started alone.
func (c *Core) outlasting(now time.Time) []*poolpb.StopOrder {
	if c.leaseUntil.IsZero() || now.Before(c.leaseUntil.Add(overdueAfter)) {
		return nil
	}
	var runs []*poolpb.StopOrder
	for _, r := range c.listing.Running {
		runs = append(runs, &poolpb.StopOrder{Task: r.GetTask(), Run: r.GetRun()})
	}
	return runs
}

// leaseLeft is how much of the grant is left; below 0 when it has ended, 0 before the first.
func (c *Core) leaseLeft(now time.Time) time.Duration {
	if c.leaseUntil.IsZero() {
		return 0
	}
	return c.leaseUntil.Sub(now)
}

// TakeOverdue returns the runs that are to be stopped since their lease has ended, each once.
func (c *Core) TakeOverdue() []*poolpb.StopOrder {
	overdue := c.overdue
	c.overdue = nil
	return overdue
}

// TellNext makes the next listing that is asked for news, although nothing in it may have
// changed: the holder waits to see what orders have done. One that is under way does not
// count, since it may be from before.
func (c *Core) TellNext() {
	c.tellAfter = c.asked
}

// from returns a listing without the ends up to a number. What the worker was let forget is no news when it is gone: the
// holder has committed it, and would be told all that the worker runs once more for each batch of ends.
func (l Listing) from(number uint64) Listing {
	i := slices.IndexFunc(l.Ended, func(e *poolpb.EndedTask) bool { return e.GetNumber() > number })
	if i < 0 {
		i = len(l.Ended)
	}
	l.Ended = l.Ended[i:]
	return l
}

// differs says whether two listings have other runs or ends. Progress alone does not
// count.
func differs(a, b Listing) bool {
	sameRun := func(x, y *poolpb.RunningTask) bool {
		return x.GetTask() == y.GetTask() && x.GetRun() == y.GetRun()
	}
	sameEnd := func(x, y *poolpb.EndedTask) bool { return x.GetNumber() == y.GetNumber() }
	return !slices.EqualFunc(a.Running, b.Running, sameRun) || !slices.EqualFunc(a.Ended, b.Ended, sameEnd)
}

// HoldFailed notes that the worker did not answer a question with a number. It says whether that is news.
func (c *Core) HoldFailed(now time.Time, hold Hold, number uint64, kind Kind) bool {
	if hold.Committed > 0 && kind == KindUnanswered {
		c.lateUntil = now.Add(longestLease)
	}
	if kind == KindOtherInstance {
		c.dropUnverified(hold.Instance, number)
		c.noteSure()
	}
	if hold.Instance != c.beat.Instance {
		return false
	}
	before := c.report
	switch kind {
	case KindNoWorker:
		c.refusals++
		if c.refusals >= refusalsUntilGone || c.saidToLeave(now) {
			c.endProcess(now)
		}
	case KindOtherInstance:
		c.endProcess(now)
	default:
		c.silent = true
		if c.lapsed(now) {
			c.end(poolpb.Lapse_SILENT)
		}
	}
	return c.report != before
}

// CheckUnheard notes that a worker that has never been heard of runs nothing any more. It
// says whether that is news.
func (c *Core) CheckUnheard(now time.Time) bool {
	if c.gone || !c.beat.Instance.IsZero() || now.Sub(c.began) < longestLease+c.suspended {
		return false
	}
	c.end(poolpb.Lapse_SILENT)
	return true
}

// lapsed says whether the lease that a silent worker was given has surely ended.
func (c *Core) lapsed(now time.Time) bool {
	if c.listed == 0 {
		return now.Sub(c.began) > longestLease+c.suspended
	}
	length := time.Duration(float64(c.until-c.listing.Clock) / (1 - clockDrift))
	return now.After(c.heldAt.Add(length).Add(c.suspendedSinceHeld()).Add(lapseMargin))
}

// StartUntil returns the end of the lease for a start, or why there is to be none.
func (c *Core) StartUntil(now time.Time, request *poolpb.OrderRequest) (time.Duration, poolpb.OrderResult_Value) {
	switch {
	case instance.Parse(request.GetInstance()) != c.beat.Instance || c.gone || !c.sure():
		return 0, poolpb.OrderResult_OTHER_INSTANCE
	case c.beat.Draining:
		return 0, poolpb.OrderResult_DRAINING
	case c.outdated(now, request) || now.Before(c.exposedUntil):
		return 0, poolpb.OrderResult_LATE
	case c.shrunk(request):
		return 0, poolpb.OrderResult_ROOM
	}
	until := c.extend(now)
	if until == 0 {
		return 0, poolpb.OrderResult_LATE
	}
	return until, poolpb.OrderResult_OK
}

// outdated says whether the grant that an order rests on has ended. The holder takes the runs
// of an agent for lost that has been silent for longer than that, so a start that was held up
// on its way may be of a run that was done elsewhere meanwhile. Without this check 6 of 10
// plays in which a quarter of the workers were cut off for 6 s and born again ran a task twice.
func (c *Core) outdated(now time.Time, request *poolpb.OrderRequest) bool {
	if request.GetIncarnation() != c.incarnation {
		return true
	}
	from := c.began.Add(time.Duration(request.GetLeaseToken()))
	return now.After(from.Add(time.Duration(request.GetLeaseMs()) * time.Millisecond))
}

// shrunk says whether the worker has less room than the holder counted on when it gave an order. What
// else runs there only the holder knows, so it decides anew.
func (c *Core) shrunk(request *poolpb.OrderRequest) bool {
	counted := request.GetCapacity()
	if counted == nil {
		return false
	}
	return c.beat.Capacity.Sub(job.Shape{
		CPUMillis:    int(counted.GetCpuMillis()),
		MemoryMB:     int(counted.GetMemoryMb()),
		Accelerators: int(counted.GetAccelerators()),
	}).Overdrawn()
}

// MeetEpoch notes a holder's epoch. It says whether that is over.
func (c *Core) MeetEpoch(epoch uint64) (old bool) {
	if epoch < c.epoch {
		return true
	}
	c.epoch = epoch
	return false
}
