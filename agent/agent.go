package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/phuslu/log"

	"hollyfork.example/hollyfork/clock"
	"hollyfork.example/hollyfork/mailbox"
	"hollyfork.example/hollyfork/platform"
	"hollyfork.example/wire"
)

const (
	tickInterval = 50 * time.Millisecond
	// listInterval is the interval at which the worker's tasks are listed while any are running.
	listInterval = 200 * time.Millisecond
	// maxSyncWait limits how long a Sync waits for changes, regardless of the request.
	maxSyncWait = time.Minute
)

// Worker is the subset of a worker's interface that an agent uses.
type Worker interface {
	TaskStarter
	TaskTracker
}

// TaskStarter starts and stops tasks.
type TaskStarter interface {
	Start(ctx context.Context, task platform.Task) error
	Stop(ctx context.Context, key string) error
	Checkpoint(ctx context.Context, key string) error
}

// TaskTracker lists tasks, renews their leases and deletes their records.
type TaskTracker interface {
	List(ctx context.Context) ([]platform.TaskStatus, error)
	Renew(ctx context.Context, renewal platform.LeaseRenewal) error
	Forget(ctx context.Context, key string) error
}

// Messages to agentActor.
type (
	syncAsk    = mailbox.Ask[*wire.SyncRequest, *wire.SyncReply]
	prepareAsk = mailbox.Ask[*wire.PrepareRequest, *wire.PrepareReply]
	startAsk   = mailbox.Ask[*wire.StartRequest, *wire.StartReply]
	revokeAsk  = mailbox.Ask[*wire.RevokeRequest, *wire.RevokeReply]
	dumpAsk    = mailbox.Ask[dumpRequest, State]

	dumpRequest  struct{}
	epochLearned struct{ epoch uint64 }
	leaveRequest struct{ done chan struct{} }
	tick         struct{}

	taskStarted struct {
		key string
		err error
	}
	tasksListed struct {
		sentAt time.Time
		list   []platform.TaskStatus
		err    error
	}
)

// pendingSync is a Sync request that waits for a change to report.
type pendingSync struct {
	ask   syncAsk
	until time.Time
	seen  uint64
}

// agentActor is the actor that runs the Core.
type agentActor struct {
	core   *Core
	worker Worker
	logger *log.Logger
	self   *actor.PID
	root   *actor.RootContext

	// standbyRank is the standby rank that the holder last assigned.
	standbyRank *atomic.Int32
	// leased reports whether any holder has called Sync yet.
	leased *atomic.Bool

	// pending is the Sync request that waits for a change; nil if there is none.
	pending *pendingSync
	// listing is true while a list request to the worker is in flight.
	listing  bool
	nextList time.Time
	ticker   *time.Ticker
	stopped  chan struct{}
}

// Receive implements actor.Actor.
func (a *agentActor) Receive(ctx actor.Context) {
	now := clock.Now()
	switch m := ctx.Message().(type) {
	case *actor.Started:
		a.started(ctx)
	case *actor.Stopping:
		a.stopping(now)
	case tick:
		a.tick(now)
	case syncAsk:
		a.sync(now, m)
	case prepareAsk:
		m.Reply(a.core.Prepare(now, m.Question))
	case startAsk:
		reply, commands := a.core.Start(now, m.Question)
		a.run(commands)
		m.Reply(reply)
	case revokeAsk:
		reply, commands := a.core.Revoke(now, m.Question)
		a.run(commands)
		m.Reply(reply)
	case taskStarted:
		a.taskStarted(now, m)
	case tasksListed:
		a.listed(m)
	case epochLearned:
		a.core.LearnEpoch(m.epoch)
	case leaveRequest:
		a.core.Leave()
		close(m.done)
	case dumpAsk:
		m.Reply(a.core.State(now))
	}
	a.answerPendingIfDue(now)
}

func (a *agentActor) started(ctx actor.Context) {
	a.self = ctx.Self()
	a.root = ctx.ActorSystem().Root
	a.ticker = time.NewTicker(tickInterval)
	go func() {
		for {
			select {
			case <-a.stopped:
				return
			case <-a.ticker.C:
				a.root.Send(a.self, tick{})
			}
		}
	}()
}

