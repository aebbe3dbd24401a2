package pool

import (
	"cmp"
	"slices"
	"time"

	"hollyfork.example/hollyfork/job"
)

type (
	// headroom is capacity that urgent work released and that stays available to urgent work until a given
	// time.
	headroom struct {
		shape job.Shape
		until time.Time
	}

	// recentPlacements records the urgent tasks that were placed within the time for which headroom is kept,
	// oldest first.
	recentPlacements []recentPlacement

	recentPlacement struct {
		at           time.Time
		accelerators int
	}
)

// add records a placed task.
func (r *recentPlacements) add(now time.Time, accelerators int) {
	*r = append(*r, recentPlacement{at: now, accelerators: accelerators})
}

// expire removes the placements that are older than the given age.
func (r *recentPlacements) expire(now time.Time, maxAge time.Duration) {
	old := 0
	for old < len(*r) && now.Sub((*r)[old].at) > maxAge {
		old++
	}
	*r = slices.Delete(*r, 0, old)
}

// bySize returns the number of placed tasks by their number of accelerators.
func (r recentPlacements) bySize() map[int]int {
	counts := map[int]int{}
	for _, placement := range r {
		counts[placement.accelerators]++
	}
	return counts
}

// addHeadroom keeps the capacity of an urgent task that has just left its worker as headroom.
func (c *Core) addHeadroom(now time.Time, m *member) {
	if m.group.job.job.Terms.Priority != 0 {
		return
	}
	m.worker.urgentHeadroom = append(m.worker.urgentHeadroom, headroom{shape: m.group.spec().Demand(), until: now.Add(c.settings.RetainFor)})
}

// expireHeadroom makes headroom available to all work once its time is over.
func (c *Core) expireHeadroom(now time.Time, w *worker) {
	before := len(w.urgentHeadroom)
	w.urgentHeadroom = slices.DeleteFunc(w.urgentHeadroom, func(h headroom) bool { return !now.Before(h.until) })
	c.capacityChanged = c.capacityChanged || len(w.urgentHeadroom) < before
}

// consumeHeadroom removes headroom, oldest first, for a newly placed urgent task of the given shape.
func (w *worker) consumeHeadroom(shape job.Shape) {
	for len(w.urgentHeadroom) > 0 && shape.Accelerators > 0 {
		shape = shape.Sub(w.urgentHeadroom[0].shape)
		w.urgentHeadroom = w.urgentHeadroom[1:]
	}
}

// availableTo returns the free capacity that a demand may use. A fully relaxed demand may use all of it,
// headroom and reserved capacity included.
func (p *pass) availableTo(d *demandState) capacityBySlot {
	if d.relaxation == relaxAll {
		return p.free
	}
	return p.withoutHeadroom(d, p.unreserved(d))
}

// withoutHeadroom returns the part of the given free capacity that a demand may use with regard to urgent
// headroom. Small tasks of lower priority get none of the headroom, since they would take it bit by bit and
// have to be preempted. Large tasks that can still finish in time leave headroom for as many tasks of each size
// as urgent work has placed recently: that is what urgent work needs for as long as the headroom lasts.
func (p *pass) withoutHeadroom(d *demandState, free capacityBySlot) capacityBySlot {
	if d.priority == 0 || len(p.headroomWorkers) == 0 {
		return free
	}
	available := slices.Clone(free)
	if d.usesHeadroom {
		p.subtractHeadroom(available, p.core.urgentPlacements.bySize())
		return available
	}
	for _, w := range p.headroomWorkers {
		for _, h := range w.urgentHeadroom {
			available[w.slot] = available[w.slot].Sub(h.shape)
		}
	}
	return available
}

// subtractHeadroom subtracts headroom from the available capacity, for the number of tasks that counts holds for
// each size in accelerators. It starts with the workers that have the least free capacity, so that whole workers
// stay available.
func (p *pass) subtractHeadroom(available capacityBySlot, counts map[int]int) {
	fullest := slices.Clone(p.headroomWorkers)
	slices.SortStableFunc(fullest, func(a, b *worker) int {
		return cmp.Compare(p.free[a.slot].Accelerators, p.free[b.slot].Accelerators)
	})
	for _, w := range fullest {
		for _, h := range w.urgentHeadroom {
			if counts[h.shape.Accelerators] > 0 {
				counts[h.shape.Accelerators]--
				available[w.slot] = available[w.slot].Sub(h.shape)
			}
		}
	}
}

// mayUseHeadroom reports whether a group of lower priority may use the part of the urgent headroom that urgent
// work is not expected to need: each of its tasks is large, and it can still finish in time.
func (p *pass) mayUseHeadroom(g *group) bool {
	return g.job.job.Terms.Priority != 0 && p.hasLargeTasks(g) && !g.round.deprioritised(p.now, g.job.job)
}

// hasLargeTasks reports whether each task of the group takes a large share of a worker's accelerators. On
// workers without accelerators no task is large.
func (p *pass) hasLargeTasks(g *group) bool {
	return p.smallestWorker > 0 && float64(p.smallestWorker)*largeShare <= float64(g.spec().Shape.Accelerators)
}
