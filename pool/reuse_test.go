package pool

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/store"
)

// removing returns a core with a job whose rows a batch that is under way deletes.
func removing(t *testing.T, began time.Time) *Core {
	t.Helper()
	is := is.New(t)
	c := New("pool", DefaultSettings(), nil)
	j := oneTask(1, time.Second)
	c.AddJob(began, submission(j, 5))
	c.CancelJob(began, withdrawalOf(j.ID, 6, began))
	is.True(c.TakeBatch() != nil)
	c.BatchCommitted(began)
	c.Tick(began) // the job is not live any more
	c.Tick(began.Add(c.settings.KeepEnded))
	is.True(c.TakeBatch() != nil)
	return c
}

// Guards against LOST: the rows of an old job were deleted and the answer was not there yet, or lost, when a job was
// accepted under the same identifier. The holder took it for the old one, and forgot both with the answer.
func TestJobUnderAnIdentifierThatComesAgainRuns(t *testing.T) {
	is := is.New(t)
	began := time.Unix(9000, 0)
	j := oneTask(1, time.Second)
	now := began.Add(DefaultSettings().KeepEnded)
	c := removing(t, began)
	c.AddJob(now, submission(j, 50))
	c.AddJob(now, submission(j, 5)) // a read of all rows, from before the deletion
	c.AddJob(now, submission(j, 0)) // a notice of an earlier release
	c.markDirty(c.jobs[j.ID])       // a late end of the old job
	c.BatchCommitted(now)
	is.Equal(onlyState(c), "queued")
	is.Equal(c.jobs[j.ID].acceptedVersion(), uint64(50))
	if batch := c.TakeBatch(); batch != nil {
		is.True(!slices.ContainsFunc(batch.Writes, func(w store.Write) bool { return w.Delete }))
		c.BatchCommitted(now)
	}
	c.CancelJob(now, withdrawalOf(j.ID, 51, now))
	is.Equal(onlyState(c), "cancelled")
}

// As above, and the second job is cancelled before the answer is there.
func TestJobUnderAnIdentifierThatComesAgainIsCancelled(t *testing.T) {
	is := is.New(t)
	began := time.Unix(9000, 0)
	j := oneTask(1, time.Second)
	now := began.Add(DefaultSettings().KeepEnded)
	c := removing(t, began)
	c.AddJob(now, submission(j, 50))
	c.CancelJob(now, withdrawalOf(j.ID, 51, now))
	c.BatchCommitted(now)
	is.Equal(onlyState(c), "cancelled")
}

// Guards against an identifier under which nothing is accepted any more: its job's rows were deleted and the answer was not
// there yet when it was cancelled again. The holder took the cancellation for one of the old job, and never deleted it.
func TestWithdrawalOfARemovedJobIsDeleted(t *testing.T) {
	is := is.New(t)
	began := time.Unix(9000, 0)
	now := began.Add(DefaultSettings().KeepEnded)
	c := removing(t, began)
	id := oneTask(1, time.Second).ID
	c.CancelJob(now, withdrawalOf(id, 51, now))
	c.BatchCommitted(now)
	sweep := c.TakeSweep(now.Add(WithdrawalAge))
	is.Equal(len(sweep), 1)
	is.Equal(sweep[0].Writes[0].Key, KeysOf(id).Cancel)
}
