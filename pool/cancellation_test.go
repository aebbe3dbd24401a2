package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/store"
)

// submission returns a job as the row of a gateway of this release has it, at a version of the store.
func submission(j job.Job, version uint64) NewJob {
	return NewJob{Job: j, Pool: "pool", Version: version, Checked: true}
}

// onlyState returns the state of the only job of a core.
func onlyState(c *Core) string {
	for state := range c.Snapshot(time.Unix(9000, 0)).Jobs {
		return state
	}
	return ""
}

// Guards against LOST: the deletion of an old cancellation was done and its answer lost, and the holder took the
// cancellation for one of the job that was accepted right after.
func TestCancellationFromBeforeTheAcceptanceEndsNoJob(t *testing.T) {
	began := time.Unix(9000, 0)
	j := oneTask(1, time.Second)
	for name, lose := range map[string]func(c *Core, sweep []store.Txn) *Core{
		"the answer is lost": func(c *Core, sweep []store.Txn) *Core {
			c.HandleSweep(sweep[0], &store.Error{Op: "commit", Kind: store.KindOutcomeUnknown})
			return c
		},
		"no answer yet": func(c *Core, _ []store.Txn) *Core { return c },
		"another holder has read the cancellation": func(*Core, []store.Txn) *Core {
			next := New("pool", DefaultSettings(), nil)
			next.CancelJob(began, withdrawalOf(j.ID, 5, began))
			return next
		},
	} {
		for _, noticed := range []bool{false, true} {
			is := is.New(t)
			c := New("pool", DefaultSettings(), nil)
			c.CancelJob(began, withdrawalOf(j.ID, 5, began))
			sweep := c.TakeSweep(began.Add(WithdrawalAge))
			is.Equal(len(sweep), 1)
			c = lose(c, sweep)
			added := submission(j, 9)
			added.Noticed = noticed
			c.AddJob(began, added)
			t.Log(name, noticed)
			is.Equal(onlyState(c), "queued")
			c.CancelJob(began, Cancellation{ID: j.ID, Keys: KeysOf(j.ID), Version: 5, At: began, Noticed: true}) // which is late
			is.Equal(onlyState(c), "queued")
			c.CancelJob(began, withdrawalOf(j.ID, 10, began)) // the caller's
			is.Equal(onlyState(c), "cancelled")
		}
	}
}

// A cancellation ends its job also if it is read first, or within the same millisecond, or if the job was noticed by a
// gateway that told no version.
func TestCancellationFromAfterTheAcceptanceEndsTheJob(t *testing.T) {
	now := time.Unix(9000, 0)
	j := oneTask(1, time.Second)
	for name, read := range map[string]func(c *Core){
		"in order":     func(c *Core) { c.AddJob(now, submission(j, 5)); c.CancelJob(now, withdrawalOf(j.ID, 6, now)) },
		"out of order": func(c *Core) { c.CancelJob(now, withdrawalOf(j.ID, 6, now)); c.AddJob(now, submission(j, 5)) },
		"noticed without a version": func(c *Core) {
			c.AddJob(now, submission(j, 0))
			c.CancelJob(now, withdrawalOf(j.ID, 6, now))
			c.AddJob(now, submission(j, 5))
		},
		"noticed": func(c *Core) {
			c.AddJob(now, submission(j, 5))
			c.CancelJob(now, Cancellation{ID: j.ID, Keys: KeysOf(j.ID), Version: 6, Noticed: true})
		},
		"noticed without versions": func(c *Core) {
			c.AddJob(now, submission(j, 0))
			c.CancelJob(now, Cancellation{ID: j.ID, Keys: KeysOf(j.ID), At: now.Add(-WithdrawalAge), Noticed: true})
			c.AddJob(now, submission(j, 5))
			c.CancelJob(now, withdrawalOf(j.ID, 6, now))
		},
	} {
		is := is.New(t)
		c := New("pool", DefaultSettings(), nil)
		read(c)
		t.Log(name)
		is.Equal(onlyState(c), "cancelled")
		is.Equal(len(c.withdrawals.byKey), 0)
	}
}

// Of a job whose notice has no version it is not known whether a cancellation came before or after it.
func TestCancellationWaitsForTheVersionOfItsJob(t *testing.T) {
	is := is.New(t)
	now := time.Unix(9000, 0)
	j := oneTask(1, time.Second)
	c := New("pool", DefaultSettings(), nil)
	c.AddJob(now, submission(j, 0))
	c.CancelJob(now, withdrawalOf(j.ID, 5, now))
	is.Equal(onlyState(c), "queued")
	c.AddJob(now, submission(j, 9))
	is.Equal(onlyState(c), "queued")
	is.Equal(len(c.withdrawals.byKey), 0)
}

