package pool

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// serviceUpdateInterval is the time between two updates of service levels.
	serviceUpdateInterval = 250 * time.Millisecond
	// serviceEmitInterval is the minimum time between two events about a queue's service level, and
	// serviceEmitChange the minimum change of the level between them.
	serviceEmitInterval = 2 * time.Second
	serviceEmitChange   = 0.1
	// roundsAveraged is the number of rounds over which the allowed time is averaged.
	roundsAveraged = 8
)

type (
	// serviceTracker tracks the service levels of all queues.
	serviceTracker struct {
		queues    map[string]*queueStats
		updatedAt time.Time
	}

	// queueStats holds the service level of a queue and the counts behind it.
	queueStats struct {
		// completed counts the rounds that were completed recently, and completedInTime those among them that
		// were in time. The half-life of both is averageAllowed.
		completed, completedInTime amount
		// open counts the rounds under way, and expectedInTime weights each of them by its chance to be in
		// time.
		open, expectedInTime amount
		// averageAllowed is the average time that completed rounds were allowed.
		averageAllowed time.Duration
		// level is the share, from 0 to 1, of recently completed and open rounds that were or are expected to
		// be in time. It averages the shares by number of rounds and by work, so that neither many small jobs
		// nor a few large ones hide the others.
		level float64
		// waiting counts the open rounds with a task that could be placed and is not, and overdue the open
		// rounds past their due time.
		waiting, overdue int
		// inTime and late count the rounds, and failed and cancelled the jobs, that have ended under this
		// holder.
		inTime, late, failed, cancelled int

		emittedLevel float64
		emittedAt    time.Time
	}

	// amount is a number of rounds together with their work in core-seconds.
	amount struct {
		rounds float64
		work   float64
	}
)

func (a amount) plus(b amount) amount {
	return amount{rounds: a.rounds + b.rounds, work: a.work + b.work}
}

func (a amount) times(x float64) amount {
	return amount{rounds: a.rounds * x, work: a.work * x}
}

// shareOf returns the ratio to whole, averaged over rounds and work; it returns 1 if whole is empty.
func (a amount) shareOf(whole amount) float64 {
	if whole.rounds <= 0 {
		return 1
	}
	if whole.work <= 0 {
		return a.rounds / whole.rounds
	}
	return (a.rounds/whole.rounds + a.work/whole.work) / 2
}

// queue returns the stats of a queue, and creates them if needed.
func (t *serviceTracker) queue(queue string) *queueStats {
	q, known := t.queues[queue]
	if !known {
		q = &queueStats{level: 1, emittedLevel: 1}
		if t.queues == nil {
			t.queues = map[string]*queueStats{}
		}
		t.queues[queue] = q
	}
	return q
}

// addCompleted adds a completed round.
func (q *queueStats) addCompleted(r *round, j *jobState, now time.Time) {
	allowed := j.job.RoundDue(r.number).Sub(j.job.EarliestStart(r.number))
	if q.averageAllowed == 0 {
		q.averageAllowed = allowed
	}
	q.averageAllowed += (allowed - q.averageAllowed) / roundsAveraged
	one := amount{rounds: 1, work: r.estimatedWork()}
	q.completed = q.completed.plus(one)
	if now.After(r.due) {
		q.late++
		return
	}
	q.inTime++
	q.completedInTime = q.completedInTime.plus(one)
}

// decay reduces the weight of completed rounds by the time that has passed.
func (q *queueStats) decay(passed time.Duration) {
	if q.averageAllowed <= 0 {
		return
	}
	left := math.Exp2(-passed.Seconds() / q.averageAllowed.Seconds())
	q.completed = q.completed.times(left)
	q.completedInTime = q.completedInTime.times(left)
}

// updateServiceLevels updates the service levels of all queues if the last update is long enough ago.
func (c *Core) updateServiceLevels(now time.Time) {
	passed := now.Sub(c.serviceLevels.updatedAt)
	if passed < serviceUpdateInterval {
		return
	}
	c.serviceLevels.updatedAt = now
	for _, q := range c.serviceLevels.queues {
		q.decay(passed)
		q.waiting, q.overdue = 0, 0
		q.open, q.expectedInTime = amount{}, amount{}
	}
	for _, j := range c.liveJobs {
		if !j.state.ended() {
			c.serviceLevels.queue(j.job.Queue).addOpenRounds(now, j)
		}
	}
	for name, q := range c.serviceLevels.queues {
		q.level = q.completedInTime.plus(q.expectedInTime).shareOf(q.completed.plus(q.open))
		c.emitServiceLevel(now, name, q)
	}
}

// addOpenRounds adds the open rounds of a job.
func (q *queueStats) addOpenRounds(now time.Time, j *jobState) {
	for _, r := range j.rounds {
		if r.done() || r.longRunning() {
			continue
		}
		work := r.estimatedWork()
		chance := r.chanceInTime(now, j.job.RoundDue(r.number).Sub(j.job.EarliestStart(r.number)))
		q.open = q.open.plus(amount{rounds: 1, work: work})
		q.expectedInTime = q.expectedInTime.plus(amount{rounds: chance, work: chance * work})
		q.countOpenRound(r, now)
	}
}

