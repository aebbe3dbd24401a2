package pool

import (
	"time"

	"hollyfork.example/hollyfork/job"
)

// States of a job.
const (
	Queued State = iota
	Active
	Done
	Failed
	Cancelled
)

type (
	// State is where a job stands.
	State int

	// jobState is a job with all that the pool knows of it.
	jobState struct {
		job job.Job
		// groups are ordered by step and task.
		groups []*group
		// byStep holds the same groups by step.
		byStep [][]*group
		state  State
		// begun says that a task of it was started.
		begun   bool
		endedAt time.Time

		// changes counts changes; committed is the count of the last commit.
		changes   uint64
		committed uint64
		dirty     bool
		// removing says that the job's rows are to be deleted.
		removing bool
	}
)

// ended says whether a state is final.
func (s State) ended() bool {
	return s >= Done
}

// newJob returns a job of which nothing has run.
func newJob(now time.Time, j job.Job) *jobState {
	state := &jobState{job: j, byStep: make([][]*group, len(j.Steps))}
	for number, step := range j.Steps {
		size := 1
		if step.Gang {
			size = step.Count
		}
		for first := 0; first < step.Count; first += size {
			g := &group{
				job:        state,
				step:       number,
				first:      first,
				size:       size,
				readySince: now,
				failedOn:   map[string]int{},
			}
			state.groups = append(state.groups, g)
			state.byStep[number] = append(state.byStep[number], g)
		}
	}
	return state
}

// find returns the group of a task, or nil.
func (j *jobState) find(task job.TaskID) *group {
	if task.Round != 0 || task.Step >= len(j.byStep) || task.Index >= j.job.Steps[task.Step].Count {
		return nil
	}
	groups := j.byStep[task.Step]
	return groups[task.Index/groups[0].size]
}

func (j *jobState) stepDone(step int) bool {
	for _, g := range j.byStep[step] {
		if !g.done {
			return false
		}
	}
	return true
}

func (j *jobState) allDone() bool {
	for _, g := range j.groups {
		if !g.done {
			return false
		}
	}
	return true
}

// checkJob ends a job whose last group is done, or one of whose groups has no attempt left.
func (c *Core) checkJob(now time.Time, j *jobState) {
	if j.state.ended() {
		return
	}
	if j.allDone() {
		c.endJob(now, j, Done, "all tasks are done")
		return
	}
	for _, g := range j.groups {
		if !g.done && g.failures >= max(1, j.job.Terms.Attempts) {
			c.endJob(now, j, Failed, "a task has no attempt left")
			return
		}
	}
}

// endJob ends a job and whatever of it still runs.
func (c *Core) endJob(now time.Time, j *jobState, state State, why string) {
	j.state = state
	j.endedAt = now
	c.markDirty(j)
	c.tell(Event{Kind: EventJobEnded, Job: j.job.ID, Detail: stateNames[state] + ": " + why})
	if state == Done {
		return
	}
	for _, g := range j.groups {
		if g.placed() {
			c.abort(now, g)
		}
	}
}

var stateNames = map[State]string{
	Queued:    "queued",
	Active:    "running",
	Done:      "done",
	Failed:    "failed",
	Cancelled: "cancelled",
}

// String returns the state's name.
func (s State) String() string {
	return stateNames[s]
}
