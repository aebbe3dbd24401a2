package hall

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

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
