package sidecar

import (
	"fmt"
	"time"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/wire/poolpb"
)

// pathAgent is the agent beside a worker: its present process, and the link on which holders reach it.
type pathAgent struct {
	pathProcess

	name   string
	worker *pathWorker
	lives  int
	core   *Core
	// polling is the number of the poll in flight, and cancelled whether it was cancelled.
	polling   uint64
	cancelled bool
	// waiting are the renewals whose replies wait for a change.
	waiting []func()
	// cutUntil is when messages between holders and the agent pass again.
	cutUntil time.Time
}

func newPathAgent(p *path, w *pathWorker) *pathAgent {
	return &pathAgent{pathProcess: pathProcess{path: p}, name: fmt.Sprintf("agent-%d", w.number), worker: w}
}

// begin starts another process of the agent.
func (p *path) beginAgent(i int) {
	w := p.workers[i]
	a := newPathAgent(p, w)
	if p.agents[i] != nil {
		a.lives, a.cutUntil = p.agents[i].lives+1, p.agents[i].cutUntil
	}
	a.core = NewCore(p.now, fmt.Sprintf("%s.%d", a.name, a.lives))
	p.agents[i] = a
	p.note("%s begins", a.core.incarnation)
	a.poll()
}

// call makes a call to the worker. The answer comes after a time, or never; it is not awaited beyond the timeout. The worker
// may carry out the call after that.
func (a *pathAgent) call(timeout time.Duration, carryOut func(w *pathWorker, answer func(any)), outcome func(answer any, kind Kind)) {
	p, settled := a.path, false
	settle := func(answer any, kind Kind) {
		a.then(func() {
			if !settled {
				settled = true
				outcome(answer, kind)
			}
		})
	}
	p.after(timeout, func() { settle(nil, KindUnanswered) })
	p.after(p.transit(), func() {
		if !a.worker.up {
			settle(nil, KindNoWorker)
			return
		}
		life := a.worker.lives
		a.worker.then(func() {
			if life != a.worker.lives || !a.worker.up {
				return
			}
			carryOut(a.worker, func(answer any) { p.after(p.transit(), func() { settle(answer, 0) }) })
		})
	})
}

type pathListing struct {
	listing Listing
	kind    Kind
}

// poll polls the worker, and goes on with it.
func (a *pathAgent) poll() {
	poll, number, ok := a.core.NextPoll(a.path.now)
	if a.core.LapseUnseenWorker(a.path.now) {
		a.notify()
	}
	if !ok {
		a.path.after(idleInterval, func() { a.do(a.poll) })
		return
	}
	a.polling, a.cancelled = number, false
	a.then(func() {
		a.call(poll.Wait+pollTimeout, func(w *pathWorker, answer func(any)) {
			w.hold(poll, func(l Listing, kind Kind) { answer(pathListing{l, kind}) })
		}, func(answer any, kind Kind) { a.polled(poll, number, answer, kind) })
	})
}

func (a *pathAgent) polled(poll PollRequest, number uint64, answer any, kind Kind) {
	if number != a.polling {
		return // cancelled
	}
	delay := retryInterval
	result, _ := answer.(pathListing)
	if kind == 0 {
		kind = result.kind
	}
	if kind != 0 {
		if a.core.HandlePollFailure(a.path.now, poll, number, kind) {
			a.path.note("%s: after a %v poll: lapsed %v %v", a.core.incarnation, kind, a.core.instanceEnded, a.core.lapse)
		}
		a.notify()
	} else {
		if a.core.listingNumber == 0 {
			a.path.turn(0.4, a.worker.number)
		}
		if a.core.HandleListing(a.path.now, poll, number, result.listing) {
			a.notify()
		}
		a.stopAll(poll.Epoch, append(a.core.TakeOverdueRuns(), a.core.TakeRevokedStarts()...))
		if poll.Wait > 0 || poll.Committed > 0 {
			delay = 0
		}
	}
	a.path.after(delay, func() { a.do(a.poll) })
}

func (a *pathAgent) stopAll(epoch uint64, stops []*poolpb.StopOrder) {
	for _, s := range stops {
		request := StopRequest{Instance: a.core.heartbeat.Instance, Epoch: epoch, Order: s}
		a.call(orderTimeout, func(w *pathWorker, answer func(any)) { answer(w.stop(request)) }, func(any, Kind) {})
	}
}

