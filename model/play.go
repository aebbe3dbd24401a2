package model

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
)

const (
	poolName = "pool"
	// tail is how long a play goes on after the last arrival.
	tail = 20 * time.Second
	// decideEvery is how far apart decisions are at least, tickEvery at most.
	decideEvery = 10 * time.Millisecond
	tickEvery   = 50 * time.Millisecond
	// leaseHeld is how long a holder acts after the store last confirmed its lease, leaseTaken after how long
	// another takes the pool, and readTakes how long it reads it.
	leaseHeld  = 1500 * time.Millisecond
	leaseTaken = 1900 * time.Millisecond
	readTakes  = 150 * time.Millisecond
	// commitTimeout is how long an answer of the store is waited for.
	commitTimeout = 800 * time.Millisecond
	// retrySubmit is how long callers wait who were turned away since the store was silent.
	retrySubmit = 250 * time.Millisecond
)

// start is when plays begin. Only differences count.
var start = time.Unix(1000, 0)

// play is one play of a workload.
type play struct {
	load     Workload
	settings pool.Settings
	seed     uint64
	now      time.Time
	queue    eventQueue
	core     *pool.Core
	// epoch counts the holders; absent says that there is none at present.
	epoch     int
	absent    bool
	rows      map[store.Key]store.Row
	version   uint64
	workers   []*worker
	byName    map[string]*worker
	arrivals  map[job.ID]*Arrival
	runs      map[runKey]*run
	outcome   *Outcome
	kinds     map[job.ID]*jobOutcome
	decided   time.Time
	deciding  bool
	slowStore float64
	// silentFrom and silentUntil are when the store was silent last.
	silentFrom, silentUntil time.Time
	err                     error
}

// Play plays a workload under settings.
func Play(load Workload, settings pool.Settings, seed uint64) (*Outcome, error) {
	p := &play{
		load:      load,
		settings:  settings,
		seed:      seed,
		now:       start,
		rows:      map[store.Key]store.Row{},
		byName:    map[string]*worker{},
		arrivals:  map[job.ID]*Arrival{},
		runs:      map[runKey]*run{},
		kinds:     map[job.ID]*jobOutcome{},
		outcome:   newOutcome(load),
		slowStore: 1,
	}
	for i := range load.Pool.Workers {
		w := newWorker(p, i)
		p.workers = append(p.workers, w)
		p.byName[w.name] = w
	}
	p.takeOver()
	for i, w := range p.workers {
		stagger := reportEvery * time.Duration(i) / time.Duration(len(p.workers))
		p.after(stagger, func() { p.reportOften(w) })
	}
	for _, a := range load.Draw(seed) {
		p.arrivals[a.Job.ID] = &a
		p.kinds[a.Job.ID] = p.outcome.arrived(a)
		p.after(a.At, func() { p.submit(&a) })
	}
	for _, t := range load.Troubles {
		p.plan(t)
	}
	p.after(0, p.tick)
	end := start.Add(load.Length + tail)
	for len(p.queue.events) > 0 && p.err == nil {
		e := p.queue.next()
		if e.at.After(end) {
			break
		}
		p.now = e.at
		e.do()
	}
	if p.err != nil {
		return nil, p.err
	}
	p.outcome.finish(p)
	return p.outcome, nil
}

func (p *play) after(d time.Duration, do func()) {
	p.queue.add(p.now.Add(d), do)
}

// afterOfHolder is for what the present holder alone waits for.
func (p *play) afterOfHolder(d time.Duration, do func()) {
	epoch := p.epoch
	p.after(d, func() {
		if p.epoch == epoch && !p.absent {
			do()
		}
	})
}

// clock is the reading of the store's steady clock.
func (p *play) clock() time.Duration {
	return p.now.Sub(start)
}

func (p *play) silent() bool {
	return p.now.Before(p.silentUntil)
}

// submit accepts a job, when the store answers.
func (p *play) submit(a *Arrival) {
	if p.silent() {
		p.after(p.silentUntil.Sub(p.now)+retrySubmit, func() { p.submit(a) })
		return
	}
	p.after(p.storeTakes(), func() { p.accept(a) })
}

func (p *play) accept(a *Arrival) {
	a.Job.Accepted = p.now
	key := pool.JobKey(poolName, a.Job.ID)
	p.version++
	p.rows[key] = store.Row{Key: key, Value: pool.Encode(pool.JobRow(a.Job, p.clock())), Version: p.version}
	if !p.absent {
		p.core.AddJob(p.now, a.Job)
		p.decideSoon()
	}
}

func (p *play) storeTakes() time.Duration {
	return time.Duration(float64(p.load.Pool.StoreTakes) * p.slowStore)
}

