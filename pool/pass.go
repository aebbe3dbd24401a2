package pool

import (
	"slices"
	"strings"
	"time"

	"hollyfork.example/hollyfork/job"
)

type (
	// capacityBySlot is an amount of capacity on each worker of a pass, indexed by slot.
	capacityBySlot []job.Shape

	// pass is one placement pass. It works on a copy of the workers' free capacity.
	pass struct {
		core *Core
		now  time.Time
		// workers holds the workers that can be given work, quarantined ones included, sorted by name. The
		// index of a worker is its slot.
		workers []*worker
		// racks assigns a number to each rack; rackOf holds the rack number of each worker, by slot.
		racks  map[string]int
		rackOf []int
		// free is the capacity that this pass can still assign, and releasing is what stopping runs will release.
		// reserved is the capacity reserved for waiting groups, including capacity that is not free yet. The
		// earliest reservation is expected to be used at reservationStart.
		free             capacityBySlot
		releasing        capacityBySlot
		reserved         capacityBySlot
		reservationStart time.Time
		// reservations lists the groups that have a reservation.
		reservations []reservation
		// largeInTime reports whether a large group of lower than urgent priority is waiting and can still
		// finish in time.
		largeInTime bool
		// headroomWorkers holds the workers with urgent headroom.
		headroomWorkers []*worker
		// smallestWorker is the lowest number of accelerators of any worker at its full capacity.
		smallestWorker int
		// anyProven reports whether the last run succeeded on at least one worker that is not quarantined.
		anyProven bool
		// anyProbation reports whether any worker is quarantined or on probation.
		anyProbation bool
		// fastFree counts the free accelerators of workers that are not slower than usual.
		fastFree int
		// anySlow reports whether any worker is slow, that is, takes much longer than the others.
		anySlow bool
		// anyIsolated reports whether any worker is isolated, that is, gets no other work beside a task
		// suspected of crashing workers.
		anyIsolated bool
		// trialGroups caches for each job the group that has to run before the job's other groups, because
		// workers have crashed under it; nil if there is none.
		trialGroups map[*jobState]*group
		// lastRunFailedCount counts the workers whose last run failed.
		lastRunFailedCount int
		// urgentNeed is the number of accelerators that unfinished urgent jobs still need, by workspace.
		urgentNeed map[string]int
		// ends caches the expected ends of the current runs; it is valid if endsKnown is set.
		ends      []expectedEnd
		endsKnown bool
		// demandStates caches search results by demand; preemptions counts the preemptions made by this pass.
		demandStates map[demand]*demandState
		preemptions  int
		// heldRacks caches whether tasks that last keep the racks that a group prefers from having room for it.
		heldRacks map[rackNeed]bool
		// candidateBuffer is reused by each search for candidates to avoid allocations.
		candidateBuffer []candidate
	}

	// demand holds everything that determines where a group without a history of failures can be placed.
	demand struct {
		shape            job.Shape
		size             int
		priority         int
		guaranteed       bool
		reclaims         bool
		estimate         time.Duration
		label            string
		dataRack         string
		sameRack         bool
		filler           bool
		hasLatencyTarget bool
		relaxation       relaxation
		avoidsSlow       bool
		anyRack          bool
		// usesHeadroom reports whether the group may use the part of the urgent headroom that urgent work is
		// not expected to need; see mayUseHeadroom.
		usesHeadroom bool
		// round and step are set only if capacity alone does not decide: if the step limits its tasks per
		// worker, or the queue's policy has to allow the worker.
		round *round
		step  int
	}

	// demandState is what a pass has found out about a demand. Free capacity only shrinks within a pass, so a
	// demand that did not fit once does not fit later either. Of 400 groups that wait on 240 workers about a
	// dozen differ in their demands, and the others cost next to nothing.
	demandState struct {
		demand
		// noCapacity reports whether the demand does not fit into the free capacity; unreservable reports
		// whether the expected ends of runs give no time at which it would fit.
		noCapacity   bool
		unreservable bool
		// noCapacityRelaxed reports whether the demand does not fit even with all preferences relaxed.
		noCapacityRelaxed bool
		// noVictims reports whether preemption could not release enough capacity either, as of noVictimsAfter
		// preemptions: a later one may have released some.
		noVictims      bool
		noVictimsAfter int
		// oneRack reports whether groups of this demand are kept within one rack.
		oneRack bool
	}
)

func (c *Core) newPass(now time.Time) *pass {
	p := &pass{
		core:            c,
		now:             now,
		workers:         make([]*worker, 0, len(c.workers)),
		racks:           map[string]int{},
		rackOf:          make([]int, 0, len(c.workers)),
		free:            make(capacityBySlot, 0, len(c.workers)),
		releasing:       make(capacityBySlot, 0, len(c.workers)),
		candidateBuffer: make([]candidate, 0, len(c.workers)),
		demandStates:    map[demand]*demandState{},
		trialGroups:     map[*jobState]*group{},
		urgentNeed:      c.urgentNeed(),
	}
	for _, w := range c.sortedWorkers() {
		w.slot = -1
		if w.acceptsWork(now, c.settings) {
			p.addWorker(w)
		}
	}
	p.reserved = make(capacityBySlot, len(p.workers))
	return p
}

