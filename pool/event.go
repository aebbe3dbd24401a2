package pool

import "hollyfork.example/hollyfork/job"

// Events that are told to an Observer.
const (
	EventPlaced    EventKind = "placed"
	EventStarted   EventKind = "started"
	EventRejected  EventKind = "start rejected"
	EventEnded     EventKind = "run ended"
	EventLost      EventKind = "run lost"
	EventDisplaced EventKind = "displaced"
	EventStalled   EventKind = "stalled"
	// EventLeaving tells that a run is started elsewhere since a worker leaves before it would end.
	EventLeaving  EventKind = "moved off a leaving worker"
	EventJobEnded EventKind = "job ended"
	EventAside    EventKind = "worker set aside"
	EventBack     EventKind = "worker back"
	// EventTrial and EventProven tell that a worker which was set aside is tried, and that a run
	// was done there.
	EventTrial  EventKind = "worker on trial"
	EventProven EventKind = "worker proven"
	// EventWaiting tells why nothing of a job is placed.
	EventWaiting EventKind = "job waits"
	// EventService tells how a queue is served, once that has changed.
	EventService EventKind = "queue's service"
	EventStray   EventKind = "stray run stopped"
	// EventWorker tells that a worker is another instance, EventRecalled that a run is stopped there whose start
	// may have been meant for the one before.
	EventWorker   EventKind = "worker instance"
	EventRecalled EventKind = "run recalled"
	// EventRoom tells that a worker has more or less room than before.
	EventRoom EventKind = "worker room"
	// EventCrashed tells what ran on a worker whose process ended without saying so.
	EventCrashed   EventKind = "worker crashed"
	EventForgotten EventKind = "agent forgotten"
	// EventEvacuated and EventTakenBack tell of a data centre, in the detail.
	EventEvacuated EventKind = "data centre evacuated"
	EventTakenBack EventKind = "data centre taken back"
)

type (
	// EventKind names what happened.
	EventKind string

	// Event is a decision, or a change of what the pool believes.
	Event struct {
		Kind EventKind
		Job  job.ID
		Step int
		// First is the index of the group's first task.
		First  int
		Run    int
		Worker string
		// Detail gives the reason or the inputs.
		Detail string
	}

	// Observer is told of events. It must not block.
	Observer func(Event)
)
