package pooltest

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/platform/fakes"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/program/cluster"
	"hollyfork.example/hollyfork/store"
)

// withdrawMinuteAgo leaves the row of a DELETE of an unknown job that is old enough to be deleted, and returns its key.
func withdrawMinuteAgo(c *cluster.Cluster, id job.ID) store.Key {
	key := pool.KeysOf(id).Cancel
	c.Store.Put(key.Table, key.Part, key.Name, pool.Encode(pool.CancelRow(fakes.PoolName, -pool.WithdrawalAge)))
	return key
}

// Guards against LOST: a job was accepted right after the store had deleted an old cancellation of its identifier and lost
// the answer. The holder took that cancellation for one of the new job.
func TestJobAcceptedAfterALostDeletionOfItsCancellationRuns(t *testing.T) {
	c := cluster.New(t, 2, 2)
	c.Submit(1, cluster.TasksJob(1, "100ms"))
	c.AwaitState(1, "done")
	c.Store.SetFaults(fakes.StoreFaults{LoseAnswersTo: withdrawMinuteAgo(c, "0000000000000002").Name})
	c.Submit(2, cluster.TasksJob(1, "100ms")) // refused until the cancellation is gone
	c.AwaitState(2, "done")
	c.CheckRuns()
}

// Guards against LOST: as above, and the holder that deletes the cancellation is killed before the store carries the
// deletion out, so that the next one has read the cancellation. Nobody is left who could get the answer.
func TestJobAcceptedAfterADeletionByTheEarlierHolderRuns(t *testing.T) {
	is := is.New(t)
	c := cluster.New(t, 2, 2)
	c.Submit(1, cluster.TasksJob(1, "100ms"))
	c.AwaitState(1, "done")
	c.Store.SetFaults(fakes.StoreFaults{LateName: withdrawMinuteAgo(c, "0000000000000002").Name, LateBy: 5 * time.Second})
	time.Sleep(1500 * time.Millisecond) // the deletion is under way
	earlier := c.Holder()
	c.Gateways[earlier].Kill()
	cluster.Eventually(t, "another gateway holds the pool", func() bool { return c.Holder() != earlier })
	c.Submit(2, cluster.TasksJob(1, "100ms"))
	c.Gateways[earlier].Launch()
	c.AwaitState(2, "done")
	is.Equal(c.Runs.StartCount(), 2)
	c.CheckRuns()
}
