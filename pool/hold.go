package pool

import (
	"slices"
	"time"
)

const (
	// minHeld is the part of a worker from which on a task is hard to place when others
	// take what becomes free bit by bit.
	minHeld = 0.5
	// maxHolds is the most groups that room is held for at a time: on pools of 54 to 68 workers
	// in which nine tenths of the accelerators are asked for, several wait at once.
	maxHolds = 4
	// backfillMargin is how much longer than its caller's guess a task may take that is put
	// into held room.
	backfillMargin = 1.3
)

// reservation is room that is held for a group.
type reservation struct {
	group    *group
	prospect *prospect
	// at is when the group should fit, and later the room that there should be then, beside
	// what is held for groups before it.
	at    time.Time
	later room
}

// hold keeps the room for a large group in which it will fit first, so that smaller ones
// do not take it bit by bit. Room is held for a few groups at a time.
func (p *pass) hold(g *group, d *prospect, plain bool) {
	if len(p.holds) >= maxHolds || !p.large(g) || plain && d.unholdable {
		return
	}
	later := p.withReleasing()
	for i, held := range p.held {
		later[i] = later[i].Sub(held)
	}
	at, found := p.firstFit(g, d, later)
	if !found {
		d.unholdable = d.unholdable || plain
		return
	}
	if len(p.holds) == 0 || at.Before(p.heldUntil) {
		p.heldUntil = at
	}
	p.holds = append(p.holds, reservation{group: g, prospect: d, at: at, later: slices.Clone(later)})
	for _, w := range p.fit(g, d, later) {
		p.held[w.slot] = p.held[w.slot].Add(g.takes)
	}
}

// fitBeside finds room for a group in what is held for others, if each of them still fits at
// the time for which its room is held. Held room is on workers of the pass's choice; by then
// others may be free as well. A gang of 40 whole workers kept others of 10 to 30 from room that
// stood free for 20 s.
func (p *pass) fitBeside(g *group, d *prospect) []*worker {
	if len(p.holds) == 0 || d.priority == 0 {
		return nil
	}
	places := p.fit(g, d, p.lent(d, p.free))
	if places == nil {
		return nil
	}
	end := p.now.Add(time.Duration(backfillMargin * float64(d.estimate)))
	after := make([]room, len(p.holds))
	for i, r := range p.holds {
		after[i] = r.later
		if end.Before(r.at) {
			continue
		}
		after[i] = r.later.without(g, places)
		if !p.newCounter(r.group, r.prospect, after[i]).fits() {
			return nil
		}
	}
	for i := range p.holds {
		p.holds[i].later = after[i]
	}
	return places
}

// without returns what is left of some room when a group takes its places.
func (r room) without(g *group, places []*worker) room {
	left := slices.Clone(r)
	for _, w := range places {
		left[w.slot] = left[w.slot].Sub(g.takes)
	}
	return left
}

// firstFit finds the first time at which a group fits as the runs under way end, and adds the
// room of those that end until then.
func (p *pass) firstFit(g *group, d *prospect, later room) (time.Time, bool) {
	count := p.newCounter(g, d, later)
	ends := p.expectedEnds()
	for i, e := range ends {
		for _, m := range e.group.members {
			if p.usable(m.worker) && m.phase != memberGone && m.phase != memberStopping {
				later[m.worker.slot] = later[m.worker.slot].Add(e.group.takes)
				count.update(m.worker)
			}
		}
		last := i+1 == len(ends) || ends[i+1].at.After(e.at)
		if last && count.fits() {
			return e.at, true
		}
	}
	return time.Time{}, false
}

// large says whether a group is hard to place.
func (p *pass) large(g *group) bool {
	return float64(p.smallest)*minHeld <= float64(g.spec().Shape.Accelerators*g.size)
}

// unheld is the free room that a group may take: held room only if the group will have
// ended before it is needed.
func (p *pass) unheld(d *prospect) room {
	if len(p.holds) == 0 {
		return p.free
	}
	length := time.Duration(backfillMargin * float64(d.estimate))
	if p.now.Add(length).Before(p.heldUntil) {
		return p.free
	}
	unheld := make(room, len(p.free))
	for i, free := range p.free {
		unheld[i] = free.Sub(p.held[i])
	}
	return unheld
}
