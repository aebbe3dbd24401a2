package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// lateLoss is how long the store loses answers, and lateDelay how much later it carries out the writes. The limits on
	// the users' pages are 4.5 s and 6 s, and a share of 0.35 of the writes.
	lateLoss  = 4500 * time.Millisecond
	lateDelay = 5500 * time.Millisecond
	lossShare = 0.35
	// lateWork is the work of the job's tasks.
	lateWork = 30 * time.Second
	// cancelTime, stopTimeLimit and contactTime are cancel_ms, stop_ms and contact_ms.
	cancelTime    = 3 * time.Second
	stopTimeLimit = 400 * time.Millisecond
	contactTime   = 3 * time.Second
)

// playLateAccept submits a job and cancels it. The disruption is the loss of the answers to the writes of the job's row,
// which the store carries out later. Rule UNASKED is judged long after.
func playLateAccept(p *play) []string {
	p.addSite("rec-pipeline", 4)
	p.configure(7, []string{"rec-pipeline"}, route("rec-pipeline", 3000))
	p.awaitReady()
	time.Sleep(3 * time.Second)
	c := newCaller(p.rec, queueHost, apiKey)
	need := shape{CPU: 15000, MemMB: 39000, GPU: 1}
	id := newJobID()
	if p.trouble {
		p.rec.log("store: for %s, transactions on the job's row get no answer and are carried out %s later", lateLoss, lateDelay)
		p.store.loseAnswers("job/"+id+"/spec", lateLoss, lateDelay)
	}
	began := time.Now()
	c.call("POST", p.fronts[0], queuePath+id, jobBody{
		Spec: specOf(need, lateWork), Steps: []step{{Count: 2, CPU: need.CPU, MemMB: need.MemMB, GPU: need.GPU, EstMs: lateWork.Milliseconds()}},
	})
	status, _ := c.call("DELETE", p.fronts[0], queuePath+id, nil)
	cancelledAt := time.Now()
	if status/100 != 2 && status != http.StatusGone {
		panic(fmt.Sprintf("the cancelling was not acknowledged: %d", status))
	}
	time.Sleep(time.Until(began.Add(lateLoss)))
	if lost, all := p.store.lossCounts(); p.trouble {
		p.rec.log("store: %d of %d transactions in %s got no answer", lost, all, lateLoss)
		if float64(lost) > lossShare*float64(all) {
			panic("the share of lost answers is over the limit")
		}
	}
	var violations []string
	calmFrom := began.Add(lateLoss + lateDelay + contactTime)
	for time.Since(began) < 20*time.Second {
		time.Sleep(100 * time.Millisecond)
		running, _, _ := p.runs.ofJob(id)
		late := time.Since(cancelledAt)
		if len(violations) == 0 && running > 0 && late > cancelTime+stopTimeLimit && time.Now().After(calmFrom) {
			violations = append(violations, fmt.Sprintf("UNASKED: %d tasks of job %s run %s after its cancelling was acknowledged with %d, without a disruption near", running, id, late.Round(time.Millisecond), status))
		}
	}
	c.call("GET", p.fronts[1], queuePath+id, nil)
	return append(violations, p.runs.found()...)
}
