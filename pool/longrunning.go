package pool

import (
	"slices"

	"hollyfork.example/hollyfork/job"
)

// interferes reports whether a task of the step must not be co-located with the worker's tasks: filler
// tasks slow down tasks with a target by an unknown amount, so the two never share a worker.
func (w *worker) interferes(step *job.Step) bool {
	if !step.Filler && step.LatencyTarget == 0 {
		return false
	}
	for _, m := range w.members {
		other := m.group.spec()
		if step.Filler && other.LatencyTarget > 0 || step.LatencyTarget > 0 && other.Filler {
			return true
		}
	}
	return false
}

// serving reports whether all tasks of a long-running group have become ready, which a task reports
// some time after its start with a progress of 100.
func (g *group) serving() bool {
	const all = 100
	return g.running() && g.percent >= all
}

// mayPreempt reports whether v may be preempted for g, in addition to the chosen victims. The job of a
// long-running step limits how many of its tasks may be unavailable at once. If it sets no limit, only
// guaranteed work may preempt its tasks.
func (p *pass) mayPreempt(v, g *group, chosen []*group) bool {
	step := v.spec()
	if !step.LongRunning {
		return true
	}
	if step.MaxUnavailable == 0 {
		return p.guaranteed(g.job)
	}
	unavailable := v.size
	for _, other := range v.round.byStep[v.step] {
		if other != v && (!other.serving() || slices.Contains(chosen, other)) {
			unavailable += other.size
		}
	}
	return unavailable <= step.MaxUnavailable
}
