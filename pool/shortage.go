package pool

import (
	"fmt"
	"strings"
	"time"
)

type (
	// shortage holds how many tasks of a waiting group would fit as more and more of the occupied capacity were
	// available to it. For a group that is kept in one rack, it counts the rack where most tasks fit.
	shortage struct {
		tasks int
		// open counts the tasks that fit into the capacity available to the group. Each further count adds to
		// the one before: withHeadroom the urgent headroom, withReserved the capacity reserved for other gangs,
		// withoutLower the capacity of runs of lower priority, and withoutEqual that of runs of the same
		// priority.
		open, withHeadroom, withReserved, withoutLower, withoutEqual int
	}

	// reservation is a group for which a pass reserves capacity, with the time at which it is expected to fit.
	reservation struct {
		group *group
		at    time.Time
	}
)

// shortageOf counts how many tasks of a group would fit under each condition.
func (p *pass) shortageOf(g *group) shortage {
	d := p.demandStateOf(g)
	fits := func(capacity capacityBySlot) int { return p.newFitCounter(g, d, capacity).largest }
	return shortage{
		tasks:        g.size,
		open:         fits(p.availableTo(d)),
		withHeadroom: fits(p.unreserved(d)),
		withReserved: fits(p.free),
		withoutLower: fits(p.freeWithout(d.priority + 1)),
		withoutEqual: fits(p.freeWithout(d.priority)),
	}
}

// freeWithout returns the capacity that would be free without any run of the given or a lower priority. A
// higher number is a lower priority.
func (p *pass) freeWithout(priority int) capacityBySlot {
	sum := p.freeAndReleasing()
	for _, w := range p.workers {
		for _, m := range w.members {
			if m.group.job.job.Terms.Priority >= priority && m.phase != memberStopping && !m.group.ending {
				sum[w.slot] = sum[w.slot].Add(m.group.taskShape)
			}
		}
	}
	return sum
}

// String formats the shortage for operators.
func (s shortage) String() string {
	return fmt.Sprintf("room for %d of %d tasks, %d with what is kept for urgent work, %d with what is held for others, "+
		"%d without work of lesser priority, %d beside more urgent work alone",
		s.open, s.tasks, s.withHeadroom, s.withReserved, s.withoutLower, s.withoutEqual)
}

// describeReservations lists the reservations for the log; it returns "" if there are none.
func (p *pass) describeReservations() string {
	parts := make([]string, len(p.reservations))
	for i, r := range p.reservations {
		parts[i] = fmt.Sprintf("%s (%d tasks of %d accelerators, fits in %s, due in %s)", r.group.job.job.ID, r.group.size,
			r.group.taskShape.Accelerators, r.at.Sub(p.now).Round(time.Millisecond), r.group.due().Sub(p.now).Round(time.Millisecond))
	}
	return strings.Join(parts, ", ")
}
