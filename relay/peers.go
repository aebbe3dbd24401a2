package relay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hollyfork.example/rpc"
)

const (
	// maxTried is how many other gateways are tried for a call.
	maxTried = 2
	// setAside is how long a gateway that did not help is tried after all others.
	setAside = 2 * time.Second
)

type (
	// peer is another gateway.
	peer struct {
		address string
		client  *rpc.Client
		// failedAt is when it last did not help.
		failedAt time.Time
	}

	// peers are the other gateways that are known. They are safe for concurrent use.
	peers struct {
		traffic *rpc.Traffic

		mu   sync.Mutex
		list []*peer
	}
)

// set replaces the addresses of the other gateways. It says whether that changes any.
func (p *peers) set(addresses []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := len(p.list)
	p.list = slices.DeleteFunc(p.list, func(known *peer) bool {
		if slices.Contains(addresses, known.address) {
			return false
		}
		_ = known.client.Close()
		return true
	})
	changed := len(p.list) != before
	for _, address := range addresses {
		if !slices.ContainsFunc(p.list, func(known *peer) bool { return known.address == address }) {
			p.list = append(p.list, &peer{address: address, client: rpc.NewClient(address, p.traffic)})
			changed = true
		}
	}
	rand.Shuffle(len(p.list), func(i, j int) { p.list[i], p.list[j] = p.list[j], p.list[i] })
	return changed
}

// choose returns the gateways to try for a call: those that failed least lately first.
func (p *peers) choose(now time.Time) []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	slices.SortStableFunc(p.list, func(a, b *peer) int { return a.penalty(now).Compare(b.penalty(now)) })
	return slices.Clone(p.list[:min(maxTried, len(p.list))])
}

// penalty is the zero time for a gateway without a late failure, else the time of it.
func (p *peer) penalty(now time.Time) time.Time {
	if now.Sub(p.failedAt) > setAside {
		return time.Time{}
	}
	return p.failedAt
}

// failed notes that a gateway did not help. One that did not answer is dialled anew.
func (p *peers) failed(now time.Time, failing *peer, silent bool) {
	p.mu.Lock()
	failing.failedAt = now
	p.mu.Unlock()
	if silent {
		failing.client.Reset()
	}
}
