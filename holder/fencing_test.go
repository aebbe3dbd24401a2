package holder

import (
	"testing"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/wire/poolpb"
)

// newFencedLink returns a link of a holder that has replaced the version 10 of its lease row by a version.
func newFencedLink(t *testing.T, version uint64) *agentLink {
	t.Helper()
	h := newTestHolder(t, 0)
	h.writer = &FencedWriter{epoch: version, replaced: 10}
	h.writer.version.Store(version)
	return newAgentLink(h, pool.AgentAddress{Agent: "a", Address: "127.0.0.1:1"})
}

// replyOf returns a reply of an incarnation that has seen a number, about an instance of its worker.
func replyOf(incarnation string, token int64, seen uint64, startMs int64) *poolpb.SyncReply {
	return &poolpb.SyncReply{Incarnation: incarnation, LeaseToken: token, Epoch: seen, Worker: &poolpb.WorkerState{Instance: instance.New("w", startMs).String()}}
}

// Guards against a worker that carries out the calls of an earlier incarnation of its agent, or for its earlier instance.
func TestFencingNumberRisesWithIncarnationsAndInstances(t *testing.T) {
	is := is.New(t)
	l := newFencedLink(t, 20)
	number := func() uint64 { return l.fencing.next(l.lastReply) }
	is.Equal(number(), uint64(11)) // higher than all numbers of the holders before
	is.True(l.recordIfNewest("", replyOf("first", 1, 11, 1)))
	is.Equal(number(), uint64(12))
	is.True(l.recordIfNewest("first", replyOf("first", 2, 12, 1)))
	is.Equal(number(), uint64(12))
	is.True(l.recordIfNewest("first", replyOf("first", 3, 12, 2))) // The worker's next instance has its name.
	is.Equal(number(), uint64(13))
	is.True(l.recordIfNewest("first", replyOf("second", 1, 13, 2)))
	is.Equal(number(), uint64(14))
	is.True(l.recordIfNewest("second", replyOf("second", 2, 14, 0))) // A name without a start time does not recur.
	is.Equal(number(), uint64(14))
}

// Guards against two holders that use one number: the next holder's numbers begin above the last version of the row.
func TestFencingNumberWaitsForTheNextVersionOfTheLease(t *testing.T) {
	is := is.New(t)
	l := newFencedLink(t, 12)
	number := func() uint64 { return l.fencing.next(l.lastReply) }
	is.True(l.recordIfNewest("", replyOf("first", 1, 11, 1)))
	is.Equal(number(), uint64(12))
	is.True(l.recordIfNewest("first", replyOf("second", 1, 11, 1)))
	is.Equal(number(), uint64(11)) // The second incarnation must not take 12, which the first one has used, for its own.
	is.True(l.recordIfNewest("second", replyOf("second", 2, 12, 1)))
	is.Equal(number(), uint64(12))
	l.holder.writer.version.Store(15)
	is.Equal(number(), uint64(13))
	is.Equal(number(), uint64(13))
}

// An agent refuses a message that a later one of the same holder has overtaken. Guards against a holder that takes it for
// a sign of a later holder and gives the pool up.
func TestHolderStaysWhenItsOwnMessageOvertakesAnother(t *testing.T) {
	is := is.New(t)
	l := newFencedLink(t, 20)
	h := l.holder
	h.handleSyncResult(syncResult{agent: "a", at: h.now(), reply: &poolpb.SyncReply{OldEpoch: true, Epoch: 20}})
	h.handleOrderResults(h.now(), orderResults{reply: &poolpb.OrderReply{OldEpoch: true, Epoch: 20}})
	is.True(!h.isLost)
	h.handleSyncResult(syncResult{agent: "a", at: h.now(), reply: &poolpb.SyncReply{OldEpoch: true, Epoch: 21}})
	is.True(h.isLost)
}

// An agent that has served another pool refuses this one's holder until its number is higher than that pool's.
func TestFencingNumberRisesAboveTheNumberOfAnotherPool(t *testing.T) {
	is := is.New(t)
	l := newFencedLink(t, 20)
	is.True(l.recordIfNewest("", replyOf("first", 1, 17, 0)))
	is.Equal(l.fencing.next(l.lastReply), uint64(18))
}

// Guards against orders with the number of an incarnation that they don't name, which that one would take for its own.
func TestOrdersForAnEarlierIncarnationAreNotSent(t *testing.T) {
	is := is.New(t)
	l := newFencedLink(t, 20)
	is.True(l.recordIfNewest("", replyOf("first", 1, 11, 1)))
	is.True(l.recordIfNewest("first", replyOf("second", 1, 12, 1)))
	_, ok := l.numberFor(pool.Orders{Grant: pool.Grant{Incarnation: "first"}})
	is.True(!ok)
	number, ok := l.numberFor(pool.Orders{Grant: pool.Grant{Incarnation: "second"}})
	is.True(ok)
	is.Equal(number, uint64(13))
}