// addWorker adds a worker to the pass.
func (p *pass) addWorker(w *worker) {
	w.slot = len(p.workers)
	number, known := p.racks[w.rack]
	if !known {
		number = len(p.racks)
		p.racks[w.rack] = number
	}
	p.workers = append(p.workers, w)
	p.rackOf = append(p.rackOf, number)
	p.free = append(p.free, w.availableCapacity(p.now))
	w.suspectTasks = w.countSuspectTasks()
	w.isolated = w.suspectTasks > 0 && w.isolatesSuspect(p.now)
	p.anyIsolated = p.anyIsolated || w.isolated
	p.releasing = append(p.releasing, w.releasingCapacity())
	if len(w.urgentHeadroom) > 0 {
		p.headroomWorkers = append(p.headroomWorkers, w)
	}
	if p.smallestWorker == 0 || w.maxCapacity.Accelerators < p.smallestWorker {
		p.smallestWorker = w.maxCapacity.Accelerators
	}
	if w.health.lastRunFailed() {
		p.lastRunFailedCount++
	}
	p.anySlow = p.anySlow || w.pace.slow()
	if w.pace.class <= 0 {
		p.fastFree += max(0, p.free[w.slot].Accelerators)
	}
	p.anyProbation = p.anyProbation || w.health.onProbation || w.health.inQuarantine(p.now)
	p.anyProven = p.anyProven || w.health.proven && !w.health.inQuarantine(p.now)
}

// sortedWorkers returns all workers, sorted by agent name.
func (c *Core) sortedWorkers() []*worker {
	if len(c.workersByName) != len(c.workers) {
		c.workersByName = c.workersByName[:0]
		for _, w := range c.workers {
			c.workersByName = append(c.workersByName, w)
		}
		slices.SortFunc(c.workersByName, func(a, b *worker) int { return strings.Compare(a.agent, b.agent) })
	}
	return c.workersByName
}

// urgentNeed counts the accelerators that unfinished urgent jobs still need, by workspace.
func (c *Core) urgentNeed() map[string]int {
	need := map[string]int{}
	for _, j := range c.liveJobs {
		if j.job.Terms.Priority != 0 || j.state.ended() {
			continue
		}
		for _, g := range j.groups {
			if !g.done {
				need[j.job.Workspace] += g.spec().Shape.Accelerators * g.size
			}
		}
	}
	return need
}

// guaranteed reports whether the job is urgent and all urgent work of its workspace fits into the workspace's
// guarantee.
func (p *pass) guaranteed(j *jobState) bool {
	return j.job.Terms.Priority == 0 && p.urgentNeed[j.job.Workspace] <= p.core.catalog.GuaranteedAccelerators(j.job.Workspace)
}

// demandStateOf returns the cached state of the demand of a group.
func (p *pass) demandStateOf(g *group) *demandState {
	d := p.demandOf(g)
	known, ok := p.demandStates[d]
	if !ok {
		known = &demandState{demand: d}
		known.oneRack = d.sameRack && d.size > 1 && p.core.anyRackFits(g.taskShape, d.size)
		p.demandStates[d] = known
	}
	return known
}

// demandOf returns the demand of a group.
func (p *pass) demandOf(g *group) demand {
	step := g.spec()
	d := demand{
		shape:            step.Shape,
		size:             g.size,
		priority:         g.job.job.Terms.Priority,
		guaranteed:       p.guaranteed(g.job),
		reclaims:         p.reclaims(g.job),
		estimate:         step.Estimate,
		label:            step.Label,
		dataRack:         step.DataRack,
		sameRack:         step.SameRack,
		filler:           step.Filler,
		hasLatencyTarget: step.LatencyTarget > 0,
		relaxation:       g.relaxation,
		avoidsSlow:       g.avoidsSlow,
		anyRack:          g.anyRack,
		usesHeadroom:     p.mayUseHeadroom(g),
	}
	if step.MaxPerWorker > 0 || p.core.needsTicket(p.now, g.job) {
		d.round, d.step = g.round, g.step
	}
	return d
}

// hasNoHistory reports whether the group's demand alone decides where it can run: it has not failed and was not
// rejected by any worker, also not under an earlier holder, and no worker has crashed under its job.
func (g *group) hasNoHistory() bool {
	return g.failures == 0 && len(g.failedOn) == 0 && len(g.avoided) == 0 && g.suspicion == suspicionNone && !g.job.anyCrash
}

// freeAndReleasing returns the free capacity plus the capacity that is being released.
func (p *pass) freeAndReleasing() capacityBySlot {
	sum := make(capacityBySlot, len(p.free))
	for i, free := range p.free {
		sum[i] = free.Add(p.releasing[i])
	}
	return sum
}

// inPass reports whether the worker takes part in the pass.
func (p *pass) inPass(w *worker) bool {
	return w.slot >= 0
}
