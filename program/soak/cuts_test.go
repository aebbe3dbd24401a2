package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hollyfork.example/hollyfork/holder"
	"hollyfork.example/hollyfork/platform/fakes"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/program/cluster"
)

// The test in this file aims at the moment when a run is considered lost while it goes on. Agents are cut off from
// holders, workers from agents, and gateways from the store, each for around the length of the lease that then ends.
// Links deliver late what they have held back. Meanwhile holders are paused for around their lease, agents are
// stopped, all processes are slow at once, and workers end while the ends of their runs are under way. The tasks are
// longer than the leases.

const (
	// longestWorkerLease is the longest lease that a worker accepts, including the drift of its clock.
	longestWorkerLease = 6300 * time.Millisecond
	// slowClockRate is the speed of the slowest clock that the platform allows.
	slowClockRate = 0.98
	// cutSpread is how much longer or shorter than a lease a cut is.
	cutSpread = time.Second
	// takeoverAndLease is about the time until another holder has taken over and considers the runs of agents as lost
	// that it does not reach.
	takeoverAndLease = 7 * time.Second
	// maxHeldFor is how long after a cut connections deliver what they have held back.
	maxHeldFor = 3 * time.Second
	// sliceLength is the time in which slow processes run once.
	sliceLength = 250 * time.Millisecond
	// dyingFor is how long workers are observed for runs that have just ended.
	dyingFor = 3 * time.Second
	// dyingCount is the number of workers that end in this time at most.
	dyingCount = 3
)

// cutCount is the number of cuts of a seed. They overlap.
var cutCount = flag.Int("cuts", 5, "number of cuts of a seed of TestCuts")

// cutModes are the ways in which links are cut.
var cutModes = []fakes.Mode{fakes.Hold, fakes.HoldRequests, fakes.HoldResponses, fakes.Blackhole, fakes.BlackholeResponses, fakes.Reset}

// cutsRun is the run of one seed.
type cutsRun struct {
	*seriesRun
}

func TestCuts(t *testing.T) {
	for i := range *seeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runCuts(t, seed)
		})
	}
}

func runCuts(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, seed))
	instances := fakes.InstanceConfig{Downtime: time.Duration(20+random.IntN(3000)) * time.Millisecond}
	if random.IntN(2) == 0 {
		instances.ClockRate = slowClockRate
	}
	s := &cutsRun{newSeriesRun(t, seed, random, *workers, instances)}
	s.period, s.jobCount, s.faultKinds = seriesPeriod, seriesJobs, allFaults
	for range *cutCount {
		s.planCut(time.Second + s.drawUpTo(seriesPeriod-2*longestWorkerLease))
	}
	s.endPlan = s.healLinks
	s.run(s.longJob)
	s.logLosses()
}

// longJob returns a job whose tasks run longer than the holder's lease, several of them on one worker. Some of the
// first jobs are so long that they go on while a holder takes over and then waits for the leases of agents.
func (s *cutsRun) longJob(id int) string {
	length := 3*time.Second + s.drawUpTo(5*time.Second)
	if id <= seriesJobs/3 && s.random.IntN(3) == 0 {
		length += takeoverAndLease
	}
	if s.random.IntN(2) == 0 {
		return cluster.GangJob(2+s.random.IntN(2), 1, length.String())
	}
	return cluster.TasksJob(1+s.random.IntN(2), length.String())
}

// planCut plans faults that meet around the end of leases that the agents of some workers have at a time: one scene,
// and some faults beside it.
func (s *cutsRun) planCut(at time.Duration) {
	lease := pool.DefaultSettings().AgentLease
	group := s.drawGroup()
	switch s.random.IntN(4) {
	case 0: // The next holder has not reached the agents yet when their leases end.
		s.planProxyCut(group, 0, at, lease)
		s.planHolderEnd(at + s.drawUpTo(lease/2))
	case 1:
		s.planHolderCut(group, at)
	case 2: // Orders arrive after the leases with which they were given.
		s.planProxyCut(group, 0, at, lease)
	case 3: // A restarted agent gets no answers.
		s.planAgentStops(group, at)
		s.planWorkerCut(group, at+s.drawUpTo(cutSpread), []time.Duration{lease, longestWorkerLease}[s.random.IntN(2)])
	}
	beside := []func(){
		func() { s.planWorkerCut(group, at, lease) },
		func() { s.planProxyCut(group, 1, at, lease) },
		func() { s.planHolderEnd(at + s.drawUpTo(lease+cutSpread)) },
		func() { s.planStoreCut(at + s.drawUpTo(lease)) },
		func() { s.planAgentStops(group, at+s.drawUpTo(lease)) },
		func() { s.planSlowProcesses(at + s.drawUpTo(lease)) },
		func() {
			s.plan = append(s.plan, action{at + s.drawUpTo(lease), func() { go s.endWorkersAtEndsOfRuns() }})
		},
	}
	for _, plan := range beside {
		if s.random.IntN(4) == 0 {
			plan()
		}
	}
}

