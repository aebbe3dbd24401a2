package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/catalog"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/store"
)

// lateStore leaves the transactions that write a row without an answer, and carries them out when told to.
type lateStore struct {
	memoryStore

	delayed store.Key
	late    []store.Txn
}

var errNoAnswer = errors.New("no answer")

func (s *lateStore) Commit(ctx context.Context, txn store.Txn) (store.Stamp, error) {
	for _, w := range txn.Writes {
		if w.Key == s.delayed {
			s.late = append(s.late, txn)
			return store.Stamp{}, &store.Error{Op: "commit", Kind: store.KindOutcomeUnknown, Err: errNoAnswer}
		}
	}
	return s.memoryStore.Commit(ctx, txn)
}

// carryOut carries out the transactions without an answer.
func (s *lateStore) carryOut() {
	s.delayed = store.Key{}
	for _, txn := range s.late {
		s.Apply(txn)
	}
	s.late = nil
}

// Guards against UNASKED: a job was submitted with an unknown outcome and then cancelled, which was answered as if there
// were no such job. The store wrote its row seconds later, and it ran.
func TestCancelledSubmissionIsNotAcceptedLater(t *testing.T) {
	for _, other := range []bool{false, true} { // whether another gateway, whose queue is in another pool, cancels it
		is := is.New(t)
		s := &lateStore{memoryStore: newMemoryStore(), delayed: pool.KeysOf(movedID).Job}
		g := newTestGatewayOn(s, inPool(1, "p1"))
		canceller := g
		if other {
			canceller = newTestGatewayOn(s, inPool(2, "p2"))
		}
		is.Equal(AsError(submitTo(g, movedPath, "k")).Kind, KindOutcomeUnknown)
		call := Call{Host: "h", Path: movedPath, Key: "k"}
		is.Equal(AsError(canceller.Cancel(context.Background(), call)).Kind, KindNoJob)
		s.carryOut()
		is.Equal(s.Row(pool.KeysOf(movedID).Job).Version, uint64(0)) // the job's row was refused
		_, err := g.State(context.Background(), call)
		is.Equal(AsError(err).Kind, KindNoJob)

		// The same identifier again: it is not taken, and the caller learns when it may be.
		err = submitTo(g, movedPath, "k")
		is.Equal(AsError(err).Kind, KindUnavailable)
		is.True(AsError(err).RetryAfter > RetryAfter && AsError(err).RetryAfter <= pool.WithdrawalAge)
		keys := pool.KeysOf(movedID)
		s.Remove(keys.Cancel.Table, keys.Cancel.Part, keys.Cancel.Name) // as the holder does in time
		is.NoErr(submitTo(g, movedPath, "k"))
		is.True(s.Row(keys.Job).Version > 0)
	}
}

// A cancellation without an answer says so, and one that is carried out late cancels no job that was accepted since.
func TestLateWithdrawalCancelsNoAcceptedJob(t *testing.T) {
	is := is.New(t)
	s := &lateStore{memoryStore: newMemoryStore(), delayed: pool.KeysOf(movedID).Cancel}
	g := newTestGatewayOn(s, inPool(1, "p1"))
	call := Call{Host: "h", Path: movedPath, Key: "k"}
	is.Equal(AsError(g.Cancel(context.Background(), call)).Kind, KindOutcomeUnknown)
	is.NoErr(submitTo(g, movedPath, "k"))
	s.carryOut()
	is.Equal(s.Row(pool.KeysOf(movedID).Cancel).Version, uint64(0))
}

// A repeated cancellation of an unknown job counts anew: the row's time is that of the last one.
func TestWithdrawalIsRenewed(t *testing.T) {
	is := is.New(t)
	s := newMemoryStore()
	g := newTestGatewayOn(s, inPool(1, "p1"))
	call := Call{Host: "h", Path: movedPath, Key: "k"}
	is.Equal(AsError(g.Cancel(context.Background(), call)).Kind, KindNoJob)
	first := s.Row(pool.KeysOf(movedID).Cancel).Version
	is.Equal(AsError(g.Cancel(context.Background(), call)).Kind, KindNoJob)
	is.True(s.Row(pool.KeysOf(movedID).Cancel).Version > first)
}