func (a *agentActor) stopping(now time.Time) {
	a.ticker.Stop()
	close(a.stopped)
	if a.pending != nil {
		a.answerPending(now)
	}
}

func (a *agentActor) tick(now time.Time) {
	a.run(a.core.Tick(now))
	if a.listing || now.Before(a.nextList) || !a.core.NeedsListing() {
		return
	}
	a.listing = true
	go func() {
		list, err := a.worker.List(context.Background())
		a.root.Send(a.self, tasksListed{sentAt: now, list: list, err: err})
	}()
}

func (a *agentActor) listed(m tasksListed) {
	a.listing = false
	a.nextList = m.sentAt.Add(listInterval)
	if m.err != nil {
		a.logger.Warn().Err(m.err).Msg("agent: could not list the worker's tasks")
		return
	}
	a.core.Listed(m.sentAt, m.list)
}

func (a *agentActor) taskStarted(now time.Time, m taskStarted) {
	if m.err != nil {
		a.logger.Warn().Str("task", m.key).Err(m.err).Msg("agent: the worker did not confirm that a task started")
	}
	a.core.TaskStarted(now, m.key, m.err)
}

// sync answers a Sync request at once if there is a change to report, and otherwise keeps it pending. It then answers
// the one that was pending, which is refused if the new one is of a later holder.
func (a *agentActor) sync(now time.Time, m syncAsk) {
	if earlier := a.pending; earlier != nil {
		a.pending = nil
		defer func() { a.answer(now, earlier) }()
	}
	a.standbyRank.Store(m.Question.GetStandbyRank())
	a.leased.Store(true)
	reply, commands := a.core.Sync(now, m.Question)
	a.run(commands)
	wait := time.Duration(m.Question.GetWaitMs()) * time.Millisecond
	if reply.GetRefusal() != nil || reply.GetChanged() || wait <= 0 {
		m.Reply(reply)
		return
	}
	a.pending = &pendingSync{ask: m, until: now.Add(min(wait, maxSyncWait)), seen: a.core.Report()}
}

// answerPendingIfDue answers the pending Sync request if there is a change to report, its wait is over or the agent has
// met a later holder.
func (a *agentActor) answerPendingIfDue(now time.Time) {
	if a.pending == nil {
		return
	}
	superseded := a.core.Epoch() > a.pending.ask.Question.GetEpoch()
	if a.core.Report() != a.pending.seen || !now.Before(a.pending.until) || superseded {
		a.answerPending(now)
	}
}

func (a *agentActor) answerPending(now time.Time) {
	pending := a.pending
	a.pending = nil
	a.answer(now, pending)
}

func (a *agentActor) answer(now time.Time, pending *pendingSync) {
	reply, commands := a.core.Sync(now, pending.ask.Question)
	a.run(commands)
	pending.ask.Reply(reply)
}

// run executes commands on the worker without waiting for them.
func (a *agentActor) run(commands []Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case StartTasks:
			go a.startTasks(c.Tasks)
		case StopTasks:
			go a.forEachTask(c.Keys, "stop a task", a.worker.Stop)
		case CheckpointTasks:
			go a.forEachTask(c.Keys, "checkpoint a task", a.worker.Checkpoint)
		case ForgetTasks:
			go a.forEachTask(c.Keys, "forget a task", a.worker.Forget)
		case RenewLeases:
			go a.renew(c.Renewal)
		}
	}
}

// startTasks sends one start request for each task. If an answer is lost, listing the worker's tasks shows whether
// the task started; the start request is never repeated.
func (a *agentActor) startTasks(tasks []platform.Task) {
	for _, t := range tasks {
		err := a.worker.Start(context.Background(), t)
		a.root.Send(a.self, taskStarted{key: t.Key, err: err})
	}
}

func (a *agentActor) forEachTask(keys []string, what string, do func(context.Context, string) error) {
	for _, key := range keys {
		if err := do(context.Background(), key); err != nil {
			a.logger.Warn().Str("task", key).Err(err).Msg("agent: could not " + what)
		}
	}
}

func (a *agentActor) renew(renewal platform.LeaseRenewal) {
	if err := a.worker.Renew(context.Background(), renewal); err != nil {
		a.logger.Warn().Err(err).Msg("agent: could not renew leases of tasks")
	}
}
