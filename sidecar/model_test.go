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

// modelLease is the length of the leases that the model's holder gives.
const modelLease = 4500 * time.Millisecond

// workerClockStart is the time at which the clocks of all instances in the model read 0.
var workerClockStart = start.Add(-time.Hour)

type (
	// modelWorker is the running instance of a worker. All instances have the same name.
	modelWorker struct {
		id                  instance.ID
		sequence            uint64
		draining            bool
		drainAcknowledgedAt time.Time
		lastEnd             uint64
		running             map[string]bool
		highestRun          map[string]int32
		ended               []*poolpb.EndedTask
		listed              map[uint64]bool
	}

	// modelMessage is a message in flight: a heartbeat, a leave message, a poll or its answer, or a start.
	modelMessage struct {
		heartbeat *Heartbeat
		leave     bool
		poll      *PollRequest
		number    uint64
		listing   *Listing
		start     *poolpb.StartOrder
		agent     string
		// expiresAt is the time after which the message cannot arrive any more.
		expiresAt time.Time
	}

	// instancesModel models an agent and its worker. Messages between them are delayed, duplicated or lost, and the
	// worker may restart at any time. The model also acts as the holder towards the agent.
	instancesModel struct {
		now       time.Time
		agent     *Core
		agents    int
		epoch     uint64
		worker    *modelWorker
		instances int64
		// pendingPoll is the poll whose answer the agent waits for, or nil. The agent sends one poll at a time.
		pendingPoll  *modelMessage
		lateMessages []modelMessage
		runs         int
		// forgotten contains the tasks whose ended runs the worker was allowed to forget.
		forgotten map[string]bool
	}
)

func newInstancesModel() *instancesModel {
	m := &instancesModel{now: start, epoch: 7, forgotten: map[string]bool{}}
	m.restartAgent(nil)
	m.restartWorker(nil)
	return m
}

func (m *instancesModel) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 50, 400, 3000, 7000}).Draw(t, "ms")) * time.Millisecond)
	m.lateMessages = slices.DeleteFunc(m.lateMessages, func(x modelMessage) bool { return m.now.After(x.expiresAt) })
}

// restartWorker starts another instance. The wall clock of its VM may have been set back.
func (m *instancesModel) restartWorker(t *rapid.T) {
	m.instances++
	born := m.instances
	if t != nil && rapid.Bool().Draw(t, "set back") {
		born = 1_000_000 - m.instances
	}
	m.worker = &modelWorker{id: instance.New("worker", born), running: map[string]bool{}, highestRun: map[string]int32{}, listed: map[uint64]bool{}}
}

// restartAgent starts another incarnation of the agent, without the state of the previous one. Polls and starts of
// the previous incarnation, and their answers, do not arrive any more.
func (m *instancesModel) restartAgent(*rapid.T) {
	m.agents++
	m.now = m.now.Add(time.Millisecond)
	m.agent = NewCore(m.now, fmt.Sprintf("agent %d", m.agents))
	m.pendingPoll = nil
	m.lateMessages = slices.DeleteFunc(m.lateMessages, func(x modelMessage) bool { return x.start != nil || x.poll != nil })
	m.renew(nil)
}

// changeHolder starts another epoch, whose holder renews the agent's lease.
func (m *instancesModel) changeHolder(*rapid.T) {
	m.epoch++
	m.renew(nil)
}

// renew renews the agent's lease, and commits all ended runs that the agent reports.
func (m *instancesModel) renew(*rapid.T) {
	request := &poolpb.SyncRequest{
		Epoch: m.epoch, Incarnation: m.agent.incarnation, LeaseToken: int64(m.now.Sub(m.agent.startedAt)),
		LeaseMs: int32(modelLease.Milliseconds()), Instance: m.agent.heartbeat.Instance.String(),
	}
	if ended := m.agent.listing.Ended; len(ended) > 0 {
		request.Committed = ended[len(ended)-1].GetNumber()
	}
	m.agent.Sync(request)
}

// startDraining makes the worker report in all further heartbeats that it is draining.
func (m *instancesModel) startDraining(*rapid.T) { m.worker.draining = true }