// The job of another workspace looks unknown, and its rows are left alone.
func TestJobOfAnotherWorkspaceIsNotWithdrawn(t *testing.T) {
	is := is.New(t)
	s := newMemoryStore()
	config := inPool(1, "p1")
	config.Workspaces = append(config.Workspaces, catalog.Workspace{Name: "other", Keys: []string{"other key"}})
	g := newTestGatewayOn(s, config)
	is.NoErr(submitTo(g, movedPath, "k"))
	err := g.Cancel(context.Background(), Call{Host: "h", Path: movedPath, Key: "other key"})
	is.Equal(AsError(err).Kind, KindNoJob)
	is.Equal(len(s.intakeRows("p1")), 1)
}

// A malformed row cancels nothing: it does not keep its job from being accepted.
func TestMalformedCancellationDoesNotRefuseItsJob(t *testing.T) {
	is := is.New(t)
	s := newMemoryStore()
	keys := pool.KeysOf(movedID)
	s.Put(keys.Cancel.Table, keys.Cancel.Part, keys.Cancel.Name, []byte{0xff})
	g := newTestGatewayOn(s, inPool(1, "p1"))
	is.NoErr(submitTo(g, movedPath, "k"))
	is.True(s.Row(keys.Job).Version > 0)
}

// Guards against a store that a caller fills with cancellations of unknown jobs.
func TestWithdrawalsAreLimitedByWorkspace(t *testing.T) {
	is := is.New(t)
	c := &withdrawalCounter{}
	for range maxWithdrawals {
		is.True(c.take(now, "w"))
	}
	is.True(!c.take(now, "w"))
	is.True(c.take(now, "other"))
	is.True(c.take(now.Add(pool.WithdrawalAge), "w"))
}

// Guards against LOST: a cancellation without an answer was carried out when its job had been deleted and another one was
// accepted under the identifier, and cancelled that.
func TestLateCancellationCancelsNoLaterJob(t *testing.T) {
	is := is.New(t)
	keys := pool.KeysOf(movedID)
	s := &lateStore{memoryStore: newMemoryStore(), delayed: keys.Cancel}
	g := newTestGatewayOn(s, inPool(1, "p1"))
	call := Call{Host: "h", Path: movedPath, Key: "k"}
	is.NoErr(submitTo(g, movedPath, "k"))
	is.Equal(AsError(g.Cancel(context.Background(), call)).Kind, KindOutcomeUnknown)
	s.Remove(keys.Job.Table, keys.Job.Part, keys.Job.Name) // as the holder does with old jobs
	is.NoErr(submitTo(g, movedPath, "k"))
	s.carryOut()
	state, err := g.State(context.Background(), call)
	is.NoErr(err)
	is.Equal(state, pool.Queued)
	is.NoErr(g.Cancel(context.Background(), call))
	state, err = g.State(context.Background(), call)
	is.NoErr(err)
	is.Equal(state, pool.Cancelled)
}

// firstLateStore leaves the first transaction without an answer if it writes the delayed row.
type firstLateStore struct {
	lateStore

	began bool
}

func (s *firstLateStore) Commit(ctx context.Context, txn store.Txn) (store.Stamp, error) {
	if s.began {
		return s.memoryStore.Commit(ctx, txn)
	}
	s.began = true
	return s.lateStore.Commit(ctx, txn)
}

// Guards against REFUSED: a submission had no answer, and the next try found a cancellation, by which the caller was told
// that the job is not taken. The cancellation was deleted, being old, and the first try was carried out after it.
func TestSubmissionBesideAnOldCancellationIsNotRefused(t *testing.T) {
	keys := pool.KeysOf(movedID)
	for _, test := range []struct {
		age  time.Duration
		kind Kind
	}{
		{0, KindUnavailable},
		{pool.WithdrawalAge - maxWriteDelay - time.Second, KindUnavailable},
		{pool.WithdrawalAge - time.Second, KindOutcomeUnknown},
	} {
		is := is.New(t)
		s := &firstLateStore{lateStore: lateStore{memoryStore: newMemoryStore(), delayed: keys.Job}}
		g := newTestGatewayOn(s, inPool(1, "p1"))
		s.Put(keys.Cancel.Table, keys.Cancel.Part, keys.Cancel.Name, pool.Encode(pool.CancelRow("p1", g.follower.StoreClock(now)-test.age)))
		is.Equal(AsError(submitTo(g, movedPath, "k")).Kind, test.kind)

		// Without a try that may be carried out later, the refusal is true.
		is.Equal(AsError(submitTo(g, movedPath, "k")).Kind, KindUnavailable)
	}
}