// planProxyCut cuts the agents of a group off, by one of their proxies.
func (s *cutsRun) planProxyCut(group []int, proxy int, at, lease time.Duration) {
	from, to, mode := s.drawCut(at, lease)
	heldFor := s.drawHeldFor()
	s.planForGroup(group, from, to,
		func(n int) { s.Sidecars[n].Proxies[proxy].SetMode(mode) },
		func(n int) { s.Sidecars[n].Proxies[proxy].Heal(heldFor) })
}

// planWorkerCut cuts the workers of a group off from their agents.
func (s *cutsRun) planWorkerCut(group []int, at, lease time.Duration) {
	from, to, mode := s.drawCut(at, lease)
	heldFor := s.drawHeldFor()
	s.planForGroup(group, from, to, func(n int) { s.Workers[n].SetLink(mode) }, func(n int) { s.Workers[n].HealLink(heldFor) })
}

// planHolderCut cuts the agents of a group off from the gateway that is the holder then. Or it leaves that one only
// these agents: another gateway takes the pool over and reaches all other agents.
func (s *cutsRun) planHolderCut(group []int, at time.Duration) {
	lease := pool.DefaultSettings().AgentLease
	length := s.drawAround(lease)
	mode := cutModes[s.random.IntN(len(cutModes))]
	heldFor := s.drawHeldFor()
	partitions := s.random.IntN(3) > 0
	if partitions {
		length += holder.TakeoverAfter + lease
		mode = []fakes.Mode{fakes.Hold, fakes.Blackhole, fakes.Reset}[s.random.IntN(3)]
	}
	var cutOff *cluster.Program
	s.plan = append(s.plan, action{at, func() {
		cutOff = s.Gateways[max(0, s.Holder())]
		isHolder := cutOff.Owns()
		isOther := func(client net.Addr) bool { return !isHolder(client) }
		if partitions {
			cutOff.Proxies[0].SetMode(mode)
		}
		for n, p := range s.Sidecars {
			switch inGroup := slices.Contains(group, n); {
			case inGroup && partitions:
				p.Proxies[0].CutClients(mode, isOther)
			case inGroup || partitions:
				p.Proxies[0].CutClients(mode, isHolder)
			}
		}
	}}, action{at + length, func() {
		cutOff.Proxies[0].Heal(heldFor)
		for n, p := range s.Sidecars {
			if partitions || slices.Contains(group, n) {
				p.Proxies[0].Heal(heldFor)
			}
		}
	}})
}

// drawHeldFor returns for how long connections go on holding back what they have held back during a cut.
func (s *cutsRun) drawHeldFor() time.Duration {
	if s.random.IntN(2) == 0 {
		return 0
	}
	return s.drawUpTo(maxHeldFor)
}

// drawGroup returns the numbers of the workers that a cut concerns: those of a data centre, about half, or one.
func (s *cutsRun) drawGroup() []int {
	kind, dataCentre, single := s.random.IntN(5), s.random.IntN(2), s.random.IntN(*workers)
	var group []int
	for n := range *workers {
		switch {
		case kind < 2 && cluster.DataCentre(n) == cluster.DataCentre(dataCentre), kind == 4 && n == single, kind > 1 && kind < 4 && s.random.IntN(2) == 0:
			group = append(group, n)
		}
	}
	return group
}

// drawCut returns the start, the end and the mode of a cut that begins about at a time and lasts about as long as a
// lease.
func (s *cutsRun) drawCut(at, lease time.Duration) (from, to time.Duration, mode fakes.Mode) {
	from = at + s.drawUpTo(cutSpread)
	return from, from + s.drawAround(lease), cutModes[s.random.IntN(len(cutModes))]
}

// drawAround returns a time that is at most cutSpread longer or shorter than a lease.
func (s *cutsRun) drawAround(lease time.Duration) time.Duration {
	return lease - cutSpread + s.drawUpTo(2*cutSpread)
}

func (s *cutsRun) planForGroup(group []int, from, to time.Duration, do, undo func(number int)) {
	for _, n := range group {
		s.plan = append(s.plan, action{from, func() { do(n) }}, action{to, func() { undo(n) }})
	}
}

