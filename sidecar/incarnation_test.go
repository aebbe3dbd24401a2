package sidecar

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/wire/poolpb"
)

// orderAt returns an order whose lease of 4 s starts at a reading of the agent's clock.
func orderAt(c *Core, id instance.ID, reading time.Duration) *poolpb.OrderRequest {
	return &poolpb.OrderRequest{Instance: id.String(), Incarnation: c.incarnation, LeaseToken: int64(reading), LeaseMs: 4000}
}

// A start is delayed in a connection for 6 s. In the meantime the holder considers its run lost, another run does the
// work, and the agent gets a new lease. If the agent still sent the start to the worker, the task would run twice.
func TestDelayedStartIsRefused(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	listAt(c, 0, Listing{Clock: 100 * time.Second})
	delayed := orderAt(c, instanceNamed("first"), 0)
	c.Sync(renewalFrom(c, 6*time.Second))
	listAt(c, 6*time.Second, Listing{Clock: 106 * time.Second})
	_, verdict := c.CheckStart(start.Add(6*time.Second), delayed)
	is.Equal(verdict, poolpb.OrderResult_LATE)
	_, verdict = c.CheckStart(start.Add(6*time.Second), orderAt(c, instanceNamed("first"), 6*time.Second))
	is.Equal(verdict, poolpb.OrderResult_OK)
}

// A start that was ordered before the agent reported the worker's runs as ended belongs to a run that is given up.
func TestStartOrderedBeforeALapseIsRefused(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	listAt(c, 0, Listing{Clock: 100 * time.Second})
	failPollAt(c, time.Second)
	c.Sync(renewalFrom(c, 4*time.Second))
	delayed := orderAt(c, instanceNamed("first"), 4*time.Second)
	failPollAt(c, 4300*time.Millisecond)
	is.True(c.workerState().GetLapsed())
	listAt(c, 4400*time.Millisecond, Listing{Clock: 104400 * time.Millisecond})
	_, verdict := c.CheckStart(start.Add(4500*time.Millisecond), delayed)
	is.Equal(verdict, poolpb.OrderResult_LATE)
	_, verdict = c.CheckStart(start.Add(4500*time.Millisecond), orderAt(c, instanceNamed("first"), 4300*time.Millisecond))
	is.Equal(verdict, poolpb.OrderResult_OK)
}

// The holder may order a start before it learns that the worker's process has ended. The next instance of that name would
// carry it out, with a lease by another clock.
func TestNoStartAfterTheWorkersProcessHasEnded(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	listAt(c, 0, Listing{Clock: 100 * time.Second})
	for range refusalsUntilEnded {
		c.HandlePollFailure(start.Add(time.Second), PollRequest{Instance: instanceNamed("first")}, c.pollNumber, KindNoWorker)
	}
	_, verdict := c.CheckStart(start.Add(time.Second), orderAt(c, instanceNamed("first"), time.Second))
	is.Equal(verdict, poolpb.OrderResult_OTHER_INSTANCE)
}

// A clock reading is meaningless to another incarnation of the agent, since readings count from the agent's start.
func TestStartForAnEarlierAgentIsRefused(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	listAt(c, 0, Listing{Clock: 100 * time.Second})
	order := orderAt(c, instanceNamed("first"), 0)
	order.Incarnation = "another"
	_, verdict := c.CheckStart(start, order)
	is.Equal(verdict, poolpb.OrderResult_LATE)
}

// The agent and its worker have restarted. A late heartbeat of the worker's previous instance arrives after one of
// the current instance. If the agent trusted it, the holder would abandon all runs on the worker.
func TestLateHeartbeatAfterAgentRestartIsRefused(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	listAt(c, 0, Listing{Clock: time.Second})
	c.Heartbeat(Heartbeat{Instance: instanceNamed("ghost"), Sequence: 50})
	is.Equal(c.workerState().GetInstance(), instanceNamed("first").String()) // The unverified instance has not answered.
	poll, _, _ := c.NextPoll(start)
	is.Equal(poll.Instance, instanceNamed("ghost"))
	is.Equal(poll.LeaseEnd, time.Duration(0))
	c.HandlePollFailure(start, PollRequest{Instance: instanceNamed("ghost")}, c.pollNumber, KindOtherInstance)
	is.Equal(c.workerState().GetInstance(), instanceNamed("first").String())
	is.True(!c.workerState().GetLapsed())
	poll, _, _ = c.NextPoll(start)
	is.Equal(poll.Instance, instanceNamed("first"))
	is.Equal(c.Heartbeat(Heartbeat{Instance: instanceNamed("ghost"), Sequence: 51}), HeartbeatEndedInstance)
	poll, _, _ = c.NextPoll(start)
	is.Equal(poll.Instance, instanceNamed("first")) // An ended instance is not polled.
}

