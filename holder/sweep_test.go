package holder

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/clock/clocktest"
	"hollyfork.example/hollyfork/mailbox"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire/poolpb"
)

// recordingStore passes on the transactions that it gets, and does nothing.
type recordingStore struct {
	store.Store

	txns chan store.Txn
}

func (s recordingStore) Commit(_ context.Context, txn store.Txn) (store.Stamp, error) {
	s.txns <- txn
	return store.Stamp{}, &store.Error{Op: "commit", Kind: store.KindRefused}
}

// To a holder that was suspended all agents look silent. It deletes their rows only once its lease is confirmed.
func TestRowsOfSilentAgentsAreDeletedUnderTheLeaseAlone(t *testing.T) {
	is := is.New(t)
	c := clocktest.Stopped(time.Unix(1000, 0))
	h, _ := newSlowHolder(t, c)
	recorded := recordingStore{txns: make(chan store.Txn, 100)}
	h.host.deps.Store = recorded
	tick := func() {
		h.sendTick()
		_, err := mailbox.Call[snapshotRequest, pool.Snapshot](h.root, h.self, snapshotRequest{}, time.Minute)
		is.NoErr(err)
	}
	key := pool.AgentKey("pool", "a")
	row := store.Row{Key: key, Value: pool.Encode(&poolpb.AgentRow{Address: "127.0.0.1:1"}), Version: 3}
	h.send(intakeRows{page: store.Page{Rows: []store.Row{row}}})
	tick()
	c.Suspend(pool.DefaultSettings().ForgetAfter)
	tick()
	select {
	case txn := <-recorded.txns:
		t.Fatalf("written without a lease: %v", txn)
	case <-time.After(100 * time.Millisecond):
	}
	h.confirmedSentAt.Store(int64(c.Now().Sub(h.timeBase)))
	tick()
	select {
	case txn := <-recorded.txns:
		is.Equal(txn.Checks, []store.Check{{Key: key, Version: 3}})
	case <-time.After(10 * time.Second):
		t.Fatal("the row is not deleted")
	}
}
