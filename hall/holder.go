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
	tickEvery = 20 * time.Millisecond
	// coreTickEvery is how often timeouts are looked at.
	coreTickEvery = 100 * time.Millisecond
	// renewalsPerLease is how often a quiet holder renews its lease while it stands.
	renewalsPerLease = 3
	watchLimit       = 500
	maxWatchWait     = 30 * time.Second
	// configWait is how long a request waits for the configuration that its caller
	// relies on, and maxEarly how many may.
	configWait = 2 * time.Second
	maxEarly   = 1000
)

// VMLister is the platform's list of VMs.
type VMLister interface {
	List(ctx context.Context, hall string) ([]platform.VM, error)
}

// Deps are what a holder works with.
type Deps struct {
	System  *actor.ActorSystem
	Store   store.Store
	VMs     VMLister
	Traffic *rpc.Traffic
	Logger  *log.Logger
}

// Holder is the actor that decides for a hall while this process holds it.
type Holder struct {
	deps     Deps
	settings Settings
	core     *Core
	ledger   *Ledger
	self     *actor.PID
	root     *actor.RootContext

	// ctx ends with the holder and everything that it started.
	ctx    context.Context
	cancel context.CancelFunc
	// fenced is closed when the hall was lost.
	fenced chan struct{}

	links     map[string]*link
	watchers  []parkedWatch
	early     []earlySubmit
	stopAsked []stopAsk
	// configVersion is that of the configuration in force, for the goroutine that reads.
	configVersion atomic.Uint64

	committing bool
	lastCommit time.Time
	nextCore   time.Time
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
	case synced:
		h.synced(now, m)
	default:
		h.receiveRequest(now, m)
	}
	h.afterMessage(now)
}

// receiveRequest handles what entries ask.
func (h *Holder) receiveRequest(now time.Time, message any) {
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
		h.stopAsked = append(h.stopAsked, m)
	default:
		h.receiveResult(now, m)
	}
}

// receiveResult handles the outcome of what the holder started.
func (h *Holder) receiveResult(now time.Time, message any) {
	switch m := message.(type) {
	case prepared:
		h.core.Prepared(now, m.call, m.reply)
	case startAnswered:
		h.core.StartAnswered(now, m.call, m.reply)
	case revokeAnswered:
		h.core.RevokeAnswered(now, m.call, m.reply)
	case vmsRead:
		h.core.SetVMs(now, m.vms)
		h.updateLinks()
	case movedRead:
		h.receive(now, m.rows)
	case configRead:
		h.configure(m.config)
		h.admitEarly(now)
	case batchDone:
		h.batchDone(now, m.err)
	case storeTrouble:
		h.storeTrouble(m.err)
	}
}

// submit passes a request on, or keeps it until the configuration is known that its
// caller relies on.
func (h *Holder) submit(now time.Time, m submitAsk) {
	if m.Question.GetConfigVersion() > h.core.Configuration().GetVersion() && len(h.early) < maxEarly {
		h.early = append(h.early, earlySubmit{ask: m, until: now.Add(configWait)})
		go h.readConfig()
		return
	}
	h.core.Submit(now, m.Question, func(job *wire.Job, created bool, refusal *wire.Refusal) {
		m.Reply(&wire.SubmitReply{Job: job, Created: created, Refusal: refusal})
	})
}

