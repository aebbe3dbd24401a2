package cluster

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

const (
	// firstPort, blocks and block divide ports into blocks of which a process that runs tests claims as many as it
	// needs, mostBlocks at most. They are below those that the kernel gives to outgoing connections.
	firstPort  = 10000
	blocks     = 200
	block      = 100
	mostBlocks = 20
)

// portBlock is the ports of this process.
type portBlock struct {
	mu sync.Mutex
	// claims listen on the first port of each block that is this process's; ports are the others of those blocks.
	claims []net.Listener
	ports  []int
	next   int
	// taken are those of clusters that are not over. Nobody may listen on one for a while: its worker has crashed
	// and will be back.
	taken map[int]bool
}

var ports = portBlock{taken: map[int]bool{}}

// TakeAddress returns a loopback address that no other test has, of this process or of another, and nobody listens on,
// until it is given back; ok is false if there is none.
func TakeAddress() (address string, ok bool) {
	port, ok := ports.take()
	return addressOf(port), ok
}

// GiveBackAddress lets an address be taken again.
func GiveBackAddress(address string) {
	ports.giveBack(portOf(address))
}

// freeAddress returns a loopback address that is the cluster's until it is over.
func (c *Cluster) freeAddress() string {
	c.t.Helper()
	address, ok := TakeAddress()
	if !ok {
		c.t.Fatal("no port is free")
	}
	c.t.Cleanup(func() { GiveBackAddress(address) })
	return address
}

// take returns a port that no other cluster has, of this process or of another, and nobody listens on; ok is false
// if there is none.
func (b *portBlock) take() (port int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		if port, ok = b.takeClaimed(); ok {
			return port, true
		}
		if !b.claim() {
			return 0, false
		}
	}
}

// takeClaimed returns a port of the blocks that are this process's.
func (b *portBlock) takeClaimed() (port int, ok bool) {
	for range b.ports {
		port = b.ports[b.next%len(b.ports)]
		b.next++
		if !b.taken[port] && unused(port) {
			b.taken[port] = true
			return port, true
		}
	}
	return 0, false
}

// claim makes one more block this process's and says whether there was one. Whether a port is unused is not enough
// for two processes, since one may take it between the other's look and its own listening: a block belongs to who
// listens on its first port, which the kernel grants once.
func (b *portBlock) claim() bool {
	if len(b.claims) == mostBlocks {
		return false
	}
	for i := range blocks {
		first := firstPort + (os.Getpid()+i)%blocks*block
		config := net.ListenConfig{}
		listener, err := config.Listen(context.Background(), "tcp", addressOf(first))
		if err != nil {
			continue // another process's, or this one's
		}
		b.claims = append(b.claims, listener)
		b.next = len(b.ports)
		for port := first + 1; port < first+block; port++ {
			b.ports = append(b.ports, port)
		}
		return true
	}
	return false
}

func (b *portBlock) giveBack(port int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.taken, port)
}

// unused says whether nobody listens on a port. It does not listen there itself: a process that is being started
// would hold the port until it runs its program and has closed what it must not keep.
func unused(port int) bool {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(context.Background(), "tcp", addressOf(port))
	if err != nil {
		return true
	}
	_ = conn.Close()
	return false
}

// portOf returns the port of an address, 0 if it has none, which nobody has taken.
func portOf(address string) int {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return 0
	}
	return int(parsed.Port())
}

func addressOf(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}
