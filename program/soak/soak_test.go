package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/platform/fakes"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/program/cluster"
	"hollyfork.example/hollyfork/store"
)

const (
	// faultPeriod is the time during which faults are injected, and jobCount the number of jobs submitted meanwhile.
	faultPeriod = 15 * time.Second
	jobCount    = 30
	// settleTimeout is how long the jobs may take to end afterwards: several times the longest lease, a change of
	// holder and the longest job together.
	settleTimeout = 60 * time.Second
)

var (
	// gateways and workers set the size of a cluster: some ten processes.
	gateways = flag.Int("gateways", 3, "number of gateways of a cluster")
	workers  = flag.Int("workers", 5, "number of workers of a cluster, each with its sidecar")

	seeds = flag.Int("seeds", 1, "number of seeds to run")
	first = flag.Uint64("first", 1, "first seed")
)

// Kinds of faults are numbered in the order in which they were added. A seed draws the same faults again only from
// the same number of kinds, so each regression is run with the number of kinds that there were. A constant is the
// number of its first kind, and thus the number of kinds before it.
const (
	// Workers fail runs or leave starts unanswered, and malformed data is written.
	firstRunFault = 10
	// Workers crash, for a reason of their own or under a task.
	firstCrashFault = 14
	// The capacity of workers changes.
	firstCapacityFault = 16
	// Open connections are blackholed for good.
	firstBlackholeFault = 17
	// Workers drain and leave, or restart twice, under the same identifier.
	firstRestartFault = 18
	// allFaults is the number of all kinds.
	allFaults = 20
	// crashesToFailJob is the number of workers that must be lost under a task before its job may fail for that.
	crashesToFailJob = 3
)

// regressions are the seeds that have failed.
var regressions = map[uint64]regression{
	23:    {firstRunFault, "a listing in progress at the time of an order was taken for the next one, and the wait for a stopped run never ended"},
	19014: {firstRestartFault, "stand-in workers ran a gang's tasks before all had started, and the job was done without the task that crashes workers"},
}

// regression is the number of kinds of faults with which a seed failed, and the cause.
type regression struct {
	faultKinds int
	cause      string
}

func TestMain(m *testing.M) {
	cluster.Main(m)
}

func TestSeeds(t *testing.T) {
	for i := range *seeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed, allFaults)
		})
	}
}

func TestRegressions(t *testing.T) {
	for seed, r := range regressions {
		t.Run(fmt.Sprintf("%d %s", seed, r.cause), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed, r.faultKinds)
		})
	}
}

// seedRun is the run of one seed on its own cluster.
type seedRun struct {
	*cluster.Cluster

	t      *testing.T
	random *rand.Rand
	// extraRandom draws the choices that were added later, so that random draws the same as before for earlier seeds.
	extraRandom *rand.Rand
	// repairs end the active faults, one each.
	repairs []func()
	// crashingJobs are the accepted jobs with a task that crashes its workers.
	crashingJobs []int
	// gangJobs are the jobs that consist of one gang, whose tasks share their attempts.
	gangJobs map[int]bool
	// configVersion is the version of the last valid configuration that was written.
	configVersion int
	// faultKinds is the number of kinds from which faults are drawn.
	faultKinds int
	paused     map[*cluster.Program]bool
	// accepted are the jobs with a successful submission. refused are the jobs whose submissions were all answered
	// with a refusal.
	accepted []int
	refused  []int
}

func runSeed(t *testing.T, seed uint64, faultKinds int) {
	s := &seedRun{
		Cluster:       cluster.NewWithInstances(t, *gateways, *workers, workerInstances(seed, faultKinds)),
		t:             t,
		random:        rand.New(rand.NewPCG(seed, seed)),
		extraRandom:   rand.New(rand.NewPCG(seed, seed+1)),
		paused:        map[*cluster.Program]bool{},
		faultKinds:    faultKinds,
		configVersion: 1,
		gangJobs:      map[int]bool{},
	}
	meanInterval := faultPeriod / jobCount
	for id := 1; id <= jobCount; id++ {
		s.injectOrRepair()
		s.submitAnywhere(id)
		time.Sleep(time.Duration(s.random.Int64N(int64(2 * meanInterval))))
	}
	s.repairAll()
	s.check()
}

