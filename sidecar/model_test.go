package sidecar

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/wire/poolpb"
)

// modelLease is for how long a holder of the model gives leases.
const modelLease = 4500 * time.Millisecond

// clockBegan is when all clocks of the model's workers began.
var clockBegan = start.Add(-time.Hour)

type (
	// modelWorker is the instance of a worker that lives. All of them have one name.
	modelWorker struct {
		id        instance.ID
		sequence  uint64
		leaves    bool
		noticedAt time.Time
		number    uint64
		running   map[string]bool
		highest   map[string]int32
		ended     []*poolpb.EndedTask
		read      map[uint64]bool
	}

	// modelMessage is one that is under way: a heartbeat, a word of leaving, a question or its answer, or a start.
	modelMessage struct {
		beat    *Heartbeat
		leave   bool
		hold    *Hold
		number  uint64
		listing *Listing
		start   *poolpb.StartOrder
		agent   string
		// until is when it can't arrive any more.
		until time.Time
	}

	// livesModel is an agent and its worker, with messages between them that come late, again or never, and instances
	// that follow each other at any time. It plays the holder's part as far as the agent sees it.
	livesModel struct {
		now    time.Time
		agent  *Core
		agents int
		epoch  uint64
		worker *modelWorker
		born   int64
		// asking is the question that the agent waits for, nil for none; it asks one at a time.
		asking *modelMessage
		late   []modelMessage
		runs   int
		// noted are the ends that the worker was let forget.
		noted map[string]bool
	}
)

func newLivesModel() *livesModel {
	m := &livesModel{now: start, epoch: 7, noted: map[string]bool{}}
	m.restartAgent(nil)
	m.restartWorker(nil)
	return m
}

func (m *livesModel) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 50, 400, 3000, 7000}).Draw(t, "ms")) * time.Millisecond)
	m.late = slices.DeleteFunc(m.late, func(x modelMessage) bool { return m.now.After(x.until) })
}

// restartWorker begins another instance, whose time of day may have been set back.
func (m *livesModel) restartWorker(t *rapid.T) {
	m.born++
	born := m.born
	if t != nil && rapid.Bool().Draw(t, "set back") {
		born = 1_000_000 - m.born
	}
	m.worker = &modelWorker{id: instance.New("worker", born), running: map[string]bool{}, highest: map[string]int32{}, read: map[uint64]bool{}}
}

// restartAgent loses an agent's memory. What it had given the worker does not come any more, nor the answers to it.
func (m *livesModel) restartAgent(*rapid.T) {
	m.agents++
	m.now = m.now.Add(time.Millisecond)
	m.agent = NewCore(m.now, fmt.Sprintf("agent %d", m.agents))
	m.asking = nil
	m.late = slices.DeleteFunc(m.late, func(x modelMessage) bool { return x.start != nil || x.hold != nil })
	m.renew(nil)
}

// changeHolder has another holder call.
func (m *livesModel) changeHolder(*rapid.T) {
	m.epoch++
	m.renew(nil)
}

// renew gives a lease, and says that all ends are committed that the agent lists.
func (m *livesModel) renew(*rapid.T) {
	request := &poolpb.SyncRequest{
		Epoch: m.epoch, Incarnation: m.agent.incarnation, LeaseToken: int64(m.now.Sub(m.agent.began)),
		LeaseMs: int32(modelLease.Milliseconds()), Instance: m.agent.beat.Instance.String(),
	}
	if ended := m.agent.listing.Ended; len(ended) > 0 {
		request.Committed = ended[len(ended)-1].GetNumber()
	}
	m.agent.Sync(request)
}

// leaves has the worker say from now on that it leaves.
func (m *livesModel) leaves(*rapid.T) { m.worker.leaves = true }

