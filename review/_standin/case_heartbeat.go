package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	judgedJobs     = 3
	judgedInterval = 4 * time.Second
	// judgedWatch is finish_s of the smallest deployment: the time after the traffic ends at which the jobs are asked for.
	judgedWatch = 14 * time.Second
)

// playHeartbeat sends one heartbeat of another writer to each sidecar. Its id ends with a newline, as a name does that
// was read from a file; its other fields are sound. Later small jobs are handed in. Without trouble nobody but the
// workers sends heartbeats.
func playHeartbeat(d *deployment, trouble bool) (broken bool, err error) {
	lectures := &client{record: d.record, system: d, key: lecturesKey}
	time.Sleep(calmBefore)
	if trouble {
		for _, w := range d.workers {
			d.foreignHeartbeat(w)
		}
	}
	time.Sleep(contact)
	var lost atomic.Int32
	var ids []string
	for range judgedJobs {
		id := newJobID()
		d.fleet.add(id, jobShape{cpu: 15000, mem: 39000, gpu: 1, length: 2500 * time.Millisecond})
		body := encode(object{"spec": "captions of a lecture", "steps": []object{{"count": 2, "cpu": 15000, "mem_mb": 39000, "gpu": 1, "est_ms": 2500}}})
		if acceptedAt, ok := lectures.submit(captions, id, body); ok {
			ids = append(ids, id)
			go d.watchIdle(id, acceptedAt, &lost)
		}
		time.Sleep(judgedInterval)
	}
	time.Sleep(judgedWatch)
	for _, id := range ids {
		d.record.say("check", "job %s: %d of 2 tasks begun, the service says %q", id, len(d.fleet.firstStarts(id)), lectures.state(captions, id))
	}
	if len(ids) < judgedJobs {
		return false, errNotAccepted
	}
	return lost.Load() > 0, nil
}

// foreignHeartbeat sends a heartbeat of another writer to the sidecar of a worker.
func (d *deployment) foreignHeartbeat(w *worker) {
	id := newID() + "%0A"
	body, _ := json.Marshal(object{
		"service": serviceName, "addr": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "capacity": object{"cpu": workerCPU, "mem_mb": workerMem, "gpu": workerGPU},
		"labels": []string{"a", w.rack}, "clock_ms": 1000, "seq": 1,
	})
	ctx, cancel := context.WithTimeout(d.stopping, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.control+"/Instances.Heartbeat/"+id, bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	status := 0
	if answer, err := http.DefaultClient.Do(request); err == nil {
		status = answer.StatusCode
		_ = answer.Body.Close()
	}
	d.record.say("platform", "a heartbeat of another writer, with the id %s, to the sidecar of %s -> %d", id, w.name, status)
}