// workerInstances returns the settings for the instances of the workers. A worker that has ended is back within about
// three seconds, and for some seeds its time of day is set back in between.
func workerInstances(seed uint64, faultKinds int) fakes.InstanceConfig {
	if faultKinds < allFaults {
		return fakes.InstanceConfig{}
	}
	random := rand.New(rand.NewPCG(seed, seed+2))
	instances := fakes.InstanceConfig{ReuseID: true, Downtime: time.Duration(20+random.IntN(3000)) * time.Millisecond}
	if random.IntN(3) == 0 {
		instances.ClockStepBack = time.Minute
	}
	return instances
}

// injectOrRepair injects a fault, or ends an active one.
func (s *seedRun) injectOrRepair() {
	if len(s.repairs) > 2 || len(s.repairs) > 0 && s.random.IntN(2) == 0 {
		s.repair(s.random.IntN(len(s.repairs)))
		return
	}
	gateway := s.Gateways[s.random.IntN(*gateways)]
	number := s.random.IntN(*workers)
	sidecar, worker := s.Sidecars[number], s.Workers[number]
	process := []*cluster.Program{gateway, sidecar}[s.random.IntN(2)]
	switch s.random.IntN(s.faultKinds) {
	case 0, 1:
		s.endProcess(process, (*cluster.Program).Kill)
	case 2:
		s.pauseProcess(process)
	case 3:
		s.endProcess(gateway, (*cluster.Program).Stop)
	case 4, 5, 6:
		proxy := process.Proxies[s.random.IntN(len(process.Proxies))]
		proxy.SetMode([]fakes.Mode{fakes.Delay, fakes.Blackhole, fakes.BlackholeResponses, fakes.Reset}[s.random.IntN(4)])
		s.addRepair(func() { proxy.SetMode(fakes.Pass) })
	case 7:
		worker.Restart()
	case 8:
		worker.SetUnresponsive(true)
		s.addRepair(func() { worker.SetUnresponsive(false) })
	case 9:
		s.injectStoreFault()
	case 10, 11:
		s.injectRunFault(worker)
	case firstCrashFault:
		worker.Crash()
	case firstCrashFault + 1:
		s.submitCrashingJob()
	case firstCapacityFault:
		s.changeCapacity(worker)
	case firstBlackholeFault:
		s.blackholeConnections(process)
	case firstRestartFault:
		worker.DrainAndLeave(time.Duration(s.extraRandom.IntN(3000)) * time.Millisecond)
	case firstRestartFault + 1:
		s.restartTwice(worker)
	default:
		s.writeMalformed(worker)
	}
}

// changeCapacity leaves a worker fewer accelerators, or none, until the repair.
func (s *seedRun) changeCapacity(w *fakes.Worker) {
	w.SetAccelerators(time.Now(), []int{0, 1, 4}[s.extraRandom.IntN(3)])
	s.addRepair(func() { w.SetAccelerators(time.Now(), workerAccelerators) })
}

// restartTwice restarts a worker twice within half a second. The last instance may drain at once.
func (s *seedRun) restartTwice(w *fakes.Worker) {
	w.Restart()
	time.Sleep(time.Duration(s.extraRandom.IntN(500)) * time.Millisecond)
	w.Restart()
	if s.extraRandom.IntN(2) == 0 {
		w.DrainAndLeave(time.Second)
	}
}

// blackholeConnections blackholes the open connections of a process, or of all processes, for good. New connections
// work.
func (s *seedRun) blackholeConnections(p *cluster.Program) {
	blackholed := []*cluster.Program{p}
	if s.extraRandom.IntN(3) == 0 {
		blackholed = slices.Concat(s.Gateways, s.Sidecars)
	}
	for _, process := range blackholed {
		for _, proxy := range process.Proxies {
			proxy.BlackholeOpenConns()
		}
	}
}

