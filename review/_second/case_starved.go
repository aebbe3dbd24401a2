package main

import (
	"fmt"
	"time"
)

const (
	// crowdRate is how many jobs a second come at first, and crowdTime how long. One in impossibleEvery can never be done.
	crowdRate       = 8
	crowdTime       = 78 * time.Second
	impossibleEvery = 20
	// lastJobs come after that, one each second. They are judged.
	lastJobs = 6
	// lastWatch is how long the last jobs are watched.
	lastWatch = 18 * time.Second
	// shortWork is the work of a task.
	shortWork = 500 * time.Millisecond
)

// starvedPolicy makes a call for all eleven workers take 0.1 s.
var starvedPolicy = policy{decide: 34 * time.Millisecond, each: 6 * time.Millisecond, valid: 3 * time.Second}

// playStarvedQueue submits jobs to a queue with a policy. The disruption is that some of them can never be done: a gang
// of one more task than there are workers, each of a whole worker's accelerators. Rule LOST is judged on the last jobs,
// when no other comes any more.
func playStarvedQueue(p *play) []string {
	p.addSite("rec-pipeline", 11)
	queue := route("rec-pipeline", 3000)
	queue["advice"] = starvedPolicy.config()
	p.configure(7, []string{"rec-pipeline"}, queue)
	p.advice.putInForce(starvedPolicy)
	p.awaitReady()
	time.Sleep(3 * time.Second)
	c := newCaller(p.rec, queueHost, apiKey)
	need := shape{CPU: 1000, MemMB: 1024}
	small := jobBody{Spec: specOf(need, shortWork), Steps: []step{{Count: 1, CPU: need.CPU, MemMB: need.MemMB, EstMs: shortWork.Milliseconds()}}}
	whole := shape{CPU: 15000, MemMB: 39000, GPU: 8}
	impossible := jobBody{Spec: specOf(whole, shortWork), Steps: []step{{Count: len(p.workers) + 1, Gang: true, CPU: whole.CPU, MemMB: whole.MemMB, GPU: whole.GPU, EstMs: shortWork.Milliseconds()}}}
	began := time.Now()
	var crowd, never []string
	for n := 0; time.Since(began) < crowdTime; n++ {
		id, body := newJobID(), small
		if p.trouble && n%impossibleEvery == impossibleEvery-1 {
			body = impossible
			never = append(never, id)
		} else {
			crowd = append(crowd, id)
		}
		c.call("POST", p.fronts[n%len(p.fronts)], queuePath+id, body)
		time.Sleep(time.Until(began.Add(time.Duration(n+1) * time.Second / crowdRate)))
	}
	p.rec.log("no crowd any more; %d jobs came, %d of them can never be done", len(crowd)+len(never), len(never))
	time.Sleep(calmBefore)
	var last []*waitedJob
	var violations []string
	next, end := time.Now(), time.Now().Add(lastWatch)
	for time.Now().Before(end) {
		if len(last) < lastJobs && time.Now().After(next) {
			next = next.Add(time.Second)
			j := &waitedJob{id: newJobID(), tasks: 1, need: need, dueAt: time.Now()}
			if status, _ := c.call("POST", p.fronts[len(last)%len(p.fronts)], queuePath+j.id, small); status/100 != 2 {
				panic(fmt.Sprintf("a job was not accepted: %d", status))
			}
			last = append(last, j)
		}
		violations = append(violations, p.judgeIdle(last)...)
		time.Sleep(100 * time.Millisecond)
	}
	done := 0
	for _, id := range crowd {
		if _, n, _ := p.runs.ofJob(id); n > 0 {
			done++
		}
	}
	p.rec.log("%d of %d ordinary jobs of the crowd are done", done, len(crowd))
	for _, id := range never {
		p.rec.log("job %s, which can never be done: %d calls for advice", id, p.advice.callsFor(id))
	}
	for _, j := range last {
		status, answer := c.call("GET", p.fronts[0], queuePath+j.id, nil)
		_, ended, starts := p.runs.ofJob(j.id)
		p.rec.log("job %s: %d of 1 tasks ended done, %d starts, %d calls for advice; GET %d %s", j.id, ended, starts, p.advice.callsFor(j.id), status, answer)
	}
	return append(violations, p.runs.found()...)
}
