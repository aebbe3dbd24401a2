package main

import (
	"fmt"
	"time"
)

const (
	// policyRepeats, policyInterval and policyWork are the times of the job of the case.
	policyRepeats  = 4
	policyInterval = 3 * time.Second
	policyWork     = 2 * time.Second
)

// newPolicy is the policy that the queue gets.
var newPolicy = policy{decide: 20 * time.Millisecond, each: 2 * time.Millisecond, valid: 10 * time.Second}

// playNewPolicy submits a job with times, and changes the configuration of its queue between two of them. The
// disruption is what changes: the queue gets a policy; without it, its goal_ms changes.
func playNewPolicy(p *play) []string {
	p.addSite("rec-pipeline", 4)
	p.configure(7, []string{"rec-pipeline"}, route("rec-pipeline", 3000))
	p.awaitReady()
	time.Sleep(3 * time.Second)
	c := newCaller(p.rec, queueHost, apiKey)
	need := shape{CPU: 15000, MemMB: 39000, GPU: 1}
	first := time.Now().Add(500 * time.Millisecond)
	body := jobBody{
		Spec:    specOf(need, policyWork),
		Steps:   []step{{Count: 2, CPU: need.CPU, MemMB: need.MemMB, GPU: need.GPU, EstMs: policyWork.Milliseconds()}},
		Repeats: policyRepeats, FirstMs: first.UnixMilli(), IntervalMs: policyInterval.Milliseconds(),
	}
	before := &waitedJob{id: newJobID(), tasks: 2 * policyRepeats, need: need, repeats: policyRepeats, interval: policyInterval, dueAt: first}
	if status, _ := c.call("POST", p.fronts[0], queuePath+before.id, body); status/100 != 2 {
		panic(fmt.Sprintf("the job was not accepted: %d", status))
	}
	time.Sleep(time.Until(first.Add(2500 * time.Millisecond)))
	changed := route("rec-pipeline", 4000)
	if p.trouble {
		changed["advice"] = newPolicy.config()
	}
	p.configure(9, []string{"rec-pipeline"}, changed)
	time.Sleep(configTime)
	if p.trouble {
		p.advice.putInForce(newPolicy)
	}
	after := &waitedJob{id: newJobID(), tasks: 2, need: need, dueAt: time.Now()}
	body.Repeats, body.FirstMs, body.IntervalMs = 0, 0, 0
	if status, _ := c.call("POST", p.fronts[0], queuePath+after.id, body); status/100 != 2 {
		panic(fmt.Sprintf("the job was not accepted: %d", status))
	}
	var violations []string
	for began := time.Now(); time.Since(began) < 25*time.Second; time.Sleep(100 * time.Millisecond) {
		violations = append(violations, p.judgeIdle([]*waitedJob{before, after})...)
	}
	for _, j := range []*waitedJob{before, after} {
		status, answer := c.call("GET", p.fronts[1], queuePath+j.id, nil)
		_, done, starts := p.runs.ofJob(j.id)
		p.rec.log("job %s: %d tasks, %d ended done, %d starts; GET %d %s", j.id, j.tasks, done, starts, status, answer)
	}
	return append(violations, p.runs.found()...)
}