// submitCrashingJob submits a job with a task that crashes each worker that starts it.
func (s *seedRun) submitCrashingJob() {
	id := crashingIDBase + len(s.accepted) + len(s.refused)
	spec := fakes.CrashSpec(0, time.Duration(s.extraRandom.IntN(1000))*time.Millisecond, 2*time.Second)
	body := cluster.TasksJob(1+s.extraRandom.IntN(3), spec)
	if s.extraRandom.IntN(2) == 0 {
		body = cluster.GangJob(1+s.extraRandom.IntN(3), 1+s.extraRandom.IntN(4), spec)
	}
	s.RegisterJob(id, body)
	status, _ := s.Gateways[s.random.IntN(*gateways)].Call(http.MethodPost, cluster.JobPath(id), cluster.APIKey, body)
	if status == http.StatusOK {
		s.crashingJobs = append(s.crashingJobs, id)
	}
}

// injectRunFault makes a worker fail runs or leave starts unanswered.
func (s *seedRun) injectRunFault(w *fakes.Worker) {
	w.SetFaults([]fakes.WorkerFaults{
		{Fail: 0.7, FailWithin: 400 * time.Millisecond},
		{Fail: 1, FailWithin: 50 * time.Millisecond},
		{Unanswered: 0.5},
	}[s.extraRandom.IntN(3)])
	s.addRepair(func() { w.SetFaults(fakes.WorkerFaults{}) })
}

// writeMalformed sends a heartbeat, or writes rows or a configuration, that can't be decoded.
func (s *seedRun) writeMalformed(w *fakes.Worker) {
	noise := fakes.Noise(s.extraRandom, 1+s.extraRandom.IntN(200))
	unknownID := job.ID(fmt.Sprintf("%016x", 1<<40+s.extraRandom.IntN(1000)))
	switch s.extraRandom.IntN(4) {
	case 0:
		for range 5 {
			_ = w.PostHeartbeat("i-stranger", string(noise)) // the agent refuses it or does not listen
		}
	case 1:
		for _, key := range []store.Key{pool.KeysOf(unknownID).Job, pool.KeysOf(unknownID).Cancel, pool.AgentKey(fakes.PoolName, string(unknownID))} {
			s.Store.Put(key.Table, key.Part, key.Name, noise)
		}
	case 2:
		key := pool.StateKey(fakes.PoolName, unknownID)
		s.Store.Put(key.Table, key.Part, key.Name, noise)
		s.Store.Put("gateway", "gateway", string(unknownID), noise)
	case 3:
		s.Store.Put("op", "", "config", noise)
		s.addRepair(func() {
			s.configVersion++
			s.Configure(s.configVersion, cluster.APIKey)
		})
	}
}

// endProcess ends a process that is up. The repair launches it again.
func (s *seedRun) endProcess(p *cluster.Program, end func(*cluster.Program)) {
	if s.paused[p] || !p.Running() {
		return
	}
	end(p)
	s.addRepair(p.Launch)
}

// pauseProcess pauses a process that is up until the repair.
func (s *seedRun) pauseProcess(p *cluster.Program) {
	if s.paused[p] || !p.Running() {
		return
	}
	p.Signal(syscall.SIGSTOP)
	s.paused[p] = true
	s.addRepair(func() {
		p.Signal(syscall.SIGCONT)
		delete(s.paused, p)
	})
}

func (s *seedRun) injectStoreFault() {
	switch s.random.IntN(5) {
	case 0:
		s.Store.SetFaults(fakes.StoreFaults{Unavailable: true})
	case 1:
		s.Store.SetFaults(fakes.StoreFaults{Unresponsive: true})
	case 2:
		s.Store.SetFaults(fakes.StoreFaults{LoseAnswers: 3, LateTxns: 2})
	case 3:
		s.Store.SetFaults([]fakes.StoreFaults{
			{Delay: 200 * time.Millisecond},
			{TxnDuration: 150 * time.Millisecond},
		}[s.extraRandom.IntN(2)])
	case 4:
		s.Store.TruncateHistory()
		return
	}
	s.addRepair(func() { s.Store.SetFaults(fakes.StoreFaults{}) })
}

