package hall

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/phuslu/log"

	"hollyfork.example/hollyfork/clock"
	"hollyfork.example/hollyfork/platform"
	"hollyfork.example/hollyfork/store"
	"hollyfork.example/rpc"
	"hollyfork.example/wire"
)

const (
	tickInterval = 20 * time.Millisecond
	// coreTickInterval is how often Core.Tick checks for timeouts and for calls to repeat.
	coreTickInterval = 100 * time.Millisecond
	// renewalsPerLease is the number of renewals per lease duration when there are no other changes to
	// commit.
	renewalsPerLease = 3
	maxWatchRecords  = 500
	maxWatchWait     = 30 * time.Second
	// maxConfigWait is how long a request waits for the configuration version that it requires, and
	// maxPendingSubmits is the number of requests that may wait.
	maxConfigWait     = 2 * time.Second
	maxPendingSubmits = 1000
)

// VMLister returns the platform's list of the VMs in a hall.
type VMLister interface {
	List(ctx context.Context, hall string) ([]platform.VM, error)
}

// Deps are the dependencies of a Holder.
type Deps struct {
	System  *actor.ActorSystem
	Store   store.Store
	VMs     VMLister
	Traffic *rpc.Traffic
	Logger  *log.Logger
}

// Holder is the actor that schedules a hall while this process holds the hall's lease.
type Holder struct {
	deps     Deps
	settings Settings
	core     *Core
	writer   *FencedWriter
	self     *actor.PID
	root     *actor.RootContext

	// ctx is cancelled when the holder stops, and ends all goroutines that it started.
	ctx    context.Context
	cancel context.CancelFunc
	// abandoned is closed when the holder must stop because it can no longer act for the hall.
	abandoned chan struct{}

	links          map[string]*agentLink
	watchers       []pendingWatch
	pendingSubmits []pendingSubmit
	stopAsks       []stopAsk
	// configVersion is the version of the active configuration, for the goroutine that reads new ones.
	configVersion atomic.Uint64

	committing   bool
	lastCommit   time.Time
	nextCoreTick time.Time
}

// Receive implements actor.Actor.
func (h *Holder) Receive(ctx actor.Context) {
	now := clock.Now()
	switch m := ctx.Message().(type) {
	case *actor.Started:
		h.self = ctx.Self()
		h.root = ctx.ActorSystem().Root
		h.started(now)
		return
	case *actor.Stopping:
		h.stopped()
		return
	case tick:
		h.tick(now)
	case syncAsk:
		m.Reply(h.core.NextSync(now, m.Question.worker))
	case syncResult:
		h.core.HandleSyncReply(now, m.worker, m.request, m.reply)
	default:
		h.handleRequest(now, m)
	}
	h.afterMessage(now)
}

// handleRequest handles requests from entries and from this process.
func (h *Holder) handleRequest(now time.Time, message any) {
	switch m := message.(type) {
	case submitAsk:
		h.submit(now, m)
	case cancelAsk:
		h.core.Cancel(now, m.Question.GetId(), func(job *wire.Job, refusal *wire.Refusal) {
			m.Reply(&wire.JobReply{Job: job, Refusal: refusal})
		})
	case getAsk:
		h.get(now, m)
	case listAsk:
		m.Reply(&wire.ListJobsReply{Jobs: h.core.List(m.Question.GetWorkspace(), int(m.Question.GetLimit()))})
	case watchAsk:
		h.watch(now, m)
	case statusAsk:
		m.Reply(h.core.Status(now, m.Question))
	case moveAsk:
		moved := h.core.Move(now, m.Question.GetTo(), int(m.Question.GetAccelerators()))
		m.Reply(&wire.MoveReply{Accelerators: int32(moved)})
	case dumpAsk:
		m.Reply(h.core.State(now))
	case stopAsk:
		h.core.Stop()
		h.stopAsks = append(h.stopAsks, m)
	default:
		h.handleResult(now, m)
	}
}

// handleResult handles the results of operations that the holder started.
func (h *Holder) handleResult(now time.Time, message any) {
	switch m := message.(type) {
	case prepareResult:
		h.core.HandlePrepareReply(now, m.call, m.reply)
	case startResult:
		h.core.HandleStartReply(now, m.call, m.reply)
	case revokeResult:
		h.core.HandleRevokeReply(now, m.call, m.reply)
	case vmList:
		h.core.SetVMs(now, m.vms)
		h.updateLinks()
	case movedRows:
		h.acceptMovedRows(now, m.rows)
	case configUpdate:
		h.applyConfig(m.config)
		h.retryPendingSubmits(now)
	case commitResult:
		h.handleCommitResult(now, m)
	case storeFailure:
		h.handleStoreFailure(m.err)
	}
}