// countOpenRound counts an open round as waiting or overdue.
func (q *queueStats) countOpenRound(r *round, now time.Time) {
	if now.After(r.due) {
		q.overdue++
	}
	for _, groups := range r.byStep {
		if slices.ContainsFunc(groups, func(g *group) bool { return g.waiting() && g.ready() }) {
			q.waiting++
			return
		}
	}
}

// emitServiceLevel emits the service level of a queue if it has changed enough since it was last emitted.
func (c *Core) emitServiceLevel(now time.Time, name string, q *queueStats) {
	if math.Abs(q.level-q.emittedLevel) < serviceEmitChange || now.Sub(q.emittedAt) < serviceEmitInterval {
		return
	}
	q.emittedLevel, q.emittedAt = q.level, now
	c.emit(Event{
		Kind: EventServiceLevel,
		Detail: fmt.Sprintf("queue %s: %.2f of what was asked lately was done in time or may be; %d wait, %d are overdue; "+
			"since this holder began %d in time, %d late, %d failed", name, q.level, q.waiting, q.overdue, q.inTime, q.late, q.failed),
	})
}

// recordRoundEnded counts the round of a group as completed if all tasks of the round are done.
func (c *Core) recordRoundEnded(now time.Time, g *group) {
	if g.round.done() && !g.round.longRunning() {
		c.serviceLevels.queue(g.job.job.Queue).addCompleted(g.round, g.job, now)
	}
}

// recordJobEnded counts a job that failed or was cancelled.
func (c *Core) recordJobEnded(j *jobState) {
	q := c.serviceLevels.queue(j.job.Queue)
	switch j.state {
	case Failed:
		q.failed++
	case Cancelled:
		q.cancelled++
	case Queued, Active, Done:
	}
}

// longRunning reports whether the round has tasks that run until their job is cancelled.
func (r *round) longRunning() bool {
	return slices.ContainsFunc(r.byStep, func(groups []*group) bool { return groups[0].spec().LongRunning })
}

// estimatedWork returns the work of the round by its estimates, in core-seconds.
func (r *round) estimatedWork() float64 {
	sum := 0.0
	for _, groups := range r.byStep {
		sum += groups[0].estimatedWork() * float64(len(groups))
	}
	return sum
}

// chanceInTime returns the chance that the round finishes in time, from 0 to 1. A round without waiting groups
// gets 1 or 0 by its expected end. The chance of a waiting round is the share of its initial spare time that is
// left.
func (r *round) chanceInTime(now time.Time, allowed time.Duration) float64 {
	left, waits := r.remaining(now)
	spare := r.due.Sub(now) - left
	if spare < 0 {
		return 0
	}
	if !waits {
		return 1
	}
	initialSpare := allowed - r.estimatedLength()
	if initialSpare <= 0 {
		return 1
	}
	return min(1, spare.Seconds()/initialSpare.Seconds())
}

// remaining returns how long the round takes from now on if its waiting groups are placed at once, and whether
// there are any such groups.
func (r *round) remaining(now time.Time) (left time.Duration, waits bool) {
	return r.longestChain(func(g *group) time.Duration {
		switch {
		case g.done:
			return 0
		case g.placed() && !g.ending:
			return g.expectedEnd(now).Sub(now)
		case g.ready():
			waits = true
		}
		return g.spec().Estimate
	}), waits
}

// estimatedLength returns the estimated run time of the longest chain of steps in the round.
func (r *round) estimatedLength() time.Duration {
	return r.longestChain(func(g *group) time.Duration { return g.spec().Estimate })
}

// longestChain returns the length of the longest chain of steps in the round, where each step takes as long as
// the longest of its groups.
func (r *round) longestChain(takes func(*group) time.Duration) time.Duration {
	ends := make([]time.Duration, len(r.byStep))
	longest := time.Duration(0)
	for step, groups := range r.byStep {
		most := time.Duration(0)
		for _, g := range groups {
			most = max(most, takes(g))
		}
		for _, before := range groups[0].spec().After {
			ends[step] = max(ends[step], ends[before])
		}
		ends[step] += most
		longest = max(longest, ends[step])
	}
	return longest
}

// queueSnapshots returns the service levels of all queues, sorted by name.
func (c *Core) queueSnapshots() []QueueSnapshot {
	list := make([]QueueSnapshot, 0, len(c.serviceLevels.queues))
	for name, q := range c.serviceLevels.queues {
		list = append(list, QueueSnapshot{
			Queue: name, Level: q.level, Waiting: q.waiting, Overdue: q.overdue,
			InTime: q.inTime, Late: q.late, Failed: q.failed, Cancelled: q.cancelled,
		})
	}
	slices.SortFunc(list, func(a, b QueueSnapshot) int { return cmp.Compare(a.Queue, b.Queue) })
	return list
}
