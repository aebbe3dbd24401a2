package pool

import (
	"slices"
	"time"
)

// expectedEnd is the time at which a group's current run is expected to end.
type expectedEnd struct {
	group *group
	at    time.Time
}

// expectedEnds returns the expected ends of the current runs, soonest first. Tasks that last have none.
func (p *pass) expectedEnds() []expectedEnd {
	if p.endsKnown {
		return p.ends
	}
	for _, j := range p.core.liveJobs {
		for _, g := range j.groups {
			if g.placed() && !g.ending && !g.spec().LongRunning {
				p.ends = append(p.ends, expectedEnd{group: g, at: g.expectedEnd(p.now)})
			}
		}
	}
	slices.SortFunc(p.ends, byEnd)
	p.endsKnown = true
	return p.ends
}

// addExpectedEnd adds a run that this pass has placed to the expected ends, if they have been computed.
func (p *pass) addExpectedEnd(g *group) {
	if !p.endsKnown || g.spec().LongRunning {
		return
	}
	e := expectedEnd{group: g, at: g.expectedEnd(p.now)}
	i, _ := slices.BinarySearchFunc(p.ends, e, byEnd)
	p.ends = slices.Insert(p.ends, i, e)
}

func byEnd(a, b expectedEnd) int {
	return a.at.Compare(b.at)
}

// expectedEnd extrapolates the end of the group's current run from its progress, or from the estimate
// while there is no progress.
func (g *group) expectedEnd(now time.Time) time.Time {
	const hundred = 100
	if g.orderedAt.IsZero() {
		return now.Add(g.spec().Estimate)
	}
	runTime := g.runTime(now)
	if g.percent > 0 {
		return now.Add(runTime * time.Duration(hundred-g.percent) / time.Duration(g.percent))
	}
	return now.Add(max(g.spec().Estimate-runTime, 0))
}

// runTime returns how long the group's current run has lasted. Of a run that an earlier holder ordered, the time before
// this holder first saw it is not known, and is estimated from the progress that it had made by then.
func (g *group) runTime(now time.Time) time.Duration {
	const hundred = 100
	length := now.Sub(g.orderedAt)
	if g.spec().LongRunning {
		return length // Its progress says only whether it is ready.
	}
	least := hundred
	for _, m := range g.members {
		if !m.restored {
			return length
		}
		least = min(least, m.startPercent)
	}
	return length + g.spec().Estimate*time.Duration(least)/hundred
}
