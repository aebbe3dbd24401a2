package pool

import (
	"time"

	"hollyfork.example/hollyfork/job"
)

// Kinds of events.
const (
	EventPlaced        EventKind = "placed"
	EventStarted       EventKind = "started"
	EventStartRejected EventKind = "start rejected"
	EventRunEnded      EventKind = "run ended"
	EventRunLost       EventKind = "run lost"
	EventPreempted     EventKind = "displaced"
	EventStalled       EventKind = "stalled"
	// EventMovedOffLeaving means that a run is restarted elsewhere because its worker leaves before the
	// run would end.
	EventMovedOffLeaving EventKind = "moved off a leaving worker"
	EventJobEnded        EventKind = "job ended"
	EventQuarantined     EventKind = "worker set aside"
	EventQuarantineEnded EventKind = "worker back"
	// EventProbation means that a worker's quarantine is over, and it is on probation. EventProven
	// means that a worker on probation completed a run.
	EventProbation EventKind = "worker on trial"
	EventProven    EventKind = "worker proven"
	// EventWaiting gives the reason why a job has no placement.
	EventWaiting EventKind = "job waits"
	// EventServiceLevel means that the service level of a queue has changed.
	EventServiceLevel  EventKind = "queue's service"
	EventOrphanStopped EventKind = "stray run stopped"
	// EventInstance means that a worker reported a new instance. EventRevoked means that a run is
	// stopped on a worker's new instance because that instance may carry out a start meant for the
	// ended one.
	EventInstance EventKind = "worker instance"
	EventRevoked  EventKind = "run recalled"
	// EventCapacity means that the capacity that a worker reports has changed.
	EventCapacity EventKind = "worker room"
	// EventCrashed means that a worker's process ended without announcing it; the detail names its
	// runs.
	EventCrashed      EventKind = "worker crashed"
	EventAgentRemoved EventKind = "agent forgotten"
	// EventEvacuated and EventEvacuationEnded name the data centre in the detail.
	EventEvacuated       EventKind = "data centre evacuated"
	EventEvacuationEnded EventKind = "data centre taken back"
)

type (
	// EventKind is the kind of an event.
	EventKind string

	// Event is a decision, or a change of the pool's state.
	Event struct {
		Kind EventKind
		Job  job.ID
		// Task is the task that the event is about, or the first one of its group; zero if the event is about the
		// whole job or none.
		Task   job.TaskID
		Run    int
		Worker string
		// Detail gives the reason for the event or its inputs.
		Detail string
		// Contact is set for a lost run.
		Contact *Contact
	}

	// Contact is what the pool knew of a worker and its agent when it considered a run as lost.
	Contact struct {
		// Incarnation is the agent's last known incarnation.
		Incarnation string
		// SinceReply and SinceListing are the times since the agent's last reply and since its last listing; negative if
		// there was none.
		SinceReply   time.Duration
		SinceListing time.Duration
		// LeaseRemaining is the time after which all leases of the worker have ended if its agent stays silent.
		LeaseRemaining time.Duration
	}

	// Observer receives events. It must not block.
	Observer func(Event)
)
