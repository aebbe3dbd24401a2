package relay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hollyfork.example/rpc"
)

const (
	// maxPeersTried is the maximum number of gateways tried for one call.
	maxPeersTried = 2
	// demotionPeriod is how long a gateway ranks behind the others after a failed call.
	demotionPeriod = 2 * time.Second
)

type (
	// peer is a relay other than this gateway.
	peer struct {
		address string
		cpus    float64
		client  *rpc.Client
		// failedAt is the time of the last failed call.
		failedAt time.Time
	}

	// peers holds the known relays other than this gateway. It is safe for concurrent use.
	peers struct {
		traffic *rpc.Traffic

		mu   sync.Mutex
		list []*peer
	}
)

// set replaces the relays and reports whether any was added or removed.
func (p *peers) set(relays []Gateway) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := len(p.list)
	p.list = slices.DeleteFunc(p.list, func(known *peer) bool {
		if slices.ContainsFunc(relays, func(r Gateway) bool { return r.Address == known.address }) {
			return false
		}
		_ = known.client.Close()
		return true
	})
	changed := len(p.list) != before
	for _, r := range relays {
		i := slices.IndexFunc(p.list, func(known *peer) bool { return known.address == r.Address })
		if i < 0 {
			i = len(p.list)
			p.list = append(p.list, &peer{address: r.Address, client: rpc.NewClient(r.Address, p.traffic)})
			changed = true
		}
		p.list[i].cpus = r.CPUs
	}
	rand.Shuffle(len(p.list), func(i, j int) { p.list[i], p.list[j] = p.list[j], p.list[i] })
	return changed
}

func (p *peers) all() []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.list)
}

// empty reports whether no relay is known.
func (p *peers) empty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.list) == 0
}

// maxCPUs returns the largest CPU capacity of the relays other than the one at the given address.
func (p *peers) maxCPUs(except string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	cpus := 0.0
	for _, known := range p.list {
		if known.address != except {
			cpus = max(cpus, known.cpus)
		}
	}
	return cpus
}

// choose returns the gateways to try for a call: first those without a recent failure, then those whose
// last failure is longest ago.
func (p *peers) choose(now time.Time) []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	slices.SortStableFunc(p.list, func(a, b *peer) int { return a.recentFailure(now).Compare(b.recentFailure(now)) })
	return slices.Clone(p.list[:min(maxPeersTried, len(p.list))])
}

// recentFailure returns the time of the last failure if it is within demotionPeriod, and the zero time
// otherwise.
func (p *peer) recentFailure(now time.Time) time.Time {
	if now.Sub(p.failedAt) > demotionPeriod {
		return time.Time{}
	}
	return p.failedAt
}

// recordFailure records a failed call. If the gateway did not reply, its connection is reset.
func (p *peers) recordFailure(now time.Time, failed *peer, noReply bool) {
	p.mu.Lock()
	failed.failedAt = now
	p.mu.Unlock()
	if noReply {
		failed.client.Reset()
	}
}
