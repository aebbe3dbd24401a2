package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"hollyfork.example/hollyfork/platform/fakes"
	"hollyfork.example/hollyfork/program/cluster"
)

// The test in this file guards against second runs of tasks that run on a worker whose agent was restarted. A new agent
// does not know the lease that its predecessor gave the worker. If it takes this for no lease, a worker that answers one
// poll and then none for a second is considered to run nothing, and its tasks are started elsewhere while they run on.
// The agent's first renewal hides this, unless it arrives after the second poll.

const (
	// restartsPeriod is the time in which series of restarts begin, restartSeriesCount their number, and
	// longJobsPerWorker the number of jobs per worker that clients submit meanwhile, for two thirds of the capacity.
	restartsPeriod     = 20 * time.Second
	restartSeriesCount = 6
	longJobsPerWorker  = 5
	// minStall and maxStall bound the time for which workers do not answer. It exceeds the timeout of a poll and is
	// shorter than leases.
	minStall = 1500 * time.Millisecond
	maxStall = 3 * time.Second
	// minLongRun and maxLongRun bound the run time of tasks.
	minLongRun = 3 * time.Second
	maxLongRun = 8 * time.Second
)

func TestNoSecondRunBesideRestartedAgents(t *testing.T) {
	t.Parallel()
	for i := range *seeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runAgentRestarts(t, seed)
		})
	}
}

func runAgentRestarts(t *testing.T, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, seed))
	s := newSeriesRun(t, seed, random, *workers, fakes.InstanceConfig{})
	s.period, s.jobCount, s.faultKinds = restartsPeriod, longJobsPerWorker**workers, firstRunFault
	for i := range restartSeriesCount {
		at := 2*time.Second + time.Duration(i)*restartsPeriod/restartSeriesCount
		s.planAgentRestarts(at+s.drawUpTo(time.Second), cluster.DataCentre(i))
	}
	for range 2 {
		s.planBeside(s.drawUpTo(restartsPeriod))
	}
	s.run(func(int) string { return s.randomLongJob() })
}

// planAgentRestarts plans a series of restarts of the agents of a data centre, each up to three times. Their workers
// stall after the first poll of a new agent, and most of the connections from holders are slow.
func (s *seriesRun) planAgentRestarts(at time.Duration, dataCentre string) {
	gap := s.drawUpTo(200 * time.Millisecond)
	rounds := 1 + s.random.IntN(3)
	interval := time.Second + s.drawUpTo(3*time.Second)
	slow := s.random.IntN(4) > 0
	for i, p := range s.Sidecars {
		if cluster.DataCentre(i) != dataCentre {
			continue
		}
		if slow {
			s.planDelay(p.Proxies[0], at, time.Duration(rounds)*interval+maxStall)
		}
		for round := range rounds {
			s.planAgentRestart(at+time.Duration(round)*interval, p, s.Workers[i])
		}
		at += gap
	}
}

// planAgentRestart plans the end of an agent and the launch of its successor, after whose first poll the worker stalls.
func (s *seriesRun) planAgentRestart(at time.Duration, agent *cluster.Program, w *fakes.Worker) {
	signal := []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[s.random.IntN(2)]
	downtime := 100*time.Millisecond + s.drawUpTo(400*time.Millisecond)
	stall := minStall + s.drawUpTo(maxStall-minStall)
	s.plan = append(s.plan,
		action{at, func() { s.signal(agent, signal) }},
		action{at + downtime, func() {
			w.StallAfterPoll(stall)
			s.bringUp(agent)
		}})
}

// planDelay plans a time in which a connection is slow.
func (s *seriesRun) planDelay(p *fakes.Proxy, at, length time.Duration) {
	s.plan = append(s.plan, action{at, func() { p.SetMode(fakes.Delay) }}, action{at + length, func() { p.SetMode(fakes.Pass) }})
}

// planBeside plans a fault beside the restarts: a holder is killed, all orders may be late, or the workers of a data
// centre are silent for less than their leases.
func (s *seriesRun) planBeside(at time.Duration) {
	switch s.random.IntN(3) {
	case 0:
		s.planSignal(at, syscall.SIGKILL, func() *cluster.Program { return s.Gateways[max(0, s.Holder())] })
	case 1:
		s.planFaults(at, fakes.WorkerFaults{Late: fakes.LateOrders{Fraction: 0.4, Kinds: fakes.OrderKinds(1 + s.random.IntN(7))}})
	case 2:
		dataCentre := cluster.DataCentre(s.random.IntN(2))
		length := 500*time.Millisecond + s.drawUpTo(2500*time.Millisecond)
		for i, w := range s.Workers {
			if cluster.DataCentre(i) == dataCentre {
				s.plan = append(s.plan, action{at, func() { w.SetUnresponsive(true) }}, action{at + length, func() { w.SetUnresponsive(false) }})
			}
		}
	}
}

// randomLongJob returns a job whose tasks outlast the restart of an agent.
func (s *seriesRun) randomLongJob() string {
	length := (minLongRun + s.drawUpTo(maxLongRun-minLongRun)).Round(time.Millisecond).String()
	if s.random.IntN(2) == 0 {
		return cluster.GangJob(2+s.random.IntN(4), 1+s.random.IntN(2), length)
	}
	return cluster.TasksJob(1+s.random.IntN(6), length)
}
