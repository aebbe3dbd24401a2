package holder

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/store"
)

// Guards against TWICE: the rows of callers are in parts that the holders of all pools read.
func TestRowsOfOtherPoolsAreSkipped(t *testing.T) {
	is := is.New(t)
	h := newTestHolder(t, 0)
	mine, other := testJob("0123456789abcdef"), testJob("fedcba9876543210")
	h.handleIntake(time.Now(), store.Page{Rows: []store.Row{
		{Key: pool.KeysOf(mine.ID).Job, Value: pool.Encode(pool.JobRow("pool", mine, 0)), Version: 1},
		{Key: pool.KeysOf(other.ID).Job, Value: pool.Encode(pool.JobRow("other", other, 0)), Version: 2},
		{Key: pool.KeysOf(mine.ID).Cancel, Value: pool.Encode(pool.CancelRow("other", 0)), Version: 3},
	}})
	is.Equal(h.core.Snapshot(time.Now()).Jobs, map[string]int{"queued": 1})
}

// A job is accepted and cancelled during an outage of the feed, and then all rows of the intake table are read
// again. The row that cancels a job sorts before the job's own row: in that order, the cancellation of an unknown
// job would be lost, and the job would run.
func TestJobCancelledDuringAFeedOutageIsCancelled(t *testing.T) {
	is := is.New(t)
	h := newTestHolder(t, 0)
	j := testJob("0123456789abcdef")
	h.handleIntake(time.Now(), store.Page{Rows: []store.Row{
		{Key: pool.KeysOf(j.ID).Cancel, Value: pool.Encode(pool.CancelRow("pool", 0)), Version: 2},
		{Key: pool.KeysOf(j.ID).Job, Value: pool.Encode(pool.JobRow("pool", j, 0)), Version: 1},
	}})
	is.Equal(h.core.Snapshot(time.Now()).Jobs["cancelled"], 1)
}

func testJob(id job.ID) job.Job {
	j := job.Job{ID: id, Spec: "work", Steps: []job.Step{{Count: 1, Shape: job.Shape{Accelerators: 1}}}}
	j.Terms.Attempts = 1
	return j
}
