package hall

import (
	"time"

	"hollyfork.example/wire"
)

// Decisions of a Candidate.
const (
	// Wait means that another process may hold the hall.
	Wait Decision = iota
	// Take means that the hall is free.
	Take
)

// Decision is what a process that watches a hall's lease should do.
type Decision int

// Candidate decides when a hall's lease has lapsed. It does not compare the clocks of two machines: a lease
// has lapsed when its row has not changed for the lease's duration and no read has failed meanwhile. Set
// TTL before use; the other fields need no initialisation.
type Candidate struct {
	// TTL is the duration of the lease.
	TTL time.Duration

	version        uint64
	unchangedSince time.Time
}

// Observe records the lease's row as read at the given time and returns the decision.
func (c *Candidate) Observe(now time.Time, lease *wire.HolderLease, version uint64) Decision {
	if version == 0 || lease.GetReleased() {
		return Take
	}
	if version != c.version || c.unchangedSince.IsZero() {
		c.version = version
		c.unchangedSince = now
		return Wait
	}
	if now.Sub(c.unchangedSince) >= c.TTL {
		return Take
	}
	return Wait
}

// ReadFailed records that the lease could not be read. The holder may have been unable to renew it for the
// same reason, so the wait starts again.
func (c *Candidate) ReadFailed() {
	c.unchangedSince = time.Time{}
}
