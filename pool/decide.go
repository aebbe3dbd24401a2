package pool

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"hollyfork.example/hollyfork/job"
)

// readyRound is a round with groups that can be placed, together with its sort keys.
type readyRound struct {
	round *round
	job   *jobState
	// ready holds those groups, in the order of their steps.
	ready []*group
	// rank is the class by which rounds are sorted first; see pass.rank.
	rank int
	// fills reports whether all ready groups are fillers, which are sorted after all others of their rank.
	fills bool
	// deprioritised reports whether the round is sorted after all others of its priority.
	deprioritised bool
	due           time.Time
}

// Decide runs one placement pass: it places the ready groups, the most urgent first, and preempts other work
// for groups of priority 0.
func (c *Core) Decide(now time.Time) {
	c.capacityChanged = false
	c.lastDecision = now
	c.updateUrgentUse(now)
	c.urgentPlacements.expire(now, c.settings.RetainFor)
	rounds := c.waitingRounds(now)
	if len(rounds) == 0 {
		c.clearWithheld()
		return
	}
	p := c.newPass(now)
	p.sortRounds(rounds)
	p.detectLargeInTime(rounds)
	for _, r := range rounds {
		p.tryRound(r.ready)
	}
	use := p.shareInUse()
	c.updateAverageUse(now, use)
	if use < idleBelow {
		p.retryRelaxed(rounds)
	}
	p.recordWithheld()
	p.emitNextWaiting(rounds)
}

// retryRelaxed tries the unplaced groups again, with their preferences relaxed further. It runs when most of
// the pool is idle after all groups were tried once.
func (p *pass) retryRelaxed(rounds []readyRound) {
	for _, r := range rounds {
		for _, g := range r.ready {
			if g.placed() || g.job.state.ended() {
				continue
			}
			g.relaxation = p.relaxationInIdlePool(g)
			if g.relaxation == relaxNone {
				continue
			}
			d := p.demandStateOf(g)
			if places := p.fit(g, d, p.availableTo(d)); places != nil {
				p.place(g, places)
			}
		}
	}
}

// waitingRounds returns the rounds that have at least one group ready to be placed.
func (c *Core) waitingRounds(now time.Time) []readyRound {
	var rounds []readyRound
	orphans := c.tasksWithOrphans()
	for _, j := range c.liveJobs {
		if j.state.ended() {
			continue
		}
		for _, r := range j.rounds {
			if ready := r.readyGroups(now, orphans); len(ready) > 0 {
				rounds = append(rounds, readyRound{round: r, job: j, ready: ready})
			}
		}
	}
	return rounds
}

// readyGroups returns the groups of the round that can be placed now, in the order of their steps. Groups of tasks with
// orphan runs wait until those have ended.
func (r *round) readyGroups(now time.Time, orphans map[job.TaskID]bool) []*group {
	var ready []*group
	for _, groups := range r.byStep {
		if !groups[0].ready() {
			continue
		}
		for _, g := range groups {
			if g.waiting() && !now.Before(g.notBefore) && !g.hasAnyOf(orphans) {
				ready = append(ready, g)
			}
		}
	}
	return ready
}

// sortRounds sorts rounds by rank, then by due time. Urgent rounds that can no longer finish in time are
// deprioritised for a while: in a burst, each of them would make the next one late as well. Work of lower
// priority is given several times its run time to finish, so it is not deprioritised here.
func (p *pass) sortRounds(rounds []readyRound) {
	for i := range rounds {
		rounds[i].rank = p.rank(rounds[i].job)
		rounds[i].fills = rounds[i].onlyFills()
		rounds[i].due = rounds[i].round.due
		rounds[i].deprioritised = rounds[i].rank == 0 && rounds[i].round.deprioritised(p.now, rounds[i].job.job)
	}
	slices.SortFunc(rounds, func(a, b readyRound) int {
		return cmp.Or(
			cmp.Compare(a.rank, b.rank),
			compareBool(a.fills, b.fills),
			compareBool(a.deprioritised, b.deprioritised),
			a.due.Compare(b.due),
			cmp.Compare(a.job.job.ID, b.job.job.ID),
			cmp.Compare(a.round.number, b.round.number),
		)
	})
}

// maxDeprioritisedFactor bounds how long a round is deprioritised: until it is overdue by this many times the
// time that it was allowed. Without a bound, a late round did not run within a minute on a worker that other
// urgent jobs kept full.
const maxDeprioritisedFactor = 10

// deprioritised reports whether the round is sorted after all others of its priority because it can no longer
// finish in time.
func (r *round) deprioritised(now time.Time, j job.Job) bool {
	allowed := j.RoundDue(r.number).Sub(j.EarliestStart(r.number))
	return r.tooLate(now, r.due) && now.Sub(r.due) < maxDeprioritisedFactor*allowed
}

