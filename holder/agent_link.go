package holder

import (
	"context"
	"strconv"
	"sync"
	"time"

	"hollyfork.example/hollyfork/backoff"
	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/rpc"
	"hollyfork.example/wire/poolpb"
)

// Service and methods of an agent.
const (
	// ServiceName is the name of an agent's service.
	ServiceName = "Agent"

	syncMethod  = ServiceName + ".Sync"
	orderMethod = ServiceName + ".Order"

	// maxLoggedRuns limits the runs that a line names.
	maxLoggedRuns = 16
)

// agentLink renews an agent's lease and fetches its reports.
type agentLink struct {
	holder  *Holder
	agent   string
	address string
	client  *rpc.Client

	mu sync.Mutex
	// instance is the instance of the worker, and committed the number of its last ended run that is committed in
	// the store.
	instance  instance.ID
	committed uint64
	// lastReply is the agent's newest reply.
	lastReply *poolpb.SyncReply
	fencing   fencing
	// wantFullReport is true if the agent must send a report although the holder has seen its last one.
	wantFullReport bool
	// closed is true once the holder has given the link up.
	closed bool
}

func newAgentLink(h *Holder, a pool.AgentAddress) *agentLink {
	return &agentLink{
		fencing:   fencing{writer: h.writer, number: h.firstNumber()},
		holder:    h,
		agent:     a.Agent,
		address:   a.Address,
		client:    rpc.NewClient(a.Address, h.host.deps.Traffic),
		lastReply: &poolpb.SyncReply{},
	}
}

// close gives the link up: no reply is delivered any more.
func (l *agentLink) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	_ = l.client.Close()
}

// setCommitted records the worker's instance and the number of its last ended run that is committed in the store.
func (l *agentLink) setCommitted(id instance.ID, number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instance = id
	l.committed = number
}

// isClosed reports whether the holder has given the link up.
func (l *agentLink) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// run renews the agent's lease until ctx is done or the link is closed.
func (l *agentLink) run(ctx context.Context) {
	defer l.close()
	reachable := true
	retry := backoff.New(minAgentRetryDelay, maxAgentRetryDelay)
	for ctx.Err() == nil {
		known, reply, err := l.sync(ctx, l.holder.renewalWait())
		if ctx.Err() != nil || l.isClosed() {
			return
		}
		if (err == nil) != reachable {
			reachable = err == nil
			l.logReachability(reachable, err)
		}
		if err != nil {
			l.client.Reset()
			if !retry.Wait(ctx) {
				return
			}
			continue
		}
		retry.Reset()
		l.deliver(known, reply)
	}
}

// renewalSpacing returns how long each of agentCount agents may delay its reply to a renewal.
func renewalSpacing(agentCount int) time.Duration {
	spaced := time.Duration(agentCount) * time.Second / maxRenewalsPerSecond
	return max(minSyncWait, min(spaced, maxSyncWait))
}

// renew renews the agent's lease at once, in parallel to the renewal whose reply the agent delays. It ignores
// failures, since run retries.
func (l *agentLink) renew(ctx context.Context) {
	if known, reply, err := l.sync(ctx, 0); err == nil {
		l.deliver(known, reply)
	}
}

// deliver hands a reply to the holder, unless a newer one came before it: replies to parallel renewals may
// arrive out of order, and an older reply has an outdated state of the worker and reading of the agent's
// clock. known is the agent's incarnation in the renewal. The lock is held until the reply is sent: replies reach the
// holder in order, and no renewal counts from a reply that is not on its way to the holder.
func (l *agentLink) deliver(known string, reply *poolpb.SyncReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	if !l.recordIfNewest(known, reply) {
		l.holder.host.deps.Logger.Warn().Str("agent", l.agent).Str("incarnation", reply.GetIncarnation()).Uint64("report", reply.GetReport()).Msg("holder: ignored an out-of-order reply of an agent")
		return
	}
	l.holder.send(syncResult{agent: l.agent, at: l.holder.now(), reply: reply})
}

// recordIfNewest reports whether a reply is newer than all earlier ones, and records it if so. A reply of another
// incarnation than the last one is newer only if its renewal was sent when that one was known: an agent of before can't
// answer such a renewal, and one of after answers the next. The lock must be held.
func (l *agentLink) recordIfNewest(known string, reply *poolpb.SyncReply) bool {
	last := l.lastReply
	isSame := reply.GetIncarnation() == last.GetIncarnation()
	if isSame && reply.GetLeaseToken() <= last.GetLeaseToken() || !isSame && known != last.GetIncarnation() {
		return false
	}
	l.fencing.handleReply(reply, isSame)
	l.lastReply = reply
	l.wantFullReport = l.wantFullReport && reply.GetWorker() == nil
	return true
}

