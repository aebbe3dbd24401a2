package pool

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"hollyfork.example/hollyfork/job"
)

// slot is a worker with the number of a group's tasks that it could take.
type slot struct {
	worker *worker
	count  int
	// left is what stays free when it takes all of them.
	left job.Shape
}

// fit returns a worker for each task of a group, or nil when room does not hold it.
func (p *pass) fit(g *group, room map[*worker]job.Shape) []*worker {
	slots := p.slots(g, room)
	if p.core.wantsOneRack(g) {
		return p.fitRack(g, slots)
	}
	return fill(g, slots)
}

// fitRack places a group in the rack that it leaves the least room in.
func (p *pass) fitRack(g *group, slots []slot) []*worker {
	racks := map[string][]slot{}
	for _, s := range slots {
		racks[s.worker.rack] = append(racks[s.worker.rack], s)
	}
	var best []slot
	bestLeft := 0
	for _, rack := range racks {
		count, left := 0, 0
		for _, s := range rack {
			count += s.count
			left += s.left.Accelerators + s.count*g.spec().Shape.Accelerators
		}
		if count < g.size {
			continue
		}
		if best == nil || left < bestLeft || left == bestLeft && rack[0].worker.rack < best[0].worker.rack {
			best, bestLeft = rack, left
		}
	}
	if best == nil {
		return nil
	}
	return fill(g, best)
}

// fill puts a group's tasks on the workers that they leave the least room on.
func fill(g *group, slots []slot) []*worker {
	slices.SortFunc(slots, func(a, b slot) int {
		return cmp.Or(
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
func (p *pass) slots(g *group, room map[*worker]job.Shape) []slot {
	shape := g.spec().Takes()
	var slots []slot
	for _, w := range p.workers {
		if count := p.count(g, w, room[w]); count > 0 {
			slots = append(slots, slot{worker: w, count: count, left: room[w].Sub(shape.Times(count))})
		}
	}
	return slots
}

// count is the number of a group's tasks that a worker with some room could take.
func (p *pass) count(g *group, w *worker, room job.Shape) int {
	if !p.core.suits(p.now, g, w) {
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

// tasksOf counts the tasks of a round's step that are placed on the worker.
func (w *worker) tasksOf(r *round, step int) int {
	count := 0
	for m := range w.members {
		if m.group.round == r && m.group.step == step {
			count++
		}
	}
	return count
}

// suits says whether a group may run on a worker at all.
func (c *Core) suits(now time.Time, g *group, w *worker) bool {
	step := g.spec()
	switch {
	case !w.has(step.Label):
		return false
	case step.DataRack != "" && w.rack != step.DataRack && c.rackExists(step.DataRack):
		return false
	case g.job.job.Terms.Advised && !g.round.ticket(g.step, w.instance).good(now):
		return false
	case w.disturbs(step):
		return false
	case now.Before(g.avoided[w]):
		return false
	case g.failedOn[w.agent] > 0 && c.othersThan(g):
		return false
	case w.health.probing && (g.size > 1 || g.failures > 0):
		return false
	case g.failures > 0 && g.failures == g.job.job.Terms.Attempts-1 && !w.health.proven && c.anyProven(now):
		return false
	}
	return true
}

// rackExists says whether a rack has a worker.
func (c *Core) rackExists(rack string) bool {
	for _, w := range c.workers {
		if w.instance != "" && w.rack == rack {
			return true
		}
	}
	return false
}

// othersThan says whether there are enough workers on which a group has not failed.
func (c *Core) othersThan(g *group) bool {
	return len(g.failedOn) < len(c.workers)/2
}

func (c *Core) anyProven(now time.Time) bool {
	for _, w := range c.workers {
		if w.health.proven && w.usable(now, c.settings) {
			return true
		}
	}
	return false
}

// wantsOneRack says whether a group is to be kept in one rack: it asks for it, and a rack
// is large enough.
func (c *Core) wantsOneRack(g *group) bool {
	step := g.spec()
	if !step.SameRack || g.size == 1 {
		return false
	}
	racks := map[string]int{}
	for _, w := range c.workers {
		if w.instance == "" {
			continue
		}
		racks[w.rack] += w.capacity.Holds(step.Takes())
		if racks[w.rack] >= g.size {
			return true
		}
	}
	return false
}
