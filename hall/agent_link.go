package hall

import (
	"context"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"hollyfork.example/hollyfork/backoff"
	"hollyfork.example/hollyfork/mailbox"
	"hollyfork.example/rpc"
	"hollyfork.example/wire"
)

const (
	callTimeout    = 3 * time.Second
	mailboxTimeout = 5 * time.Second

	minReconnectDelay = 100 * time.Millisecond
	maxReconnectDelay = 2 * time.Second
)

// agentLink is the connection to the agent of one worker. It renews the agent's lease continuously and
// sends calls.
type agentLink struct {
	worker         string
	client         *rpc.Client
	root           *actor.RootContext
	holder         *actor.PID
	cancel         context.CancelFunc
	renewRequested chan struct{}
}

func newAgentLink(ctx context.Context, worker, address string, traffic *rpc.Traffic, root *actor.RootContext, holder *actor.PID) *agentLink {
	ctx, cancel := context.WithCancel(ctx)
	l := &agentLink{
		worker:         worker,
		client:         rpc.NewClient(address, traffic),
		root:           root,
		holder:         holder,
		cancel:         cancel,
		renewRequested: make(chan struct{}, 1),
	}
	go l.run(ctx)
	return l
}

func (l *agentLink) close() {
	l.cancel()
	_ = l.client.Close()
}

// renewNow sends a renewal immediately, without waiting for the reply to the previous one.
func (l *agentLink) renewNow() {
	select {
	case l.renewRequested <- struct{}{}:
	default:
	}
}

func (l *agentLink) run(ctx context.Context) {
	retry := backoff.New(minReconnectDelay, maxReconnectDelay)
	for ctx.Err() == nil {
		answered := make(chan bool, 1)
		go l.sync(ctx, answered)
		select {
		case <-ctx.Done():
			return
		case <-l.renewRequested:
			// The agent replies to the previous renewal when it receives the new one.
		case ok := <-answered:
			if ok {
				retry = backoff.New(minReconnectDelay, maxReconnectDelay)
			} else if !retry.Wait(ctx) {
				return
			}
		}
	}
}

// sync sends one renewal and passes the reply to the holder.
func (l *agentLink) sync(ctx context.Context, answered chan<- bool) {
	query := syncQuery{worker: l.worker}
	request, err := mailbox.Call[syncQuery, *wire.SyncRequest](l.root, l.holder, query, mailboxTimeout)
	if err != nil || request == nil {
		answered <- false
		return
	}
	wait := time.Duration(request.GetWaitMs()) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	reply, err := rpc.Call[wire.SyncReply](ctx, l.client, "Agent.Sync", request)
	l.root.Send(l.holder, syncResult{worker: l.worker, request: request, reply: reply})
	answered <- err == nil && reply.GetRefusal() == nil
}

// send sends a call and passes the reply to the holder, or nil if none arrived.
func (l *agentLink) send(ctx context.Context, call Call) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch call := call.(type) {
	case PrepareCall:
		reply, _ := rpc.Call[wire.PrepareReply](ctx, l.client, "Agent.Prepare", call.Request)
		l.root.Send(l.holder, prepareResult{call: call, reply: reply})
	case StartCall:
		reply, _ := rpc.Call[wire.StartReply](ctx, l.client, "Agent.Start", call.Request)
		l.root.Send(l.holder, startResult{call: call, reply: reply})
	case RevokeCall:
		reply, _ := rpc.Call[wire.RevokeReply](ctx, l.client, "Agent.Revoke", call.Request)
		l.root.Send(l.holder, revokeResult{call: call, reply: reply})
	}
}

// noticeTime bounds how long an earlier holder goes on giving leases once an agent that both reach has met a later
// holder, if the reply to one renewal is lost: that renewal, which the agent may hold back for a part of the longest
// lease, the delay after it, and the next one, which the agent refuses at once.
func noticeTime(longestLease time.Duration) time.Duration {
	return longestLease/syncsPerLease + callTimeout + maxReconnectDelay + callTimeout
}
