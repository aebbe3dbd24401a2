package sidecar

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire/poolpb"
)

// As in package holder.
const (
	pathLeaseValidity = 1500 * time.Millisecond
	pathTakeoverAfter = 1900 * time.Millisecond
	pathRenewInterval = 450 * time.Millisecond
	pathSyncWait      = 500 * time.Millisecond
	pathSyncTimeout   = 800 * time.Millisecond
	pathOrderTimeout  = 1200 * time.Millisecond
)

type (
	pathHolder struct {
		pathProcess

		core        *pool.Core
		epoch       uint64
		version     uint64
		confirmedAt time.Time
		committing  bool
		beganAt     time.Time
		links       []*pathLink
		// handledAt is when the last message will be handled: they are handled in order.
		handledAt time.Time
		// cutUntil is when the holder reaches the store again.
		cutUntil time.Time
	}

	pathLink struct {
		holder    *pathHolder
		agent     int
		instance  instance.ID
		committed uint64
		last      *poolpb.SyncReply
		wantFull  bool
	}
)

// takeOver makes a new process hold the pool, whose transaction has just been carried out.
func (p *path) takeOver(sentAt time.Time) {
	p.version++
	p.epoch = p.version
	h := &pathHolder{pathProcess: pathProcess{path: p}, epoch: p.epoch, version: p.version, confirmedAt: sentAt, beganAt: p.now, handledAt: p.now}
	p.holder = h
	p.note("holder %d takes the pool", h.epoch)
	h.then(func() {
		rows := maps.Clone(p.rows)
		h.then(func() { h.load(rows) })
	})
}

func (h *pathHolder) load(rows map[store.Key]store.Row) {
	p := h.path
	h.core = pool.New("pool", pool.DefaultSettings(), func(e pool.Event) {
		if e.Task.Job != "" || e.Worker != "" {
			p.note("holder %d: %s %s run %d %s %s", h.epoch, e.Kind, e.Task, e.Run, e.Worker, e.Detail)
		}
		if e.Kind == pool.EventRunLost {
			p.lost++
		}
	})
	for _, a := range p.agents {
		h.core.AddAgent(p.now, a.name)
	}
	for _, j := range p.jobs {
		h.core.AddJob(p.now, pool.NewJob{Job: j, Version: 1, Checked: true})
	}
	for _, key := range slices.SortedFunc(maps.Keys(rows), func(a, b store.Key) int { return strings.Compare(a.Name, b.Name) }) {
		if err := h.core.RestoreState(p.now, rows[key]); err != nil {
			p.fail("%v", err)
		}
	}
	for i := range p.agents {
		l := &pathLink{holder: h, agent: i, last: &poolpb.SyncReply{}}
		h.links = append(h.links, l)
		h.then(l.run)
	}
	h.tick()
}

// post hands a message to the holder, which handles messages in order.
func (h *pathHolder) post(handle func()) {
	at := h.path.now.Add(h.path.step())
	if at.Before(h.handledAt) {
		at = h.handledAt
	}
	h.handledAt = at
	h.path.after(at.Sub(h.path.now), func() {
		h.do(func() {
			handle()
			h.advance()
		})
	})
}

func (h *pathHolder) tick() {
	at := h.path.now
	h.post(func() { h.core.Tick(at) })
	h.path.after(50*time.Millisecond, func() { h.do(h.tick) })
}

func (h *pathHolder) leaseValid() bool {
	return h.path.now.Before(h.confirmedAt.Add(pathLeaseValidity))
}

func (h *pathHolder) advance() {
	now := h.path.now
	if h.leaseValid() {
		if h.core.NextDecisionIn(now) == 0 {
			h.core.Decide(now)
		}
		for _, orders := range h.core.TakeOrders(now) {
			l := h.links[slices.IndexFunc(h.path.agents, func(a *pathAgent) bool { return a.name == orders.Agent })]
			h.then(func() { l.order(orders) })
		}
	}
	h.commit(now)
	for _, agent := range h.core.TakeCommittedChanged() {
		l := h.links[slices.IndexFunc(h.path.agents, func(a *pathAgent) bool { return a.name == agent })]
		l.instance, l.committed = h.core.Committed(agent)
	}
}

func (h *pathHolder) commit(now time.Time) {
	if h.committing {
		return
	}
	batch := h.core.TakeBatch()
	if batch == nil && now.Sub(h.beganAt) < pathRenewInterval {
		return
	}
	h.committing, h.beganAt = true, now
	h.then(func() { h.attempt(batch, time.Time{}) })
}

// attempt sends a transaction until its outcome is known. Its first attempt that may be carried out was sent at a time.
func (h *pathHolder) attempt(batch *pool.Batch, first time.Time) {
	p := h.path
	sent := p.now
	if first.IsZero() {
		first = sent
	}
	version, settled := h.version, false
	again := func() {
		if !settled {
			settled = true
			h.then(func() { h.attempt(batch, first) })
		}
	}
	if p.now.Before(h.cutUntil) {
		p.after(100*time.Millisecond, func() { h.do(again) })
		return
	}
	p.after(800*time.Millisecond, func() { h.do(again) })
	p.after(p.transit(), func() {
		outcome := h.apply(batch, version)
		p.after(p.transit(), func() {
			h.then(func() {
				if settled || p.now.Before(h.cutUntil) {
					return
				}
				settled = true
				h.settled(batch, map[bool]time.Time{true: sent, false: first}[outcome == pathApplied], outcome)
			})
		})
	})
}