// notify passes on the replies that wait for a change.
func (a *pathAgent) notify() {
	waiting := a.waiting
	a.waiting = nil
	for _, reply := range waiting {
		reply()
	}
}

// beat receives a heartbeat.
func (a *pathAgent) beat(h Heartbeat) {
	switch a.core.Heartbeat(h) {
	case HeartbeatChanged:
		a.notify()
	case HeartbeatUnverified:
		a.notify()
		if a.polling == a.core.pollNumber && a.polling > 0 {
			a.polling = 0 // cancelled
			a.core.recordUnanswered(a.path.now, PollRequest{Committed: a.core.committed})
			a.then(a.poll)
		}
	}
}

// sync serves a renewal.
func (a *pathAgent) sync(request *poolpb.SyncRequest, send func(*poolpb.SyncReply)) {
	stale := a.core.Sync(request)
	replied := false
	reply := func() {
		if replied {
			return
		}
		replied = true
		a.then(func() {
			answer := a.core.Reply(a.path.now, request)
			answer.OldEpoch = stale
			send(answer)
		})
	}
	if stale || request.GetIncarnation() != a.core.incarnation || request.GetSeenReport() != a.core.ReportNumber() {
		reply()
		return
	}
	a.waiting = append(a.waiting, reply)
	a.path.after(time.Duration(request.GetWaitMs())*time.Millisecond, func() { a.do(reply) })
}

// order carries out orders.
func (a *pathAgent) order(request *poolpb.OrderRequest, send func(*poolpb.OrderReply)) {
	reply := &poolpb.OrderReply{Starts: make([]poolpb.OrderResult_Value, len(request.GetStarts())), Stops: make([]poolpb.OrderResult_Value, len(request.GetStops()))}
	if a.core.ObserveEpoch(request.GetEpoch()) {
		reply.OldEpoch = true
		send(reply)
		return
	}
	open := len(request.GetStarts()) + len(request.GetStops())
	settle := func() {
		if open--; open > 0 {
			return
		}
		a.then(func() {
			reply.Listing = a.core.pollNumber
			a.core.ReportNextListing()
			a.path.turn(0.02, a.worker.number)
			send(reply)
		})
	}
	id := instance.Parse(request.GetInstance())
	for i, s := range request.GetStops() {
		a.then(func() {
			stop := StopRequest{Instance: id, Epoch: request.GetEpoch(), Order: s}
			a.call(orderTimeout, func(w *pathWorker, answer func(any)) { answer(w.stop(stop)) }, func(answer any, kind Kind) {
				reply.Stops[i] = pathResult(answer, kind)
				settle()
			})
		})
	}
	for i, s := range request.GetStarts() {
		a.then(func() { a.start(request, id, s, func(r poolpb.OrderResult_Value) { reply.Starts[i] = r; settle() }) })
	}
}

func (a *pathAgent) start(request *poolpb.OrderRequest, id instance.ID, s *poolpb.StartOrder, settle func(poolpb.OrderResult_Value)) {
	leaseEnd, verdict := a.core.CheckStart(a.path.now, request)
	if verdict != poolpb.OrderResult_OK {
		settle(verdict)
		return
	}
	a.core.StartSent(a.path.now, s)
	a.path.turn(0.01, a.worker.number)
	start := StartRequest{Instance: id, Epoch: request.GetEpoch(), LeaseEnd: leaseEnd, Order: s}
	a.then(func() {
		a.call(orderTimeout, func(w *pathWorker, answer func(any)) { answer(w.start(start)) }, func(answer any, kind Kind) {
			result := pathResult(answer, kind)
			a.core.StartAnswered(s, result)
			settle(result)
		})
	})
}

func pathResult(answer any, kind Kind) poolpb.OrderResult_Value {
	switch kind {
	case 0:
		return answer.(poolpb.OrderResult_Value)
	case KindNoWorker:
		return poolpb.OrderResult_REFUSED
	default:
		return poolpb.OrderResult_UNSETTLED
	}
}
