package sidecar

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/store"
)

// pathLog limits the lines that a failing history shows.
const pathLog = 400

type (
	// path is the whole path of orders and reports in virtual time: holders, agents and workers, with the store. Any
	// time may pass between two steps of a process, and calls overtake each other.
	path struct {
		now    time.Time
		random *rand.Rand
		events pathEvents
		count  int

		workers []*pathWorker
		agents  []*pathAgent
		holder  *pathHolder

		jobs []job.Job
		rows map[store.Key]store.Row
		// epoch is that of the pool's holder as the store knows it, version that of the row of its lease.
		epoch   uint64
		version uint64

		// noted are the tasks whose success was noted.
		noted  map[string]bool
		starts int
		done   int
		lost   int
		fault  string
		log    []string
	}

	pathEvent struct {
		at     time.Time
		number int
		do     func()
	}

	pathEvents []pathEvent

	// pathProcess is a process that may be frozen or killed.
	pathProcess struct {
		path        *path
		frozenUntil time.Time
		killed      bool
	}
)

func (e pathEvents) Len() int      { return len(e) }
func (e pathEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e pathEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].number < e[j].number
}
func (e *pathEvents) Push(x any) { *e = append(*e, x.(pathEvent)) }
func (e *pathEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// after makes a call at a later time.
func (p *path) after(d time.Duration, do func()) {
	p.count++
	heap.Push(&p.events, pathEvent{at: p.now.Add(d), number: p.count, do: do})
}

// every makes a call at intervals.
func (p *path) every(d time.Duration, do func()) {
	p.after(d, func() {
		do()
		p.every(d, do)
	})
}

// run runs the history for a time, or until a check has failed.
func (p *path) run(length time.Duration) {
	for end := p.now.Add(length); len(p.events) > 0 && p.events[0].at.Before(end) && p.fault == ""; {
		e := heap.Pop(&p.events).(pathEvent)
		p.now = e.at
		e.do()
	}
}

// between returns a random time.
func (p *path) between(low, high time.Duration) time.Duration {
	return low + time.Duration(p.random.Int64N(int64(high-low)))
}

// chance reports true with a probability.
func (p *path) chance(probability float64) bool {
	return p.random.Float64() < probability
}

// step returns the time between two lines of a process.
func (p *path) step() time.Duration {
	switch x := p.random.Float64(); {
	case x < 0.97:
		return p.between(1, 200*time.Microsecond)
	case x < 0.999:
		return p.between(time.Millisecond, 100*time.Millisecond)
	default:
		return p.between(100*time.Millisecond, 3*time.Second)
	}
}

// transit returns the time that a message takes.
func (p *path) transit() time.Duration {
	switch x := p.random.Float64(); {
	case x < 0.9:
		return p.between(100*time.Microsecond, 3*time.Millisecond)
	case x < 0.996:
		return p.between(time.Millisecond, 300*time.Millisecond)
	default:
		return p.between(100*time.Millisecond, 6*time.Second)
	}
}

func (p *path) note(format string, args ...any) {
	line := fmt.Sprintf("%8.4f ", p.now.Sub(pathStart).Seconds()) + fmt.Sprintf(format, args...)
	p.log = append(p.log, line)
	if len(p.log) > pathLog {
		p.log = p.log[1:]
	}
}

func (p *path) fail(format string, args ...any) {
	p.note("FAULT "+format, args...)
	if p.fault == "" {
		p.fault = fmt.Sprintf(format, args...)
	}
}

// then makes a step of the process, later if it is frozen, and never if it was killed.
func (q *pathProcess) then(do func()) {
	q.path.after(q.path.step(), func() { q.do(do) })
}

func (q *pathProcess) do(do func()) {
	switch {
	case q.killed:
	case q.path.now.Before(q.frozenUntil):
		q.path.after(q.frozenUntil.Sub(q.path.now), func() { q.do(do) })
	default:
		do()
	}
}

func (q *pathProcess) freeze(length time.Duration) {
	if until := q.path.now.Add(length); until.After(q.frozenUntil) {
		q.frozenUntil = until
	}
}