const (
	pathApplied = iota + 1
	pathAppliedBefore
	pathLost
)

// apply carries out a transaction at the store.
func (h *pathHolder) apply(batch *pool.Batch, version uint64) int {
	p := h.path
	switch {
	case p.epoch != h.epoch:
		return pathLost
	case p.version != version:
		return pathAppliedBefore
	}
	p.version++
	if batch != nil {
		for _, w := range batch.Writes {
			if w.Delete {
				delete(p.rows, w.Key)
				continue
			}
			p.rows[w.Key] = store.Row{Key: w.Key, Value: w.Value, Version: p.version}
		}
	}
	return pathApplied
}

func (h *pathHolder) settled(batch *pool.Batch, sent time.Time, outcome int) {
	if outcome == pathLost {
		h.path.note("holder %d has lost the pool", h.epoch)
		h.killed = true
		return
	}
	h.version++
	h.post(func() {
		h.committing = false
		h.confirmedAt = sent
		if batch != nil {
			h.core.BatchCommitted(h.path.now)
		}
	})
}

// send makes a call to an agent, which the agent's present process serves. It gets an answer in time or none.
func (l *pathLink) send(timeout time.Duration, serve func(a *pathAgent, answer func(any)), outcome func(answer any)) {
	h := l.holder
	p, settled := h.path, false
	settle := func(answer any) {
		h.then(func() {
			if !settled {
				settled = true
				outcome(answer)
			}
		})
	}
	p.after(timeout, func() { settle(nil) })
	p.after(p.transit(), func() {
		a := p.agents[l.agent]
		if p.now.Before(a.cutUntil) && p.chance(0.7) {
			return
		}
		p.after(max(0, a.cutUntil.Sub(p.now)), func() {
			a.then(func() {
				serve(a, func(answer any) {
					p.after(max(0, a.cutUntil.Sub(p.now)), func() { p.after(p.transit(), func() { settle(answer) }) })
				})
			})
		})
	})
}

// run renews the agent's lease.
func (l *pathLink) run() {
	l.sync(pathSyncWait, func(known string, reply *poolpb.SyncReply) {
		if reply == nil {
			l.holder.path.after(l.holder.path.between(200*time.Millisecond, 800*time.Millisecond), func() { l.holder.do(l.run) })
			return
		}
		l.holder.then(func() {
			l.deliver(known, reply)
			l.holder.then(l.run)
		})
	})
}

func (l *pathLink) sync(wait time.Duration, outcome func(known string, reply *poolpb.SyncReply)) {
	h := l.holder
	request := &poolpb.SyncRequest{
		Epoch: h.epoch, LeaseToken: l.last.GetLeaseToken(), Incarnation: l.last.GetIncarnation(),
		Instance: l.instance.String(), Committed: l.committed, SeenReport: l.last.GetReport(), WaitMs: int32(wait.Milliseconds()),
	}
	if l.wantFull {
		request.SeenReport = 0
	}
	h.then(func() {
		if h.leaseValid() {
			request.LeaseMs = int32(pool.DefaultSettings().AgentLease.Milliseconds())
		}
		h.then(func() {
			l.send(wait+pathSyncTimeout, func(a *pathAgent, answer func(any)) {
				a.sync(request, func(r *poolpb.SyncReply) { answer(r) })
			}, func(answer any) {
				reply, _ := answer.(*poolpb.SyncReply)
				outcome(request.GetIncarnation(), reply)
			})
		})
	})
}

// deliver is as in package holder.
func (l *pathLink) deliver(known string, reply *poolpb.SyncReply) {
	same := reply.GetIncarnation() == l.last.GetIncarnation()
	if same && reply.GetLeaseToken() <= l.last.GetLeaseToken() || !same && known != l.last.GetIncarnation() {
		return
	}
	l.last = reply
	l.wantFull = l.wantFull && reply.GetWorker() == nil
	h, at := l.holder, l.holder.path.now
	h.post(func() { l.handle(at, reply) })
}

func (l *pathLink) handle(at time.Time, reply *poolpb.SyncReply) {
	h, name := l.holder, l.holder.path.agents[l.agent].name
	if reply.GetOldEpoch() {
		h.killed = true
		return
	}
	h.core.RecordReply(at, name, pool.Grant{Incarnation: reply.GetIncarnation(), Reading: time.Duration(reply.GetLeaseToken())})
	if w := reply.GetWorker(); w != nil {
		h.core.Report(at, name, pathReport(reply.GetIncarnation(), w))
		return
	}
	l.wantFull = l.wantFull || h.core.NeedsReport(name)
}

