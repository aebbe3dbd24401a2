package sidecar

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"hollyfork.example/hollyfork/clock"
	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/wire/poolpb"
)

const (
	// pollTimeout is the time that the answer to a poll may take in addition to the requested wait.
	pollTimeout = 600 * time.Millisecond
	// orderTimeout limits a start or stop at the worker, which answers within some milliseconds. The holder retries
	// 0.1 s later, so a gang whose starts go unanswered at random can still be complete before the holder aborts it
	// after 2 s. When every second answer is late, retries after 0.8 s instead of 0.3 s reduce the value of the
	// completed work from 0.889 to 0.851.
	orderTimeout = 200 * time.Millisecond
	// retryInterval is the interval between polls of a worker that does not answer.
	retryInterval = 100 * time.Millisecond
	// uncommittedInterval is the interval between polls while the worker lists ended runs that are not committed.
	uncommittedInterval = 100 * time.Millisecond
	// idleInterval is the interval between checks for a first heartbeat or holder.
	idleInterval = 100 * time.Millisecond
	// maxSyncWait limits the time for which the reply to a renewal is delayed.
	maxSyncWait = 2 * time.Second
	// maxParallelOrders limits the orders that are sent to the worker concurrently.
	maxParallelOrders = 8
	// maxClockReadings limits the attempts to read the time and the suspensions of the VM at one moment.
	maxClockReadings = 10
)

// Agent runs a Core: it polls the worker and serves heartbeats, renewals and orders. Create it with New, then call
// Run.
type Agent struct {
	clock   clock.Clock
	worker  Worker
	metrics *metrics.Set
	logger  *log.Logger

	mu   sync.Mutex
	core *Core
	// changed is closed, and replaced, when the report to the holder changes.
	changed chan struct{}
	// loggedReady is the value of reportedReady that was logged last: whether the agent carries out starts.
	loggedReady bool
	// loggedEnd is the number of the last ended run of the current instance that was logged, and refusedEpoch the epoch
	// of the last refused holder that was.
	loggedEnd    uint64
	refusedEpoch uint64
	// silentSince is when the first poll was sent that the current instance has not answered since its last listing;
	// zero if it has answered.
	silentSince time.Time
	// lastSync is the time of the last renewal by a holder.
	lastSync time.Time
	// wake ends the wait before the next poll.
	wake chan struct{}
	// cancelPoll cancels the poll that is in flight.
	cancelPoll context.CancelFunc
}

// New returns an agent for a worker. It registers its metrics in set.
func New(c clock.Clock, worker Worker, set *metrics.Set, logger *log.Logger) *Agent {
	now := c.Now()
	return &Agent{
		clock:   c,
		worker:  worker,
		metrics: set,
		logger:  logger,
		core:    NewCore(now, newIncarnation()),
		changed: make(chan struct{}),
		wake:    make(chan struct{}, 1),

		cancelPoll: func() {},
		lastSync:   now,
	}
}

// newIncarnation returns a random name for an incarnation of an agent. It is short, since each message contains it.
func newIncarnation() string {
	const base = 36
	return strconv.FormatUint(rand.Uint64(), base)
}

// Run polls the worker and extends its lease until ctx is done.
func (a *Agent) Run(ctx context.Context) {
	for ctx.Err() == nil {
		a.wait(ctx, a.pollOnce(ctx))
	}
}

// wait waits for a time, until pollNow is called, or until ctx is done.
func (a *Agent) wait(ctx context.Context, length time.Duration) {
	if length <= 0 {
		return
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-a.wake:
	}
}

// pollOnce polls the worker once, and returns the time to wait before the next poll.
func (a *Agent) pollOnce(ctx context.Context) time.Duration {
	a.mu.Lock()
	poll, number, ok := a.core.NextPoll(a.now())
	if a.core.LapseUnseenWorker(a.now()) {
		a.logger.Warn().Str("incarnation", a.core.incarnation).Dur("agent_age", a.now().Sub(a.core.startedAt)).Uint64("epoch", a.core.epoch).
			Msg("agent: no instance of the worker has answered; the leases of its runs have lapsed")
		a.notifyRenewals()
	}
	ctx, cancel := context.WithTimeout(ctx, poll.Wait+pollTimeout)
	defer cancel()
	a.cancelPoll = cancel
	a.mu.Unlock()
	if !ok {
		return idleInterval
	}
	startedAt := a.clock.Now()
	listing, err := a.worker.Poll(ctx, poll)
	a.metrics.GetOrCreateCounter(fmt.Sprintf(`hollyfork_sidecar_holds_total{result=%q}`, KindOf(err))).Inc()
	a.metrics.GetOrCreateHistogram("hollyfork_sidecar_hold_seconds").Update(a.clock.Now().Sub(startedAt).Seconds())
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	if errors.Is(ctx.Err(), context.Canceled) && err != nil {
		a.core.recordUnanswered(now, poll)
		return 0 // The poll was cancelled in order to poll again at once.
	}
	if err != nil {
		if a.silentSince.IsZero() && poll.Instance == a.core.heartbeat.Instance {
			a.silentSince = startedAt
		}
		wasSilent, lapse := a.core.silent, a.core.lapse
		changed := a.core.HandlePollFailure(now, poll, number, KindOf(err))
		if a.core.silent && !wasSilent {
			a.logLease(a.logger.Info().Err(err), now, poll).Msg("agent: the worker does not answer")
		}
		if a.core.lapse != lapse {
			a.logLapse(now, poll, err)
		}
		if changed {
			a.notifyRenewals()
		}
		if a.core.reportedReady != a.loggedReady {
			a.notifyRenewals() // An unverified instance does not exist, so the current instance is confirmed.
		}
		return retryInterval
	}
	a.handleListing(ctx, now, poll, number, listing)
	return a.pollDelay(poll)
}

