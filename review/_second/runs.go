package main

import (
	"fmt"
	"sync"
	"time"
)

// runLog records the runs of all workers and finds tasks that run twice at the same time, or again after they were
// done.
type runLog struct {
	rec *record

	mu         sync.Mutex
	active     map[string][]string
	done       map[string]bool
	doneByJob  map[string]int
	failed     map[string]int
	starts     map[string]int
	activeJobs map[string]int
	violations []string
	// quiet leaves single starts and ends out of the record. Each second there is a line for each job instead.
	quiet bool
}

// summarise makes the record quiet.
func (l *runLog) summarise() {
	l.quiet = true
	go func() {
		last := map[string]string{}
		for {
			time.Sleep(time.Second)
			l.mu.Lock()
			for id, starts := range l.starts {
				line := fmt.Sprintf("workers: job %s: %d starts so far, %d tasks run, %d ended done so far", id, starts, l.activeJobs[id], l.doneByJob[id])
				if last[id] != line {
					last[id] = line
					l.rec.log("%s", line)
				}
			}
			l.mu.Unlock()
		}
	}()
}

func newRunLog(rec *record) *runLog {
	return &runLog{rec: rec, active: map[string][]string{}, done: map[string]bool{}, doneByJob: map[string]int{}, failed: map[string]int{}, starts: map[string]int{}, activeJobs: map[string]int{}}
}

func (l *runLog) started(w *worker, task string, run int, spec, saved string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.quiet {
		l.rec.log("worker %s (%s): starts %s run %d, fence %d, spec %s, saved %q", w.id, w.service, task, run, w.fence, spec, saved)
	}
	if others := l.active[task]; len(others) > 0 {
		l.violations = append(l.violations, fmt.Sprintf("TWICE: %s runs on %s and starts on %s (%s)", task, others[0], w.id, w.service))
	}
	if l.done[task] {
		l.violations = append(l.violations, fmt.Sprintf("TWICE: %s starts on %s (%s) after it has ended done", task, w.id, w.service))
	}
	l.active[task] = append(l.active[task], w.id)
	l.activeJobs[jobOf(task)]++
	l.starts[jobOf(task)]++
}

func (l *runLog) ended(w *worker, task string, run int, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.quiet {
		l.rec.log("worker %s (%s): %s run %d ended %s", w.id, w.service, task, run, how)
	}
	for i, id := range l.active[task] {
		if id == w.id {
			l.active[task] = append(l.active[task][:i:i], l.active[task][i+1:]...)
			l.activeJobs[jobOf(task)]--
			break
		}
	}
	if how == "failed" {
		l.failed[jobOf(task)]++
	}
	if how == "done" && !l.done[task] {
		l.done[task] = true
		l.doneByJob[jobOf(task)]++
	}
}

// ofJob returns the numbers of a job's runs at present, of its tasks that were done, and of its starts.
func (l *runLog) ofJob(id string) (running, done, starts int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.activeJobs[id], l.doneByJob[id], l.starts[id]
}

// failedOf returns the number of a job's runs that ended failed.
func (l *runLog) failedOf(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed[id]
}

func (l *runLog) found() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}
