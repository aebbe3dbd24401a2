package cluster

import (
	"context"
	"net"
	"os"
	"os/exec"
	"testing"

	"github.com/matryer/is"
)

// A connection is told by its process, so that a link can be cut for one process alone.
func TestConnectionIsToldByItsProcess(t *testing.T) {
	is := is.New(t)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	client, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = client.Close() })
	for pid, owns := range map[int]bool{os.Getpid(): true, os.Getppid(): false} {
		process, err := os.FindProcess(pid)
		is.NoErr(err)
		p := &Program{command: &exec.Cmd{Process: process}}
		is.Equal(p.Owns()(client.LocalAddr()), owns)
	}
}
