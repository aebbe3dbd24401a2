package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"hollyfork.example/hollyfork/platform/fakes"
	"hollyfork.example/hollyfork/program/cluster"
)

const (
	// otherPool is the pool to which the queue moves, beside that of the cluster.
	otherPool = "previews"
	// changePeriod is the time during which the configuration changes, and changedJobs the number of jobs meanwhile.
	changePeriod = 12 * time.Second
	changedJobs  = 24
	// cancelledLength is the run time of the tasks of jobs that are cancelled: they would still run at the end.
	cancelledLength = "120s"
	// cancelTime is how long the tasks of a cancelled job may run on.
	cancelTime = 4 * time.Second
)

var changeSeeds = flag.Int("change-seeds", 2, "number of seeds of TestConfigurationChangesInUse, from -first on")

// changeRun is the run of one seed in which the configuration changes while jobs run.
type changeRun struct {
	*cluster.Cluster

	t       *testing.T
	random  *rand.Rand
	version int
	pool    string
	advised bool
	// accepted are the jobs that have to be done, and cancelled those whose cancellation was acknowledged.
	accepted  []int
	cancelled []int
}

// Guards against TWICE, UNASKED and LOST where the configuration changes in use: the queue moves between two pools, gets and
// loses a policy, processes end, and answers of the store are lost, while callers send jobs again and cancel them.
func TestConfigurationChangesInUse(t *testing.T) {
	for i := range *changeSeeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runChanges(t, seed)
		})
	}
}

func runChanges(t *testing.T, seed uint64) {
	r := &changeRun{
		Cluster: cluster.NewAdvised(t, 3, 3, func(string) bool { return true }),
		t:       t,
		random:  rand.New(rand.NewPCG(seed, seed)),
		version: 1,
		pool:    fakes.PoolName,
		advised: true,
	}
	r.AddWorker(otherPool)
	r.AddWorker(otherPool)
	for id := 1; id <= changedJobs; id++ {
		r.change()
		r.submit(id)
		time.Sleep(time.Duration(r.random.Int64N(int64(2 * changePeriod / changedJobs))))
	}
	r.Store.SetFaults(fakes.StoreFaults{})
	for _, g := range r.Gateways {
		if !g.Running() {
			g.Launch()
		}
	}
	r.check()
}

// change changes the configuration, ends a gateway or lets the store lose answers.
func (r *changeRun) change() {
	gateway := r.Gateways[r.random.IntN(len(r.Gateways))]
	switch r.random.IntN(6) {
	case 0, 1:
		if r.pool = otherPool; r.random.IntN(2) == 0 {
			r.pool = fakes.PoolName
		}
		r.configure()
	case 2:
		r.advised = !r.advised
		r.configure()
		r.followPolicy(time.Duration(r.random.IntN(2000)) * time.Millisecond)
	case 3:
		if gateway.Running() {
			gateway.Kill()
		} else {
			gateway.Launch()
		}
	case 4:
		r.Store.SetFaults(fakes.StoreFaults{LoseAnswers: r.random.IntN(3), LateTxns: r.random.IntN(3)})
	}
}

func (r *changeRun) configure() {
	r.version++
	r.Apply(cluster.Config{Version: r.version, Key: cluster.APIKey, Pool: r.pool, Advised: r.advised})
}

// followPolicy makes the workers follow the policy of the queue after a while, as they learn of it on their own.
func (r *changeRun) followPolicy(after time.Duration) {
	advice := r.Advice
	if !r.advised {
		advice = nil
	}
	time.AfterFunc(after, func() {
		for _, w := range r.Workers {
			w.SetAdvice(advice)
		}
	})
}

// submit submits a job as callers do, to gateways drawn at random, and sends it again after its success. Every third is
// cancelled, whatever became of its submission.
func (r *changeRun) submit(id int) {
	cancels := id%3 == 0
	body := cluster.TasksJob(1+r.random.IntN(3), fmt.Sprintf("%dms", 100+r.random.IntN(2500)))
	if cancels {
		body = cluster.TasksJob(1, cancelledLength)
	}
	r.RegisterJob(id, body)
	accepted := false
	for range 3 {
		status, _ := r.call(http.MethodPost, id, body)
		accepted = accepted || status == http.StatusOK
		if cancels && status != 0 {
			break
		}
	}
	if !cancels {
		if accepted {
			r.accepted = append(r.accepted, id)
		}
		return
	}
	for range 3 {
		if status, _ := r.call(http.MethodDelete, id, ""); status == http.StatusOK || status == http.StatusGone {
			r.cancelled = append(r.cancelled, id)
			return
		}
	}
}

func (r *changeRun) call(method string, id int, body string) (status int, content string) {
	return r.Gateways[r.random.IntN(len(r.Gateways))].Call(method, cluster.JobPath(id), cluster.APIKey, body)
}

// check waits until all jobs are done that have to be, and fails the test if a cancelled one runs or a task ran twice.
func (r *changeRun) check() {
	deadline := time.Now().Add(settleTimeout)
	for _, id := range r.accepted {
		for r.JobState(id) != "done" {
			if time.Now().After(deadline) {
				r.t.Errorf("job %d was accepted and is not done: state %q", id, r.JobState(id))
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(cancelTime)
	for _, id := range r.cancelled {
		if running, _ := r.Runs.TaskState(jobName(id) + ".0.0.0"); running {
			r.t.Errorf("job %d runs although its cancellation was acknowledged: state %q", id, r.JobState(id))
		}
	}
	r.CheckRuns()
	r.t.Logf("%d jobs accepted, %d cancelled, %d configurations, %d runs", len(r.accepted), len(r.cancelled), r.version, r.Runs.StartCount())
}
