package sidecar

import (
	"context"
	"sync"
	"time"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/wire/poolpb"
)

// Service is the net/rpc service of an agent, which holders call.
type Service struct {
	agent *Agent
}

// Service returns the net/rpc service of the agent.
func (a *Agent) Service() *Service {
	return &Service{agent: a}
}

// Sync renews the agent's lease. If the holder has seen the current report, the reply is delayed until the report
// changes or the requested wait has passed.
func (s *Service) Sync(request *poolpb.SyncRequest, reply *poolpb.SyncReply) error {
	a := s.agent
	stale, changed := a.sync(a.clock.Now(), request)
	if !stale && changed != nil {
		wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maxSyncWait)
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	answer := a.core.Reply(a.clock.Now(), request)
	reply.OldEpoch = stale
	reply.Epoch = answer.GetEpoch()
	reply.Incarnation = answer.GetIncarnation()
	reply.LeaseToken = answer.GetLeaseToken()
	reply.Report = answer.GetReport()
	reply.Worker = answer.GetWorker()
	return nil
}

// Order carries out orders, and returns the result of each.
func (s *Service) Order(request *poolpb.OrderRequest, reply *poolpb.OrderReply) error {
	a := s.agent
	a.mu.Lock()
	stale := a.core.ObserveOrder(request)
	reply.Epoch = a.core.epoch
	reply.Incarnation = a.core.incarnation
	if stale {
		a.logEarlierHolder(request.GetEpoch(), "order")
	}
	a.mu.Unlock()
	if stale {
		reply.OldEpoch = true
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	reply.Starts = make([]poolpb.OrderResult_Value, len(request.GetStarts()))
	reply.Stops = make([]poolpb.OrderResult_Value, len(request.GetStops()))
	var work []func()
	for i, order := range request.GetStops() {
		work = append(work, func() { reply.Stops[i] = a.stop(ctx, request, order) })
	}
	for i, order := range request.GetStarts() {
		work = append(work, func() { reply.Starts[i] = a.start(ctx, request, order) })
	}
	runParallel(work)
	a.mu.Lock()
	reply.Listing = a.core.pollNumber
	a.core.ReportNextListing()
	a.mu.Unlock()
	a.pollNow()
	return nil
}

// runParallel runs functions concurrently, at most maxParallelOrders at a time, and waits for all of them.
func runParallel(work []func()) {
	slots := make(chan struct{}, maxParallelOrders)
	var running sync.WaitGroup
	for _, task := range work {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			task()
		})
	}
	running.Wait()
}

// start sends a start to the worker, unless CheckStart rejects it. The check is repeated for each start, since leases
// may have ended while the start waited for its turn.
func (a *Agent) start(ctx context.Context, request *poolpb.OrderRequest, order *poolpb.StartOrder) poolpb.OrderResult_Value {
	a.mu.Lock()
	leaseEnd, verdict := a.core.CheckStart(a.now(), request)
	if verdict == poolpb.OrderResult_OK {
		a.core.StartSent(a.now(), order)
	}
	a.mu.Unlock()
	handled := handledOrder{order: "start", task: order.GetTask(), run: order.GetRun(), epoch: request.GetEpoch(), result: verdict}
	if verdict != poolpb.OrderResult_OK {
		a.logOrder(handled)
		return verdict
	}
	handled.leaseEnd, handled.sentAt = leaseEnd, a.clock.Now()
	result, err := a.worker.Start(ctx, StartRequest{
		Instance: instance.Parse(request.GetInstance()),
		Epoch:    request.GetEpoch(),
		LeaseEnd: leaseEnd,
		Order:    order,
	})
	a.mu.Lock()
	a.core.StartAnswered(order, result)
	a.mu.Unlock()
	handled.result, handled.err = result, err
	a.logOrder(handled)
	return result
}

func (a *Agent) stop(ctx context.Context, request *poolpb.OrderRequest, order *poolpb.StopOrder) poolpb.OrderResult_Value {
	sentAt := a.clock.Now()
	result, err := a.worker.Stop(ctx, StopRequest{
		Instance: instance.Parse(request.GetInstance()),
		Epoch:    request.GetEpoch(),
		Order:    order,
	})
	a.logOrder(handledOrder{order: "stop", task: order.GetTask(), run: order.GetRun(), epoch: request.GetEpoch(), result: result, err: err, sentAt: sentAt})
	return result
}