// lose ends the present holder's part; another takes the pool after a time.
func (p *play) lose(takenAfter time.Duration) {
	p.absent = true
	p.epoch++
	epoch := p.epoch
	p.after(takenAfter, func() {
		if p.epoch == epoch {
			p.takeOver()
		}
	})
}

// takeOver makes another holder of the pool, from its rows alone.
func (p *play) takeOver() {
	p.epoch++
	p.absent = false
	p.core = pool.New(poolName, p.settings, nil)
	for _, w := range p.workers {
		p.core.AddAgent(p.now, w.name)
	}
	keys := slices.SortedFunc(maps.Keys(p.rows), func(a, b store.Key) int { return strings.Compare(a.Name, b.Name) })
	for _, key := range keys {
		if key.Table == pool.IntakeTable {
			p.restoreJob(p.rows[key])
		}
	}
	for _, key := range keys {
		if key.Table != pool.StateTable {
			continue
		}
		if err := p.core.RestoreState(p.now, p.rows[key]); err != nil {
			p.err = &Error{Op: "restore a state", Kind: KindRow, Err: err}
		}
	}
	p.decideSoon()
}

func (p *play) restoreJob(row store.Row) {
	item, err := pool.DecodeIntake(row, pool.Clock{Now: p.now, Store: p.clock()})
	if err != nil {
		p.err = &Error{Op: "restore a job", Kind: KindRow, Err: err}
		return
	}
	if j, ok := item.(pool.NewJob); ok {
		p.core.AddJob(p.now, j.Job)
	}
}

// tick does what is due without an event.
func (p *play) tick() {
	p.after(tickEvery, p.tick)
	if p.silent() && !p.absent && p.now.Sub(p.silentFrom) > leaseHeld {
		p.lose(p.silentUntil.Sub(p.now) + readTakes)
	}
	p.outcome.sample(p)
	p.decideSoon()
}

// decideSoon has the holder decide, not sooner than it may.
func (p *play) decideSoon() {
	if p.deciding {
		return
	}
	p.deciding = true
	p.after(max(0, p.decided.Add(decideEvery).Sub(p.now)), p.decide)
}

// decide does what the holder does after messages.
func (p *play) decide() {
	p.deciding = false
	p.decided = p.now
	if p.absent {
		return
	}
	p.core.Tick(p.now)
	p.core.Decide(p.now)
	p.give()
	p.commit()
}

// give sends the orders that are due.
func (p *play) give() {
	list := p.core.TakeOrders(p.now)
	slices.SortFunc(list, func(a, b pool.Orders) int { return strings.Compare(a.Agent, b.Agent) })
	for _, orders := range list {
		p.afterOfHolder(orderTakes, func() {
			results := p.byName[orders.Agent].carryOut(orders)
			p.afterOfHolder(answerTakes, func() {
				p.core.TakeResults(p.now, orders, results)
				p.decideSoon()
			})
		})
	}
}

// commit has the store commit what has changed.
func (p *play) commit() {
	batch := p.core.TakeBatch()
	if batch == nil {
		return
	}
	takes := p.storeTakes()
	epoch := p.epoch
	p.after(takes, func() {
		if p.silent() {
			p.afterOfHolder(commitTimeout-takes, p.core.BatchFailed)
			return
		}
		if p.epoch == epoch {
			p.write(batch)
		}
	})
}

func (p *play) write(batch *pool.Batch) {
	p.version++
	for _, w := range batch.Writes {
		if w.Delete {
			delete(p.rows, w.Key)
			continue
		}
		row := store.Row{Key: w.Key, Value: w.Value, Version: p.version}
		p.rows[w.Key] = row
		p.noteState(row)
	}
	p.core.BatchCommitted(p.now)
	for _, name := range p.core.TakeCommitted() {
		id, committed := p.core.Committed(name)
		p.byName[name].forget(id, committed)
	}
	p.give()
	p.decideSoon()
}

// noteState takes over that callers can see how a job ended.
func (p *play) noteState(row store.Row) {
	o := p.kinds[job.ID(lastPart(row.Key.Name))]
	if o == nil || row.Key.Table != pool.StateTable {
		return
	}
	state, err := pool.StateOf(row)
	if err != nil {
		p.err = &Error{Op: "read a state", Kind: KindRow, Err: err}
		return
	}
	o.note(state, p.clock())
}

func lastPart(name string) string {
	return name[strings.LastIndexByte(name, '/')+1:]
}

// reportOften has an agent report, again and again.
func (p *play) reportOften(w *worker) {
	p.after(reportEvery, func() { p.reportOften(w) })
	if p.now.After(w.leaseUntil) && !w.leaseUntil.IsZero() {
		p.lapse(w)
	}
	p.report(w)
}

// reportSoon has an agent report news.
func (p *play) reportSoon(w *worker) {
	if w.told {
		return
	}
	w.told = true
	p.after(newsTakes, func() {
		w.told = false
		p.report(w)
	})
}

