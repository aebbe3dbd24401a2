package pool

import (
	"slices"
	"time"

	"hollyfork.example/hollyfork/job"
)

// maxOpenRounds bounds the open rounds of a job, so that a job whose rounds start faster than they finish takes
// bounded memory. Later rounds wait.
const maxOpenRounds = 32

// round is one run of all steps of a job. A job without a schedule has one round.
type round struct {
	number int
	// due is the time by which the round should be done.
	due time.Time
	// byStep holds the groups of the round by step.
	byStep [][]*group
	// advice holds the advice for each step, in queues with an advice policy.
	advice map[int]*stepAdvice
}

// roundLog records which rounds of a job were opened, and which of them are done.
type roundLog struct {
	// next is the number of the next round to open.
	next int
	// All rounds with numbers below doneBelow are done; done holds the numbers of other rounds that are done.
	doneBelow int
	done      map[int]bool
}

// finish records that a round is done.
func (l *roundLog) finish(number int) {
	if l.done == nil {
		l.done = map[int]bool{}
	}
	l.done[number] = true
	for l.done[l.doneBelow] {
		delete(l.done, l.doneBelow)
		l.doneBelow++
	}
}

// isDone reports whether a round is done.
func (l *roundLog) isDone(number int) bool {
	return number < l.doneBelow || l.done[number]
}

// openRounds opens the rounds of a job that have started by its schedule.
func (c *Core) openRounds(now time.Time, j *jobState) {
	for j.roundLog.next < j.job.Schedule.Rounds() && j.mayOpenRound() {
		if now.Add(c.timeOfDayOffset).Before(j.job.EarliestStart(j.roundLog.next)) {
			return
		}
		j.openRound(now, j.roundLog.next, c.timeOfDayOffset)
		c.capacityChanged = true
	}
}

// mayOpenRound reports whether the job's row is short enough for another round.
func (j *jobState) mayOpenRound() bool {
	return len(j.rounds) == 0 || len(j.rounds) < maxOpenRounds && j.compressedBytes < maxBytesToOpen
}

// openRound adds a round's groups to the job. The schedule of a job holds times of day; offset is added to
// now to get the time of day.
func (j *jobState) openRound(now time.Time, number int, offset time.Duration) {
	r := &round{number: number, due: j.job.RoundDue(number).Add(-offset), byStep: make([][]*group, len(j.job.Steps))}
	for step := range j.job.Steps {
		r.byStep[step] = j.newGroups(now, r, step)
		j.groups = append(j.groups, r.byStep[step]...)
	}
	j.rounds = append(j.rounds, r)
	j.roundLog.next = max(j.roundLog.next, number+1)
}

// newGroups creates the groups of a step: one for a gang, else one for each task.
func (j *jobState) newGroups(now time.Time, r *round, number int) []*group {
	step := j.job.Steps[number]
	size := 1
	if step.Gang {
		size = step.Count
	}
	var groups []*group
	for first := 0; first < step.Count; first += size {
		groups = append(groups, &group{
			job:        j,
			round:      r,
			step:       number,
			first:      first,
			size:       size,
			taskShape:  step.Demand(),
			readySince: now,
			failedOn:   map[string]int{},
		})
	}
	return groups
}

// closeRounds drops the rounds of a repeating job that are done and have no run left.
func (j *jobState) closeRounds() {
	if j.job.Schedule.Immediate() {
		return
	}
	j.rounds = slices.DeleteFunc(j.rounds, func(r *round) bool {
		if !r.finished() {
			return false
		}
		j.roundLog.finish(r.number)
		j.groups = slices.DeleteFunc(j.groups, func(g *group) bool { return g.round == r })
		return true
	})
}

// findRound returns the open round with a number, or nil.
func (j *jobState) findRound(number int) *round {
	for _, r := range j.rounds {
		if r.number == number {
			return r
		}
	}
	return nil
}

// stepDone reports whether all tasks of a step are done.
func (r *round) stepDone(step int) bool {
	for _, g := range r.byStep[step] {
		if !g.done {
			return false
		}
	}
	return true
}

// anyDone reports whether any task of a step is done.
func (r *round) anyDone(step int) bool {
	return slices.ContainsFunc(r.byStep[step], func(g *group) bool { return g.done })
}

// done reports whether all tasks of the round are done.
func (r *round) done() bool {
	for step := range r.byStep {
		if !r.stepDone(step) {
			return false
		}
	}
	return true
}

// finished reports whether all tasks are done and none of them still has a run.
func (r *round) finished() bool {
	for _, groups := range r.byStep {
		for _, g := range groups {
			if !g.done || g.placed() {
				return false
			}
		}
	}
	return true
}

// findGroup returns the group of a task in the round, or nil.
func (r *round) findGroup(j job.Job, task job.TaskID) *group {
	if task.Step >= len(r.byStep) || task.Index >= j.Steps[task.Step].Count {
		return nil
	}
	groups := r.byStep[task.Step]
	return groups[task.Index/groups[0].size]
}
