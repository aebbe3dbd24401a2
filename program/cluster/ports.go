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
	// The ports from firstPort on are divided into blockCount blocks of blockSize ports. A process that runs tests
	// claims as many blocks as it needs, up to maxBlocks. The ports are below those that the kernel uses for
	// outgoing connections.
	firstPort  = 10000
	blockCount = 200
	blockSize  = 100
	maxBlocks  = 20
)

// portAllocator allocates the ports of a process that runs tests.
type portAllocator struct {
	mu sync.Mutex
	// claims are listeners on the first port of each block that this process has claimed, and ports are the other
	// ports of these blocks.
	claims []net.Listener
	ports  []int
	next   int
	// allocated are the ports of running clusters. A port stays allocated while no process listens on it, because its
	// worker may have crashed and be about to restart.
	allocated map[int]bool
}

var ports = portAllocator{allocated: map[int]bool{}}

// AllocateAddress returns a loopback address on which no process listens. Until it is released, no other test gets it,
// in this process or another one. If there is no such address, ok is false.
func AllocateAddress() (address string, ok bool) {
	port, ok := ports.allocate()
	return addressOf(port), ok
}

// ReleaseAddress releases an address, so that it can be allocated again.
func ReleaseAddress(address string) {
	ports.release(portOf(address))
}

// freeAddress returns a loopback address that is allocated to the cluster until the test ends.
func (c *Cluster) freeAddress() string {
	c.t.Helper()
	address, ok := AllocateAddress()
	if !ok {
		c.t.Fatal("no port is free")
	}
	c.t.Cleanup(func() { ReleaseAddress(address) })
	return address
}

// allocate returns a port on which no process listens and which no other cluster has, in this process or another one.
// If there is no such port, ok is false.
func (a *portAllocator) allocate() (port int, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		if port, ok = a.allocateClaimed(); ok {
			return port, true
		}
		if !a.claimBlock() {
			return 0, false
		}
	}
}

// allocateClaimed returns a port from the blocks that this process has claimed already.
func (a *portAllocator) allocateClaimed() (port int, ok bool) {
	for range a.ports {
		port = a.ports[a.next%len(a.ports)]
		a.next++
		if !a.allocated[port] && unused(port) {
			a.allocated[port] = true
			return port, true
		}
	}
	return 0, false
}

// claimBlock claims one more block and reports whether there was one. A process claims a block by listening on the
// block's first port, which the kernel allows only one process to do. Checking whether a port is unused would not be
// enough: another process could allocate the port between the check and the start of the listening.
func (a *portAllocator) claimBlock() bool {
	if len(a.claims) == maxBlocks {
		return false
	}
	for i := range blockCount {
		first := firstPort + (os.Getpid()+i)%blockCount*blockSize
		config := net.ListenConfig{}
		listener, err := config.Listen(context.Background(), "tcp", addressOf(first))
		if err != nil {
			continue // another process or this one has claimed the block
		}
		a.claims = append(a.claims, listener)
		a.next = len(a.ports)
		for port := first + 1; port < first+blockSize; port++ {
			a.ports = append(a.ports, port)
		}
		return true
	}
	return false
}

func (a *portAllocator) release(port int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.allocated, port)
}

// unused reports whether no process listens on a port. It does not try to listen on the port, because a process that is
// started at the same time would inherit the socket and keep the port in use until it executes its program.
func unused(port int) bool {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(context.Background(), "tcp", addressOf(port))
	if err != nil {
		return true
	}
	_ = conn.Close()
	return false
}

// portOf returns the port of an address, or 0, which is never allocated, if the address has none.
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
