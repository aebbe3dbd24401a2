package pool

import (
	"slices"
	"time"

	"hollyfork.example/hollyfork/job"
)

const (
	// minHeld is the part of a worker from which on a task is hard to place when others
	// take what becomes free bit by bit.
	minHeld = 0.5
	// maxHolds is the most groups that room is held for at a time: on the users' grown
	// deployments several wait at once.
	maxHolds = 4
	// backfillMargin is how much longer than its caller's guess a task may take that is put
	// into held room.
	backfillMargin = 1.3
)

// hold keeps the room for a large group in which it will fit first, so that smaller ones
// do not take it bit by bit. Room is held for a few groups at a time.
func (p *pass) hold(g *group) {
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
func (p *pass) large(g *group) bool {
	for _, w := range p.workers {
		if float64(w.capacity.Accelerators)*minHeld <= float64(g.spec().Shape.Accelerators*g.size) {
			return true
		}
	}
	return false
}

// unheld is the free room that a group may take: held room only if the group will have
// ended before it is needed.
func (p *pass) unheld(g *group) map[*worker]job.Shape {
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

// expectedEnd is when a group's run should end.
type expectedEnd struct {
	group *group
	at    time.Time
}

// ends returns when the runs under way should end, the soonest first.
func (p *pass) ends() []expectedEnd {
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

// expectedEnd is when the group's present run should end, by its progress.
func (g *group) expectedEnd(now time.Time) time.Time {
	const hundred = 100
	if g.began.IsZero() {
		return now.Add(g.spec().Estimate)
	}
	ran := now.Sub(g.began)
	if g.percent > 0 {
		return now.Add(ran * time.Duration(hundred-g.percent) / time.Duration(g.percent))
	}
	return now.Add(max(g.spec().Estimate-ran, 0))
}

// roomAt adds the room of all runs that should have ended at a time.
func (p *pass) roomAt(room map[*worker]job.Shape, ends []expectedEnd, at time.Time) map[*worker]job.Shape {
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