// planHolderEnd kills the holder, or pauses it for around its lease, the time until a takeover, or the lease of an
// agent.
func (s *cutsRun) planHolderEnd(at time.Duration) {
	lease := []time.Duration{holder.LeaseValidity, holder.TakeoverAfter, pool.DefaultSettings().AgentLease}[s.random.IntN(3)]
	signal, length := syscall.SIGSTOP, s.drawAround(lease)
	if s.random.IntN(3) == 0 {
		signal, length = syscall.SIGKILL, 100*time.Millisecond+s.drawUpTo(cutSpread)
	}
	var p *cluster.Program
	s.plan = append(s.plan,
		action{at, func() { p = s.Gateways[max(0, s.Holder())]; s.signal(p, signal) }},
		action{at + length, func() { s.bringUp(p) }})
}

// planStoreCut cuts about half of the gateways off from the store for around the holder's lease.
func (s *cutsRun) planStoreCut(at time.Duration) {
	for _, g := range s.Gateways {
		if s.random.IntN(2) == 0 {
			continue
		}
		from, to, mode := s.drawCut(at, []time.Duration{holder.LeaseValidity, holder.TakeoverAfter}[s.random.IntN(2)])
		heldFor := s.drawHeldFor()
		s.plan = append(s.plan, action{from, func() { g.Proxies[0].SetMode(mode) }}, action{to, func() { g.Proxies[0].Heal(heldFor) }})
	}
}

// planAgentStops pauses the agents of a group for around their lease, or restarts them.
func (s *cutsRun) planAgentStops(group []int, at time.Duration) {
	signal := []syscall.Signal{syscall.SIGSTOP, syscall.SIGTERM, syscall.SIGKILL}[s.random.IntN(3)]
	length := 100*time.Millisecond + s.drawUpTo(time.Second)
	if signal == syscall.SIGSTOP {
		length = s.drawAround(pool.DefaultSettings().AgentLease)
	}
	s.planForGroup(group, at, at+length, func(n int) { s.signal(s.Sidecars[n], signal) }, func(n int) { s.bringUp(s.Sidecars[n]) })
}

// planSlowProcesses lets all processes run only for a part of each sliceLength.
func (s *cutsRun) planSlowProcesses(at time.Duration) {
	stopped := sliceLength/2 + s.drawUpTo(sliceLength/2)
	for range 4 + s.random.IntN(20) {
		s.plan = append(s.plan, action{at, s.pauseAll}, action{at + stopped, s.continueAll})
		at += sliceLength
	}
}

// pauseAll pauses all processes that are up.
func (s *cutsRun) pauseAll() {
	var pausing sync.WaitGroup
	for _, p := range slices.Concat(s.Gateways, s.Sidecars) {
		if _, down := s.states[p]; !down {
			s.states[p] = syscall.SIGSTOP
			pausing.Go(func() { p.Signal(syscall.SIGSTOP) })
		}
	}
	pausing.Wait()
}

// continueAll continues all processes that are paused.
func (s *cutsRun) continueAll() {
	for _, p := range slices.Concat(s.Gateways, s.Sidecars) {
		if s.states[p] == syscall.SIGSTOP {
			s.bringUp(p)
		}
	}
}

// endWorkersAtEndsOfRuns ends some workers that list ends of runs which nobody has acknowledged yet.
func (s *cutsRun) endWorkersAtEndsOfRuns() {
	ended := 0
	for until := time.Now().Add(dyingFor); time.Now().Before(until) && ended < dyingCount; time.Sleep(10 * time.Millisecond) {
		for _, w := range s.Workers {
			if w.Up() && w.UnacknowledgedEnds() > 0 && ended < dyingCount {
				w.Crash()
				ended++
			}
		}
	}
}

// healLinks ends all cuts.
func (s *cutsRun) healLinks() {
	for _, p := range slices.Concat(s.Gateways, s.Sidecars) {
		for _, proxy := range p.Proxies {
			proxy.SetMode(fakes.Pass)
		}
	}
	for _, w := range s.Workers {
		w.SetLink(fakes.Pass)
	}
}

// logLosses logs how often the faults led to the moments at which this test aims.
func (s *cutsRun) logLosses() {
	counts := map[string]int{}
	for _, p := range slices.Concat(s.Gateways, s.Sidecars) {
		for line := range strings.SplitSeq(p.Output(), "\n") {
			for _, message := range []string{"all runs of the worker are considered ended", "its lease has lapsed", "run lost", "holds the pool", "stray run stopped"} {
				if strings.Contains(line, message) {
					counts[message]++
				}
			}
		}
	}
	s.t.Logf("lines of the logs: %v", counts)
}
