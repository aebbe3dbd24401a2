package cluster

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// firstPort, blocks and block divide ports into one block for each process that runs tests. They are below
	// those that the kernel gives to outgoing connections.
	firstPort = 10000
	blocks    = 50
	block     = 400
)

// portBlock is the ports of this process.
type portBlock struct {
	mu   sync.Mutex
	next int
	// taken are those of clusters that are not over. Nobody may listen on one for a while: its worker has crashed
	// and will be back.
	taken map[int]bool
}

var ports = portBlock{taken: map[int]bool{}}

// freeAddress returns a loopback address that is the cluster's until it is over.
func (c *Cluster) freeAddress() string {
	c.t.Helper()
	port, ok := ports.take()
	if !ok {
		c.t.Fatal("no port is free")
	}
	c.t.Cleanup(func() { ports.giveBack(port) })
	return addressOf(port)
}

// take returns a port that no other cluster has and nobody listens on; ok is false if there is none.
func (b *portBlock) take() (port int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range block {
		b.next = (b.next + 1) % block
		port = firstPort + os.Getpid()%blocks*block + b.next
		if !b.taken[port] && unused(port) {
			b.taken[port] = true
			return port, true
		}
	}
	return 0, false
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

func addressOf(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}