// heartbeat sends one, which arrives at once; a copy may come late.
func (m *livesModel) heartbeat(t *rapid.T) {
	w := m.worker
	w.sequence++
	beat := Heartbeat{Instance: w.id, Sequence: w.sequence, Clock: m.now.Sub(clockBegan), Draining: w.leaves}
	if rapid.Bool().Draw(t, "also late") {
		m.late = append(m.late, modelMessage{beat: &beat, until: m.now.Add(time.Minute)})
	}
	if m.agent.Heartbeat(beat).Acknowledges() && w.leaves && w.noticedAt.IsZero() {
		w.noticedAt = m.now
	}
}

// leave says that the worker has ended, and ends it.
func (m *livesModel) leave(t *rapid.T) {
	m.late = append(m.late, modelMessage{leave: true, until: m.now.Add(time.Minute)})
	m.restartWorker(t)
}

// ask has the agent ask, if it waits for no answer.
func (m *livesModel) ask(*rapid.T) {
	if m.asking != nil {
		return
	}
	if hold, number, ok := m.agent.NextHold(m.now); ok {
		m.asking = &modelMessage{hold: &hold, number: number, agent: m.agent.incarnation}
	}
}

// answer carries the question out, and lets the agent have the answer, at once or after what comes before.
func (m *livesModel) answer(t *rapid.T) {
	switch {
	case m.asking == nil:
		m.ask(t)
	case m.asking.listing == nil:
		m.carryOut(t, m.asking)
	default:
		x := m.asking
		m.asking = nil
		m.agent.Listed(m.now, *x.hold, x.number, *x.listing)
		for _, order := range m.agent.TakeRecalled() {
			m.stop(order)
		}
	}
}

// carryOut has the worker answer a question.
func (m *livesModel) carryOut(t *rapid.T, x *modelMessage) {
	w := m.worker
	w.ended = slices.DeleteFunc(w.ended, func(e *poolpb.EndedTask) bool {
		if e.GetNumber() > x.hold.Committed {
			return false
		}
		if !w.read[e.GetNumber()] {
			t.Fatalf("the end of %s, %d of %s, is forgotten unread", e.GetTask(), e.GetNumber(), w.id)
		}
		m.noted[e.GetTask()] = true
		return true
	})
	listing := Listing{Instance: w.id, Clock: m.now.Sub(clockBegan), Ended: slices.Clone(w.ended)}
	for task := range w.running {
		listing.Running = append(listing.Running, &poolpb.RunningTask{Task: task, Run: 1})
	}
	for _, e := range w.ended {
		w.read[e.GetNumber()] = true
	}
	x.listing = &listing
}

// lose has a question go unanswered: it was carried out or not, or is so later.
func (m *livesModel) lose(t *rapid.T) {
	x := m.asking
	if x == nil || x.listing != nil {
		return
	}
	m.asking = nil
	m.late = append(m.late, modelMessage{hold: x.hold, until: m.now.Add(longestLease)})
	kind := rapid.SampledFrom([]Kind{KindUnanswered, KindNoWorker}).Draw(t, "kind")
	if kind == KindNoWorker {
		m.late = m.late[:len(m.late)-1] // nobody was there to get it
	}
	m.agent.HoldFailed(m.now, *x.hold, x.number, kind)
}

// order gives a start for the instance that the agent tells of. Its answer may be lost, and a copy come late. No question that
// lets the worker forget ends is under way: that it takes as long as a task runs is a case that is left.
func (m *livesModel) order(t *rapid.T) {
	if m.asking != nil && m.asking.hold.Committed > 0 {
		return
	}
	request := &poolpb.OrderRequest{
		Epoch: m.epoch, Instance: m.agent.beat.Instance.String(), Incarnation: m.agent.incarnation,
		LeaseToken: int64(m.now.Sub(m.agent.began)), LeaseMs: int32(modelLease.Milliseconds()),
	}
	if _, verdict := m.agent.StartUntil(m.now, request); verdict != poolpb.OrderResult_OK {
		return
	}
	if w := m.worker; !w.noticedAt.IsZero() {
		t.Fatalf("a start is given to %s, %s after its notice was acknowledged", w.id, m.now.Sub(w.noticedAt))
	}
	m.runs++
	order := &poolpb.StartOrder{Task: fmt.Sprintf("%d.0.0.0", m.runs), Run: 1}
	m.agent.StartGiven(m.now, order)
	if rapid.Bool().Draw(t, "late") {
		m.late = append(m.late, modelMessage{start: order, until: m.now.Add(longestLease)})
		m.agent.StartAnswered(order, poolpb.OrderResult_UNSETTLED)
		return
	}
	m.begin(order)
	m.agent.StartAnswered(order, poolpb.OrderResult_OK)
}

