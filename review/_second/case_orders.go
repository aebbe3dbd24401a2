package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// largeJobs is the number of jobs that come at once, and largeTasks the number of tasks of each.
	largeJobs  = 5
	largeTasks = 1000
	// largeWork is the work of a task.
	largeWork = 5 * time.Second
	// specBytes is the largest spec that the users' pages allow, and shortSpecBytes that of the play without trouble.
	specBytes      = 4000
	shortSpecBytes = 200
	// largeWatch is how long the jobs are watched.
	largeWatch = 45 * time.Second
)

// paddedSpec returns a spec of a length.
func paddedSpec(s shape, work time.Duration, length int) string {
	padded := struct {
		taskSpec

		Pad string `json:"pad"`
	}{taskSpec: taskSpec{shape: s, WorkMs: work.Milliseconds()}}
	text, err := json.Marshal(padded)
	if err != nil {
		panic(err)
	}
	padded.Pad = strings.Repeat("x", length-len(text))
	text, _ = json.Marshal(padded)
	return string(text)
}

// playLargeOrders submits three jobs of many small tasks at once to an idle system. The disruption is the length of
// their specs. Rule LOST is judged on the jobs.
func playLargeOrders(p *play) []string {
	p.runs.summarise()
	p.addSite("rec-pipeline", 11)
	p.configure(7, []string{"rec-pipeline"}, route("rec-pipeline", 3000))
	p.awaitReady()
	time.Sleep(3 * time.Second)
	c := newCaller(p.rec, queueHost, apiKey)
	need := shape{CPU: 50, MemMB: 50}
	length := shortSpecBytes
	if p.trouble {
		length = specBytes
	}
	spec := paddedSpec(need, largeWork, length)
	p.rec.log("%d jobs of %d tasks with a spec of %d bytes", largeJobs, largeTasks, len(spec))
	jobs := make([]*waitedJob, largeJobs)
	var sent sync.WaitGroup
	for n := range jobs {
		jobs[n] = &waitedJob{id: newJobID(), tasks: largeTasks, need: need, dueAt: time.Now()}
		sent.Go(func() {
			c.call("POST", p.fronts[n%len(p.fronts)], queuePath+jobs[n].id, jobBody{
				Spec: spec, Steps: []step{{Count: largeTasks, CPU: need.CPU, MemMB: need.MemMB, EstMs: largeWork.Milliseconds()}},
			})
		})
	}
	sent.Wait()
	var violations []string
	for began := time.Now(); time.Since(began) < largeWatch; time.Sleep(100 * time.Millisecond) {
		violations = append(violations, p.judgeIdle(jobs)...)
	}
	for _, j := range jobs {
		status, answer := c.call("GET", p.fronts[0], queuePath+j.id, nil)
		running, done, starts := p.runs.ofJob(j.id)
		p.rec.log("job %s: %d tasks, %d ended done, %d run, %d starts; GET %d %s", j.id, j.tasks, done, running, starts, status, answer)
		if status != http.StatusOK {
			violations = append(violations, fmt.Sprintf("LOST: job %s isn't known or gets no answer: %d", j.id, status))
		}
	}
	return append(violations, p.runs.found()...)
}
