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
	callTimeout = 3 * time.Second
	askTimeout  = 5 * time.Second

	firstReconnect = 100 * time.Millisecond
	lastReconnect  = 2 * time.Second
)

// link keeps in touch with the agent of one worker: it renews its lease without end
// and carries calls.
type link struct {
	worker string
	client *rpc.Client
	root   *actor.RootContext
	holder *actor.PID
	cancel context.CancelFunc
	poked  chan struct{}
}

func newLink(ctx context.Context, worker, address string, traffic *rpc.Traffic, root *actor.RootContext, holder *actor.PID) *link {
	ctx, cancel := context.WithCancel(ctx)
	l := &link{
		worker: worker,
		client: rpc.NewClient(address, traffic),
		root:   root,
		holder: holder,
		cancel: cancel,
		poked:  make(chan struct{}, 1),
	}
	go l.run(ctx)
	return l
}

// close ends the link.
func (l *link) close() {
	l.cancel()
	_ = l.client.Close()
}

// poke sends a renewal at once, since there is something to tell.
func (l *link) poke() {
	select {
	case l.poked <- struct{}{}:
	default:
	}
}

func (l *link) run(ctx context.Context) {
	retry := backoff.New(firstReconnect, lastReconnect)
	for ctx.Err() == nil {
		answered := make(chan bool, 1)
		go l.sync(ctx, answered)
		select {
		case <-ctx.Done():
			return
		case <-l.poked:
			// The agent answers the earlier renewal when it gets the new one.
		case ok := <-answered:
			if ok {
				retry = backoff.New(firstReconnect, lastReconnect)
			} else if !retry.Wait(ctx) {
				return
			}
		}
	}
}

// sync sends one renewal and hands the answer to the holder.
func (l *link) sync(ctx context.Context, answered chan<- bool) {
	question := syncQuestion{worker: l.worker}
	request, err := mailbox.Call[syncQuestion, *wire.SyncRequest](l.root, l.holder, question, askTimeout)
	if err != nil || request == nil {
		answered <- false
		return
	}
	wait := time.Duration(request.GetWaitMs()) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	reply, err := rpc.Call[wire.SyncReply](ctx, l.client, "Agent.Sync", request)
	l.root.Send(l.holder, synced{worker: l.worker, request: request, reply: reply})
	answered <- err == nil && reply.GetRefusal() == nil
}

// send carries out a call and hands the answer, or nil, to the holder.
func (l *link) send(ctx context.Context, call Call) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch call := call.(type) {
	case PrepareCall:
		reply, _ := rpc.Call[wire.PrepareReply](ctx, l.client, "Agent.Prepare", call.Request)
		l.root.Send(l.holder, prepared{call: call, reply: reply})
	case StartCall:
		reply, _ := rpc.Call[wire.StartReply](ctx, l.client, "Agent.Start", call.Request)
		l.root.Send(l.holder, startAnswered{call: call, reply: reply})
	case RevokeCall:
		reply, _ := rpc.Call[wire.RevokeReply](ctx, l.client, "Agent.Revoke", call.Request)
		l.root.Send(l.holder, revokeAnswered{call: call, reply: reply})
	}
}