// begin starts a task on whichever instance lives.
func (m *livesModel) begin(order *poolpb.StartOrder) {
	if order.GetRun() > m.worker.highest[order.GetTask()] {
		m.worker.running[order.GetTask()] = true
	}
}

func (m *livesModel) stop(order *poolpb.StopOrder) {
	m.worker.highest[order.GetTask()] = max(m.worker.highest[order.GetTask()], order.GetRun())
}

// end lets a task end well.
func (m *livesModel) end(t *rapid.T) {
	w := m.worker
	var tasks []string
	for task := range w.running {
		tasks = append(tasks, task)
	}
	if len(tasks) == 0 {
		return
	}
	slices.Sort(tasks)
	task := rapid.SampledFrom(tasks).Draw(t, "task")
	delete(w.running, task)
	w.highest[task] = 1
	w.number++
	w.ended = append(w.ended, &poolpb.EndedTask{Number: w.number, Task: task, Run: 1, Kind: poolpb.EndKind_DONE})
}

// deliver lets a message come that was late.
func (m *livesModel) deliver(t *rapid.T) {
	if len(m.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.late)-1).Draw(t, "message")
	x := m.late[i]
	m.late = slices.Delete(m.late, i, i+1)
	switch {
	case x.beat != nil:
		m.agent.Heartbeat(*x.beat)
	case x.leave:
		m.agent.Leave(m.now, instance.New("worker", 0))
	case x.hold != nil:
		m.carryOut(t, &x)
	case x.start != nil:
		if m.noted[x.start.GetTask()] && m.worker.highest[x.start.GetTask()] == 0 {
			t.Fatalf("%s starts on %s although its end was noted", x.start.GetTask(), m.worker.id)
		}
		m.begin(x.start)
	}
}

// check fails when the agent believes of the living instance what is not so.
func (m *livesModel) check(t *rapid.T) {
	if m.agent.beat.Instance == m.worker.id && m.worker.sequence > 0 && slices.Contains(m.agent.former, m.worker.id) {
		t.Fatalf("%s lives and counts as former", m.worker.id)
	}
	// What the holder is not told of it does not know, and orders starts that are refused, or none.
	if m.agent.saidSure != m.agent.sure() {
		t.Fatalf("starts are carried out: %v, and the state counts as told with %v", m.agent.sure(), m.agent.saidSure)
	}
}

// However instances of a worker follow each other, and whatever comes late between them, nothing is given to one whose
// notice was acknowledged, no end is forgotten that nobody has read, and no late start runs a task again whose end
// was noted.
func TestLivesOfAWorker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLivesModel()
		t.Repeat(map[string]func(*rapid.T){
			"":               m.check,
			"wait":           m.wait,
			"heartbeat":      m.heartbeat,
			"leaves":         m.leaves,
			"leave":          m.leave,
			"renew":          m.renew,
			"ask":            m.ask,
			"answer":         m.answer,
			"lose":           m.lose,
			"order":          m.order,
			"end":            m.end,
			"deliver":        m.deliver,
			"restart worker": m.restartWorker,
			"restart agent":  m.restartAgent,
			"holder":         m.changeHolder,
		})
	})
}
