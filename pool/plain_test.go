package pool

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"hollyfork.example/hollyfork/job"
)

// This file has the decisions as they are said, without what makes them cheap. The pool's own
// are compared with them.

// plainPass is one round of placing. It works on a copy of what is free.
type plainPass struct {
	core *Core
	now  time.Time
	// free is the room that this pass may still give away.
	free map[*worker]job.Shape
	// releasing is the room that is about to become free.
	releasing map[*worker]job.Shape
	// held is room that is kept for a group that waits, until about heldUntil.
	held      map[*worker]job.Shape
	heldUntil time.Time
	// holds counts the groups that room is held for.
	holds int
	// workers are those that may be given work, by name.
	workers []*worker
	// keeping are those of them with room that is kept for urgent work.
	keeping []*worker
	// plainUrgentNeed is what the jobs of priority 0 that have not ended still need, in
	// accelerators by workspace.
	urgentNeed map[string]int
}

// plainDecide places the groups that are ready, the most pressing first, and displaces others
// for those of priority 0.
func (c *Core) plainDecide(now time.Time) {
	c.roomChanged = false
	c.decidedAt = now
	ready := c.plainReadyGroups()
	if len(ready) == 0 {
		return
	}
	p := c.plainNewPass(now)
	slices.SortFunc(ready, p.compare)
	for _, g := range ready {
		p.try(g)
	}
}

func (c *Core) plainNewPass(now time.Time) *plainPass {
	p := &plainPass{
		core:      c,
		now:       now,
		free:      map[*worker]job.Shape{},
		releasing: map[*worker]job.Shape{},
		held:      map[*worker]job.Shape{},

		urgentNeed: c.plainUrgentNeed(),
	}
	for _, w := range c.workers {
		if w.usable(now, c.settings) {
			p.workers = append(p.workers, w)
			p.free[w] = w.free()
			p.releasing[w] = w.releasing()
			if len(w.retained) > 0 {
				p.keeping = append(p.keeping, w)
			}
		}
	}
	slices.SortFunc(p.workers, func(a, b *worker) int { return strings.Compare(a.agent, b.agent) })
	return p
}

