package pool

import "hollyfork.example/hollyfork/job"

// rackNeed is what decides whether a rack that a group prefers will have room for it: a step's own rack, or any one.
type rackNeed struct {
	// rack is the rack of the group's data; empty for a group that is kept in any one rack.
	rack  string
	label string
	shape job.Shape
	size  int
}

// waitsForHeldRack reports whether a group has waited for the racks that it prefers for long enough, and these have no room
// for it before tasks that last have ended. Such a wait has no end, however busy the pool is.
func (p *pass) waitsForHeldRack(g *group) bool {
	step := g.spec()
	if step.DataRack == "" && (!step.SameRack || g.size == 1) || p.preferenceWait(g) < 2*p.core.settings.RelaxAfter {
		return false
	}
	need := rackNeed{rack: step.DataRack, label: step.Label, shape: g.taskShape, size: g.size}
	held, known := p.heldRacks[need]
	if !known {
		held = p.rackIsHeld(need)
		if p.heldRacks == nil {
			p.heldRacks = map[rackNeed]bool{}
		}
		p.heldRacks[need] = held
	}
	return held
}

// rackIsHeld reports whether tasks that last run in a rack, and it has no room even when all other runs have ended.
func (p *pass) rackIsHeld(need rackNeed) bool {
	fits, lasting := map[string]int{}, 0
	for _, w := range p.workers {
		if !w.hasLabel(need.label) || need.rack != "" && w.rack != need.rack {
			continue
		}
		capacity, count := w.capacityBesideLasting()
		lasting += count
		if fits[w.rack] += capacity.FitCount(need.shape); fits[w.rack] >= need.size {
			return false
		}
	}
	return lasting > 0
}

// capacityBesideLasting returns the worker's capacity without what tasks that last take, and the number of these.
func (w *worker) capacityBesideLasting() (capacity job.Shape, lasting int) {
	capacity = w.capacity
	for _, m := range w.members {
		if m.group.spec().LongRunning && !m.group.ending {
			capacity = capacity.Sub(m.group.taskShape)
			lasting++
		}
	}
	return capacity, lasting
}