// Guards against LOST and UNASKED: a row that was written without regard to the cancellation tells nothing. The row of
// the cancellation decides, and only a feed or a read knows whether it is still there.
func TestRowOfAnEarlierReleaseFollowsTheCancellationThatIsKept(t *testing.T) {
	is := is.New(t)
	now := time.Unix(9000, 0)
	j := oneTask(1, time.Second)
	keys := LegacyKeysOf("pool", j.ID)
	withdrawn := Cancellation{ID: j.ID, Pool: "pool", Keys: keys, Version: 5, At: now}
	added := NewJob{Job: j, Pool: "pool", Version: 9, Legacy: true}
	noticed := added
	noticed.Noticed = true

	c := New("pool", DefaultSettings(), nil)
	c.CancelJob(now, withdrawn)
	c.AddJob(now, noticed)
	is.Equal(onlyState(c), "") // left to the feed
	c.AddJob(now, added)
	is.Equal(onlyState(c), "cancelled")

	c = New("pool", DefaultSettings(), nil)
	c.CancelJob(now, withdrawn)
	c.AddJob(now, noticed)
	c.RemoveCancellation(CancellationRemoval{Key: keys.Cancel, Version: 8})
	c.AddJob(now, added)
	is.Equal(onlyState(c), "queued")

	c = New("pool", DefaultSettings(), nil)
	late := withdrawn
	late.Noticed = true
	c.CancelJob(now, late) // it may have been deleted since
	c.AddJob(now, added)
	is.Equal(onlyState(c), "queued")

	c = New("pool", DefaultSettings(), nil)
	c.CancelJob(now, withdrawn)
	c.RemoveCancellation(CancellationRemoval{Key: keys.Cancel, Version: 4}) // of an earlier one
	c.AddJob(now, added)
	is.Equal(onlyState(c), "cancelled")
}

// A feed that begins anew leaves deletions out: what a read of all rows does not find is gone.
func TestCancellationsThatAReadDoesNotFindAreForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Unix(9000, 0)
	ids := []job.ID{"00000000000000a1", "00000000000000a2", "00000000000000a3"}
	c := New("pool", DefaultSettings(), nil)
	c.CancelJob(now, withdrawalOf(ids[0], 5, now))
	c.CancelJob(now, withdrawalOf(ids[1], 6, now))
	c.CancelJob(now, withdrawalOf(ids[2], 8, now)) // a notice of what was written after the read
	c.RemoveMissingCancellations(store.Page{Rows: []store.Row{{Key: KeysOf(ids[1]).Cancel, Version: 6}}, Stamp: store.Stamp{Version: 7}})
	is.Equal(len(c.withdrawalsOf(ids[0])), 0)
	is.Equal(len(c.withdrawalsOf(ids[1])), 1)
	is.Equal(len(c.withdrawalsOf(ids[2])), 1)
}

// A withdrawal under the keys of earlier releases meets no condition of a row under the present ones.
func TestCancellationUnderOtherKeysEndsTheJob(t *testing.T) {
	is := is.New(t)
	now := time.Unix(9000, 0)
	j := oneTask(1, time.Second)
	c := New("pool", DefaultSettings(), nil)
	c.CancelJob(now, Cancellation{ID: j.ID, Pool: "pool", Keys: LegacyKeysOf("pool", j.ID), Version: 5, At: now})
	c.AddJob(now, submission(j, 9))
	is.Equal(onlyState(c), "cancelled")
}

// Guards against UNASKED: the holder learnt from a refused deletion that there is a job, and forgot its cancellation
// before the feed brought the job, which a gateway of an earlier release had accepted without regard to it.
func TestCancellationIsKeptUntilTheJobOfAnEarlierReleaseIsKnown(t *testing.T) {
	is := is.New(t)
	began := time.Unix(9000, 0)
	j := oneTask(1, time.Second)
	keys := LegacyKeysOf("pool", j.ID)
	c := New("pool", DefaultSettings(), nil)
	c.CancelJob(began, Cancellation{ID: j.ID, Pool: "pool", Keys: keys, Version: 5, At: began})
	at := began.Add(WithdrawalAge)
	sweep := c.TakeSweep(at)
	is.Equal(len(sweep), 1)
	c.HandleSweep(sweep[0], &store.Error{Op: "commit", Kind: store.KindConflict, Rows: []store.Row{{Key: keys.Cancel, Version: 5}, {Key: keys.Job, Version: 9}}})
	is.Equal(len(c.TakeSweep(at.Add(sweepInterval))), 0) // not at once again
	c.AddJob(at, NewJob{Job: j, Pool: "pool", Version: 9, Legacy: true})
	is.Equal(onlyState(c), "cancelled")
}
