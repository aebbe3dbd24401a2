package pool

// This file decides what a job within its workspace's guarantee gets back of the accelerators that urgent jobs of other
// workspaces use beyond theirs (docs/design/reclaim.md).

// Rights to preempt a victim, the strongest first.
const (
	// overLower is the right over work of lower priority.
	overLower preemptionRight = iota
	// overBeyond is the right over urgent work beyond its workspace's guarantee.
	overBeyond
	// overPartlyGuaranteed is the right over an urgent group that is beyond its workspace's guarantee in part.
	overPartlyGuaranteed
)

// preemptionRight is the reason why a group may be preempted for another.
type preemptionRight int

// reclaims reports whether a job may preempt urgent work that is beyond the guarantees of other workspaces: its own
// workspace has a guarantee, and needs no more than that for urgent work.
func (p *pass) reclaims(j *jobState) bool {
	return p.guaranteed(j) && p.core.catalog.GuaranteedAccelerators(j.job.Workspace) > 0
}

// reclaimsAnyRack reports whether a group that reclaims has waited for the racks that it prefers for long enough: it has to
// begin soon, also where these are full of work within guarantees.
func (p *pass) reclaimsAnyRack(g *group) bool {
	step := g.spec()
	return (step.SameRack || step.DataRack != "") && p.reclaims(g.job) && p.now.Sub(g.readySince) >= 2*p.core.settings.RelaxAfter
}

// beyondGuarantees counts the accelerators that the urgent runs of each workspace use beyond its guarantee; it is negative
// for a workspace that uses less. Runs that are stopping do not count.
func (p *pass) beyondGuarantees() map[string]int {
	beyond := map[string]int{}
	for _, j := range p.core.liveJobs {
		if j.job.Terms.Priority != 0 {
			continue
		}
		if _, known := beyond[j.job.Workspace]; !known {
			beyond[j.job.Workspace] = -p.core.catalog.GuaranteedAccelerators(j.job.Workspace)
		}
		for _, g := range j.groups {
			if g.placed() && !g.ending && !g.done {
				beyond[j.job.Workspace] += g.accelerators()
			}
		}
	}
	return beyond
}

// accelerators returns the number of accelerators that all tasks of the group take.
func (g *group) accelerators() int {
	return g.taskShape.Accelerators * g.size
}

// isVictim reports whether a group may be preempted for the planner's group, as far as priorities and guarantees decide:
// work of lower priority and, where the planner reclaims, urgent work of workspaces that use more than their guarantee.
func (pl *preemptionPlanner) isVictim(v *group) bool {
	if v.job.job.Terms.Priority > pl.group.job.job.Terms.Priority {
		return true
	}
	return pl.beyond[v.job.job.Workspace] > 0
}

// withinGuarantees returns those of some victims on a worker that may be preempted together: in their order, as long as
// their workspaces use more than their guarantees.
func (pl *preemptionPlanner) withinGuarantees(list []victim) []victim {
	if pl.beyond == nil {
		return list
	}
	kept := list[:0]
	taken := map[string]int{}
	for _, v := range list {
		if v.right > overLower {
			workspace := v.group.job.job.Workspace
			if taken[workspace] >= pl.beyond[workspace] {
				continue
			}
			taken[workspace] += v.group.accelerators()
		}
		kept = append(kept, v)
	}
	return kept
}

// weakestRight returns the weakest right by which any of some victims is preempted when all of them are, in their order.
func (pl *preemptionPlanner) weakestRight(list []victim) preemptionRight {
	weakest := overLower
	taken := map[string]int{}
	for _, v := range list {
		if v.right == overLower {
			continue
		}
		workspace := v.group.job.job.Workspace
		taken[workspace] += v.group.accelerators()
		if taken[workspace] > pl.beyond[workspace] {
			return overPartlyGuaranteed
		}
		weakest = overBeyond
	}
	return weakest
}

// rightOver returns the right by which the planner's group preempts a victim.
func (pl *preemptionPlanner) rightOver(v *group) preemptionRight {
	switch {
	case v.job.job.Terms.Priority > pl.group.job.job.Terms.Priority:
		return overLower
	case v.accelerators() <= pl.beyond[v.job.job.Workspace]:
		return overBeyond
	default:
		return overPartlyGuaranteed
	}
}

// recordReclaimed subtracts a chosen victim from what its workspace uses beyond its guarantee.
func (pl *preemptionPlanner) recordReclaimed(v *group) {
	if pl.rightOver(v) == overLower || pl.beyond == nil {
		return
	}
	pl.beyond[v.job.job.Workspace] -= v.accelerators()
	clear(pl.options) // fewer groups of its workspace may be preempted now
}
