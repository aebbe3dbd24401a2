package holder

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"hollyfork.example/hollyfork/backoff"
	"hollyfork.example/hollyfork/clock"
	"hollyfork.example/hollyfork/mailbox"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire/poolpb"
)

// Messages of the holder's actor.
type (
	// tick is sent every tickInterval, at the time at.
	tick struct {
		at time.Time
	}
	// placementDue is sent when a postponed placing pass is due.
	placementDue struct{}
	// stopRequest asks the holder to place no more work and to commit the decisions already made.
	stopRequest struct{}
	// processResumed is sent after the process was paused: connections to agents may have broken meanwhile.
	processResumed struct{}
	// commitResult is the outcome of a transaction.
	commitResult struct {
		sent time.Time
		err  error
		// batch is true if the transaction carried a batch of the pool's writes.
		batch bool
	}
	// intakeRows carries new rows of the intake table. complete is true if these are all of its rows.
	intakeRows struct {
		page     store.Page
		complete bool
	}
	// noticedRow carries a row of the intake table that its writer has told of.
	noticedRow struct {
		row        store.Row
		storeClock time.Duration
	}
	// syncResult carries an agent's reply to a renewal.
	syncResult struct {
		agent string
		at    time.Time
		reply *poolpb.SyncReply
	}
	// snapshotRequest asks for a snapshot of the pool.
	snapshotRequest struct{}
	// adviceResult carries the advice service's reply to a request.
	adviceResult struct {
		request pool.AdviceRequest
		reply   pool.AdviceReply
		err     error
	}
	// sweepResult is the outcome of a transaction that deletes old rows.
	sweepResult struct {
		txn store.Txn
		err error
	}
	// orderResults carries an agent's reply to orders.
	orderResults struct {
		orders pool.Orders
		reply  *poolpb.OrderReply
	}
)

// Holder is the actor that holds a pool.
type Holder struct {
	host   *Host
	writer *FencedWriter
	core   *pool.Core

	ctx    context.Context
	cancel context.CancelFunc
	self   *actor.PID
	root   *actor.RootContext

	links map[string]*agentLink
	// renewalSpacing is how long agents delay their replies to renewals, in nanoseconds.
	renewalSpacing atomic.Int64
	// confirmedSentAt is the time from which the lease counts, no later than the last transaction that the store
	// confirmed, in nanoseconds since timeBase.
	confirmedSentAt atomic.Int64
	timeBase        time.Time
	// committing is true while a transaction is in flight. commitBeganAt is when the last one began.
	committing    bool
	commitBeganAt time.Time
	// intakeVersion is the version of the store from which the intake table is followed. initialAgents are
	// the agents of the pool at that version.
	intakeVersion uint64
	initialAgents []pool.AgentAddress
	// started is set once the links to the initial agents are open.
	started bool
	// placementScheduled is true while a placementDue message is scheduled.
	placementScheduled bool
	// lost is closed when another process holds the pool. flushed is closed when a stopRequest was received
	// and nothing is left to commit.
	lost     chan struct{}
	flushed  chan struct{}
	isLost   bool
	stopping bool
}

func newHolder(h *Host, writer *FencedWriter, r *restoredPool, confirmedSentAt time.Time) *Holder {
	ctx, cancel := context.WithCancel(context.Background())
	return &Holder{
		host:          h,
		writer:        writer,
		core:          r.core,
		ctx:           ctx,
		cancel:        cancel,
		root:          h.deps.System.Root,
		links:         map[string]*agentLink{},
		timeBase:      confirmedSentAt,
		commitBeganAt: h.deps.Clock.Now(),
		intakeVersion: r.intakeVersion,
		initialAgents: r.agents,
		lost:          make(chan struct{}),
		flushed:       make(chan struct{}),
	}
}

// Receive implements actor.Actor.
func (h *Holder) Receive(c actor.Context) {
	now := h.now()
	switch m := c.Message().(type) {
	case *actor.Started:
		h.start(c.Self())
	case *actor.Stopping:
		h.cancel()
	case tick:
		h.core.SetTimeOfDayOffset(clock.WallClockOffset(now))
		// Replies by which links have renewed leases before m.at come before the tick.
		h.core.Tick(m.at)
	case placementDue:
		h.placementScheduled = false
	case stopRequest:
		h.stopping = true
	case processResumed:
		h.resetConnections()
	case commitResult:
		h.handleCommitResult(now, m)
	case intakeRows:
		if m.complete {
			h.core.RemoveMissingCancellations(m.page)
		}
		h.handleIntake(now, m.page)
	case noticedRow:
		h.handleNotice(now, m)
	case syncResult:
		h.handleSyncResult(m)
	case orderResults:
		h.handleOrderResults(now, m)
	case sweepResult:
		h.core.HandleSweep(m.txn, m.err)
	case adviceResult:
		h.core.HandleAdviceReply(now, m.request, m.reply, m.err == nil)
	case mailbox.Ask[snapshotRequest, pool.Snapshot]:
		m.Reply(h.core.Snapshot(now))
		return
	default:
		return
	}
	h.advance(now)
}

