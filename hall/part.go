package hall

import (
	"time"

	"hollyfork.example/wire"
)

// States of a part, according to the holder's information.
const (
	partPreparing partState = iota
	partReserved
	// partStarting means that the agent has been asked to start the part, or may have been asked by an
	// earlier holder.
	partStarting
	partRunning
	// partEnded means that the part has run and no longer runs.
	partEnded
	// partNeverRan means that the part has not run and cannot start any more.
	partNeverRan
	// partLost means that the part's VM was replaced, or its agent was unreachable until its lease ended.
	// The part may have run and no longer runs.
	partLost
)

const callRetryInterval = 500 * time.Millisecond

type partState int

// part is the part of a job's attempt on one worker.
type part struct {
	worker string
	// machine identifies the VM and its boot at the time of the placement.
	machine string
	tasks   []*wire.TaskSpec
	state   partState
	// incarnation is the incarnation of the agent that was asked to reserve the part.
	incarnation string
	// firstReport is the number of the agent's first report that includes the part.
	firstReport uint64
	exitCode    int32
	completed   bool
	// ran is true if a task of the part was reported to have run.
	ran bool
	// leasesEndBy is when the leases that this holder gave to the part's tasks on a replaced or unknown VM end; zero if the
	// VM is the agent's.
	leasesEndBy time.Time
	// callPending is true while a call about the part awaits its reply; nextCallAt is the earliest time of
	// the next call.
	callPending bool
	nextCallAt  time.Time
}

// terminal reports whether the part does not run and cannot start any more.
func (p *part) terminal() bool {
	return p.state == partEnded || p.state == partNeverRan || p.state == partLost
}

func (j *job) part(worker string) *part {
	for _, p := range j.parts {
		if p.worker == worker {
			return p
		}
	}
	return nil
}

// allIn reports whether every part is in the state.
func (j *job) allIn(state partState) bool {
	for _, p := range j.parts {
		if p.state != state {
			return false
		}
	}
	return true
}

func (j *job) allTerminal() bool {
	for _, p := range j.parts {
		if !p.terminal() {
			return false
		}
	}
	return true
}

// anyLost reports whether any part is lost, so that its outcome is unknown.
func (j *job) anyLost() bool {
	for _, p := range j.parts {
		if p.state == partLost {
			return true
		}
	}
	return false
}

func (j *job) allCompleted() bool {
	for _, p := range j.parts {
		if p.state != partEnded || !p.completed {
			return false
		}
	}
	return true
}

// partsOf groups the tasks of a placement by worker.
func partsOf(placement []*wire.TaskPlacement) []*part {
	var parts []*part
	index := map[string]*part{}
	for i, place := range placement {
		p, ok := index[place.GetWorker()]
		if !ok {
			p = &part{worker: place.GetWorker(), machine: place.GetMachine()}
			index[place.GetWorker()] = p
			parts = append(parts, p)
		}
		p.tasks = append(p.tasks, &wire.TaskSpec{
			Index:            int32(i),
			FirstAccelerator: place.GetFirstAccelerator(),
			Accelerators:     place.GetAccelerators(),
		})
	}
	return parts
}
