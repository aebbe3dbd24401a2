package cluster

import (
	"testing"

	"github.com/matryer/is"
)

// After a lap through the block a port was handed out again whose worker had crashed and was about to be back:
// "listen tcp 127.0.0.1:26022: bind: address already in use", in a soak of ten seeds.
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
