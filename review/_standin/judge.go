package main

import (
	"errors"
	"sync/atomic"
	"time"
)

const (
	// contact is contact_ms of the smallest deployment: the time after a disruption from which all are in touch again.
	contact = 3 * time.Second
	// idleBound is how long a job may have nothing running while capacity for it is idle, and calmBefore the calm time
	// before that.
	idleBound  = 3 * time.Second
	calmBefore = 4 * time.Second
)

var (
	errNotAccepted = errors.New("a job was not accepted")
	errNotBegun    = errors.New("the jobs that come first did not begin in time")
	errNoWorker    = errors.New("no worker runs a task")
)

// awaitStarts waits until a number of a job's tasks have begun.
func (d *deployment) awaitStarts(id string, tasks int, within time.Duration) bool {
	deadline := time.Now().Add(within)
	for len(d.fleet.firstStarts(id)) < tasks {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return true
}

// watchIdle counts a job of which nothing runs for idleBound after calmBefore, while under half of the capacity is in
// use.
func (d *deployment) watchIdle(id string, acceptedAt time.Time, lost *atomic.Int32) {
	for time.Since(acceptedAt) < calmBefore+idleBound {
		time.Sleep(20 * time.Millisecond)
		if len(d.fleet.firstStarts(id)) > 0 || d.use() >= 0.5 || d.stopping.Err() != nil {
			return
		}
	}
	lost.Add(1)
	d.record.say("check", "LOST: nothing of the accepted job %s has run for %.1f s; %.0f%% of the hardware are in use", id, time.Since(acceptedAt).Seconds(), 100*d.use())
}

// running returns how many tasks of a job run.
func (d *deployment) running(id string) int {
	count := 0
	for _, w := range d.workers {
		count += w.count(id)
	}
	return count
}

// busiest returns the worker that runs the most tasks; nil if none runs any.
func (d *deployment) busiest() *worker {
	var best *worker
	most := 0
	for _, w := range d.workers {
		if n := w.count(""); n > most {
			best, most = w, n
		}
	}
	return best
}