// heartbeat sends a heartbeat, which arrives at once; a copy may arrive late.
func (m *instancesModel) heartbeat(t *rapid.T) {
	w := m.worker
	w.sequence++
	heartbeat := Heartbeat{Instance: w.id, Sequence: w.sequence, Clock: ReadingOf(m.now.Sub(workerClockStart)), Draining: w.draining}
	if rapid.Bool().Draw(t, "also late") {
		m.lateMessages = append(m.lateMessages, modelMessage{heartbeat: &heartbeat, expiresAt: m.now.Add(time.Minute)})
	}
	if m.agent.Heartbeat(heartbeat).Acknowledges() && w.draining && w.drainAcknowledgedAt.IsZero() {
		w.drainAcknowledgedAt = m.now
	}
}

// leave ends the worker, and sends a leave message that may arrive late. Another instance starts.
func (m *instancesModel) leave(t *rapid.T) {
	m.lateMessages = append(m.lateMessages, modelMessage{leave: true, expiresAt: m.now.Add(time.Minute)})
	m.restartWorker(t)
}

// poll makes the agent poll the worker unless it waits for an answer.
func (m *instancesModel) poll(*rapid.T) {
	if m.pendingPoll != nil {
		return
	}
	if poll, number, ok := m.agent.NextPoll(m.now); ok {
		m.pendingPoll = &modelMessage{poll: &poll, number: number, agent: m.agent.incarnation}
	}
}

// answerPoll advances a poll by one step: the agent sends it, the worker answers it, or the agent receives the answer.
// Other messages may arrive between these steps.
func (m *instancesModel) answerPoll(t *rapid.T) {
	switch {
	case m.pendingPoll == nil:
		m.poll(t)
	case m.pendingPoll.listing == nil:
		m.answerAs(t, m.pendingPoll)
	default:
		x := m.pendingPoll
		m.pendingPoll = nil
		m.agent.HandleListing(m.now, *x.poll, x.number, *x.listing)
		for _, order := range m.agent.TakeRevokedStarts() {
			m.stop(order)
		}
	}
}

// answerAs makes the worker carry out a poll and stores its answer in the message.
func (m *instancesModel) answerAs(t *rapid.T, x *modelMessage) {
	w := m.worker
	w.ended = slices.DeleteFunc(w.ended, func(e *poolpb.EndedTask) bool {
		if e.GetNumber() > x.poll.Committed {
			return false
		}
		if !w.listed[e.GetNumber()] {
			t.Fatalf("the ended run of %s, number %d of %s, was forgotten before it was listed", e.GetTask(), e.GetNumber(), w.id)
		}
		m.forgotten[e.GetTask()] = true
		return true
	})
	listing := Listing{Instance: w.id, Clock: m.now.Sub(workerClockStart), Ended: slices.Clone(w.ended)}
	for task := range w.running {
		listing.Running = append(listing.Running, &poolpb.RunningTask{Task: task, Run: 1})
	}
	for _, e := range w.ended {
		w.listed[e.GetNumber()] = true
	}
	x.listing = &listing
}

// losePoll makes the pending poll fail. The worker may still carry it out later, unless the connection was refused.
func (m *instancesModel) losePoll(t *rapid.T) {
	x := m.pendingPoll
	if x == nil || x.listing != nil {
		return
	}
	m.pendingPoll = nil
	m.lateMessages = append(m.lateMessages, modelMessage{poll: x.poll, expiresAt: m.now.Add(lateCallLimit)})
	kind := rapid.SampledFrom([]Kind{KindUnanswered, KindNoWorker}).Draw(t, "kind")
	if kind == KindNoWorker {
		m.lateMessages = m.lateMessages[:len(m.lateMessages)-1] // No process has received it.
	}
	m.agent.HandlePollFailure(m.now, *x.poll, x.number, kind)
}

