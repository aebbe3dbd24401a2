package main

import (
	"fmt"
	"time"
)

const (
	// crashCount is how often the rack crashes, crashInterval the time between two crashes and crashDown how long its
	// workers are down.
	crashCount    = 5
	crashInterval = 6 * time.Second
	crashDown     = 2 * time.Second
	// crashWork is the mean work of a task of lecture-transcode.
	crashWork = 8500 * time.Millisecond
)

// playRackCrashes submits a job whose tasks need a label that the workers of one rack have. The disruption is a series of
// crashes of all workers of that rack. Rule LOST is judged by the state that the service shows.
func playRackCrashes(p *play) []string {
	p.addSite("rec-pipeline", 11)
	p.configure(7, []string{"rec-pipeline"}, route("rec-pipeline", 3000))
	p.awaitReady()
	time.Sleep(3 * time.Second)
	c := newCaller(p.rec, queueHost, apiKey)
	need := shape{CPU: 52000, MemMB: 110000, GPU: 2}
	rack := p.workers[0].rack
	id := newJobID()
	status, _ := c.call("POST", p.fronts[0], queuePath+id, jobBody{
		Spec:  specOf(need, crashWork),
		Steps: []step{{Count: 2, CPU: need.CPU, MemMB: need.MemMB, GPU: need.GPU, EstMs: crashWork.Milliseconds(), Label: rack}},
	})
	if status/100 != 2 {
		panic(fmt.Sprintf("the job was not accepted: %d", status))
	}
	began := time.Now()
	for n := range crashCount {
		time.Sleep(time.Until(began.Add(4*time.Second + time.Duration(n)*crashInterval)))
		for _, w := range p.workers {
			if p.trouble && w.rack == rack {
				w.crash(crashDown)
			}
		}
		c.call("GET", p.fronts[1], queuePath+id, nil)
	}
	var violations []string
	last := ""
	for range 12 {
		time.Sleep(2 * time.Second)
		_, answer := c.call("GET", p.fronts[1], queuePath+id, nil)
		last = state(answer)
	}
	if failed := p.runs.failedOf(id); last == "failed" && failed == 0 {
		_, done, starts := p.runs.ofJob(id)
		violations = append(violations, fmt.Sprintf("LOST: the service shows job %s as failed without cause: %d starts, %d ended done, none ended failed", id, starts, done))
	}
	return append(violations, p.runs.found()...)
}
