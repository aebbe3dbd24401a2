package pool

import (
	"cmp"
	"slices"
	"time"
)

// victim is a group that could be stopped in favour of another.
type victim struct {
	group *group
	// cost is the work that would be lost, in core-seconds.
	cost float64
}

// displaceFor stops groups so that another finds room, if the room that they take is
// enough. It stops those that lose the least work.
func (p *pass) displaceFor(g *group) {
	victims := p.victims(g)
	var chosen []*group
	for _, v := range victims {
		chosen = append(chosen, v.group)
		if p.fit(g, p.withReleasing(chosen)) != nil {
			chosen = p.spare(g, chosen)
			p.stop(g, chosen)
			return
		}
	}
}

// spare takes out the groups that need not be stopped, the costliest first.
func (p *pass) spare(g *group, chosen []*group) []*group {
	for i := len(chosen) - 1; i >= 0; i-- {
		without := slices.Delete(slices.Clone(chosen), i, i+1)
		if p.fit(g, p.withReleasing(without)) != nil {
			chosen = without
		}
	}
	return chosen
}

// stop stops groups and promises the room to another.
func (p *pass) stop(g *group, chosen []*group) {
	places := p.fit(g, p.withReleasing(chosen))
	for _, v := range chosen {
		shape := v.spec().Shape
		for _, m := range v.members {
			if _, usable := p.free[m.worker]; usable && m.phase != memberGone {
				p.releasing[m.worker] = p.releasing[m.worker].Add(shape)
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
	p.promise(g, places)
}

// victims returns the groups of lesser priority that run, those that lose least first.
func (p *pass) victims(g *group) []victim {
	var list []victim
	for _, j := range p.core.live {
		if j.job.Terms.Priority <= g.job.job.Terms.Priority {
			continue
		}
		for _, other := range j.groups {
			if other.placed() && !other.ending && !other.done {
				list = append(list, victim{group: other, cost: other.unsaved(p.now)})
			}
		}
	}
	slices.SortFunc(list, func(a, b victim) int {
		return cmp.Or(
			cmp.Compare(a.cost, b.cost),
			cmp.Compare(a.group.job.job.ID, b.group.job.job.ID),
			cmp.Compare(a.group.step, b.group.step),
			cmp.Compare(a.group.first, b.group.first),
		)
	})
	return list
}

// unsaved is the work of a group's present run that a stop would lose, in core-seconds.
func (g *group) unsaved(now time.Time) float64 {
	if g.began.IsZero() {
		return 0
	}
	length := now.Sub(g.began)
	if g.spec().Checkpoint {
		length = min(length, savedEvery)
	}
	return length.Seconds() * g.spec().Shape.Cores() * float64(g.size)
}

// savedEvery is how often tasks that save their progress do so, at most.
const savedEvery = time.Second