func (p *play) report(w *worker) {
	if p.absent || w.down && !w.noticed {
		return
	}
	w.leaseUntil = p.now.Add(p.settings.AgentLease)
	p.core.Heard(p.now, w.name, pool.Grant{Incarnation: "agent", Reading: p.clock()})
	p.core.Report(p.now, w.name, w.report())
	p.decideSoon()
}

// runOf returns the run that a start belongs to.
func (p *play) runOf(a *Arrival, s pool.Start) *run {
	key := keyOf(a, s)
	r, known := p.runs[key]
	if known && !r.over {
		return r
	}
	resumed := progressOf(s.Saved)
	r = &run{key: key, arrival: a, done: resumed, resumed: resumed, updated: p.now, failsAt: luck(p.seed, a, p.load.Kinds[a.Kind], key)}
	if r.failsAt < resumed {
		r.failsAt = resumed
	}
	p.runs[key] = r
	return r
}

func (p *play) started(a *Arrival) {
	p.kinds[a.Job.ID].noteStart(p.clock())
}

// ready is when a task has started.
func (p *play) ready(m *member) {
	if m.run.over || m.worker.members[m.name()] != m {
		return
	}
	m.ready = true
	if m.worker.fails {
		p.after(failsWithin, func() { p.endMember(m, pool.EndFailed) })
		return
	}
	p.changeRate(m.run)
	p.reportSoon(m.worker)
}

// alone ends a task whose gang is not complete.
func (p *play) alone(m *member) {
	if m.run.begun.IsZero() {
		p.endMember(m, pool.EndAlone)
	}
}

// changeRate takes over what makes a run faster or slower, and when it ends by that.
func (p *play) changeRate(r *run) {
	r.setRate(p.now, p.settings.FarFactor)
	in, fails, ok := r.endsIn()
	if !ok {
		return
	}
	changes := r.changes
	p.after(in, func() {
		if r.over || r.changes != changes {
			return
		}
		if fails {
			p.endMember(r.members[0], pool.EndFailed)
			return
		}
		p.done(r)
	})
}

// done ends all tasks of a run well.
func (p *play) done(r *run) {
	r.settle(p.now)
	r.over = true
	p.outcome.noteRun(r, r.arrival.Work.Seconds(), p.now)
	for _, m := range r.members {
		m.end(pool.EndDone, "")
		p.reportSoon(m.worker)
	}
}

// endMember ends a task of a run before its time, and the others soon after.
func (p *play) endMember(m *member, kind pool.EndKind) {
	if m.worker.members[m.name()] != m {
		return
	}
	r := m.run
	r.settle(p.now)
	token := p.token(r)
	if kind == pool.EndFailed {
		token = ""
	}
	if !r.over {
		r.over = true
		p.outcome.noteRun(r, progressOf(token), p.now)
		for _, other := range r.members {
			p.after(breakTakes, func() { p.endMember(other, pool.EndBroken) })
		}
	}
	m.end(kind, token)
	p.reportSoon(m.worker)
}

// lapse ends all that runs on a worker whose lease has ended.
func (p *play) lapse(w *worker) {
	for _, m := range w.inOrder() {
		p.endMember(m, pool.EndLapsed)
	}
}

// crash ends a worker's process.
func (p *play) crash(w *worker) {
	if w.down {
		return
	}
	w.down, w.noticed = true, false
	for _, m := range w.inOrder() {
		p.endMember(m, pool.EndBroken)
	}
	w.ended = nil
	p.after(noticeTakes, func() {
		w.noticed = w.down
		p.report(w)
	})
}

// restart starts a worker's process again, as another instance.
func (p *play) restart(w *worker) {
	w.down = false
	w.lives++
	w.instance = instance.New(w.name, w.lives)
	w.number = 0
	w.ended = nil
	w.highest = map[job.TaskID]int{}
	p.reportSoon(w)
}

func (m *member) name() taskRun {
	return taskRun{task: m.task, run: m.run.key.run}
}

// end notes the end of a task at its worker.
func (m *member) end(kind pool.EndKind, saved string) {
	w := m.worker
	delete(w.members, m.name())
	w.highest[m.task] = max(w.highest[m.task], m.run.key.run)
	w.number++
	w.ended = append(w.ended, pool.Ended{Number: w.number, Task: m.task, Run: m.run.key.run, Kind: kind, Saved: saved})
}

// inOrder returns what runs on a worker, in an order that does not change from play to play.
func (w *worker) inOrder() []*member {
	members := slices.Collect(maps.Values(w.members))
	slices.SortFunc(members, func(a, b *member) int {
		return strings.Compare(fmt.Sprint(a.task, a.run.key.run), fmt.Sprint(b.task, b.run.key.run))
	})
	return members
}
