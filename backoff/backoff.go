// Package backoff computes delays between retries.
package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff computes exponential delays with jitter, so that clients that failed together do not retry
// together. Create it with New.
type Backoff struct {
	initial time.Duration
	next    time.Duration
	limit   time.Duration
}

// New returns a Backoff whose delays grow from initial to limit.
func New(initial, limit time.Duration) *Backoff {
	return &Backoff{initial: initial, next: initial, limit: limit}
}

// Delay returns the delay before the next attempt: a random duration between half of the current maximum
// and the whole. The maximum doubles with each call, up to the limit.
func (b *Backoff) Delay() time.Duration {
	half := b.next / 2
	delay := half + rand.N(half+1)
	b.next = min(2*b.next, b.limit)
	return delay
}

// Wait waits for the next delay. It returns false if ctx is done first.
func (b *Backoff) Wait(ctx context.Context) bool {
	return Sleep(ctx, b.Delay())
}

// WaitAtLeast is like Wait, but waits at least for the given minimum, such as the delay that the server
// requested when it rejected the last attempt.
func (b *Backoff) WaitAtLeast(ctx context.Context, minimum time.Duration) bool {
	return Sleep(ctx, max(minimum, b.Delay()))
}

// Reset starts again with the initial delay. It is called after a success.
func (b *Backoff) Reset() {
	b.next = b.initial
}

// Jitter returns a duration that is randomly shortened by up to a third, so that processes that started
// together do not run their periodic work together.
func Jitter(d time.Duration) time.Duration {
	return d - rand.N(d/3)
}

// Sleep waits for d. It returns false if ctx is done first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
