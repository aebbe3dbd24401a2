package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

const (
	// wideTasks is the largest number of tasks that the gateways accept in a job.
	wideTasks = 1000
	wideCPU   = 250
	wideMem   = 64
	// wideLength exceeds the case.
	wideLength = 10 * time.Minute
	// crashedFor is how long the worker that crashes is away: below the 4.5 s of the site file.
	crashedFor = 2 * time.Second

	probeCount    = 6
	probeInterval = 4 * time.Second
	// probeWatch is how long the last judged job is watched.
	probeWatch = 12 * time.Second
)

// playWide hands in a job of many small tasks, crashes one of the workers that run them, and then hands in small jobs
// of another tenant. Without trouble no worker crashes.
func playWide(d *deployment, trouble bool) (broken bool, err error) {
	library := &client{record: d.record, system: d, key: libraryKey}
	lectures := &client{record: d.record, system: d, key: lecturesKey}
	wide := newJobID()
	d.fleet.add(wide, jobShape{cpu: wideCPU, mem: wideMem, length: wideLength})
	body := encode(object{
		"spec":  "refresh thumbnails",
		"steps": []object{{"count": wideTasks, "cpu": wideCPU, "mem_mb": wideMem, "est_ms": wideLength.Milliseconds()}},
	})
	if _, ok := library.submit(thumbnails, wide, body); !ok {
		return false, errNotAccepted
	}
	if !d.awaitStarts(wide, wideTasks, 20*time.Second) {
		return false, errNotBegun
	}
	time.Sleep(contact)
	d.record.say("check", "all %d tasks of library's job run; %.0f%% of the hardware are in use", d.running(wide), 100*d.use())
	if trouble {
		w := d.busiest()
		if w == nil {
			return false, errNoWorker
		}
		w.crash(crashedFor)
	}
	time.Sleep(crashedFor + contact)

	var lost atomic.Int32
	var probes []string
	for n := range probeCount {
		id := newJobID()
		d.fleet.add(id, jobShape{cpu: 15000, mem: 39000, gpu: 1, length: 2500 * time.Millisecond})
		body := encode(object{"spec": fmt.Sprintf("captions of lecture %d", n), "steps": []object{{"count": 1, "cpu": 15000, "mem_mb": 39000, "gpu": 1, "est_ms": 2500}}})
		if acceptedAt, ok := lectures.submit(captions, id, body); ok {
			probes = append(probes, id)
			go d.watchIdle(id, acceptedAt, &lost)
		}
		time.Sleep(probeInterval)
	}
	time.Sleep(probeWatch)
	begun := 0
	for _, id := range probes {
		if len(d.fleet.firstStarts(id)) > 0 {
			begun++
		}
		d.record.say("check", "job %s: %d tasks begun, the service says %q", id, len(d.fleet.firstStarts(id)), lectures.state(captions, id))
	}
	d.record.say("check", "%d of %d accepted jobs of lectures have begun; the service says that library's job is %q; the store has refused %d transactions",
		begun, len(probes), library.state(thumbnails, wide), d.store.refusedCount())
	return lost.Load() > 0, nil
}
