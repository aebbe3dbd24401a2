package pool

import (
	"time"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/hollyfork/job"
)

// Ways in which a run ends.
const (
	EndUnknown EndKind = iota
	EndDone
	// EndFailed means that the run failed, through a fault of the task or the worker.
	EndFailed
	EndStopped
	// EndLapsed means that the worker's lease lapsed.
	EndLapsed
	// EndGangBroken means that another task of the gang ended.
	EndGangBroken
	// EndGangIncomplete means that not all tasks of the gang started in time.
	EndGangIncomplete
)

// Outcomes of an order.
const (
	// ResultUnknown means that the order may or may not have been carried out.
	ResultUnknown Result = iota
	ResultOK
	// ResultNoCapacity means that the worker has too little free capacity for the task.
	ResultNoCapacity
	// ResultOldRun means that this run or a later one has already ended on the worker.
	ResultOldRun
	// ResultLate means that the lease had ended.
	ResultLate
	// ResultFenced means that the worker or agent has seen a later epoch than the one of the sender.
	ResultFenced
	// ResultOtherInstance means that the worker's current instance is not the one that the order names.
	ResultOtherInstance
	// ResultRefused means that the worker did nothing because it is unhealthy.
	ResultRefused
	// ResultDraining means that the worker accepts no new work.
	ResultDraining
	// ResultInvalid means that the worker could not interpret the order.
	ResultInvalid
	// ResultTicketRejected means that the ticket of the advice service does not allow the worker to run
	// the task, or no longer does.
	ResultTicketRejected
)

// Ways in which an agent learns that all runs on its worker have ended.
const (
	// LapseUnknown means that the agent does not distinguish the cases.
	LapseUnknown Lapse = iota
	// LapseCrashed means that the worker's process ended without announcing it.
	LapseCrashed
	// LapseLeft means that the worker's process ended as it had announced.
	LapseLeft
	// LapseSilent means that the worker did not answer until its lease had ended. Its process may still
	// be alive.
	LapseSilent
)

type (
	// Lapse is the way in which an agent learned that all runs on its worker have ended.
	Lapse int

	// EndKind is the way in which a run ended.
	EndKind int

	// Result is the outcome of an order.
	Result int

	// Running is a run that a worker lists as running.
	Running struct {
		Task job.TaskID
		Run  int
		// Saved is the last saved progress token; empty for none.
		Saved string
		// Percent is the completed share of the work.
		Percent int
	}

	// Ended is an ended run in a worker's list of ends.
	Ended struct {
		// Number is the position in the worker's list, starting at 1.
		Number uint64
		Task   job.TaskID
		Run    int
		Kind   EndKind
		Saved  string
	}

	// Report is the state of a worker as its agent reports it.
	Report struct {
		// Incarnation identifies the agent's process.
		Incarnation string
		// Instance is the worker's instance; zero if the agent does not know it.
		Instance instance.ID
		Draining bool
		// Remaining is the minimum time that a draining worker stays; 0 if it has not announced one.
		Remaining time.Duration
		// NotReady reports that the agent rejects starts because it has not yet determined the worker's
		// current instance or that instance's last state.
		NotReady bool
		Capacity job.Shape
		Labels   []string
		Rack     string
		// DataCentre is the worker's data centre; empty if it is not known.
		DataCentre string
		// Listing counts the agent's listings of its worker's runs; 0 before the first.
		Listing uint64
		Running []Running
		Ended   []Ended
		// Lapsed reports that all runs on the worker have certainly ended although the worker did not
		// report their ends. Lapse is how the agent learned it.
		Lapsed bool
		Lapse  Lapse
	}

	// Start is an order to start one task.
	Start struct {
		Task  job.TaskID
		Run   int
		Spec  string
		Saved string
		// Ticket is the advice service's ticket for the worker; empty for a queue without an advice
		// policy.
		Ticket string
	}

	// Stop is an order to stop a run, or to refuse its start if that arrives later.
	Stop struct {
		Task job.TaskID
		Run  int
	}

	// Grant is the last reading of an agent's own clock that the holder has received. An order may be
	// carried out for the duration of a lease after that reading. So no order can be carried out after
	// the time at which the holder counts a silent agent's runs as lost.
	Grant struct {
		// Incarnation identifies the agent's process.
		Incarnation string
		// Reading is the time since the agent's process started.
		Reading time.Duration
	}

	// Orders are the orders for one instance of a worker.
	Orders struct {
		Agent    string
		Instance instance.ID
		// Capacity is the worker's capacity on which the placement of the starts is based.
		Capacity job.Shape
		Grant    Grant
		// StartsFor is how long after the grant's reading the starts may be carried out.
		StartsFor time.Duration
		Starts    []Start
		Stops     []Stop
	}

	// Results are the outcomes of Orders, in the same order. Listings with a number above Listing were
	// made after the orders were carried out.
	Results struct {
		// Incarnation identifies the agent's process that answered; empty if the agent does not tell.
		Incarnation string
		Listing     uint64
		Starts      []Result
		Stops       []Result
	}
)