// now reads the clock. It is safe for concurrent use.
func (h *Holder) now() time.Time {
	return h.host.deps.Clock.Now()
}

func (h *Holder) start(self *actor.PID) {
	h.self = self
	for _, a := range h.initialAgents {
		h.setAgent(a)
	}
	h.initialAgents = nil
	h.started = true
	go h.followIntake()
	go h.runTicker()
}

// advance makes the decisions that are due after a message and carries them out.
func (h *Holder) advance(now time.Time) {
	if h.isLost {
		return
	}
	h.core.SetCatalog(h.host.deps.Catalog())
	h.core.SetEvacuations(h.host.deps.Evacuations())
	if h.leaseValid(now) && !h.stopping {
		h.decide(now)
		h.sendOrders(now)
		h.askAdvice(now)
	}
	h.commit(now)
	h.sweep(h.core.TakeSweep(now))
	if h.leaseValid(now) {
		h.sweep(h.core.TakeAgentSweep(now))
	}
	h.updateCommittedEnds()
}

// sweep deletes rows that are too old. The transactions don't meet the lease: their conditions name the rows' versions.
func (h *Holder) sweep(txns []store.Txn) {
	for _, txn := range txns {
		go func() {
			_, err := h.host.deps.Store.Commit(h.ctx, txn)
			h.send(sweepResult{txn: txn, err: err})
		}()
	}
}

// decide runs a placing pass, or schedules one that is due before the next tick.
func (h *Holder) decide(now time.Time) {
	wait := h.core.NextDecisionIn(now)
	switch {
	case wait == 0:
		h.core.Decide(now)
	case wait < tickInterval && !h.placementScheduled:
		h.placementScheduled = true
		time.AfterFunc(wait, func() { h.send(placementDue{}) })
	}
}

// leaseValid reports whether the store confirmed the lease recently enough to act on it. It is safe for
// concurrent use.
func (h *Holder) leaseValid(now time.Time) bool {
	return now.Before(h.leaseEnd())
}

// leaseEnd returns until when the holder acts on its lease if the store doesn't confirm it again. It is safe for
// concurrent use.
func (h *Holder) leaseEnd() time.Time {
	return h.timeBase.Add(time.Duration(h.confirmedSentAt.Load())).Add(LeaseValidity)
}

// commit begins the next transaction if there is a batch to write or the lease is due for renewal.
func (h *Holder) commit(now time.Time) {
	if h.committing {
		return
	}
	batch := h.core.TakeBatch()
	if batch == nil {
		if h.stopping {
			h.markFlushed()
			return
		}
		if now.Sub(h.commitBeganAt) < renewInterval {
			return
		}
	}
	h.committing = true
	h.commitBeganAt = now
	var writes []store.Write
	if batch != nil {
		writes = batch.Writes
	}
	go func() {
		sent, err := h.writer.Commit(h.ctx, writes)
		h.send(commitResult{sent: sent, err: err, batch: batch != nil})
	}()
}

func (h *Holder) markFlushed() {
	select {
	case <-h.flushed:
	default:
		close(h.flushed)
	}
}

func (h *Holder) handleCommitResult(now time.Time, m commitResult) {
	h.committing = false
	if m.err != nil {
		if m.batch {
			h.core.BatchFailed()
		}
		h.host.deps.Logger.Warn().Err(m.err).Msg("holder: the commit failed")
		if isLeaseLost(m.err) {
			h.abandon()
		}
		return
	}
	wasValid, lapsedFor := h.leaseValid(now), now.Sub(h.leaseEnd())
	h.confirmedSentAt.Store(int64(m.sent.Sub(h.timeBase)))
	if !wasValid {
		h.host.deps.Logger.Warn().Str("pool", h.host.pool).Uint64("epoch", h.writer.Epoch()).Dur("lapsed_for", lapsedFor).Msg("holder: its lease had lapsed and is confirmed again")
		h.renewAgentLeases()
	}
	if m.batch {
		h.core.BatchCommitted(now)
	}
}

