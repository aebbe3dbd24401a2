package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/store"
)

// withdrawalOf returns the cancellation of a job, whose row has the given version and was written at the given time.
func withdrawalOf(id job.ID, version uint64, at time.Time) Cancellation {
	return Cancellation{ID: id, Pool: "pool", Keys: KeysOf(id), Version: version, At: at}
}

// The cancellations of unknown jobs are deleted when no late transaction can meet them any more, unless they were
// written again meanwhile.
func TestWithdrawalsAreSweptByAge(t *testing.T) {
	is := is.New(t)
	c := New("pool", DefaultSettings(), nil)
	began := time.Unix(9000, 0)
	c.CancelJob(began, withdrawalOf("00000000000000a1", 5, began))
	c.CancelJob(began, Cancellation{ID: "00000000000000a1", At: began.Add(time.Hour), Noticed: true})
	is.Equal(len(c.TakeSweep(began.Add(WithdrawalAge-time.Millisecond))), 0)

	at := began.Add(WithdrawalAge + sweepInterval)
	sweep := c.TakeSweep(at)
	is.Equal(len(sweep), 1)
	keys := KeysOf("00000000000000a1")
	is.Equal(sweep[0], store.Txn{
		Checks: []store.Check{{Key: keys.Cancel, Version: 5}, {Key: keys.Job}},
		Writes: []store.Write{{Key: keys.Cancel, Delete: true}},
	})
	c.HandleSweep(sweep[0], &store.Error{Op: "commit", Kind: store.KindOutcomeUnknown})
	at = at.Add(sweepInterval)
	is.Equal(len(c.TakeSweep(at)), 1) // until its outcome is known

	c.CancelJob(at, withdrawalOf("00000000000000a1", 7, at))
	c.HandleSweep(sweep[0], &store.Error{Op: "commit", Kind: store.KindConflict, Rows: []store.Row{{Key: keys.Cancel, Version: 7}, {Key: keys.Job}}})
	is.Equal(len(c.TakeSweep(at.Add(WithdrawalAge-time.Millisecond))), 0)
	sweep = c.TakeSweep(at.Add(WithdrawalAge + sweepInterval))
	is.Equal(len(sweep), 1)
	c.HandleSweep(sweep[0], nil)
	is.Equal(len(c.withdrawals.byKey), 0)
}

// The sweeps of many withdrawals keep within the store's limit of a transaction and leave nothing.
func TestManyWithdrawalsAreSwept(t *testing.T) {
	is := is.New(t)
	const rows, entriesLimit = 2000, 100
	c := New("pool", DefaultSettings(), nil)
	at := time.Unix(9000, 0)
	for number := range rows {
		c.CancelJob(at, withdrawalOf(oneTask(number, time.Second).ID, 1, at))
	}
	at = at.Add(WithdrawalAge)
	for range 10 {
		at = at.Add(sweepInterval)
		for _, txn := range c.TakeSweep(at) {
			is.True(len(txn.Checks)+len(txn.Writes) <= entriesLimit)
			c.HandleSweep(txn, nil)
		}
	}
	is.Equal(len(c.withdrawals.byKey), 0)
}

// A job whose row a gateway of an earlier release has written in spite of its cancellation does not run.
func TestWithdrawnJobIsCancelled(t *testing.T) {
	is := is.New(t)
	c := New("pool", DefaultSettings(), nil)
	now := time.Unix(9000, 0)
	j := oneTask(1, time.Second)
	c.CancelJob(now, withdrawalOf(j.ID, 5, now))
	c.AddJob(now, NewJob{Job: j, Legacy: true})
	is.Equal(c.Snapshot(now).Jobs, map[string]int{"cancelled": 1})
}