// requestFullReport makes the agent send a report with its next reply although nothing has changed. The holder
// forgets a worker whose agent was silent for too long. Without the report, a worker on which nothing runs
// would stay unknown until its state changes: in one test for 26 s, until the test timed out.
func (l *agentLink) requestFullReport() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wantFullReport = true
}

// seenReport returns the number of the last report that the holder has seen; 0 to get a report in any case.
// The lock must be held.
func (l *agentLink) seenReport() uint64 {
	if l.wantFullReport {
		return 0
	}
	return l.lastReply.GetReport()
}

func (l *agentLink) logReachability(reachable bool, err error) {
	logger := l.holder.host.deps.Logger
	if reachable {
		logger.Info().Str("agent", l.agent).Msg("holder: agent is reachable again")
		return
	}
	logger.Warn().Err(err).Str("agent", l.agent).Str("address", l.address).Msg("holder: agent is unreachable")
}

// sync sends one renewal, and returns the incarnation of the agent that was known then. The agent may delay its reply by
// the wait while its report is unchanged. The renewal grants a lease only while the holder's own is valid.
func (l *agentLink) sync(ctx context.Context, wait time.Duration) (known string, reply *poolpb.SyncReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+syncTimeout)
	defer cancel()
	l.mu.Lock()
	request := &poolpb.SyncRequest{
		Epoch:       l.fencing.next(l.lastReply),
		LeaseToken:  l.lastReply.GetLeaseToken(),
		Incarnation: l.lastReply.GetIncarnation(),
		Instance:    l.instance.String(),
		Committed:   l.committed,
		SeenReport:  l.seenReport(),
		WaitMs:      int32(wait.Milliseconds()),
	}
	if l.lastReply.GetEpoch() != request.GetEpoch() {
		request.Pool, request.Holder = l.holder.host.pool, l.holder.host.name // for the agent's log
	}
	l.mu.Unlock()
	if l.holder.leaseValid(l.holder.now()) {
		request.LeaseMs = int32(l.holder.host.settings.AgentLease.Milliseconds())
	}
	reply, err = rpc.Call[poolpb.SyncReply](ctx, l.client, syncMethod, request)
	return request.GetIncarnation(), reply, err
}

// order sends orders to the agent, unless the holder's lease is no longer valid. After a failed call the
// outcome of the orders is unknown.
func (l *agentLink) order(ctx context.Context, epoch uint64, orders pool.Orders) *poolpb.OrderReply {
	if !l.holder.leaseValid(l.holder.now()) {
		return &poolpb.OrderReply{}
	}
	number, ok := l.numberFor(orders)
	if !ok {
		return &poolpb.OrderReply{}
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reply, err := rpc.Call[poolpb.OrderReply](ctx, l.client, orderMethod, orderRequest(number, orders))
	if err != nil {
		l.holder.host.deps.Logger.Warn().Err(err).Str("agent", l.agent).Int("starts", len(orders.Starts)).Int("stops", len(orders.Stops)).
			Uint64("epoch", epoch).Strs("runs", orderedRuns(orders)).Msg("holder: no reply to orders; their outcome is unknown")
		return &poolpb.OrderReply{}
	}
	return reply
}

// numberFor returns the fencing number for orders; ok is false if they name another incarnation of the agent than its
// last reply.
func (l *agentLink) numberFor(orders pool.Orders) (number uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if orders.Grant.Incarnation != l.lastReply.GetIncarnation() {
		return 0, false
	}
	return l.fencing.next(l.lastReply), true
}

// orderedRuns returns the names of the runs that orders are for, at most maxLoggedRuns: those to start, then those to
// stop.
func orderedRuns(orders pool.Orders) []string {
	names := []string{}
	for _, s := range orders.Starts {
		names = append(names, s.Task.String()+"/"+strconv.Itoa(s.Run))
	}
	for _, s := range orders.Stops {
		names = append(names, s.Task.String()+"/"+strconv.Itoa(s.Run))
	}
	return names[:min(len(names), maxLoggedRuns)]
}