// submit handles a submit request. If the request requires a newer configuration than the active one, it
// waits in pendingSubmits until that configuration has been read.
func (h *Holder) submit(now time.Time, m submitAsk) {
	if m.Question.GetConfigVersion() > h.core.Configuration().GetVersion() && len(h.pendingSubmits) < maxPendingSubmits {
		h.pendingSubmits = append(h.pendingSubmits, pendingSubmit{ask: m, deadline: now.Add(maxConfigWait)})
		go h.readConfig()
		return
	}
	h.core.Submit(now, m.Question, func(job *wire.Job, created bool, refusal *wire.Refusal) {
		m.Reply(&wire.SubmitReply{Job: job, Created: created, Refusal: refusal})
	})
}

// retryPendingSubmits handles the pending requests whose configuration is active now. It also handles those
// that have waited for too long, which Core.Submit rejects.
func (h *Holder) retryPendingSubmits(now time.Time) {
	waiting := h.pendingSubmits
	h.pendingSubmits = nil
	for _, e := range waiting {
		known := e.ask.Question.GetConfigVersion() <= h.core.Configuration().GetVersion()
		if !known && now.Before(e.deadline) {
			h.pendingSubmits = append(h.pendingSubmits, e)
			continue
		}
		h.core.Submit(now, e.ask.Question, func(job *wire.Job, created bool, refusal *wire.Refusal) {
			e.ask.Reply(&wire.SubmitReply{Job: job, Created: created, Refusal: refusal})
		})
	}
}

func (h *Holder) get(now time.Time, m getAsk) {
	record, found := h.core.Get(now, m.Question.GetId())
	if !found {
		m.Reply(&wire.JobReply{Refusal: refuse(wire.Refusal_NOT_FOUND, "no such job in the hall's memory", 0)})
		return
	}
	m.Reply(&wire.JobReply{Job: record})
}

func (h *Holder) started(now time.Time) {
	// From now on the writer is used only by commit and its goroutine.
	h.writer.onRetry = func(err error) { h.root.Send(h.self, storeFailure{err: err}) }
	h.lastCommit = now
	h.updateLinks()
	go h.runEvery(tickInterval, func() { h.root.Send(h.self, tick{}) })
	go h.runEvery(h.settings.VMPollInterval, h.readVMs)
	go h.runEvery(h.settings.ConfigPollInterval, h.readConfig)
	go h.runEvery(h.settings.MovedPollInterval, h.readMovedJobs)
}

func (h *Holder) stopped() {
	h.cancel()
	for _, l := range h.links {
		l.close()
	}
	for _, w := range h.watchers {
		w.ask.Reply(&wire.WatchReply{Refusal: refuse(wire.Refusal_NOT_HOLDER, "the hall changes hands", shortRetryAfter)})
	}
}

// runEvery calls do at each interval until the holder stops.
func (h *Holder) runEvery(interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}

func (h *Holder) readVMs() {
	vms, err := h.deps.VMs.List(h.ctx, h.core.hall)
	if err != nil {
		h.deps.Logger.Warn().Err(err).Msg("hall: failed to read the list of VMs")
		return
	}
	h.root.Send(h.self, vmList{vms: vms})
}

func (h *Holder) readConfig() {
	config, err := ReadNewerConfig(h.ctx, h.deps.Store, h.configVersion.Load())
	if err != nil {
		h.deps.Logger.Warn().Err(err).Msg("hall: failed to read the configuration")
		return
	}
	if config != nil {
		h.root.Send(h.self, configUpdate{config: config})
	}
}

// readMovedJobs looks for jobs that other halls have moved to this hall.
func (h *Holder) readMovedJobs() {
	moved := prefixRange(movedPrefix(h.core.hall))
	moved.Limit = maxBatchJobs
	page, err := h.deps.Store.Read(h.ctx, moved)
	if err == nil && len(page.Rows) > 0 {
		h.root.Send(h.self, movedRows{rows: page.Rows})
	}
}

func (h *Holder) acceptMovedRows(now time.Time, rows []store.Row) {
	for _, row := range rows {
		stored := &wire.StoredJob{}
		if err := decode(row, stored); err != nil {
			h.deps.Logger.Error().Err(err).Msg("hall: failed to decode a moved job")
			continue
		}
		h.core.AcceptMoved(now, row, stored)
	}
}

// applyConfig activates a configuration and sends it to all agents immediately.
func (h *Holder) applyConfig(config *wire.Configuration) {
	if config.GetVersion() <= h.core.Configuration().GetVersion() {
		return
	}
	h.core.SetConfiguration(config)
	h.configVersion.Store(config.GetVersion())
	h.deps.Logger.Info().Uint64("version", config.GetVersion()).Msg("hall: configuration activated")
	for _, l := range h.links {
		l.renewNow()
	}
}