func (l *pathLink) order(orders pool.Orders) {
	h := l.holder
	settle := func(reply *poolpb.OrderReply) {
		if reply.GetOldEpoch() {
			h.killed = true
			return
		}
		results := pool.Results{Listing: reply.GetListing()}
		for _, r := range reply.GetStarts() {
			results.Starts = append(results.Starts, pathResults[r])
		}
		for _, r := range reply.GetStops() {
			results.Stops = append(results.Stops, pathResults[r])
		}
		h.post(func() { h.core.HandleResults(h.path.now, orders, results) })
	}
	if !h.leaseValid() {
		settle(&poolpb.OrderReply{})
		return
	}
	request := &poolpb.OrderRequest{
		Epoch: h.epoch, Instance: orders.Instance.String(), Incarnation: orders.Grant.Incarnation,
		LeaseToken: int64(orders.Grant.Reading), LeaseMs: int32(orders.StartsFor.Milliseconds()),
	}
	for _, s := range orders.Starts {
		request.Starts = append(request.Starts, &poolpb.StartOrder{Task: s.Task.String(), Run: int32(s.Run)})
	}
	for _, s := range orders.Stops {
		request.Stops = append(request.Stops, &poolpb.StopOrder{Task: s.Task.String(), Run: int32(s.Run)})
	}
	h.then(func() {
		l.send(pathOrderTimeout, func(a *pathAgent, answer func(any)) {
			a.order(request, func(r *poolpb.OrderReply) { answer(r) })
		}, func(answer any) {
			reply, ok := answer.(*poolpb.OrderReply)
			if !ok {
				reply = &poolpb.OrderReply{}
			}
			settle(reply)
		})
	})
}

var (
	pathResults = map[poolpb.OrderResult_Value]pool.Result{
		poolpb.OrderResult_OK: pool.ResultOK, poolpb.OrderResult_ROOM: pool.ResultNoCapacity, poolpb.OrderResult_OLD_RUN: pool.ResultOldRun,
		poolpb.OrderResult_LATE: pool.ResultLate, poolpb.OrderResult_FENCED: pool.ResultFenced, poolpb.OrderResult_OTHER_INSTANCE: pool.ResultOtherInstance,
		poolpb.OrderResult_REFUSED: pool.ResultRefused, poolpb.OrderResult_DRAINING: pool.ResultDraining,
	}
	pathEnds = map[poolpb.EndKind_Value]pool.EndKind{
		poolpb.EndKind_DONE: pool.EndDone, poolpb.EndKind_STOPPED: pool.EndStopped, poolpb.EndKind_LAPSED: pool.EndLapsed,
	}
	pathLapses = map[poolpb.Lapse_Value]pool.Lapse{
		poolpb.Lapse_CRASHED: pool.LapseCrashed, poolpb.Lapse_LEFT: pool.LapseLeft, poolpb.Lapse_SILENT: pool.LapseSilent,
	}
)

// pathReport converts a report as package holder does.
func pathReport(incarnation string, w *poolpb.WorkerState) pool.Report {
	r := pool.Report{
		Incarnation: incarnation, Instance: instance.Parse(w.GetInstance()), Draining: w.GetDraining(), NotReady: w.GetNotReady(),
		Capacity: job.Shape{CPUMillis: int(w.GetCpuMillis()), MemoryMB: int(w.GetMemoryMb())},
		Rack:     w.GetRack(), Listing: w.GetListing(), Lapsed: w.GetLapsed(), Lapse: pathLapses[w.GetLapse()],
	}
	for _, x := range w.GetRunning() {
		if task, ok := job.ParseTaskID(x.GetTask()); ok {
			r.Running = append(r.Running, pool.Running{Task: task, Run: int(x.GetRun()), Percent: int(x.GetPercent())})
		}
	}
	for _, e := range w.GetEnded() {
		task, _ := job.ParseTaskID(e.GetTask())
		r.Ended = append(r.Ended, pool.Ended{Number: e.GetNumber(), Task: task, Run: int(e.GetRun()), Kind: pathEnds[e.GetKind()]})
	}
	return r
}

// watchLease takes the pool over when its lease has not changed for long enough.
func (p *path) watchLease() {
	version, since := uint64(0), time.Time{}
	var watch func()
	watch = func() {
		sent := p.now
		p.after(p.transit(), func() {
			read := p.version
			p.after(p.transit(), func() {
				switch {
				case p.now.Sub(sent) > 800*time.Millisecond:
					since = time.Time{} // the read has failed
				case read != version || since.IsZero():
					version, since = read, p.now
				case sent.Sub(since) >= pathTakeoverAfter:
					asked := p.now
					p.after(p.transit(), func() {
						if p.version == version {
							p.takeOver(asked)
						}
					})
				}
				p.after(p.between(150*time.Millisecond, 250*time.Millisecond), watch)
			})
		})
	}
	watch()
}

func pathJob(number int, now time.Time) job.Job {
	return job.Job{
		ID: job.ID(fmt.Sprintf("%016x", number)), Spec: "work", Accepted: now, Terms: job.Terms{Attempts: 3},
		Steps: []job.Step{{Count: 3, Shape: job.Shape{CPUMillis: 1000, MemoryMB: 1000}, Estimate: 3 * time.Second}},
	}
}
