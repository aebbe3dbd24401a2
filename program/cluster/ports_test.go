package cluster

import (
	"net"
	"os"
	"os/exec"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// After a lap through the block a port would be handed out again whose worker has crashed and is about to be back.
func TestPortsAreTakenUntilTheirClusterIsOver(t *testing.T) {
	is := is.New(t)
	b := portBlock{taken: map[int]bool{}}
	first, ok := b.take()
	is.True(ok)
	seen := map[int]bool{first: true}
	for range block - 1 {
		port, ok := b.take()
		if !ok {
			break // others listen there
		}
		is.True(!seen[port])
		seen[port] = true
	}
	_, ok = b.take()
	is.True(!ok)
	b.giveBack(first)
	again, ok := b.take()
	is.True(ok)
	is.Equal(again, first)
}

// A process that is being started holds all open sockets for an instant, also that by which a port was found
// to be free: its owner could not listen there then ("bind: address already in use", in 2 of 60 seeds of a soak).
func TestTakenPortsAreFreeWhileProcessesAreStarted(t *testing.T) {
	is := is.New(t)
	const takes = 300
	done := make(chan struct{})
	var starting sync.WaitGroup
	for range 4 {
		starting.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					_ = exec.CommandContext(t.Context(), os.Args[0], "-test.run=^$").Run() // it does nothing
				}
			}
		})
	}
	b := portBlock{taken: map[int]bool{}}
	config := net.ListenConfig{}
	busy := 0
	for range takes {
		port, ok := b.take()
		is.True(ok)
		listener, err := config.Listen(t.Context(), "tcp", addressOf(port))
		if err != nil {
			busy++
			continue
		}
		defer func() { _ = listener.Close() }()
	}
	close(done)
	starting.Wait()
	is.Equal(busy, 0)
}
