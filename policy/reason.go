package policy

import (
	"fmt"
	"time"
)

// Reason explains why a job is not running. It is a NeverFits, WaitingForCapacity, Preempting,
// QueuedBehind or BackingOff.
type Reason interface {
	fmt.Stringer

	reason()
}

// NeverFits means that the hall could not run the job even if it were empty.
type NeverFits struct {
	// Detail describes the requirement that cannot be met.
	Detail string
}

// WaitingForCapacity means that there are too few free cells or slots.
type WaitingForCapacity struct {
	// Accelerators is the size of the cell for each task, or 0 for CPU slots.
	Accelerators int
	// Needed and Free are numbers of such cells.
	Needed int
	Free   int
	// Adjacency is the adjacency constraint of the job.
	Adjacency Adjacency
	// Guaranteed reports whether the guarantee of the workspace is large enough for the job.
	Guaranteed bool
	// HeldBy lists the workspaces that hold the most accelerators, the largest first.
	HeldBy []WorkspaceUsage
	// FreeAt is the estimated time at which enough cells are free, or the zero time if there is no
	// estimate.
	FreeAt time.Time
}

// WorkspaceUsage is the number of accelerators that the jobs of a workspace hold.
type WorkspaceUsage struct {
	Workspace    string
	Accelerators int
}

// Preempting means that cells are claimed for the job and that it waits for the preempted jobs on them
// to stop.
type Preempting struct {
	// Victims is the number of jobs that have to stop.
	Victims int
}

// QueuedBehind means that the job has not been tried yet because others of its kind go first.
type QueuedBehind struct {
	// Ahead is the number of jobs of the same kind before it.
	Ahead int
}

// BackingOff means that the job could not be started and will be tried again after a delay.
type BackingOff struct {
	Failures int
}

func (NeverFits) reason()          {}
func (WaitingForCapacity) reason() {}
func (Preempting) reason()         {}
func (QueuedBehind) reason()       {}
func (BackingOff) reason()         {}

// String returns the reason as a sentence for operators.
func (r NeverFits) String() string {
	return "This hall can never run the job: " + r.Detail + "."
}

// String returns the reason as a sentence for operators.
func (r WaitingForCapacity) String() string {
	what := fmt.Sprintf("cells of %d adjacent accelerators", r.Accelerators)
	if r.Accelerators == 0 {
		what = "slots"
	}
	where := [...]string{"the hall", "one rack", "one worker"}[r.Adjacency]
	text := fmt.Sprintf("Waits for %d %s in %s; %d in the hall are free.", r.Needed, what, where, r.Free)
	if r.Guaranteed {
		text += " They are within the workspace's guarantee."
	}
	for i, held := range r.HeldBy {
		lead := ", "
		if i == 0 {
			lead = " Held: "
		}
		text += fmt.Sprintf("%s%d by %s", lead, held.Accelerators, held.Workspace)
	}
	if len(r.HeldBy) > 0 {
		text += "."
	}
	if !r.FreeAt.IsZero() {
		text += " Likely until " + r.FreeAt.UTC().Format(time.RFC3339) + "."
	}
	return text
}

// String returns the reason as a sentence for operators.
func (r Preempting) String() string {
	return fmt.Sprintf("Has its cells; waits for %d displaced jobs to leave them.", r.Victims)
}

// String returns the reason as a sentence for operators.
func (r QueuedBehind) String() string {
	return fmt.Sprintf("Waits behind %d jobs of its kind.", r.Ahead)
}

// String returns the reason as a sentence for operators.
func (r BackingOff) String() string {
	return fmt.Sprintf("Could not be started %d times; waits before the next attempt.", r.Failures)
}
