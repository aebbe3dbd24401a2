// Package clocktest provides clocks for tests that simulate suspensions of the VM.
package clocktest

import (
	"sync"
	"time"
)

// Clock implements clock.Clock. Create it with New or Stopped. It is safe for concurrent use.
type Clock struct {
	base func() time.Time

	mu        sync.Mutex
	suspended time.Duration
}

// New returns a clock that follows time.Now, including virtual time in a synctest bubble.
func New() *Clock {
	return &Clock{base: time.Now}
}

// Stopped returns a clock that stands at now and advances only through Suspend.
func Stopped(now time.Time) *Clock {
	return &Clock{base: func() time.Time { return now }}
}

// Suspend simulates a suspension of the VM of the given length.
func (c *Clock) Suspend(length time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspended += length
}

// Now implements clock.Clock.
func (c *Clock) Now() time.Time {
	return c.base().Add(c.Suspended())
}

// Suspended implements clock.Clock.
func (c *Clock) Suspended() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspended
}