// plainUrgentNeed counts what the jobs of priority 0 still need, by workspace.
func (c *Core) plainUrgentNeed() map[string]int {
	need := map[string]int{}
	for _, j := range c.live {
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

// guaranteed says whether all that the job's workspace has of priority 0 is within its
// guarantee.
func (p *plainPass) guaranteed(j *jobState) bool {
	return j.job.Terms.Priority == 0 && p.urgentNeed[j.job.Workspace] <= p.core.catalog.Guaranteed(j.job.Workspace)
}

// plainReadyGroups returns what could be placed.
func (c *Core) plainReadyGroups() []*group {
	var ready []*group
	for _, j := range c.live {
		if j.state.ended() {
			continue
		}
		for _, g := range j.groups {
			if g.waiting() && g.ready() {
				ready = append(ready, g)
			}
		}
	}
	return ready
}

// rank is the class in which a group is ordered: what is guaranteed first, then by
// priority.
func (p *plainPass) rank(g *group) int {
	if p.guaranteed(g.job) {
		return -1
	}
	return g.job.job.Terms.Priority
}

// compare orders groups by rank, then by when their jobs should be done.
func (p *plainPass) compare(a, b *group) int {
	return cmp.Or(
		cmp.Compare(p.rank(a), p.rank(b)),
		compareBool(p.givesWay(a), p.givesWay(b)),
		a.due().Compare(b.due()),
		cmp.Compare(a.job.job.ID, b.job.job.ID),
		cmp.Compare(a.round.number, b.round.number),
		cmp.Compare(a.step, b.step),
		cmp.Compare(a.first, b.first),
	)
}

// givesWay says whether urgent work can't be in time any more, and is not overdue for ten times what it had.
func (p *plainPass) givesWay(g *group) bool {
	had := g.job.job.DueBy(g.round.number).Sub(g.job.job.From(g.round.number))
	if p.rank(g) != 0 || p.now.Sub(g.due()) >= 10*had {
		return false
	}
	for _, other := range g.job.groups {
		if other.round == g.round && !g.round.stepDone(other.step) && p.now.Add(other.spec().Estimate*4/5).After(g.due()) {
			return true
		}
	}
	return false
}

// try places a group, or promises it room that is about to become free.
func (p *plainPass) try(g *group) {
	if places := p.fit(g, p.lent(g, p.unheld(g))); places != nil {
		p.place(g, places)
		return
	}
	if g.job.job.Terms.Priority != 0 {
		p.hold(g)
		return
	}
	if places := p.fit(g, p.withReleasing(nil)); places != nil {
		p.promise(g, places)
		return
	}
	p.displaceFor(g)
}

// place books a group on workers, one for each of its tasks. It starts once that is
// committed.
func (p *plainPass) place(g *group, places []*worker) {
	c := p.core
	shape := g.spec().Takes()
	g.run++
	g.ending = false
	g.progressAt = time.Time{}
	g.percent = 0
	names := make([]string, len(places))
	for i, w := range places {
		m := &member{group: g, index: g.first + i, worker: w, instance: w.instance, phase: memberPlaced}
		g.members = append(g.members, m)
		w.members = append(w.members, m)
		p.free[w] = p.free[w].Sub(shape)
		if g.job.job.Terms.Priority == 0 {
			w.useRetained(shape)
		}
		names[i] = w.agent
	}
	if g.job.state == Queued {
		g.job.state = Active
	}
	c.markDirty(g.job)
	c.tell(Event{
		Kind:   EventPlaced,
		Job:    g.job.job.ID,
		Step:   g.step,
		First:  g.first,
		Run:    g.run,
		Worker: strings.Join(names, " "),
		Detail: fmt.Sprintf("priority %d, %d tasks of %s, expected to take %s, due in %s, waited %s",
			g.job.job.Terms.Priority, g.size, g.spec().Shape, g.spec().Estimate,
			g.due().Sub(p.now).Round(time.Millisecond), p.now.Sub(g.readySince).Round(time.Millisecond)),
	})
}

// promise keeps room for a group that waits for others to end.
func (p *plainPass) promise(g *group, places []*worker) {
	shape := g.spec().Takes()
	for _, w := range places {
		p.free[w] = p.free[w].Sub(shape)
	}
}

// withReleasing is the free room, with what is about to become free and what victims take.
func (p *plainPass) withReleasing(victims []*group) map[*worker]job.Shape {
	room := make(map[*worker]job.Shape, len(p.free))
	for w, free := range p.free {
		room[w] = free.Add(p.releasing[w])
	}
	for _, v := range victims {
		for _, m := range v.members {
			if _, usable := room[m.worker]; usable && m.phase != memberGone {
				room[m.worker] = room[m.worker].Add(v.spec().Takes())
			}
		}
	}
	return room
}

// plainSlot is a worker with the number of a group's tasks that it could take.
type plainSlot struct {
	worker *worker
	count  int
	// left is what stays free when it takes all of them.
	left job.Shape
}

// fit returns a worker for each task of a group, or nil when room does not hold it.
func (p *plainPass) fit(g *group, room map[*worker]job.Shape) []*worker {
	slots := p.slots(g, room)
	if p.core.plainWantsOneRack(g) {
		return p.fitRack(g, slots)
	}
	return plainFill(g, slots)
}

// fitRack places a group in the rack that it leaves the least room in.
func (p *plainPass) fitRack(g *group, slots []plainSlot) []*worker {
	racks := map[string][]plainSlot{}
	for _, s := range slots {
		racks[s.worker.rack] = append(racks[s.worker.rack], s)
	}
	var best []plainSlot
	bestLeft, bestSound := 0, 0
	for _, rack := range racks {
		count, left, sound := 0, 0, 0
		for _, s := range rack {
			count += s.count
			left += s.left.Accelerators + s.count*g.spec().Shape.Accelerators
			if s.worker.health.streak == 0 {
				sound += s.count
			}
		}
		if count < g.size {
			continue
		}
		sound = min(sound, g.size)
		better := left < bestLeft || left == bestLeft && best != nil && rack[0].worker.rack < best[0].worker.rack
		if best == nil || sound > bestSound || sound == bestSound && better {
			best, bestLeft, bestSound = rack, left, sound
		}
	}
	if best == nil {
		return nil
	}
	return plainFill(g, best)
}

// plainFill puts a group's tasks on the workers that they leave the least room on.
func plainFill(g *group, slots []plainSlot) []*worker {
	slices.SortFunc(slots, func(a, b plainSlot) int {
		return cmp.Or(
			cmp.Compare(min(1, a.worker.health.streak), min(1, b.worker.health.streak)),
			cmp.Compare(a.left.Accelerators, b.left.Accelerators),
			cmp.Compare(a.left.CPUMillis, b.left.CPUMillis),
			strings.Compare(a.worker.agent, b.worker.agent),
		)
	})
	places := make([]*worker, 0, g.size)
	for _, s := range slots {
		for i := 0; i < s.count && len(places) < g.size; i++ {
			places = append(places, s.worker)
		}
	}
	if len(places) < g.size {
		return nil
	}
	return places
}

// slots returns the workers that could take any of a group's tasks.
func (p *plainPass) slots(g *group, room map[*worker]job.Shape) []plainSlot {
	shape := g.spec().Takes()
	var slots []plainSlot
	for _, w := range p.workers {
		if count := p.count(g, w, room[w]); count > 0 {
			slots = append(slots, plainSlot{worker: w, count: count, left: room[w].Sub(shape.Times(count))})
		}
	}
	return slots
}

// count is the number of a group's tasks that a worker with some room could take.
func (p *plainPass) count(g *group, w *worker, room job.Shape) int {
	if !p.core.plainSuits(p.now, g, w) {
		return 0
	}
	step := g.spec()
	count := min(room.Holds(step.Takes()), g.size)
	if step.MaxPerWorker > 0 {
		count = min(count, step.MaxPerWorker-w.tasksOf(g.round, g.step))
	}
	if w.health.probing {
		count = min(count, 1-len(w.members))
	}
	return max(count, 0)
}

// plainSuits says whether a group may run on a worker at all.
func (c *Core) plainSuits(now time.Time, g *group, w *worker) bool {
	step := g.spec()
	switch {
	case !w.has(step.Label):
		return false
	case step.DataRack != "" && w.rack != step.DataRack && c.plainRackExists(step.DataRack):
		return false
	case g.job.job.Terms.Advised && !g.round.ticket(g.step, w.instance).good(now):
		return false
	case w.disturbs(step):
		return false
	case now.Before(g.avoided[w]):
		return false
	case g.failedOn[w.agent] > 0 && c.plainOthersThan(g):
		return false
	case w.health.probing && (g.size > 1 || g.failures > 0):
		return false
	case g.failures > 0 && g.failures == g.job.job.Terms.Attempts-1 && !w.health.proven && c.plainAnyProven(now):
		return false
	}
	return true
}

// plainRackExists says whether a rack has a worker.
func (c *Core) plainRackExists(rack string) bool {
	for _, w := range c.workers {
		if !w.instance.IsZero() && w.rack == rack {
			return true
		}
	}
	return false
}

// plainOthersThan says whether there are enough workers on which a group has not failed.
func (c *Core) plainOthersThan(g *group) bool {
	return len(g.failedOn) < len(c.workers)/2
}

func (c *Core) plainAnyProven(now time.Time) bool {
	for _, w := range c.workers {
		if w.health.proven && w.usable(now, c.settings) {
			return true
		}
	}
	return false
}

// plainWantsOneRack says whether a group is to be kept in one rack: it asks for it, and a rack
// is large enough.
func (c *Core) plainWantsOneRack(g *group) bool {
	step := g.spec()
	if !step.SameRack || g.size == 1 {
		return false
	}
	racks := map[string]int{}
	for _, w := range c.workers {
		if w.instance.IsZero() {
			continue
		}
		racks[w.rack] += w.capacity.Holds(step.Takes())
		if racks[w.rack] >= g.size {
			return true
		}
	}
	return false
}

// displaceFor stops groups of lesser priority so that another finds room. Within its
// workspace's guarantee a job always gets it; beyond that, only while it does more work
// itself than would be lost.
func (p *plainPass) displaceFor(g *group) {
	best, ok := p.bestPlan(g)
	if !ok {
		return
	}
	if !p.guaranteed(g.job) && best.cost > p.core.settings.DisplaceFactor*g.work() {
		return
	}
	p.stop(g, best.victims)
}

// bestPlan returns the plan that loses the least work: in any one rack for a group that
// wants one, else over all workers.
func (p *plainPass) bestPlan(g *group) (plan, bool) {
	if !p.core.plainWantsOneRack(g) {
		return p.planOn(g, p.workers)
	}
	racks := map[string][]*worker{}
	var names []string
	for _, w := range p.workers {
		if len(racks[w.rack]) == 0 {
			names = append(names, w.rack)
		}
		racks[w.rack] = append(racks[w.rack], w)
	}
	var best plan
	found := false
	for _, name := range names {
		next, ok := p.planOn(g, racks[name])
		if ok && (!found || next.cost < best.cost) {
			best, found = next, true
		}
	}
	return best, found
}

// planOn finds groups to stop so that another fits on some workers. It takes the cheapest
// place for one more task until there are enough.
func (p *plainPass) planOn(g *group, workers []*worker) (plan, bool) {
	var chosen plan
	room := p.withReleasing(nil)
	for p.places(g, workers, room) < g.size {
		next, ok := p.cheapestPlace(g, workers, room, chosen.victims)
		if !ok {
			return plan{}, false
		}
		chosen.victims = append(chosen.victims, next.victims...)
		chosen.cost += next.cost
		room = p.withReleasing(chosen.victims)
	}
	return chosen, true
}

// places counts the tasks of a group that fit on some workers.
func (p *plainPass) places(g *group, workers []*worker, room map[*worker]job.Shape) int {
	count := 0
	for _, w := range workers {
		count += p.count(g, w, room[w])
	}
	return count
}

// cheapestPlace finds the groups to stop, beside those that were chosen, for one more task
// on any of some workers.
func (p *plainPass) cheapestPlace(g *group, workers []*worker, room map[*worker]job.Shape, chosen []*group) (plan, bool) {
	var best plan
	found := false
	for _, w := range workers {
		next, ok := p.placeOn(g, w, room[w], chosen)
		if ok && (!found || next.cost < best.cost) {
			best, found = next, true
		}
	}
	return best, found
}

// placeOn finds the groups to stop, beside those that were chosen, for one more task on a
// worker.
func (p *plainPass) placeOn(g *group, w *worker, room job.Shape, chosen []*group) (plan, bool) {
	before := p.count(g, w, room)
	victims := p.victimsOn(g, w, chosen)
	taken := 0
	for p.count(g, w, room) <= before {
		if taken == len(victims) {
			return plan{}, false
		}
		room = room.Add(victims[taken].plainTakes(w))
		taken++
	}
	needed := victims[:taken]
	for i := len(needed) - 2; i >= 0; i-- {
		without := room.Sub(needed[i].plainTakes(w))
		if p.count(g, w, without) > before {
			room = without
			needed = slices.Delete(needed, i, i+1)
		}
	}
	result := plan{victims: needed}
	for _, v := range needed {
		result.cost += v.unsaved(p.now)
	}
	return result, true
}

// victimsOn returns the groups on a worker that may be stopped, beside those that were
// chosen, those that lose least for the room that they take there first.
func (p *plainPass) victimsOn(g *group, w *worker, chosen []*group) []*group {
	var list []*group
	for _, m := range w.members {
		v := m.group
		if v.job.job.Terms.Priority <= g.job.job.Terms.Priority || v.ending || v.done || m.phase == memberStopping {
			continue
		}
		if !slices.Contains(list, v) && !slices.Contains(chosen, v) && p.mayStop(v, g, slices.Concat(chosen, list)) {
			list = append(list, v)
		}
	}
	value := func(v *group) float64 { return v.unsaved(p.now) / (v.plainTakes(w).Cores() + 1) }
	slices.SortFunc(list, func(a, b *group) int {
		return cmp.Or(
			cmp.Compare(value(a), value(b)),
			strings.Compare(string(a.job.job.ID), string(b.job.job.ID)),
			cmp.Compare(a.step, b.step),
			cmp.Compare(a.first, b.first),
		)
	})
	return list
}

// stop stops groups and promises the room to another.
func (p *plainPass) stop(g *group, victims []*group) {
	for _, v := range victims {
		if v.ending {
			continue
		}
		for _, m := range v.members {
			if _, usable := p.free[m.worker]; usable && m.phase != memberGone {
				p.releasing[m.worker] = p.releasing[m.worker].Add(v.spec().Takes())
			}
		}
		p.core.tell(Event{
			Kind:   EventDisplaced,
			Job:    v.job.job.ID,
			Step:   v.step,
			First:  v.first,
			Run:    v.run,
			Detail: "for job " + string(g.job.job.ID),
		})
		p.core.abort(p.now, v)
	}
	if places := p.fit(g, p.withReleasing(nil)); places != nil {
		p.promise(g, places)
	}
}

// hold keeps the room for a large group in which it will fit first, so that smaller ones
// do not take it bit by bit. Room is held for a few groups at a time.
func (p *plainPass) hold(g *group) {
	if p.holds >= maxHolds || !p.large(g) {
		return
	}
	room := p.withReleasing(nil)
	for w, held := range p.held {
		room[w] = room[w].Sub(held)
	}
	ends := p.ends()
	// Room only grows with time, so the first moment at which the group fits can be found by
	// halving.
	first, found := slices.BinarySearchFunc(ends, true, func(e expectedEnd, _ bool) int {
		if p.fit(g, p.roomAt(room, ends, e.at)) != nil {
			return 0
		}
		return -1
	})
	if !found {
		return
	}
	p.holds++
	at := ends[first].at
	if p.holds == 1 || at.Before(p.heldUntil) {
		p.heldUntil = at
	}
	for _, w := range p.fit(g, p.roomAt(room, ends, at)) {
		p.held[w] = p.held[w].Add(g.spec().Takes())
	}
}

// large says whether a group is hard to place.
func (p *plainPass) large(g *group) bool {
	for _, w := range p.workers {
		if float64(w.capacity.Accelerators)*minHeld <= float64(g.spec().Shape.Accelerators*g.size) {
			return true
		}
	}
	return false
}

// unheld is the free room that a group may take: held room only if the group will have
// ended before it is needed.
func (p *plainPass) unheld(g *group) map[*worker]job.Shape {
	if len(p.held) == 0 {
		return p.free
	}
	length := time.Duration(backfillMargin * float64(g.spec().Estimate))
	if p.now.Add(length).Before(p.heldUntil) {
		return p.free
	}
	room := make(map[*worker]job.Shape, len(p.free))
	for w, free := range p.free {
		room[w] = free.Sub(p.held[w])
	}
	return room
}

// ends returns when the runs under way should end, the soonest first.
func (p *plainPass) ends() []expectedEnd {
	var list []expectedEnd
	for _, j := range p.core.live {
		for _, g := range j.groups {
			if g.placed() && !g.ending {
				list = append(list, expectedEnd{group: g, at: g.expectedEnd(p.now)})
			}
		}
	}
	slices.SortFunc(list, func(a, b expectedEnd) int { return a.at.Compare(b.at) })
	return list
}

// roomAt adds the room of all runs that should have ended at a time.
func (p *plainPass) roomAt(room map[*worker]job.Shape, ends []expectedEnd, at time.Time) map[*worker]job.Shape {
	later := make(map[*worker]job.Shape, len(room))
	for w, shape := range room {
		later[w] = shape
	}
	for _, e := range ends {
		if e.at.After(at) {
			break
		}
		for _, m := range e.group.members {
			if _, usable := later[m.worker]; usable && m.phase != memberGone && m.phase != memberStopping {
				later[m.worker] = later[m.worker].Add(e.group.spec().Takes())
			}
		}
	}
	return later
}

// lent is the room out of some room that may be given to a group: what is kept for urgent work
// is left out for others.
func (p *plainPass) lent(g *group, room map[*worker]job.Shape) map[*worker]job.Shape {
	if g.job.job.Terms.Priority == 0 || len(p.keeping) == 0 {
		return room
	}
	lent := maps.Clone(room)
	for _, w := range p.keeping {
		for _, r := range w.retained {
			lent[w] = lent[w].Sub(r.shape)
		}
	}
	return lent
}

// plainTakes is the room that a group takes on a worker.
func (g *group) plainTakes(w *worker) job.Shape {
	shape := job.Shape{}
	for _, m := range g.members {
		if m.worker == w && m.phase != memberGone {
			shape = shape.Add(g.spec().Takes())
		}
	}
	return shape
}

func (p *plainPass) mayStop(v, g *group, chosen []*group) bool {
	return (&pass{core: p.core, now: p.now, urgentNeed: p.urgentNeed}).mayStop(v, g, chosen)
}
