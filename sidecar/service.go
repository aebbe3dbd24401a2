package sidecar

import (
	"context"
	"fmt"
	"sync"
	"time"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/wire/poolpb"
)

// Service is what an agent serves to holders by net/rpc.
type Service struct {
	agent *Agent
}

// Service returns the agent's service.
func (a *Agent) Service() *Service {
	return &Service{agent: a}
}

// Sync renews the agent's lease. The answer waits until there is news.
func (s *Service) Sync(request *poolpb.SyncRequest, reply *poolpb.SyncReply) error {
	a := s.agent
	old, news := a.sync(a.clock.Now(), request)
	if !old && news != nil {
		wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maxSyncWait)
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-news:
		case <-timer.C:
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	answer := a.core.Reply(a.clock.Now(), request)
	reply.OldEpoch = old
	reply.Epoch = answer.GetEpoch()
	reply.Incarnation = answer.GetIncarnation()
	reply.LeaseToken = answer.GetLeaseToken()
	reply.Report = answer.GetReport()
	reply.Worker = answer.GetWorker()
	return nil
}

// Order carries out orders and says what became of each.
func (s *Service) Order(request *poolpb.OrderRequest, reply *poolpb.OrderReply) error {
	a := s.agent
	a.mu.Lock()
	old := a.core.MeetEpoch(request.GetEpoch())
	reply.Epoch = a.core.epoch
	a.mu.Unlock()
	if old {
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
	together(work)
	a.mu.Lock()
	reply.Listing = a.core.asked
	a.core.TellNext()
	a.mu.Unlock()
	a.prompt()
	return nil
}

// together does pieces of work side by side, a bounded number at once.
func together(work []func()) {
	slots := make(chan struct{}, parallelOrders)
	var running sync.WaitGroup
	for _, piece := range work {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			piece()
		})
	}
	running.Wait()
}

// start gives a start to the worker, unless what it rests on has ended by now.
func (a *Agent) start(ctx context.Context, request *poolpb.OrderRequest, order *poolpb.StartOrder) poolpb.OrderResult_Value {
	a.mu.Lock()
	until, verdict := a.core.StartUntil(a.now(), request)
	if verdict == poolpb.OrderResult_OK {
		a.core.StartGiven(a.now(), order)
	}
	a.mu.Unlock()
	if verdict != poolpb.OrderResult_OK {
		a.logOrder("start", order.GetTask(), order.GetRun(), verdict, nil)
		return verdict
	}
	result, err := a.worker.Start(ctx, StartTask{
		Instance: instance.Parse(request.GetInstance()),
		Epoch:    request.GetEpoch(),
		Until:    until,
		Order:    order,
	})
	a.mu.Lock()
	a.core.StartAnswered(order, result)
	a.mu.Unlock()
	a.logOrder("start", order.GetTask(), order.GetRun(), result, err)
	return result
}

func (a *Agent) stop(ctx context.Context, request *poolpb.OrderRequest, order *poolpb.StopOrder) poolpb.OrderResult_Value {
	result, err := a.worker.Stop(ctx, StopTask{
		Instance: instance.Parse(request.GetInstance()),
		Epoch:    request.GetEpoch(),
		Order:    order,
	})
	a.logOrder("stop", order.GetTask(), order.GetRun(), result, err)
	return result
}

func (a *Agent) logOrder(what, task string, run int32, result poolpb.OrderResult_Value, err error) {
	a.metrics.GetOrCreateCounter(fmt.Sprintf(`hollyfork_sidecar_orders_total{order=%q,result=%q}`, what, result)).Inc()
	entry := a.logger.Info()
	if err != nil {
		entry = a.logger.Warn().Err(err)
	}
	entry.Str("order", what).Str("task", task).Int32("run", run).Str("result", result.String()).Msg("agent: gave an order to the worker")
}
