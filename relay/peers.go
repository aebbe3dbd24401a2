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
	// peer is a relay.
	peer struct {
		address string
		power   float64
		client  *rpc.Client
		// failedAt is when it last did not help.
		failedAt time.Time
	}

	// peers are the relays that are known, but for this gateway. They are safe for concurrent use.
	peers struct {
		traffic *rpc.Traffic

		mu   sync.Mutex
		list []*peer
	}
)

// set replaces the relays. It says whether that changes any.
func (p *peers) set(relays []Self) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := len(p.list)
	p.list = slices.DeleteFunc(p.list, func(known *peer) bool {
		if slices.ContainsFunc(relays, func(r Self) bool { return r.Address == known.address }) {
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
		p.list[i].power = r.Power
	}
	rand.Shuffle(len(p.list), func(i, j int) { p.list[i], p.list[j] = p.list[j], p.list[i] })
	return changed
}

// all returns all relays.
func (p *peers) all() []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.list)
}

// none says whether no relay is known.
func (p *peers) none() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.list) == 0
}

// strongest returns the most that a relay other than one has of processors.
func (p *peers) strongest(but string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	power := 0.0
	for _, known := range p.list {
		if known.address != but {
			power = max(power, known.power)
		}
	}
	return power
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
