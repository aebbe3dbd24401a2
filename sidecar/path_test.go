package sidecar

import (
	"flag"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/store"
)

var (
	pathFirst = flag.Uint64("path-first", 1, "seed of the first history of TestTasksRunOnceOnTheWholePath")
	pathSeeds = flag.Uint64("path-seeds", 20, "number of its histories")

	pathStart = time.Unix(1000, 0)
)

func newPath(seed uint64) *path {
	p := &path{now: pathStart, random: rand.New(rand.NewPCG(seed, 1)), rows: map[store.Key]store.Row{}, noted: map[string]bool{}}
	for i := range 3 {
		p.workers = append(p.workers, newPathWorker(p, i))
		p.agents = append(p.agents, nil)
		p.beginAgent(i)
	}
	p.takeOver(p.now)
	p.every(5*time.Millisecond, func() {
		for _, w := range p.workers {
			w.tick()
		}
	})
	for i, w := range p.workers {
		p.every(200*time.Millisecond, func() {
			if w.up {
				w.do(func() {
					h := w.heartbeat()
					p.after(p.transit(), func() { p.agents[i].then(func() { p.agents[i].beat(h) }) })
				})
			}
		})
	}
	p.every(700*time.Millisecond, p.submit)
	p.every(2500*time.Millisecond, p.disturb)
	p.watchLease()
	return p
}

// submit adds a job, and cancels one now and then.
func (p *path) submit() {
	h := p.holder
	if len(p.jobs) < 30 {
		j := pathJob(len(p.jobs)+1, p.now)
		p.jobs = append(p.jobs, j)
		if h.core != nil {
			h.post(func() { h.core.AddJob(p.now, pool.NewJob{Job: j, Version: 1, Checked: true}) })
		}
	}
	if p.chance(0.1) && h.core != nil {
		j := p.jobs[p.random.IntN(len(p.jobs))]
		p.note("job %s is cancelled", j.ID)
		h.post(func() { h.core.CancelJob(p.now, pool.Cancellation{ID: j.ID, Keys: pool.KeysOf(j.ID), Version: 2}) })
	}
}

// disturb makes some trouble at one machine or the holder, most of it in series.
func (p *path) disturb() {
	i, delay := p.random.IntN(len(p.agents)), time.Duration(0)
	for range 1 + p.random.IntN(4) {
		p.after(delay, func() { p.disturbMachine(i) })
		delay += p.between(time.Millisecond, 800*time.Millisecond)
	}
}

// turn makes trouble at a machine with a probability: something has just happened that the trouble may fall into.
func (p *path) turn(probability float64, i int) {
	if p.chance(probability) {
		p.after(p.between(0, 120*time.Millisecond), func() { p.disturbMachine(i) })
	}
}

func (p *path) disturbMachine(i int) {
	a, w, h := p.agents[i], p.workers[i], p.holder
	length := p.between(100*time.Millisecond, 7*time.Second)
	switch p.random.IntN(9) {
	case 0:
		p.note("%s is frozen for %v", a.name, length)
		a.freeze(length)
	case 1:
		p.note("worker %s is frozen for %v", w.id, length)
		w.freeze(length)
	case 2:
		p.note("holder %d is frozen for %v", h.epoch, length)
		h.freeze(length)
	case 3, 4:
		p.note("%s is killed", a.core.incarnation)
		a.killed = true
		p.after(p.between(10*time.Millisecond, 1500*time.Millisecond), func() {
			if p.agents[i] != a {
				return
			}
			p.beginAgent(i)
		})
	case 5:
		w.crash()
	case 6:
		p.note("%s is cut off for %v", a.name, length)
		a.cutUntil = p.now.Add(length)
	case 7:
		p.note("holder %d is cut off from the store for %v", h.epoch, length)
		h.cutUntil = p.now.Add(length)
	case 8:
		p.note("holder %d is killed, and its next process takes the pool at once", h.epoch)
		h.killed = true
		p.after(p.between(time.Millisecond, 300*time.Millisecond), func() {
			if p.holder == h {
				p.takeOver(p.now)
			}
		})
	}
}

// Any time may pass between two steps of any process, calls are carried out late and overtake each other, processes are
// frozen, killed and cut off, several at once.
func TestTasksRunOnceOnTheWholePath(t *testing.T) {
	starts, done, lost := 0, 0, 0
	for seed := *pathFirst; seed < *pathFirst+*pathSeeds; seed++ {
		p := newPath(seed)
		p.run(time.Minute)
		starts, done, lost = starts+p.starts, done+p.done, lost+p.lost
		if p.fault != "" {
			t.Errorf("seed %d: %s", seed, p.fault)
			t.Log(strings.Join(p.log, "\n"))
		}
	}
	t.Logf("%d starts, %d tasks done, %d runs lost", starts, done, lost)
}
