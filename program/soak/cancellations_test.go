package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/platform/fakes"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/program/cluster"
	"hollyfork.example/hollyfork/store"
)

const (
	// withdrawnJobs is the number of jobs of TestJobsUnderCancelledIdentifiers.
	withdrawnJobs = 10
	// maxDeletionDelay is how late the deletion of a cancellation is carried out at most.
	maxDeletionDelay = 3 * time.Second
)

// withdrawnRun is the run of one seed in which jobs are accepted under identifiers that were cancelled a minute before.
type withdrawnRun struct {
	*cluster.Cluster

	t         *testing.T
	random    *rand.Rand
	cancelled map[int]bool
}

// Guards against LOST and UNASKED where identifiers are cancelled before there is a job: the deletions of the cancellations
// are carried out late or lose their answers, holders end, and feeds begin anew, while jobs are accepted and cancelled.
func TestJobsUnderCancelledIdentifiers(t *testing.T) {
	for i := range *changeSeeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := &withdrawnRun{Cluster: cluster.New(t, 3, 3), t: t, random: rand.New(rand.NewPCG(seed, seed)), cancelled: map[int]bool{}}
			for id := 1; id <= withdrawnJobs; id++ {
				r.withdraw(id)
				r.harm()
				r.Submit(id, cluster.TasksJob(1, "200ms"))
				if r.random.IntN(4) == 0 {
					r.cancel(id)
				}
			}
			r.repair()
			r.check()
		})
	}
}

// withdraw leaves the cancellation of an unknown job that is to be deleted within a second or two, and has the store lose the
// answer, or carry the deletion out late.
func (r *withdrawnRun) withdraw(id int) {
	key := pool.KeysOf(job.ID(jobName(id))).Cancel
	faults := fakes.StoreFaults{LoseAnswers: r.random.IntN(2)}
	if r.random.IntN(2) == 0 {
		faults.LoseAnswersTo = key.Name
	} else {
		faults.LateName, faults.LateBy = key.Name, time.Duration(r.random.Int64N(int64(maxDeletionDelay)))
	}
	r.Store.SetFaults(faults)
	age := pool.WithdrawalAge - time.Duration(r.random.Int64N(int64(time.Second)))
	r.putCancellation(key, age)
}

// putCancellation writes the row of a cancellation of an age.
func (r *withdrawnRun) putCancellation(key store.Key, age time.Duration) {
	r.Store.Put(key.Table, key.Part, key.Name, pool.Encode(pool.CancelRow(fakes.PoolName, r.Store.Clock()-age)))
}

// harm ends the holder, starts a gateway or makes the feeds begin anew.
func (r *withdrawnRun) harm() {
	holder := r.Holder()
	switch r.random.IntN(4) {
	case 0:
		r.repair()
		if holder >= 0 {
			time.Sleep(time.Duration(r.random.Int64N(int64(2 * time.Second)))) // the deletion may be under way
			r.Gateways[holder].Kill()
		}
	case 1:
		r.Store.TruncateHistory()
	}
}

// repair starts the gateways that have ended.
func (r *withdrawnRun) repair() {
	for _, g := range r.Gateways {
		if !g.Running() {
			g.Launch()
		}
	}
}

// cancel cancels an accepted job until that is acknowledged.
func (r *withdrawnRun) cancel(id int) {
	r.cancelled[id] = true
	cluster.Eventually(r.t, "a job is cancelled", func() bool {
		status, _ := r.Gateways[r.random.IntN(len(r.Gateways))].Call(http.MethodDelete, cluster.JobPath(id), cluster.APIKey, "")
		return status == http.StatusOK
	})
}

// check fails the test unless all jobs are done but those that were cancelled, which may have been done before.
func (r *withdrawnRun) check() {
	r.Store.SetFaults(fakes.StoreFaults{})
	for id := 1; id <= withdrawnJobs; id++ {
		cluster.Eventually(r.t, fmt.Sprintf("job %d has ended", id), func() bool {
			state := r.JobState(id)
			if state == "cancelled" && !r.cancelled[id] {
				r.t.Fatalf("job %d is cancelled, and nobody cancelled it since it was accepted", id)
			}
			return state == "done" || state == "cancelled"
		})
	}
	r.CheckRuns()
}
