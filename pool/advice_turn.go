package pool

import (
	"slices"
	"time"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/hollyfork/job"
)

// This file decides for which step the advice service is asked next: it works on one request at a time, so those that can't
// begin must not use it up.

const (
	// maxAskedWorkers is the maximum number of workers in a request: the time objective of a job allows for one
	// request with 30 workers.
	maxAskedWorkers = 30
	// maxFirstInRow is the maximum number of requests in a row for steps that may begin with the answer, while others
	// wait for theirs.
	maxFirstInRow = 3
	// fruitlessPause is the time, for each waiting round, without another search after one that found nothing to ask. A
	// search takes about a twentieth of it.
	fruitlessPause = 10 * time.Microsecond
)

type (
	// adviceTurn finds the step to ask for next, among the workers of a pass.
	adviceTurn struct {
		pass    *pass
		workers []*worker
		// fits caches which groups fit into an empty pool.
		fits map[adviceShape]bool
	}

	// adviceShape is what decides whether a group fits into an empty pool.
	adviceShape struct {
		demand       job.Shape
		label        string
		size         int
		maxPerWorker int
	}

	// adviceQuestion is what to ask for the step of a group. first reports whether it may begin with the answer.
	adviceQuestion struct {
		group   *group
		workers []instance.ID
		first   bool
	}
)

// TakeAdviceRequest returns the next request to the advice service. Only one is in flight at a time. Steps that may begin
// with the answer go first, in placement order: they fit into the free capacity of the workers that the policy may allow,
// some of which were not asked for. The others take turns: those that renew their tickets, and those that do not fit yet. A
// step that would not fit into an empty pool, or on what the policy allows of it, is not asked for.
func (c *Core) TakeAdviceRequest(now time.Time) (AdviceRequest, bool) {
	if !c.everAdvised || c.adviceInFlight || now.Before(c.nextAdviceAt) {
		return AdviceRequest{}, false
	}
	rounds := slices.DeleteFunc(c.waitingRounds(now), func(r readyRound) bool { return !c.needsTicket(now, r.job) })
	if len(rounds) == 0 {
		return AdviceRequest{}, false
	}
	p := c.newPass(now)
	p.sortRounds(rounds)
	turn := adviceTurn{pass: p, workers: p.quarantinedLast(), fits: map[adviceShape]bool{}}
	chosen, ok := turn.next(rounds)
	if !ok {
		c.nextAdviceAt = now.Add(time.Duration(len(rounds)) * fruitlessPause)
		return AdviceRequest{}, false
	}
	if chosen.first {
		c.firstAdviceInRow++
	} else {
		c.firstAdviceInRow = 0
	}
	c.adviceInFlight = true
	g := chosen.group
	g.round.adviceOf(g.step).requestedAt = now
	return AdviceRequest{Step: g.task(g.first), Workers: chosen.workers}, true
}

// next returns the question whose turn it is, for one of the rounds in placement order.
func (t adviceTurn) next(rounds []readyRound) (adviceQuestion, bool) {
	var first, other adviceQuestion
	for _, r := range rounds {
		for i, g := range r.ready {
			if i > 0 && r.ready[i-1].step == g.step {
				continue // the advice is for the step
			}
			question, asks := t.questionOf(g)
			switch {
			case !asks:
			case !question.first:
				if other.group == nil || question.requestedAt().Before(other.requestedAt()) {
					other = question
				}
			case first.group == nil:
				first = question
			}
			if first.group != nil && t.pass.core.firstAdviceInRow < maxFirstInRow {
				return first, true
			}
		}
	}
	if other.group != nil {
		return other, true
	}
	return first, first.group != nil
}

func (q adviceQuestion) requestedAt() time.Time {
	return q.group.round.adviceOf(q.group.step).requestedAt
}

// questionOf returns what to ask for a group, and whether there is anything: up to maxAskedWorkers workers with capacity for
// one of its tasks whose tickets either were not requested yet or are about to expire.
func (t adviceTurn) questionOf(g *group) (adviceQuestion, bool) {
	question := adviceQuestion{group: g}
	if !t.fitsEmptyPool(g) {
		return question, false
	}
	advice := g.round.adviceOf(g.step)
	room, emptyRoom, anyNew := 0, 0, false
	for _, w := range t.workers {
		cached, hasTicket := advice.tickets[w.instance]
		unasked := !advice.asked[w.instance]
		if !unasked && !hasTicket {
			continue // the policy does not allow it
		}
		count := g.countOn(w, t.pass.free[w.slot])
		room += count
		emptyRoom += g.countOn(w, w.capacity)
		if count == 0 || !unasked && cached.validForPlacement(t.pass.now) || len(question.workers) == maxAskedWorkers {
			continue
		}
		anyNew = anyNew || unasked
		question.workers = append(question.workers, w.instance)
	}
	question.first = anyNew && room >= g.size
	return question, len(question.workers) > 0 && emptyRoom >= g.size
}

// fitsEmptyPool reports whether a group fits on the workers without anything else on them, as far as capacity and labels
// decide.
func (t adviceTurn) fitsEmptyPool(g *group) bool {
	step := g.spec()
	shape := adviceShape{step.Demand(), step.Label, g.size, step.MaxPerWorker}
	fits, known := t.fits[shape]
	if !known {
		room := 0
		for _, w := range t.workers {
			room += g.countOn(w, w.capacity)
		}
		fits = room >= g.size
		t.fits[shape] = fits
	}
	return fits
}

// countOn returns how many of the group's tasks a capacity of a worker holds, as far as capacity and labels decide.
func (g *group) countOn(w *worker, capacity job.Shape) int {
	step := g.spec()
	if !w.hasLabel(step.Label) {
		return 0
	}
	count := min(capacity.FitCount(step.Demand()), g.size)
	if step.MaxPerWorker > 0 {
		count = min(count, step.MaxPerWorker)
	}
	return count
}

// quarantinedLast returns the workers of the pass with quarantined ones moved to the end.
func (p *pass) quarantinedLast() []*worker {
	workers := slices.Clone(p.workers)
	slices.SortStableFunc(workers, func(a, b *worker) int {
		return compareBool(a.health.inQuarantine(p.now), b.health.inQuarantine(p.now))
	})
	return workers
}
