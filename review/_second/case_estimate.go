package main

import (
	"fmt"
	"time"
)

// playLongEstimate submits a lasting job. Its tasks' estimate is that of a month instead of a day.
func playLongEstimate(p *play) []string {
	p.addSite("rec-pipeline", 4)
	p.configure(7, []string{"rec-pipeline"}, route("rec-pipeline", 3000))
	p.awaitReady()
	time.Sleep(3 * time.Second)
	c := newCaller(p.rec, queueHost, apiKey)
	need := shape{CPU: 15000, MemMB: 39000, GPU: 1}
	estimate := 24 * time.Hour
	if p.trouble {
		estimate *= 30
	}
	j := &waitedJob{id: newJobID(), tasks: 2, need: need, dueAt: time.Now()}
	status, _ := c.call("POST", p.fronts[0], queuePath+j.id, jobBody{
		Spec:  specOf(need, time.Hour),
		Steps: []step{{Count: 2, CPU: need.CPU, MemMB: need.MemMB, GPU: need.GPU, EstMs: estimate.Milliseconds(), Lasting: true}},
	})
	if status/100 != 2 {
		panic(fmt.Sprintf("the job was not accepted: %d", status))
	}
	var violations []string
	for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(100 * time.Millisecond) {
		violations = append(violations, p.judgeIdle([]*waitedJob{j})...)
	}
	c.call("GET", p.fronts[1], queuePath+j.id, nil)
	return violations
}
