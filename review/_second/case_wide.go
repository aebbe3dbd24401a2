package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Figures of the case of a wide job.
const (
	// wideCount, wideRepeats, wideInterval and wideWork are the largest number of tasks of a step, the number of times,
	// their distance and the mean work of archive-thumbs on the users' sheet of the large deployment. usualCount is the
	// largest number of tasks of a step on the sheet of the small one.
	wideCount    = 470
	usualCount   = 55
	wideRepeats  = 8
	wideInterval = 3 * time.Second
	wideWork     = 9500 * time.Millisecond
	// wideWorkers is the number of workers. They have room for all tasks of four times at once.
	wideWorkers = 16
	// idleLimit and finishTime are times of rule LOST.
	idleLimit  = 3 * time.Second
	finishTime = 14 * time.Second
	// wideTraffic is how long small jobs are sent.
	wideTraffic = 60 * time.Second
)

var zones = []string{"sapporo-hall", "asahikawa-hall", "hakodate-hall"}

// specOf returns the text that tells a worker what a task does.
func specOf(s shape, work time.Duration) string {
	text, err := json.Marshal(taskSpec{shape: s, WorkMs: work.Milliseconds()})
	if err != nil {
		panic(err)
	}
	return string(text)
}

// addSite starts three gateways, and workers of one service with their sidecars.
func (p *play) addSite(service string, workers int) {
	for _, zone := range zones {
		p.addGateway(zone)
	}
	for n := range workers {
		zone := zones[n%len(zones)]
		p.addWorker(service, zone, fmt.Sprintf("r%d-%d", n%len(zones)+1, n/9+1), shape{CPU: 128000, MemMB: 262144, GPU: 8})
	}
}

// waitedJob is an accepted job that rule LOST watches.
type waitedJob struct {
	id    string
	tasks int
	need  shape
	// repeats is the number of its times, wideInterval apart; 0 for a job without times.
	repeats int
	// dueAt is when its first task's turn comes.
	dueAt time.Time
	// idleSince is since when nothing of it runs although there is room.
	idleSince time.Time
	reported  bool
}

// dueTasks returns the number of tasks whose turn has come.
func (j *waitedJob) dueTasks(now time.Time) int {
	if j.repeats == 0 {
		return j.tasks
	}
	due := min(j.repeats, 1+int(now.Sub(j.dueAt)/wideInterval))
	return j.tasks / j.repeats * due
}

// playWideJob submits a job that is due at several times and small jobs beside it. The disruption is the number of its
// tasks. Rule LOST is judged on all jobs.
func playWideJob(p *play) []string {
	p.runs.summarise()
	p.addSite("rec-pipeline", wideWorkers)
	p.configure(7, []string{"rec-pipeline"}, route("rec-pipeline", 3000))
	p.awaitReady()
	time.Sleep(3 * time.Second)
	c := newCaller(p.rec, queueHost, apiKey)
	need := shape{CPU: 1000, MemMB: 1024}
	count := usualCount
	if p.trouble {
		count = wideCount
	}
	first := time.Now().Add(time.Second)
	wide := &waitedJob{id: newJobID(), tasks: count * wideRepeats, need: need, repeats: wideRepeats, dueAt: first}
	status, _ := c.call("POST", p.fronts[0], queuePath+wide.id, jobBody{
		Spec:    specOf(need, wideWork),
		Steps:   []step{{Count: count, CPU: need.CPU, MemMB: need.MemMB, EstMs: wideWork.Milliseconds()}},
		Repeats: wideRepeats, FirstMs: first.UnixMilli(), IntervalMs: wideInterval.Milliseconds(),
	})
	if status/100 != 2 {
		panic(fmt.Sprintf("the wide job was not accepted: %d", status))
	}
	jobs := []*waitedJob{wide}
	var violations []string
	next, trafficEnd := time.Now(), time.Now().Add(wideTraffic)
	for time.Now().Before(trafficEnd) {
		if time.Now().After(next) {
			next = next.Add(2 * time.Second)
			if j, accepted := p.submitSmall(c, len(jobs), need); accepted {
				jobs = append(jobs, j)
			}
		}
		violations = append(violations, p.judgeIdle(jobs)...)
		time.Sleep(100 * time.Millisecond)
	}
	p.rec.log("the traffic has ended")
	time.Sleep(finishTime)
	for _, j := range jobs {
		status, answer := c.call("GET", p.fronts[0], queuePath+j.id, nil)
		running, done, starts := p.runs.ofJob(j.id)
		p.rec.log("job %s: %d tasks, %d ended done, %d run, %d starts; GET %d %s", j.id, j.tasks, done, running, starts, status, answer)
		if status != http.StatusOK {
			violations = append(violations, fmt.Sprintf("LOST: job %s isn't known or gets no answer %s after the traffic ended: %d", j.id, finishTime, status))
		}
	}
	return append(violations, p.runs.found()...)
}

// submitSmall submits a job of two short tasks, and reports whether it was accepted.
func (p *play) submitSmall(c *caller, n int, need shape) (*waitedJob, bool) {
	const work = 2500 * time.Millisecond
	j := &waitedJob{id: newJobID(), tasks: 2, need: need, dueAt: time.Now()}
	status, _ := c.call("POST", p.fronts[n%len(p.fronts)], queuePath+j.id, jobBody{
		Spec: specOf(need, work), Steps: []step{{Count: 2, CPU: need.CPU, MemMB: need.MemMB, EstMs: work.Milliseconds()}},
	})
	return j, status/100 == 2
}

// judgeIdle applies the part of rule LOST on jobs of which nothing runs.
func (p *play) judgeIdle(jobs []*waitedJob) []string {
	used, whole, free := shape{}, shape{}, shape{}
	for _, w := range p.workers {
		u, c := w.inUse()
		used, whole = used.plus(u), whole.plus(c)
		free = free.largest(c.minus(u))
	}
	var violations []string
	for _, j := range jobs {
		running, done, _ := p.runs.ofJob(j.id)
		left := j.dueTasks(time.Now()) - done
		if running > 0 || left == 0 || time.Now().Before(j.dueAt) || used.CPU*2 >= whole.CPU || free.CPU < 2*j.need.CPU || free.MemMB < 2*j.need.MemMB {
			j.idleSince = time.Time{}
			continue
		}
		if j.idleSince.IsZero() {
			j.idleSince = time.Now()
		}
		if !j.reported && time.Since(j.idleSince) >= idleLimit {
			j.reported = true
			violations = append(violations, fmt.Sprintf("LOST: for %s nothing of job %s runs, %d of the tasks whose turn has come are not done, %d of %d cores are in use", idleLimit, j.id, left, used.CPU/1000, whole.CPU/1000))
		}
	}
	return violations
}