// renewAgentLeases renews the leases of all agents at once, after the store has confirmed the holder's own
// lease again. The renewals in flight carry no lease, and waiting for the agents' delayed replies would cost
// up to 0.5 s: when a holder lost power 0.13 s after an outage of 4.2 s, nine tasks lapsed, which lost
// 7,299 core-seconds of work.
func (h *Holder) renewAgentLeases() {
	for _, l := range h.links {
		go l.renew(h.ctx)
	}
}

// resetConnections closes the connections to all agents, so that they are dialled again.
func (h *Holder) resetConnections() {
	for _, l := range h.links {
		l.client.Reset()
	}
}

// abandon stops the holder because another process holds the pool.
func (h *Holder) abandon() {
	if h.isLost {
		return
	}
	h.isLost = true
	h.cancel()
	close(h.lost)
}

func (h *Holder) handleSyncResult(m syncResult) {
	if m.reply.GetOldEpoch() && h.isOfLaterHolder(m.reply.GetEpoch()) {
		h.abandon()
		return
	}
	h.core.RecordReply(m.at, m.agent, grantFrom(m.reply))
	if w := m.reply.GetWorker(); w != nil {
		h.core.Report(m.at, m.agent, reportFrom(m.reply.GetIncarnation(), w))
		return
	}
	if l, ok := h.links[m.agent]; ok && h.core.NeedsReport(m.agent) {
		l.requestFullReport()
	}
}

func (h *Holder) handleOrderResults(now time.Time, m orderResults) {
	if m.reply.GetOldEpoch() && h.isOfLaterHolder(m.reply.GetEpoch()) {
		h.abandon()
		return
	}
	h.core.HandleResults(now, m.orders, resultsFrom(m.reply))
}

// isOfLaterHolder reports whether a fencing number is of a later holder. An agent also refuses a message that a later
// one of this holder, with a higher number, has overtaken.
func (h *Holder) isOfLaterHolder(number uint64) bool {
	return number > h.writer.LastVersion()
}

// firstNumber returns the first fencing number of a new link. Only the links of the agents that the holder finds begin
// with the lowest one: an agent that is added later may have had another link.
func (h *Holder) firstNumber() uint64 {
	if h.started {
		return h.writer.LastVersion()
	}
	return h.writer.FirstNumber()
}

// sendOrders sends the orders that are due.
func (h *Holder) sendOrders(now time.Time) {
	for _, orders := range h.core.TakeOrders(now) {
		l, ok := h.links[orders.Agent]
		if !ok {
			h.core.HandleResults(now, orders, pool.Results{})
			continue
		}
		go func() {
			reply := l.order(h.ctx, h.writer.Epoch(), orders)
			h.send(orderResults{orders: orders, reply: reply})
		}()
	}
}

// setAgent opens the link to an agent's address; an empty address only closes the link.
func (h *Holder) setAgent(a pool.AgentAddress) {
	if l, ok := h.links[a.Agent]; ok {
		if l.address == a.Address {
			return
		}
		l.close()
		delete(h.links, a.Agent)
	}
	if a.Address != "" {
		l := newAgentLink(h, a)
		l.setCommitted(h.core.Committed(a.Agent))
		h.links[a.Agent] = l
		go l.run(h.ctx)
	}
	spacing := renewalSpacing(len(h.links))
	h.renewalSpacing.Store(int64(spacing))
	h.core.SetRenewalInterval(spacing)
}

// renewalWait returns how long an agent may delay its reply to a renewal while its report is unchanged. It is
// safe for concurrent use.
func (h *Holder) renewalWait() time.Duration {
	return time.Duration(h.renewalSpacing.Load())
}

// updateCommittedEnds passes the numbers of newly committed ended runs to the links, which send them to the
// agents.
func (h *Holder) updateCommittedEnds() {
	for _, agent := range h.core.TakeCommittedChanged() {
		if l, ok := h.links[agent]; ok {
			l.setCommitted(h.core.Committed(agent))
		}
	}
}

// send delivers a message to the actor unless the actor is stopping.
func (h *Holder) send(message any) {
	if h.ctx.Err() == nil {
		h.root.Send(h.self, message)
	}
}

func (h *Holder) runTicker() {
	for backoff.Sleep(h.ctx, tickInterval) {
		h.sendTick()
	}
}

func (h *Holder) sendTick() {
	h.send(tick{at: h.now()})
}

// tickInterval is how often the holder checks for expired timers and for orders to send again.
const tickInterval = 50 * time.Millisecond