// updateLinks opens links to new agents and closes the links to agents that have been removed or have a new
// address.
func (h *Holder) updateLinks() {
	addresses := h.core.AgentAddresses()
	for worker, l := range h.links {
		if addresses[worker] != l.client.Address() {
			l.close()
			delete(h.links, worker)
		}
	}
	for worker, address := range addresses {
		if _, ok := h.links[worker]; !ok {
			h.links[worker] = newAgentLink(h.ctx, worker, address, h.deps.Traffic, h.root, h.self)
		}
	}
}

func (h *Holder) tick(now time.Time) {
	if now.Before(h.nextCoreTick) {
		return
	}
	h.nextCoreTick = now.Add(coreTickInterval)
	h.retryPendingSubmits(now)
	h.core.Tick(now)
}

// afterMessage does the work that a message may have made possible: it makes decisions, sends calls,
// commits changes and answers waiting requests.
func (h *Holder) afterMessage(now time.Time) {
	if worker := h.core.SupersededBy(); worker != "" && h.abandon() {
		h.deps.Logger.Warn().Str("worker", worker).Msg("hall: an agent has met a later holder; the holder stops")
	}
	h.core.Decide(now)
	for _, call := range h.core.TakeCalls() {
		h.send(call)
	}
	h.commit(now)
	h.answerWatchers(now)
	h.answerStop()
}

func (h *Holder) send(call Call) {
	l, ok := h.links[call.Worker()]
	if !ok {
		return
	}
	go l.send(h.ctx, call)
}

// commit starts the next transaction if one is due, either to write changes or to renew the lease.
func (h *Holder) commit(now time.Time) {
	sinceCommit := now.Sub(h.lastCommit)
	if h.committing || sinceCommit < h.settings.CommitInterval {
		return
	}
	batch := h.core.TakeBatch(h.writer.NextPosition())
	renew := h.core.NeedsLongerLease() || sinceCommit >= h.settings.HolderLease/renewalsPerLease
	if batch == nil && !renew {
		return
	}
	lease := h.core.LeaseToRecord(now)
	h.core.RecordingLease(lease)
	h.committing = true
	h.lastCommit = now
	if batch == nil {
		batch = &Batch{}
	}
	go func() {
		err := h.writer.Commit(h.ctx, batch.Checks, batch.Writes, lease)
		h.root.Send(h.self, commitResult{agentLease: lease, err: err})
	}()
}

func (h *Holder) handleCommitResult(now time.Time, m commitResult) {
	h.committing = false
	switch kindOf(m.err) {
	case 0, KindConflict:
		if m.err == nil {
			h.core.LeaseRecorded(m.agentLease)
		}
		if !h.core.StoreAvailable() {
			h.deps.Logger.Info().Msg("hall: table service is available again")
		}
		h.core.BatchDone(now, m.err)
		h.core.StoreRecovered()
	default:
		h.deps.Logger.Warn().Err(m.err).Msg("hall: commit failed; the holder stops")
		h.abandon()
	}
}

func (h *Holder) handleStoreFailure(err error) {
	if h.core.StoreAvailable() {
		h.deps.Logger.Warn().Err(err).Msg("hall: table service is unavailable; new requests are rejected")
	}
	h.core.StoreFailed()
}

// abandon signals the Host to stop the holder. It returns false if the Host has been signalled before.
func (h *Holder) abandon() bool {
	select {
	case <-h.abandoned:
		return false
	default:
		close(h.abandoned)
		return true
	}
}

// watch registers a request for the changes after a position; answerWatchers answers it.
func (h *Holder) watch(now time.Time, m watchAsk) {
	after := m.Question.GetAfter()
	if m.Question.GetFromNow() {
		after = h.core.LastPosition()
	}
	wait := min(time.Duration(m.Question.GetWaitMs())*time.Millisecond, maxWatchWait)
	h.watchers = append(h.watchers, pendingWatch{ask: m, after: after, deadline: now.Add(wait)})
}

func (h *Holder) answerWatchers(now time.Time) {
	rest := h.watchers[:0]
	for _, w := range h.watchers {
		records, last, ok := h.core.Changes(w.after, maxWatchRecords)
		switch {
		case !ok:
			w.ask.Reply(&wire.WatchReply{Refusal: refuse(wire.Refusal_POSITION_GONE, "changes so old are not kept; list the jobs and watch from now on", 0)})
		case len(records) > 0 || !now.Before(w.deadline):
			w.ask.Reply(&wire.WatchReply{Last: last, Jobs: records})
		default:
			rest = append(rest, w)
		}
	}
	h.watchers = rest
}

// answerStop answers the stop requests once all changes have been committed.
func (h *Holder) answerStop() {
	if h.committing || !h.core.Flushed() {
		return
	}
	for _, m := range h.stopAsks {
		m.Reply(stopRequest{})
	}
	h.stopAsks = nil
}
