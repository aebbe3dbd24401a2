package store

import (
	"sync"
	"time"
)

const (
	// leastPatience is the least time after which an answer is late: some twenty times what a
	// sound store takes.
	leastPatience = 200 * time.Millisecond
	// mostPatience is the most: with it a call is waited for until its own bound.
	mostPatience = 800 * time.Millisecond
	// patienceFactor is how many times the usual time an answer may take.
	patienceFactor = 6
	// newestWeight is the weight of the newest answer's time in the usual one.
	newestWeight = 0.25
)

// Patience tells from when on an answer of the store is late: after several times what answers
// took lately, and twice as long after each call that was given up. So a store that takes long
// for its transactions isn't asked again and again for what it is about to do. The zero value is
// ready. It is safe for concurrent use.
type Patience struct {
	mu    sync.Mutex
	usual time.Duration
	// givenUp counts the calls that were given up since the last answer.
	givenUp int
}

// LateAfter returns how long an answer may take until it is late.
func (p *Patience) LateAfter() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := max(leastPatience, patienceFactor*p.usual)
	for range p.givenUp {
		wait = min(2*wait, mostPatience)
	}
	return min(wait, mostPatience)
}

// Answered notes an answer that took a time.
func (p *Patience) Answered(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.givenUp = 0
	p.usual += time.Duration(newestWeight * float64(took-p.usual))
}

// GivenUp notes a call that was given up.
func (p *Patience) GivenUp() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.givenUp++
}
