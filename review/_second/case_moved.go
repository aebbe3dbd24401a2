package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// movedWork is the work of the job of the case: it still runs when the configuration has changed.
	movedWork = 20 * time.Second
	// configTime is config_ms, within which a configuration is in force.
	configTime = 2 * time.Second
	// visibleTime is visible_ms.
	visibleTime = 3 * time.Second
)

// playMovedQueue submits a job and changes the configuration while it runs. The disruption is what changes: the service
// of the queue; without it, its goal_ms changes. Then the caller asks for the state, and sends the same job again.
func playMovedQueue(p *play) []string {
	services := []string{"rec-pipeline", "triage-hub"}
	for _, zone := range zones {
		p.addGateway(zone)
	}
	for n, service := range []string{services[0], services[0], services[1], services[1]} {
		p.addWorker(service, zones[n%len(zones)], fmt.Sprintf("r%d-1", n%len(zones)+1), shape{CPU: 128000, MemMB: 262144, GPU: 8})
	}
	p.configure(7, services, route(services[0], 3000))
	p.awaitReady()
	time.Sleep(3 * time.Second)
	c := newCaller(p.rec, queueHost, apiKey)
	need := shape{CPU: 15000, MemMB: 39000, GPU: 1}
	body := jobBody{Spec: specOf(need, movedWork), Steps: []step{{Count: 3, CPU: need.CPU, MemMB: need.MemMB, GPU: need.GPU, EstMs: movedWork.Milliseconds()}}}
	id := newJobID()
	status, _ := c.call("POST", p.fronts[0], queuePath+id, body)
	if status/100 != 2 {
		panic(fmt.Sprintf("the job was not accepted: %d", status))
	}
	acceptedAt := time.Now()
	time.Sleep(visibleTime)
	if status, answer := c.call("GET", p.fronts[1], queuePath+id, nil); status != http.StatusOK || state(answer) != "running" {
		panic("the job doesn't run before the change")
	}
	if p.trouble {
		p.configure(9, services, route(services[1], 3000))
	} else {
		p.configure(9, services, route(services[0], 4000))
	}
	time.Sleep(configTime + time.Second)
	var violations []string
	for _, front := range p.fronts {
		status, _ := c.call("GET", front, queuePath+id, nil)
		if status == http.StatusGone && time.Since(acceptedAt) > visibleTime {
			violations = append(violations, fmt.Sprintf("LOST: %s answers 410 to a GET for the accepted job %s, which nobody has cancelled", front, id))
		}
	}
	c.call("POST", p.fronts[2], queuePath+id, body)
	time.Sleep(movedWork + 5*time.Second)
	status, answer := c.call("GET", p.fronts[0], queuePath+id, nil)
	_, done, starts := p.runs.ofJob(id)
	p.rec.log("job %s: 3 tasks, %d ended done, %d starts; GET %d %s", id, done, starts, status, answer)
	return append(violations, p.runs.found()...)
}
