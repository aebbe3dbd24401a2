package relay

import (
	"sync"
	"time"
)

// peersPause is how long other gateways are left alone after none of them could help: in an
// outage of the whole store all of them are turned away.
const peersPause = 400 * time.Millisecond

// knownFor is for how long an answer of the store shows that it serves this gateway.
const knownFor = 2 * time.Second

// path says by which way calls go: to the store itself, or through other gateways. Create it
// with newPath; it begins with the store. It is safe for concurrent use.
type path struct {
	mu sync.Mutex
	// away says that the store did not serve the last call, servedAt when it served one last.
	away     bool
	servedAt time.Time
	// peersAfter is when other gateways may be asked again.
	peersAfter time.Time
	// awayNow gets a value when away becomes true.
	awayNow chan struct{}
}

func newPath() *path {
	return &path{awayNow: make(chan struct{}, 1)}
}

// direct says whether the store served the last call that was made to it.
func (p *path) direct() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.away
}

// throughPeers says whether a call should go to another gateway first.
func (p *path) throughPeers(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.away && !now.Before(p.peersAfter)
}

// unknown says whether the store has not been called for so long that it is not known whether it serves this gateway.
func (p *path) unknown(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.away && now.Sub(p.servedAt) > knownFor
}

// note takes over whether the store served a call. It says whether that is news.
func (p *path) note(now time.Time, served bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if served {
		p.servedAt = now
	}
	if p.away == !served {
		return false
	}
	p.away = !served
	if p.away {
		select {
		case p.awayNow <- struct{}{}:
		default:
		}
	}
	return true
}

// noPeer notes that no other gateway could help.
func (p *path) noPeer(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peersAfter = now.Add(peersPause)
}