// addRepair adds the function that ends a fault just injected.
func (s *seedRun) addRepair(repair func()) {
	s.repairs = append(s.repairs, repair)
}

func (s *seedRun) repair(i int) {
	s.repairs[i]()
	s.repairs = append(s.repairs[:i], s.repairs[i+1:]...)
}

// repairAll ends all active faults.
func (s *seedRun) repairAll() {
	for len(s.repairs) > 0 {
		s.repair(len(s.repairs) - 1)
	}
}

// submitAnywhere submits a job as callers do: to up to three gateways, drawn at random, until one accepts it.
func (s *seedRun) submitAnywhere(id int) {
	body := s.randomJob()
	s.gangJobs[id] = strings.Contains(body, `"gang":true`)
	s.RegisterJob(id, body)
	allRefused := true
	for range 3 {
		status, _ := s.Gateways[s.random.IntN(*gateways)].Call(http.MethodPost, cluster.JobPath(id), cluster.APIKey, body)
		switch status {
		case http.StatusOK:
			s.accepted = append(s.accepted, id)
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			allRefused = false
		}
	}
	if allRefused {
		s.refused = append(s.refused, id)
	}
}

func (s *seedRun) randomJob() string {
	length := fmt.Sprintf("%dms", 100+s.random.IntN(2500))
	if s.extraRandom.IntN(6) == 0 {
		first := time.Now().Add(time.Duration(s.extraRandom.IntN(2000)) * time.Millisecond)
		return cluster.RepeatingJob(1+s.extraRandom.IntN(3), first, 500*time.Millisecond, length)
	}
	if s.random.IntN(2) == 0 {
		return cluster.GangJob(1+s.random.IntN(4), 1+s.random.IntN(4), length)
	}
	return cluster.TasksJob(1+s.random.IntN(6), length)
}

// finished reports whether a job is done, or has failed for a valid reason: one of its tasks, or its gang, is out of
// attempts, or enough workers were lost under a task. With the kinds of faults before firstRunFault no run fails, so a
// job must be done.
func (s *seedRun) finished(id int) bool {
	switch s.JobState(id) {
	case "done":
		return true
	case "failed":
		all, most := s.Runs.Failures(jobName(id))
		if s.gangJobs[id] {
			most = all
		}
		if s.faultKinds > firstCrashFault && s.Runs.MaxWorkersLost(jobName(id)) >= crashesToFailJob {
			return true
		}
		return s.faultKinds > firstRunFault && most >= cluster.Attempts
	default:
		return false
	}
}

// check waits until all accepted jobs are finished, and fails the test if a guarantee was violated.
func (s *seedRun) check() {
	deadline := time.Now().Add(settleTimeout)
	for _, id := range s.accepted {
		for !s.finished(id) {
			if time.Now().After(deadline) {
				s.t.Errorf("job %d was accepted and has not finished: state %q", id, s.JobState(id))
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for _, id := range s.crashingJobs {
		for s.JobState(id) != "failed" {
			if time.Now().After(deadline) {
				s.t.Errorf("job %d crashes workers and has not failed: state %q", id, s.JobState(id))
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for _, id := range s.refused {
		if s.Runs.Ran(jobName(id) + ".0.0.0") {
			s.t.Errorf("job %d ran although all of its submissions were refused", id)
		}
	}
	s.CheckRuns()
	crashes, most, _ := s.Runs.Crashes()
	s.t.Logf("%d jobs accepted, %d refused, %d runs; %d jobs crashed %d workers, one task alone %d", len(s.accepted), len(s.refused), s.Runs.StartCount(), len(s.crashingJobs), crashes, most)
}
