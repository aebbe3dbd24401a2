package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// Times of rule LOST.
const (
	idleLimit  = 3 * time.Second
	finishTime = 14 * time.Second
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
	// repeats is the number of its times, interval apart; 0 for a job without times.
	repeats  int
	interval time.Duration
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
	due := min(j.repeats, 1+int(now.Sub(j.dueAt)/j.interval))
	return j.tasks / j.repeats * due
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

// calmBefore is how long it must have been calm before the time that rule LOST judges.
const calmBefore = 4 * time.Second
