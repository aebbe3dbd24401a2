package store

import (
	"sync"
	"time"
)

const (
	// minLateThreshold is about twenty times the duration of a call to a store without faults.
	minLateThreshold = 200 * time.Millisecond
	// maxLateThreshold is as long as the timeout of a call, so at this value no call counts as late before it
	// times out.
	maxLateThreshold = 800 * time.Millisecond
	// lateFactor is the ratio of the threshold to the average duration.
	lateFactor = 6
	// latencyWeight is the weight of the newest duration in the average.
	latencyWeight = 0.25
)

// LateThreshold determines the time after which an answer of the store is late: several times the recent
// average duration, doubled for each call that was abandoned since the last answer. So transactions are not
// sent again and again to a store that is slow but about to execute them. The zero value is ready to use. It is
// safe for concurrent use.
type LateThreshold struct {
	mu             sync.Mutex
	averageLatency time.Duration
	// abandoned is the number of calls that were abandoned since the last answer.
	abandoned int
}

// Duration returns the time after which an answer is late.
func (p *LateThreshold) Duration() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	threshold := max(minLateThreshold, lateFactor*p.averageLatency)
	for range p.abandoned {
		threshold = min(2*threshold, maxLateThreshold)
	}
	return min(threshold, maxLateThreshold)
}

// RecordAnswer records the duration of an answered call.
func (p *LateThreshold) RecordAnswer(latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abandoned = 0
	p.averageLatency += time.Duration(latencyWeight * float64(latency-p.averageLatency))
}

// RecordAbandoned records a call that was abandoned.
func (p *LateThreshold) RecordAbandoned() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abandoned++
}
