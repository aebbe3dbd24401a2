package main

import "time"

const (
	// reclaimWithin is reclaim_ms of the smallest deployment.
	reclaimWithin = 2900 * time.Millisecond
	// submitInterval is the mean time between two jobs of caption-gen on the sheet, 0.464 a second.
	submitInterval = 2150 * time.Millisecond
	// reclaimWatch is how long the judged job is watched.
	reclaimWatch = 25 * time.Second
)

// playGuarantee lets one tenant fill the hardware with jobs of priority 0, far beyond its guarantee, and then hands in a
// job of priority 0 of another tenant within its guarantee. Without trouble the first tenant leaves the other's
// guarantee idle.
func playGuarantee(d *deployment, trouble bool) (broken bool, err error) {
	library := &client{record: d.record, system: d, key: libraryKey}
	lectures := &client{record: d.record, system: d, key: lecturesKey}
	jobs := workerCount
	if !trouble {
		jobs -= lecturesGuaranteed / workerGPU
	}
	var filling []string
	for range jobs {
		id := newJobID()
		filling = append(filling, id)
		d.fleet.add(id, jobShape{cpu: 15000, mem: 16000, gpu: 1, lasts: true})
		body := encode(object{"spec": "serve captions", "steps": []object{{"count": workerGPU, "cpu": 15000, "mem_mb": 16000, "gpu": 1, "est_ms": 60000, "long_running": true}}})
		if _, ok := library.submit(captions, id, body); !ok {
			return false, errNotAccepted
		}
		time.Sleep(submitInterval)
	}
	for _, id := range filling {
		if !d.awaitStarts(id, workerGPU, 10*time.Second) {
			return false, errNotBegun
		}
	}
	time.Sleep(contact)
	d.record.say("check", "library uses %d GPUs, of which %d are guaranteed to it; %.0f%% of the hardware are in use", jobs*workerGPU, libraryGuaranteed, 100*d.use())

	const tasks = 8
	id := newJobID()
	d.fleet.add(id, jobShape{cpu: 15000, mem: 16000, gpu: 1, length: 2500 * time.Millisecond})
	body := encode(object{"spec": "captions of a lecture", "steps": []object{{"count": tasks, "cpu": 15000, "mem_mb": 16000, "gpu": 1, "est_ms": 2500}}})
	acceptedAt, ok := lectures.submit(captions, id, body)
	if !ok {
		return false, errNotAccepted
	}
	d.record.say("check", "lectures' only job %s needs %d GPUs of its %d guaranteed ones and is accepted", id, tasks, lecturesGuaranteed)
	for time.Since(acceptedAt) < reclaimWatch {
		time.Sleep(100 * time.Millisecond)
		if len(d.fleet.firstStarts(id)) == tasks {
			break
		}
		if time.Since(acceptedAt) > reclaimWithin && !broken {
			broken = true
			d.record.say("check", "RECLAIM: %d of %d tasks have begun %d ms after the acknowledgement", len(d.fleet.firstStarts(id)), tasks, reclaimWithin.Milliseconds())
		}
	}
	begun := d.fleet.firstStarts(id)
	last := time.Time{}
	for _, at := range begun {
		if at.After(last) {
			last = at
		}
	}
	if len(begun) < tasks {
		d.record.say("check", "%d of %d tasks have begun after %s; the service says that the job is %q", len(begun), tasks, time.Since(acceptedAt).Round(time.Second), lectures.state(captions, id))
		return true, nil
	}
	d.record.say("check", "all %d tasks began within %d ms of the acknowledgement", tasks, last.Sub(acceptedAt).Milliseconds())
	return last.Sub(acceptedAt) > reclaimWithin, nil
}
