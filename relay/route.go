package relay

import (
	"sync"
	"time"
)

// peersRetryDelay is how long no other gateway is asked after all of them failed. In an outage of the whole
// store, none of them can help.
const peersRetryDelay = 400 * time.Millisecond

// availabilityTTL is how long after a successful call the store counts as available without a check.
const availabilityTTL = 2 * time.Second

// route decides whether calls go to the store itself or through other gateways. Create it with newRoute;
// calls initially go to the store. It is safe for concurrent use.
type route struct {
	mu sync.Mutex
	// unavailable reports whether the last call to the store failed. servedAt is the time of the last
	// successful call.
	unavailable bool
	servedAt    time.Time
	// peersRetryAt is the earliest time at which other gateways are asked again.
	peersRetryAt time.Time
	// becameUnavailable receives a value when unavailable becomes true.
	becameUnavailable chan struct{}
}

func newRoute() *route {
	return &route{becameUnavailable: make(chan struct{}, 1)}
}

// storeAvailable reports whether the store served the last call to it.
func (r *route) storeAvailable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.unavailable
}

// usePeers reports whether a call should go to another gateway first.
func (r *route) usePeers(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unavailable && !now.Before(r.peersRetryAt)
}

// availabilityUnknown reports whether the last successful call to the store is too long ago to show that
// the store is available.
func (r *route) availabilityUnknown(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.unavailable && now.Sub(r.servedAt) > availabilityTTL
}

// record records whether the store served a call, and reports whether its availability changed.
func (r *route) record(now time.Time, served bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if served {
		r.servedAt = now
	}
	if r.unavailable == !served {
		return false
	}
	r.unavailable = !served
	if r.unavailable {
		select {
		case r.becameUnavailable <- struct{}{}:
		default:
		}
	}
	return true
}

// recordNoPeer records that no other gateway could make a call.
func (r *route) recordNoPeer(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peersRetryAt = now.Add(peersRetryDelay)
}
