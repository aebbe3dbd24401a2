package pool

import (
	"time"

	"hollyfork.example/hollyfork/job"
)

// Levels of relaxation. Each includes all levels before it.
const (
	// relaxNone permits only workers without objections.
	relaxNone relaxation = iota
	// relaxUnproven also permits workers that have not completed a run yet, and workers on which the group
	// failed, both unless their last run failed. It permits a worker on probation that runs nothing else.
	relaxUnproven
	// relaxLastRunFailed also permits those workers if their last run failed. Tasks suspected of crashing
	// workers may be co-located with others, and need not wait for the trial of another task of their job.
	relaxLastRunFailed
	// relaxQuarantined also permits quarantined workers.
	relaxQuarantined
	// relaxAll also permits workers outside of the rack with the group's data, splits a group that is kept in
	// one rack, and lets the group use urgent headroom and reserved capacity.
	relaxAll
)

const (
	// idleBelow is the share of capacity in use below which a pool counts as idle.
	idleBelow = 0.5
	// useAveragingTime is the time over which use is averaged, so that a pool whose tasks end together does not
	// count as idle until others are placed.
	useAveragingTime = 2 * time.Second
)

// relaxation is the degree to which a group's preferences for workers are ignored. It grows with the time that
// the group has waited; permitted workers with an objection are still used last. Without relaxation a pool that
// is nearly empty could run nothing: for up to 24.8 s with 100 jobs on 11 workers that fail seven of ten runs
// for 2 s of each 10 s.
type relaxation int

// relaxationOf returns the relaxation of a group by the time that it has waited, however busy the pool is. It
// never permits quarantined workers.
func (p *pass) relaxationOf(g *group) relaxation {
	after := p.core.settings.RelaxAfter
	switch waited := p.preferenceWait(g); {
	case waited < after || p.noHealthObjections(g):
		return relaxNone
	case waited < 2*after:
		return relaxUnproven
	default:
		return relaxLastRunFailed
	}
}

// relaxationInIdlePool returns the relaxation of a group when most of the pool is idle, where any worker is
// better than none.
func (p *pass) relaxationInIdlePool(g *group) relaxation {
	switch {
	case p.preferenceWait(g) < 2*p.core.settings.RelaxAfter:
		return relaxNone
	case p.core.averageUse >= idleBelow:
		return relaxQuarantined
	default:
		return relaxAll
	}
}

// updateAverageUse adds the share of the pool in use after a pass to its moving average.
func (c *Core) updateAverageUse(now time.Time, share float64) {
	weight := min(1, now.Sub(c.averageUseAt).Seconds()/useAveragingTime.Seconds())
	c.averageUse += weight * (share - c.averageUse)
	c.averageUseAt = now
}

// preferenceWait returns how long the group has waited for preferred workers while others had capacity for it.
func (p *pass) preferenceWait(g *group) time.Duration {
	if g.preferenceWaitSince.IsZero() {
		return 0
	}
	return p.now.Sub(g.preferenceWaitSince)
}

// startPreferenceWait starts the time that preferenceWait returns, if the group would fit with all preferences
// relaxed. For groups without a history the result is cached in the state of their demand.
func (p *pass) startPreferenceWait(g *group, d *demandState, noHistory bool) {
	if !g.preferenceWaitSince.IsZero() || noHistory && d.noCapacityRelaxed || p.hasNoPreferences(g, d) {
		return
	}
	before := g.relaxation
	g.relaxation = relaxAll
	places := p.fit(g, d, p.free)
	g.relaxation = before
	if places == nil {
		d.noCapacityRelaxed = d.noCapacityRelaxed || noHistory
		return
	}
	g.preferenceWaitSince = p.now
}

// noHealthObjections reports whether no worker has a health objection to the group, so that only racks,
// headroom and reservations could be relaxed. This short cut reduces a pass over 400 waiting groups on 240
// workers from 0.95 ms to 0.54 ms (BenchmarkDecide).
func (p *pass) noHealthObjections(g *group) bool {
	return !p.anyProbation && !p.anyIsolated && g.hasNoHistory()
}

// hasNoPreferences reports whether the group can be placed on any worker with capacity without any relaxation.
func (p *pass) hasNoPreferences(g *group, d *demandState) bool {
	return p.noHealthObjections(g) && d.dataRack == "" && !d.oneRack && len(p.reservations) == 0 && len(p.headroomWorkers) == 0
}

// lifts reports whether the relaxation permits a worker despite the objection.
func (r relaxation) lifts(o objection, w *worker) bool {
	switch o {
	case objectionNone:
		return true
	case objectionUnproven, objectionFailed:
		return r >= relaxLastRunFailed || r == relaxUnproven && !w.health.lastRunFailed()
	case objectionProbation:
		return r >= relaxQuarantined || r >= relaxUnproven && len(w.members) == 0
	case objectionCoLocated, objectionOtherTrial, objectionIsolated:
		return r >= relaxLastRunFailed
	case objectionQuarantined:
		return r >= relaxQuarantined
	case objectionRack:
		return r >= relaxAll
	default:
		return false
	}
}

// shareInUse returns the share of accelerators in use, or of processors if the workers have no accelerators.
func (p *pass) shareInUse() float64 {
	all, free := job.Shape{}, job.Shape{}
	for i, w := range p.workers {
		all = all.Add(w.capacity)
		free = free.Add(p.free[i])
	}
	switch {
	case all.Accelerators > 0:
		return 1 - float64(free.Accelerators)/float64(all.Accelerators)
	case all.CPUMillis > 0:
		return 1 - float64(free.CPUMillis)/float64(all.CPUMillis)
	default:
		return 0
	}
}

// failuresWidespread reports whether the last run failed on at least half of the workers. The workers
// themselves are then unlikely to be the cause, which either passes soon or not at all. Groups that have failed
// wait for a worker on which a run succeeded since, until their preferences are relaxed. With seven of ten runs
// failing for 2 s of each 10 s, this reduces the jobs that run out of attempts from 348 to 226 of 2,000.
func (p *pass) failuresWidespread() bool {
	return 2*p.lastRunFailedCount >= len(p.workers)
}

// onLastAttempt reports whether the next failure of the group ends its job.
func (g *group) onLastAttempt() bool {
	return g.failures == g.job.job.Terms.Attempts-1
}