// order sends a start for the instance that the agent reports. The start may be delayed and its answer lost. It is
// not sent while a poll with a committed number is in flight: the model does not cover such a poll that takes as long
// as a task runs.
func (m *instancesModel) order(t *rapid.T) {
	if m.pendingPoll != nil && m.pendingPoll.poll.Committed > 0 {
		return
	}
	request := &poolpb.OrderRequest{
		Epoch: m.epoch, Instance: m.agent.heartbeat.Instance.String(), Incarnation: m.agent.incarnation,
		LeaseToken: int64(m.now.Sub(m.agent.startedAt)), LeaseMs: int32(modelLease.Milliseconds()),
	}
	if _, verdict := m.agent.CheckStart(m.now, request); verdict != poolpb.OrderResult_OK {
		return
	}
	if w := m.worker; !w.drainAcknowledgedAt.IsZero() {
		t.Fatalf("a start is sent to %s, %s after its draining notice was acknowledged", w.id, m.now.Sub(w.drainAcknowledgedAt))
	}
	m.runs++
	order := &poolpb.StartOrder{Task: fmt.Sprintf("%d.0.0.0", m.runs), Run: 1}
	m.agent.StartSent(m.now, order)
	if rapid.Bool().Draw(t, "late") {
		m.lateMessages = append(m.lateMessages, modelMessage{start: order, expiresAt: m.now.Add(lateCallLimit)})
		m.agent.StartAnswered(order, poolpb.OrderResult_UNSETTLED)
		return
	}
	m.begin(order)
	m.agent.StartAnswered(order, poolpb.OrderResult_OK)
}

// begin starts a task on the running instance, unless the task's run was stopped there before.
func (m *instancesModel) begin(order *poolpb.StartOrder) {
	if order.GetRun() > m.worker.highestRun[order.GetTask()] {
		m.worker.running[order.GetTask()] = true
	}
}

func (m *instancesModel) stop(order *poolpb.StopOrder) {
	m.worker.highestRun[order.GetTask()] = max(m.worker.highestRun[order.GetTask()], order.GetRun())
}

// end makes a task succeed.
func (m *instancesModel) end(t *rapid.T) {
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
	w.highestRun[task] = 1
	w.lastEnd++
	w.ended = append(w.ended, &poolpb.EndedTask{Number: w.lastEnd, Task: task, Run: 1, Kind: poolpb.EndKind_DONE})
}

// deliver delivers a late message.
func (m *instancesModel) deliver(t *rapid.T) {
	if len(m.lateMessages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.lateMessages)-1).Draw(t, "message")
	x := m.lateMessages[i]
	m.lateMessages = slices.Delete(m.lateMessages, i, i+1)
	switch {
	case x.heartbeat != nil:
		m.agent.Heartbeat(*x.heartbeat)
	case x.leave:
		m.agent.HandleLeave(m.now, instance.New("worker", 0))
	case x.poll != nil:
		m.answerAs(t, &x)
	case x.start != nil:
		if m.forgotten[x.start.GetTask()] && m.worker.highestRun[x.start.GetTask()] == 0 {
			t.Fatalf("%s starts on %s although its ended run was forgotten", x.start.GetTask(), m.worker.id)
		}
		m.begin(x.start)
	}
}

// check fails if the agent's state contradicts the state of the model.
func (m *instancesModel) check(t *rapid.T) {
	if m.agent.heartbeat.Instance == m.worker.id && m.worker.sequence > 0 && slices.Contains(m.agent.endedInstances, m.worker.id) {
		t.Fatalf("%s is running, but the agent has recorded it as ended", m.worker.id)
	}
	// Without a report of the change the holder would order starts that the agent rejects, or would order none.
	if m.agent.reportedReady != m.agent.ready() {
		t.Fatalf("ready is %v, but the agent has reported %v", m.agent.ready(), m.agent.reportedReady)
	}
}

// Whenever a worker or its agent restarts, and whichever messages are delayed: nothing is started on an instance
// whose draining notice was acknowledged, no ended run is forgotten before it was listed, and no late start runs a
// task again whose ended run was forgotten.
func TestInstancesOfAWorker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newInstancesModel()
		t.Repeat(map[string]func(*rapid.T){
			"":               m.check,
			"wait":           m.wait,
			"heartbeat":      m.heartbeat,
			"leaves":         m.startDraining,
			"leave":          m.leave,
			"renew":          m.renew,
			"ask":            m.poll,
			"answer":         m.answerPoll,
			"lose":           m.losePoll,
			"order":          m.order,
			"end":            m.end,
			"deliver":        m.deliver,
			"restart worker": m.restartWorker,
			"restart agent":  m.restartAgent,
			"holder":         m.changeHolder,
		})
	})
}
