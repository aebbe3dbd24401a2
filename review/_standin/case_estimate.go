package main

import "time"

const (
	// estimateWatch is how long the judged job is watched.
	estimateWatch = 30 * time.Second
	estimateTasks = 2

	longEstimate  = 30 * 24 * time.Hour
	shortEstimate = 24 * time.Hour
)

// playEstimate hands in a job whose tasks last until it is cancelled, with a guess of 30 days for their time. Without
// trouble the guess is a day. Nothing else runs.
func playEstimate(d *deployment, trouble bool) (broken bool, err error) {
	lectures := &client{record: d.record, system: d, key: lecturesKey}
	time.Sleep(calmBefore)
	estimate := shortEstimate
	if trouble {
		estimate = longEstimate
	}
	id := newJobID()
	d.fleet.add(id, jobShape{cpu: 15000, mem: 39000, gpu: 1, lasts: true})
	body := encode(object{"spec": "live captions of the term", "steps": []object{{"count": estimateTasks, "cpu": 15000, "mem_mb": 39000, "gpu": 1, "est_ms": estimate.Milliseconds(), "long_running": true}}})
	acceptedAt, ok := lectures.submit(captions, id, body)
	if !ok {
		return false, errNotAccepted
	}
	d.record.say("check", "job %s with est_ms %d is accepted; %.0f%% of the hardware are in use", id, estimate.Milliseconds(), 100*d.use())
	for time.Since(acceptedAt) < estimateWatch {
		time.Sleep(100 * time.Millisecond)
		if len(d.fleet.firstStarts(id)) == 0 && time.Since(acceptedAt) > idleBound && !broken {
			broken = true
			d.record.say("check", "LOST: nothing of it has run %.1f s after the acknowledgement; %.0f%% of the hardware are in use", time.Since(acceptedAt).Seconds(), 100*d.use())
		}
	}
	d.record.say("check", "%d of %d tasks have begun after %s; the service says that the job is %q, and that %s jobs of the queue wait",
		len(d.fleet.firstStarts(id)), estimateTasks, time.Since(acceptedAt).Round(time.Second), lectures.state(captions, id), lectures.pending(captions))
	return broken, nil
}