// tooLate reports whether the round will miss the given due time even if its estimates are too long by a
// quarter.
func (r *round) tooLate(now, due time.Time) bool {
	longest := time.Duration(0)
	for step, groups := range r.byStep {
		if !r.stepDone(step) {
			longest = max(longest, groups[0].spec().Estimate)
		}
	}
	return now.Add(longest * 4 / 5).After(due)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// rank returns the class by which a job is sorted first: -1 if it is within its workspace's guarantee, else its
// priority.
func (p *pass) rank(j *jobState) int {
	if p.guaranteed(j) {
		return -1
	}
	return j.job.Terms.Priority
}

// tryRound tries to place the ready groups of a round.
func (p *pass) tryRound(ready []*group) {
	var d *demandState
	for i, g := range ready {
		g.relaxation = p.relaxationOf(g)
		g.anyRack = p.reclaimsAnyRack(g) || p.waitsForHeldRack(g)
		if i == 0 || g.step != ready[i-1].step || g.relaxation != ready[i-1].relaxation || g.anyRack != ready[i-1].anyRack {
			d = p.demandStateOf(g)
		}
		p.tryGroup(g, d)
	}
}

// tryGroup places a group on free capacity. Failing that, it assigns an urgent group capacity that is being
// released, or preempts other work for it; a group of lower priority may get a reservation.
func (p *pass) tryGroup(g *group, d *demandState) {
	if g.job.state.ended() {
		return
	}
	if g.startsBarred() {
		if !g.awaitsAnswers(p.now) {
			p.core.endJob(p.now, g.job, Failed, g.startsUsedUp())
		}
		return
	}
	if d.priority == 0 && p.anySlow && p.tryFastWorkers(g) {
		return
	}
	noHistory := g.hasNoHistory()
	if !noHistory || !d.noCapacity {
		if places := p.fit(g, d, p.availableTo(d)); places != nil {
			p.place(g, places)
			return
		}
		d.noCapacity = d.noCapacity || noHistory
	}
	p.startPreferenceWait(g, d, noHistory)
	if p.displaceFillers(g, d) {
		return
	}
	if d.priority != 0 {
		p.reserve(g, d, noHistory)
		return
	}
	if noHistory && d.noVictims && d.noVictimsAfter == p.preemptions {
		return
	}
	if places := p.fit(g, d, p.freeAndReleasing()); places != nil {
		p.promise(g, places)
		return
	}
	if p.waitsToPreempt(g) {
		return
	}
	if !p.preemptFor(g, d) && noHistory {
		d.noVictims, d.noVictimsAfter = true, p.preemptions
	}
}

// tryFastWorkers tries an urgent group like tryGroup does, with slow workers excluded, because waiting for a run to
// stop costs less than running on a slow worker. It reports whether the group was placed, or will be once other runs
// have stopped; if not, the caller considers slow workers too.
func (p *pass) tryFastWorkers(g *group) bool {
	g.avoidsSlow = true
	defer func() { g.avoidsSlow = false }()
	d, noHistory := p.demandStateOf(g), g.hasNoHistory()
	if !noHistory || !d.noCapacity {
		if places := p.fit(g, d, p.availableTo(d)); places != nil {
			p.place(g, places)
			return true
		}
		d.noCapacity = d.noCapacity || noHistory
	}
	if noHistory && d.noVictims && d.noVictimsAfter == p.preemptions {
		return false
	}
	if places := p.fit(g, d, p.freeAndReleasing()); places != nil {
		p.promise(g, places)
		return true
	}
	if !p.waitsToPreempt(g) && p.preemptFor(g, d) {
		return true
	}
	if noHistory {
		d.noVictims, d.noVictimsAfter = true, p.preemptions
	}
	return false
}

// place assigns a worker to each task of a group and subtracts the capacity that the tasks take. The run is
// started once the placement is committed.
func (p *pass) place(g *group, places []*worker) {
	c := p.core
	shape := g.taskShape
	objectionText := p.placementObjections(g, places)
	g.run++
	g.ending = false
	g.progressAt = time.Time{}
	g.percent = 0
	names := make([]string, len(places))
	for i, w := range places {
		g.addMember(w, g.first+i)
		p.free[w.slot] = p.free[w.slot].Sub(shape)
		if w.pace.class <= 0 {
			p.fastFree -= shape.Accelerators
		}
		if g.job.job.Terms.Priority == 0 {
			w.consumeHeadroom(shape)
			c.urgentPlacements.add(p.now, shape.Accelerators)
		}
		names[i] = w.agent
	}
	p.isolate(g, places)
	g.countStart()
	p.addExpectedEnd(g)
	if g.job.state == Queued {
		g.job.state = Active
	}
	c.markDirty(g.job)
	c.emit(Event{
		Kind:   EventPlaced,
		Job:    g.job.job.ID,
		Task:   g.task(g.first),
		Run:    g.run,
		Worker: strings.Join(names, " "),
		Detail: fmt.Sprintf("priority %d, %d tasks of %s, expected to take %s, due in %s, waited %s%s%s",
			g.job.job.Terms.Priority, g.size, g.spec().Shape, g.spec().Estimate,
			g.due().Sub(p.now).Round(time.Millisecond), p.now.Sub(g.readySince).Round(time.Millisecond), slowestText(places), objectionText),
	})
}

// placementObjections describes the objections to the workers of a placement for the log; it returns "" if
// there are none.
func (p *pass) placementObjections(g *group, places []*worker) string {
	counts := map[objection]int{}
	for _, w := range places {
		counts[max(p.unmetPreference(g, w), p.isolationObjection(g, w, p.free[w.slot]))]++
	}
	delete(counts, objectionNone)
	if len(counts) == 0 {
		return ""
	}
	return ", on workers " + describe(counts)
}

// promise subtracts capacity from the pass for a group that waits until other runs have stopped.
func (p *pass) promise(g *group, places []*worker) {
	shape := g.taskShape
	for _, w := range places {
		p.free[w.slot] = p.free[w.slot].Sub(shape)
	}
}