// handleListing applies the answer to a poll, and stops overdue runs and revoked starts. The lock must be held.
func (a *Agent) handleListing(ctx context.Context, now time.Time, poll PollRequest, number uint64, listing Listing) {
	previous, previousListing := a.core.heartbeat, a.core.listing
	if a.core.HandleListing(now, poll, number, listing) {
		a.notifyRenewals()
	}
	current := a.core.heartbeat.Instance
	if current != previous.Instance {
		a.loggedEnd = 0
		a.logInstanceChange(now, previous, previousListing)
	}
	if !a.core.silent {
		a.silentSince = time.Time{}
	}
	a.logEnds()
	ctx = context.WithoutCancel(ctx)
	if overdue := a.core.TakeOverdueRuns(); len(overdue) > 0 {
		go a.stopAll(ctx, current, poll.Epoch, "stop a run whose lease has ended", overdue)
	}
	if revoked := a.core.TakeRevokedStarts(); len(revoked) > 0 {
		go a.revokeStarts(ctx, current, poll.Epoch, revoked)
	}
}

// pollDelay returns the time to wait after a poll that was answered. The lock must be held.
func (a *Agent) pollDelay(poll PollRequest) time.Duration {
	switch {
	case poll.Committed > 0 || a.core.forgettableEnd(a.now()) > 0:
		return 0
	case a.core.hasUndeliveredEnds():
		return uncommittedInterval
	case poll.Wait == 0:
		return retryInterval
	default:
		return 0
	}
}

// now returns the present time, after it has updated the pause time of the core. It reads both again if the VM was
// suspended in between. The lock must be held.
func (a *Agent) now() time.Time {
	suspended := a.clock.Suspended()
	for n := 1; ; n++ {
		now, before := a.clock.Now(), suspended
		suspended = a.clock.Suspended()
		if suspended-before <= pauseTolerance || n == maxClockReadings {
			a.core.SetTotalPause(suspended)
			return now
		}
	}
}

// revokeStarts stops runs that the current instance may still start. Stops that are not answered are sent again after
// the next listing, since nothing else shows that they have had no effect until the run starts.
func (a *Agent) revokeStarts(ctx context.Context, current instance.ID, epoch uint64, runs []*poolpb.StopOrder) {
	unanswered := a.stopAll(ctx, current, epoch, "stop a run that may be started late", runs)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.revokeAgain(current, unanswered)
}

// stopAll stops runs that must not go on or must not start, and returns those for which the worker has not answered.
// The parameter order names the reason in the log and the metrics. If a later listing has such a run, it is stopped
// again: by the agent if its lease has ended, otherwise by the holder, which treats it as an orphan run.
func (a *Agent) stopAll(ctx context.Context, current instance.ID, epoch uint64, order string, runs []*poolpb.StopOrder) []*poolpb.StopOrder {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	results := make([]poolpb.OrderResult_Value, len(runs))
	sentAt := a.clock.Now()
	var work []func()
	for i, run := range runs {
		work = append(work, func() {
			result, err := a.worker.Stop(ctx, StopRequest{Instance: current, Epoch: epoch, Order: run})
			a.logOrder(handledOrder{order: order, task: run.GetTask(), run: run.GetRun(), epoch: epoch, result: result, err: err, sentAt: sentAt})
			results[i] = result
		})
	}
	runParallel(work)
	var unanswered []*poolpb.StopOrder
	for i, run := range runs {
		if results[i] == poolpb.OrderResult_UNSETTLED {
			unanswered = append(unanswered, run)
		}
	}
	return unanswered
}