// A late heartbeat may also be the first one that a restarted agent receives.
func TestFirstHeartbeatIsVerified(t *testing.T) {
	is := is.New(t)
	c := NewCore(start, "agent")
	c.Heartbeat(Heartbeat{Instance: instanceNamed("ghost"), Sequence: 50})
	c.Sync(renewalFrom(c, 0))
	is.Equal(c.workerState().GetInstance(), "")
	c.NextPoll(start)
	c.HandlePollFailure(start, PollRequest{Instance: instanceNamed("ghost")}, c.pollNumber, KindOtherInstance)
	is.Equal(c.workerState().GetInstance(), "")
	c.Heartbeat(Heartbeat{Instance: instanceNamed("first"), Sequence: 1})
	is.True(listAt(c, 0, Listing{Clock: time.Second}))
	is.Equal(c.workerState().GetInstance(), instanceNamed("first").String())
}

// While another instance does not answer, the agent still polls the current instance, so that its lease is extended.
func TestUnverifiedInstanceDoesNotBlockLeaseExtension(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	listAt(c, 0, Listing{Clock: time.Second})
	c.Heartbeat(Heartbeat{Instance: instanceNamed("other"), Sequence: 1})
	poll, _, _ := c.NextPoll(start)
	is.Equal(poll.Instance, instanceNamed("other"))
	c.HandlePollFailure(start, PollRequest{Instance: instanceNamed("other")}, c.pollNumber, KindUnanswered)
	poll, _, _ = c.NextPoll(start)
	is.Equal(poll.Instance, instanceNamed("first"))
	is.True(poll.LeaseEnd > 0)
	poll, _, _ = c.NextPoll(start)
	is.Equal(poll.Instance, instanceNamed("other"))
}

// inFlightMessage is a message that the network delays.
type inFlightMessage struct {
	order *poolpb.OrderRequest
	sync  *poolpb.SyncRequest
	reply *poolpb.SyncReply
}

// lossyLink models an agent, a holder's state of it, and a network between them that loses, delays, duplicates and
// reorders messages.
type lossyLink struct {
	now         time.Time
	agent       *Core
	agents      int
	lastReplyAt time.Time
	grant       pool.Grant
	lastReply   *poolpb.SyncReply
	inFlight    []inFlightMessage
	// lostAt maps an order to the time at which the holder considers its run lost.
	lostAt map[*poolpb.OrderRequest]time.Time
}

func (p *lossyLink) wait(t *rapid.T) {
	p.now = p.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
}

func (p *lossyLink) renew(t *rapid.T) {
	p.inFlight = append(p.inFlight, inFlightMessage{sync: &poolpb.SyncRequest{
		Epoch: 7, Incarnation: p.lastReply.GetIncarnation(), LeaseToken: p.lastReply.GetLeaseToken(), LeaseMs: 4500,
	}})
	p.deliver(t)
}

// renewAndPoll completes two renewals and a poll without delays.
func (p *lossyLink) renewAndPoll(t *rapid.T) {
	p.renewTwice()
	p.poll(t)
}

func (p *lossyLink) renewTwice() {
	for range 2 {
		request := &poolpb.SyncRequest{Epoch: 7, Incarnation: p.lastReply.GetIncarnation(), LeaseToken: p.lastReply.GetLeaseToken(), LeaseMs: 4500}
		p.agent.Sync(request)
		p.now = p.now.Add(time.Millisecond)
		p.takeReply(p.agent.Reply(p.now, request))
	}
}

