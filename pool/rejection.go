package pool

import (
	"fmt"
	"math/bits"
	"time"
)

const (
	// promptRejections is the number of rejected starts in a row after which a group is placed again without a delay:
	// workers differ, and a ticket may have expired.
	promptRejections = 4
	// minRejectionDelay and maxRejectionDelay bound the delay after further rejections, which doubles each time. A job
	// may have nothing running beside free capacity for 3 s at most.
	minRejectionDelay = 50 * time.Millisecond
	maxRejectionDelay = time.Second
)

// rejections counts the starts of a group that workers have rejected for the same reason since one succeeded.
type rejections struct {
	result Result
	count  int
	// run is the last run that was counted: several members of a gang may be rejected.
	run int
}

// recordRejection counts a rejected start of a group's current run, and delays the next placement once there are many.
func (g *group) recordRejection(now time.Time, result Result) {
	if g.rejections.result != result {
		g.rejections = rejections{result: result}
	}
	if g.rejections.run == g.run {
		return
	}
	g.rejections.run = g.run
	g.rejections.count++
	further := g.rejections.count - promptRejections
	if further <= 0 {
		return
	}
	delay := maxRejectionDelay
	if further <= bits.Len(uint(maxRejectionDelay/minRejectionDelay)) {
		delay = min(delay, minRejectionDelay<<(further-1))
	}
	if until := now.Add(delay); until.After(g.notBefore) {
		g.notBefore = until
	}
}

// notable reports whether the last rejection is to be logged: the first ones are, and then fewer and fewer.
func (r rejections) notable() bool {
	return r.count <= promptRejections || bits.OnesCount(uint(r.count)) == 1
}

// String describes the rejections for operators; it is empty if there are none.
func (r rejections) String() string {
	if r.count == 0 {
		return ""
	}
	return fmt.Sprintf("%s (%d times in a row)", resultNames[r.result], r.count)
}