// notifyRenewals sends the delayed replies to renewals, since the report has changed. It logs a change of readiness.
// The lock must be held.
func (a *Agent) notifyRenewals() {
	if ready := a.core.reportedReady; ready != a.loggedReady {
		a.loggedReady = ready
		a.logger.Info().Bool("ready", ready).Str("instance", a.core.heartbeat.Instance.String()).Uint64("sequence", a.core.heartbeat.Sequence).Str("clock", a.core.heartbeat.Clock.String()).Dur("clock_at_start", a.core.workerClockAtStart).Int("unverified", len(a.core.unverified)).Msg("agent: readiness to carry out starts changed")
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

// Heartbeat applies a heartbeat of the worker. It reports whether the heartbeat is acknowledged.
func (a *Agent) Heartbeat(heartbeat Heartbeat) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.core.heartbeat
	effect := a.core.Heartbeat(heartbeat)
	a.metrics.GetOrCreateCounter(fmt.Sprintf(`hollyfork_sidecar_heartbeats_total{effect=%q}`, effect)).Inc()
	a.logHeartbeat(heartbeat, known, effect)
	switch effect {
	case HeartbeatChanged:
		a.notifyRenewals()
		a.pollNow()
	case HeartbeatUnverified:
		a.notifyRenewals()
		a.cancelPoll()
		a.pollNow()
	}
	return effect.Acknowledges()
}

// logHeartbeat logs the effect of a heartbeat, unless it changed nothing.
func (a *Agent) logHeartbeat(heartbeat, known Heartbeat, effect HeartbeatEffect) {
	if effect == HeartbeatUnchanged {
		return
	}
	entry := a.logger.Info()
	text := "agent: the worker's state changed"
	switch effect {
	case HeartbeatUnverified:
		text = "agent: a heartbeat names another instance; polling the worker to verify it"
	case HeartbeatLate:
		text = "agent: late heartbeat ignored"
	case HeartbeatEndedInstance:
		text = "agent: heartbeat of an ended instance rejected"
	case HeartbeatOverLimit:
		text = "agent: heartbeat rejected, since too many instances wait for verification"
	}
	entry.Str("instance", heartbeat.Instance.String()).Uint64("sequence", heartbeat.Sequence).Bool("draining", heartbeat.Draining).Dur("remaining", heartbeat.Remaining).Str("rack", heartbeat.Rack).
		Str("known_instance", known.Instance.String()).Uint64("known_sequence", known.Sequence).Bool("known_draining", known.Draining).Bool("acknowledged", effect.Acknowledges()).Msg(text)
}

// pollNow ends the wait before the next poll.
func (a *Agent) pollNow() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Leave applies a leave message of the worker, and polls the worker at once, since only polls show when it has ended.
func (a *Agent) Leave(id instance.ID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.HandleLeave(a.now(), id)
	a.logLeave(id)
	a.notifyRenewals()
	a.cancelPoll()
	a.pollNow()
}

// LastSync returns the time of the last renewal by a holder, or of the agent's creation before the first one.
func (a *Agent) LastSync() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastSync
}

// State is a summary of an agent's state for operators.
type State struct {
	Epoch          uint64        `json:"epoch"`
	Instance       instance.ID   `json:"instance"`
	StartTime      time.Time     `json:"born"`
	Draining       bool          `json:"draining"`
	LeaseRemaining time.Duration `json:"lease_left_ns"`
	Running        int           `json:"running"`
	Ended          int           `json:"ended"`
	Committed      uint64        `json:"committed"`
	InstanceEnded  bool          `json:"gone"`
	Silent         bool          `json:"silent"`
	SinceSync      time.Duration `json:"synced_ago_ns"`
	Listing        uint64        `json:"listing"`
	Incarnation    string        `json:"incarnation"`
}

// State returns the agent's state at a time.
func (a *Agent) State(now time.Time) State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return State{
		Epoch:          a.core.epoch,
		Instance:       a.core.heartbeat.Instance,
		StartTime:      a.core.heartbeat.Instance.StartTime(),
		Draining:       a.core.heartbeat.Draining,
		LeaseRemaining: a.core.leaseRemaining(now),
		Running:        len(a.core.listing.Running),
		Ended:          len(a.core.listing.Ended),
		Committed:      a.core.committed,
		InstanceEnded:  a.core.instanceEnded,
		Silent:         a.core.silent,
		SinceSync:      now.Sub(a.lastSync),
		Listing:        a.core.listingNumber,
		Incarnation:    a.core.incarnation,
	}
}

// sync applies a renewal. If the holder has seen the current report, it returns a channel that is closed at the next
// change of the report; otherwise the channel is nil.
func (a *Agent) sync(now time.Time, request *poolpb.SyncRequest) (stale bool, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	epoch, committed := a.core.epoch, a.core.committed
	if a.core.Sync(request) {
		a.logEarlierHolder(request.GetEpoch(), "renewal")
		return true, nil
	}
	a.lastSync = now
	if a.core.epoch != epoch {
		a.handleNumber(request)
	}
	if a.core.committed != committed {
		a.pollNow()
	}
	if request.GetIncarnation() != a.core.incarnation || request.GetSeenReport() != a.core.ReportNumber() {
		return false, nil
	}
	return false, a.changed
}

// handleNumber logs a higher fencing number, and polls the worker at once with that of a new holder, or if starts wait for
// the answer. Otherwise a long poll would be in flight when the holder's first orders come, and hold their effect back from
// the holder. The lock must be held.
func (a *Agent) handleNumber(request *poolpb.SyncRequest) {
	entry := a.logger.Info().Uint64("epoch", a.core.epoch).Str("holder", request.GetHolder())
	if request.GetIncarnation() != a.core.incarnation {
		entry.Msg("agent: new holder") // It doesn't know the incarnation yet.
		a.pollNow()
		return
	}
	entry.Msg("agent: fencing number raised")
	if a.core.startsBlocked {
		a.pollNow()
	}
}