func (p *lossyLink) order(t *rapid.T) {
	if p.grant.Incarnation == "" {
		t.Skip("the holder does not know the agent yet")
	}
	order := &poolpb.OrderRequest{
		Epoch: 7, Instance: instanceNamed("first").String(), Incarnation: p.grant.Incarnation, LeaseToken: int64(p.grant.Reading), LeaseMs: 4500,
	}
	p.inFlight = append(p.inFlight, inFlightMessage{order: order})
	p.lostAt[order] = p.lapseAt()
}

// lapseAt returns the time at which the holder considers the runs of a silent agent lost.
func (p *lossyLink) lapseAt() time.Time {
	const longest = 4500 * time.Millisecond * 100 / 98
	return p.lastReplyAt.Add(longest + 150*time.Millisecond)
}

// deliver delivers a message, which stays in flight and may arrive again.
func (p *lossyLink) deliver(t *rapid.T) {
	if len(p.inFlight) == 0 {
		t.Skip("nothing is under way")
	}
	m := p.inFlight[rapid.IntRange(0, len(p.inFlight)-1).Draw(t, "message")]
	switch {
	case m.sync != nil:
		p.agent.Sync(m.sync)
		p.inFlight = append(p.inFlight, inFlightMessage{reply: p.agent.Reply(p.now, m.sync)})
	case m.reply != nil:
		p.takeReply(m.reply)
	default:
		_, verdict := p.agent.CheckStart(p.now, m.order)
		if verdict == poolpb.OrderResult_OK && p.now.After(p.lostAt[m.order]) {
			t.Fatalf("a start is carried out %s after the holder considered its run lost", p.now.Sub(p.lostAt[m.order]))
		}
	}
}

// takeReply applies an answer to the holder's state, unless a later answer has arrived before.
func (p *lossyLink) takeReply(reply *poolpb.SyncReply) {
	if reply.GetIncarnation() == p.lastReply.GetIncarnation() && reply.GetLeaseToken() <= p.lastReply.GetLeaseToken() {
		return
	}
	p.lastReply = reply
	p.lastReplyAt = p.now
	p.grant = pool.Grant{Incarnation: reply.GetIncarnation(), Reading: time.Duration(reply.GetLeaseToken())}
}

func (p *lossyLink) poll(*rapid.T) {
	poll, number, ok := p.agent.NextPoll(p.now)
	if ok {
		p.agent.HandleListing(p.now, poll, number, Listing{Instance: poll.Instance, Clock: p.now.Sub(start)})
	}
}

func (p *lossyLink) restartAgent(*rapid.T) {
	p.agents++
	p.agent = NewCore(p.now, fmt.Sprintf("agent %d", p.agents))
	p.agent.Heartbeat(Heartbeat{Instance: instanceNamed("first"), Sequence: 1})
}

// No start is carried out after the holder may consider its run lost, whatever the delays of messages.
func TestNoStartAfterItsRunIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &lossyLink{now: start, lastReplyAt: start, lastReply: &poolpb.SyncReply{}, lostAt: map[*poolpb.OrderRequest]time.Time{}}
		p.restartAgent(t)
		t.Repeat(map[string]func(*rapid.T){
			"wait":    p.wait,
			"touch":   p.renewAndPoll,
			"renew":   p.renew,
			"order":   p.order,
			"deliver": p.deliver,
			"listen":  p.poll,
			"restart": p.restartAgent,
		})
	})
}

// A holder that has seen the reports of an earlier incarnation must not take the present one's for unchanged, even if
// their numbers are equal.
func TestReplyIsWholeForAHolderThatKnowsAnEarlierAgent(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	seen := &poolpb.SyncRequest{Epoch: 7, Incarnation: c.incarnation, SeenReport: c.ReportNumber()}
	is.True(c.Reply(start, seen).GetWorker() == nil)
	seen.Incarnation = "another"
	is.True(c.Reply(start, seen).GetWorker() != nil)
}

// Two incarnations with one name would take each other's orders and leases.
func TestIncarnationsHaveDifferentNames(t *testing.T) {
	first, second := newIncarnation(), newIncarnation()
	is.New(t).True(first != second)
}