// admitEarly passes on the requests whose configuration is known now, and those that
// have waited long enough, to be refused.
func (h *Holder) admitEarly(now time.Time) {
	waiting := h.early
	h.early = nil
	for _, e := range waiting {
		known := e.ask.Question.GetConfigVersion() <= h.core.Configuration().GetVersion()
		if !known && now.Before(e.until) {
			h.early = append(h.early, e)
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
	// From here on only the committing goroutine uses the ledger.
	h.ledger.trouble = func(err error) { h.root.Send(h.self, storeTrouble{err: err}) }
	h.lastCommit = now
	h.updateLinks()
	go h.every(tickEvery, func() { h.root.Send(h.self, tick{}) })
	go h.every(h.settings.VMPollInterval, h.readVMs)
	go h.every(h.settings.ConfigPollInterval, h.readConfig)
	go h.every(h.settings.MovedPollInterval, h.readMoved)
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

// every calls do again and again until the holder ends.
func (h *Holder) every(interval time.Duration, do func()) {
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
		h.deps.Logger.Warn().Err(err).Msg("hall: the list of VMs could not be read")
		return
	}
	h.root.Send(h.self, vmsRead{vms: vms})
}

func (h *Holder) readConfig() {
	config, err := ReadNewerConfig(h.ctx, h.deps.Store, h.configVersion.Load())
	if err != nil {
		h.deps.Logger.Warn().Err(err).Msg("hall: the configuration could not be read")
		return
	}
	if config != nil {
		h.root.Send(h.self, configRead{config: config})
	}
}

// readMoved looks for jobs that other halls gave to this one.
func (h *Holder) readMoved() {
	moved := rowsWith(movedPrefix(h.core.hall))
	moved.Limit = maxBatchJobs
	page, err := h.deps.Store.Read(h.ctx, moved)
	if err == nil && len(page.Rows) > 0 {
		h.root.Send(h.self, movedRead{rows: page.Rows})
	}
}

func (h *Holder) receive(now time.Time, rows []store.Row) {
	for _, row := range rows {
		stored := &wire.StoredJob{}
		if err := decode(row, stored); err != nil {
			h.deps.Logger.Error().Err(err).Msg("hall: a moved job could not be read")
			continue
		}
		h.core.Receive(now, row, stored)
	}
}

// configure puts a configuration in force here and tells all agents at once.
func (h *Holder) configure(config *wire.Configuration) {
	if config.GetVersion() <= h.core.Configuration().GetVersion() {
		return
	}
	h.core.SetConfiguration(config)
	h.configVersion.Store(config.GetVersion())
	h.deps.Logger.Info().Uint64("version", config.GetVersion()).Msg("hall: a configuration is in force")
	for _, l := range h.links {
		l.poke()
	}
}

// updateLinks keeps one link to each listed agent.
func (h *Holder) updateLinks() {
	members := h.core.Members()
	for worker, l := range h.links {
		if members[worker] != l.client.Address() {
			l.close()
			delete(h.links, worker)
		}
	}
	for worker, address := range members {
		if _, ok := h.links[worker]; !ok {
			h.links[worker] = newLink(h.ctx, worker, address, h.deps.Traffic, h.root, h.self)
		}
	}
}

func (h *Holder) synced(now time.Time, m synced) {
	if m.reply.GetRefusal().GetKind() == wire.Refusal_OLD_EPOCH {
		h.deps.Logger.Warn().Str("worker", m.worker).Msg("hall: an agent knows a later holder")
		h.lose()
		return
	}
	h.core.Synced(now, m.worker, m.request, m.reply)
}

func (h *Holder) tick(now time.Time) {
	if now.Before(h.nextCore) {
		return
	}
	h.nextCore = now.Add(coreTickEvery)
	h.admitEarly(now)
	h.core.Tick(now)
}

// afterMessage does what any message may have made possible.
func (h *Holder) afterMessage(now time.Time) {
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

// commit starts the next transaction when one is due: for changes, or to renew the
// lease.
func (h *Holder) commit(now time.Time) {
	since := now.Sub(h.lastCommit)
	if h.committing || since < h.settings.CommitInterval {
		return
	}
	batch := h.core.TakeBatch(h.ledger.NextPosition())
	if batch == nil && since < h.settings.HolderLease/renewalsPerLease {
		return
	}
	h.committing = true
	h.lastCommit = now
	if batch == nil {
		batch = &Batch{}
	}
	go func() {
		err := h.ledger.Commit(h.ctx, batch.Checks, batch.Writes)
		h.root.Send(h.self, batchDone{err: err})
	}()
}

func (h *Holder) batchDone(now time.Time, err error) {
	h.committing = false
	switch kindOf(err) {
	case 0, KindConflict:
		if !h.core.StoreAvailable() {
			h.deps.Logger.Info().Msg("hall: the table service answers again")
		}
		h.core.BatchDone(now, err)
		h.core.StoreBack()
	default:
		h.deps.Logger.Warn().Err(err).Msg("hall: the hall is lost")
		h.lose()
	}
}

func (h *Holder) storeTrouble(err error) {
	if h.core.StoreAvailable() {
		h.deps.Logger.Warn().Err(err).Msg("hall: the table service fails; new requests are refused")
	}
	h.core.StoreTrouble()
}

// lose ends the holding of the hall.
func (h *Holder) lose() {
	select {
	case <-h.fenced:
	default:
		close(h.fenced)
	}
}

// watch answers with the changes behind a place, or waits for one.
func (h *Holder) watch(now time.Time, m watchAsk) {
	after := m.Question.GetAfter()
	if m.Question.GetFromNow() {
		after = h.core.LastChange()
	}
	wait := min(time.Duration(m.Question.GetWaitMs())*time.Millisecond, maxWatchWait)
	h.watchers = append(h.watchers, parkedWatch{ask: m, after: after, until: now.Add(wait)})
}

func (h *Holder) answerWatchers(now time.Time) {
	rest := h.watchers[:0]
	for _, w := range h.watchers {
		records, last, ok := h.core.Changes(w.after, watchLimit)
		switch {
		case !ok:
			w.ask.Reply(&wire.WatchReply{Refusal: refuse(wire.Refusal_POSITION_GONE, "changes so old are not kept; list the jobs and watch from now on", 0)})
		case len(records) > 0 || !now.Before(w.until):
			w.ask.Reply(&wire.WatchReply{Last: last, Jobs: records})
		default:
			rest = append(rest, w)
		}
	}
	h.watchers = rest
}

// answerStop says that the holder may be ended once all is committed.
func (h *Holder) answerStop() {
	if h.committing || !h.core.Settled() {
		return
	}
	for _, m := range h.stopAsked {
		m.Reply(stopRequest{})
	}
	h.stopAsked = nil
}
