package hall

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"hollyfork.example/hollyfork/platform"
	"hollyfork.example/wire"
)

// A holder that an agent refuses, because the agent has met a later one, gives no lease and no order to any agent.
func TestSupersededHolderGivesNoLeaseAndNoOrder(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	refusal := &wire.Refusal{Kind: wire.Refusal_OLD_EPOCH}
	id := &wire.AttemptId{Job: "unknown", Attempt: 1}
	for what, refuse := range map[string]func(*Core){
		"sync": func(c *Core) {
			c.HandleSyncReply(now, "w0", &wire.SyncRequest{}, &wire.SyncReply{Refusal: refusal})
		},
		"prepare": func(c *Core) {
			c.HandlePrepareReply(now, PrepareCall{To: "w0", Request: &wire.PrepareRequest{Id: id}}, &wire.PrepareReply{Refusal: refusal})
		},
		"start": func(c *Core) {
			c.HandleStartReply(now, StartCall{To: "w0", Request: &wire.StartRequest{Id: id}}, &wire.StartReply{Refusal: refusal})
		},
		"revoke": func(c *Core) {
			c.HandleRevokeReply(now, RevokeCall{To: "w0", Request: &wire.RevokeRequest{Id: id}}, &wire.RevokeReply{Refusal: refusal})
		},
	} {
		t.Run(what, func(t *testing.T) {
			is := is.New(t)
			s := newSim(2, 8)
			core := s.newestHolder().core
			is.True(core.NextSync(now, "w1") != nil)
			core.pendingCalls = []Call{RevokeCall{To: "w1"}}
			refuse(core)
			is.True(core.NextSync(now, "w0") == nil)
			is.True(core.NextSync(now, "w1") == nil)
			is.Equal(len(core.TakeCalls()), 0)
			is.Equal(core.SupersededBy(), "w0")
		})
	}
}

// A holder whose order an agent refuses, because the agent has met a later holder, stops.
func TestHolderStopsWhenAnOrderMeetsALaterHolder(t *testing.T) {
	s := newSim(1, 8)
	h := &Holder{
		deps:       Deps{Logger: &log.Logger{Level: log.PanicLevel}},
		core:       s.newestHolder().core,
		abandoned:  make(chan struct{}),
		committing: true,
	}
	call := RevokeCall{To: "w0", Request: &wire.RevokeRequest{Id: &wire.AttemptId{Job: "unknown", Attempt: 1}}}
	h.handleResult(s.now, revokeResult{call: call, reply: &wire.RevokeReply{}})
	h.afterMessage(s.now)
	select {
	case <-h.abandoned:
		t.Fatal("the holder stops although no agent has met a later one")
	default:
	}
	h.handleResult(s.now, revokeResult{call: call, reply: &wire.RevokeReply{Refusal: &wire.Refusal{Kind: wire.Refusal_OLD_EPOCH}}})
	h.afterMessage(s.now)
	select {
	case <-h.abandoned:
	default:
		t.Fatal("the holder goes on")
	}
}

// cutOffHolder returns a simulation in which a job runs whose holder is cut off from the store, and another holder has
// taken the hall that doesn't reach the job's node. The second node returned is the other one.
func cutOffHolder(spec *wire.JobSpec) (s *sim, old *testHolder, placed, other *node) {
	s = newSim(2, 8)
	s.run(2 * time.Second)
	s.submit("transcode", spec)
	s.run(5 * time.Second)
	placed = s.node(s.row("transcode").GetPlacement()[0].GetWorker())
	other = s.nodes[0]
	if other == placed {
		other = s.nodes[1]
	}
	old = s.newestHolder()
	old.committing = true // A transaction that never gets an answer.
	s.takeOver()
	s.newestHolder().unreachable = placed
	return s, old, placed, other
}

// A new holder awaits the leases that an earlier one gives until it learns of the new one, though a reply is lost.
func TestNewHolderAwaitsAnEarlierOneThatMissesAReply(t *testing.T) {
	is := is.New(t)
	s, old, placed, other := cutOffHolder(repeatableSpec("2m"))
	old.syncing[other.vm.Name] = true
	// The reply to a renewal that waited is lost; the next one is sent later, and its reply is late.
	lost, late := s.settings.AgentLease/syncsPerLease+callTimeout, maxReconnectDelay+callTimeout
	s.run(lost)
	for end := s.now.Add(late); s.now.Before(end); s.advance(10 * time.Millisecond) {
		delete(old.nextTry, placed.vm.Name)
		s.deliverWaiting()
	}
	old.syncing[other.vm.Name] = false
	s.run(5 * time.Minute)
	s.checkOneAtATime(t)
	is.Equal(s.row("transcode").GetState(), wire.JobState_FINISHED)
}

// A new holder counts no lease of an earlier one as ended before an agent has met it, since nobody can tell that one.
func TestNewHolderThatReachesNoAgentLosesNoPart(t *testing.T) {
	is := is.New(t)
	s, _, placed, _ := cutOffHolder(repeatableSpec("3m"))
	s.newestHolder().isolated = true
	s.run(2 * time.Minute)
	is.Equal(s.row("transcode").GetState(), wire.JobState_RUNNING)
	is.Equal(s.row("transcode").GetAttempt(), int32(1))
	s.newestHolder().isolated = false
	s.newestHolder().unreachable = placed
	s.run(5 * time.Minute)
	s.checkOneAtATime(t)
	is.Equal(s.row("transcode").GetState(), wire.JobState_FINISHED)
}

// A holder and an agent that are together cut off from all others keep a job running until the holder reaches another
// agent. A job that may not be repeated is not run again meanwhile.
func TestHolderAndAgentCutOffTogether(t *testing.T) {
	t.Run("not repeatable", func(t *testing.T) {
		is := is.New(t)
		spec := repeatableSpec("2m")
		spec.Repeatable = false
		s, old, _, other := cutOffHolder(spec)
		old.unreachable = other
		s.run(5 * time.Minute)
		is.Equal(s.runsOf("transcode"), map[string]int{"0": 1})
	})
	t.Run("repeatable", func(t *testing.T) {
		is := is.New(t)
		s, old, placed, other := cutOffHolder(repeatableSpec("1h"))
		old.unreachable = other
		s.run(5 * time.Minute)
		old.unreachable = nil
		s.run(2*time.Second + s.settings.withDrift(s.settings.AgentLease))
		for _, status := range placed.worker.List(s.now) {
			is.True(status.State != platform.TaskRunning)
		}
		is.Equal(s.row("transcode").GetAttempt(), int32(2))
		is.Equal(s.row("transcode").GetState(), wire.JobState_RUNNING)
	})
}
