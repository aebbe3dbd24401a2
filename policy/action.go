package policy

// Outcomes of a run.
const (
	// Completed means that the run succeeded.
	Completed OutcomeKind = iota + 1
	// Failed means that the run failed by itself.
	Failed
	// Stopped means that the run was cancelled, or was lost through no fault of the job.
	Stopped
)

// Action is an instruction to the caller of Decide: Place, Preempt or Refuse.
type Action interface {
	action()
}

// Place starts a job on cells that are booked for it. The caller reports the result with Started,
// StartFailed or Ended.
type Place struct {
	Job   string
	Cells []Cell
	// Borrowed reports whether the job runs on capacity beyond its workspace's guarantee and may be
	// preempted.
	Borrowed bool
}

// Preempt stops a running job to free its cells for another job. The caller reports the result with
// Requeue, or with Ended if the job ended before it could be stopped.
type Preempt struct {
	Job string
	// Preemptor is the ID of the job that gets the cells.
	Preemptor string
	// Checkpoint reports whether the job can save a checkpoint before it stops.
	Checkpoint bool
}

// Refuse ends a job that can never run in this hall.
type Refuse struct {
	Job    string
	Reason Reason
}

func (Place) action()   {}
func (Preempt) action() {}
func (Refuse) action()  {}

// OutcomeKind classifies the end of a run.
type OutcomeKind int

// Outcome describes the end of a run.
type Outcome struct {
	Kind OutcomeKind
	// Worker is the worker on which a Failed run failed.
	Worker string
}
