package rpc_test

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/rpc"
	"hollyfork.example/wire"
)

// echo is a service that returns the requested identifier. It answers requests for "slow" once release is closed, and
// those for "large" with a text that is larger than a message may be.
type echo struct {
	release chan struct{}
}

func (e *echo) Get(request *wire.GetJobRequest, reply *wire.JobReply) error {
	if request.GetId() == "slow" {
		<-e.release
	}
	reply.Job = &wire.Job{Id: request.GetId()}
	if request.GetId() == "large" {
		reply.Job.Id = strings.Repeat("x", rpc.MaxMessageBytes)
	}
	return nil
}

func serve(t *testing.T) (*rpc.Server, *echo, *rpc.Client) {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := rpc.NewServer(0, nil)
	service := &echo{release: make(chan struct{})}
	is.NoErr(server.Register("Echo", service))
	go func() { _ = server.Serve(listener) }()
	client := rpc.NewClient(listener.Addr().String(), nil)
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	return server, service, client
}

func get(ctx context.Context, client *rpc.Client, id string) (string, error) {
	reply, err := rpc.Call[wire.JobReply](ctx, client, "Echo.Get", &wire.GetJobRequest{Id: id})
	return reply.GetJob().GetId(), err
}

// beginSlow has a request in progress, and returns where its outcome will be sent.
func beginSlow(client *rpc.Client) <-chan error {
	answered := make(chan error, 1)
	go func() {
		_, err := get(context.Background(), client, "slow")
		answered <- err
	}()
	time.Sleep(50 * time.Millisecond)
	return answered
}

func TestLateAnswerReachesOnlyItsOwnRequest(t *testing.T) {
	is := is.New(t)
	_, service, client := serve(t)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := get(ctx, client, "slow")
	var failure *rpc.Error
	is.True(errors.As(err, &failure))
	is.Equal(failure.Kind, rpc.KindUnanswered)

	close(service.release)
	var group sync.WaitGroup
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		group.Go(func() {
			got, err := get(context.Background(), client, id)
			is.NoErr(err)
			is.Equal(got, id)
		})
	}
	group.Wait()
}

func TestShutdownFinishesRequestsInProgress(t *testing.T) {
	is := is.New(t)
	server, service, client := serve(t)
	answered := beginSlow(client)
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	select {
	case err := <-stopped:
		t.Fatal("Shutdown returned while a request was in progress:", err)
	default:
	}
	close(service.release)
	is.NoErr(<-answered)
	is.NoErr(<-stopped)
}

func TestUnreachablePeer(t *testing.T) {
	is := is.New(t)
	client := rpc.NewClient("127.0.0.1:1", nil)
	_, err := get(context.Background(), client, "a")
	var failure *rpc.Error
	is.True(errors.As(err, &failure))
	is.Equal(failure.Kind, rpc.KindUnreachable)
}

// Without an idle timeout, connections whose peers are gone would use up a server's limit on connections.
func TestSilentConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := rpc.NewServer(1, nil).WithIdleTimeout(100 * time.Millisecond)
	is.NoErr(server.Register("Echo", &echo{}))
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	silent, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	time.Sleep(20 * time.Millisecond) // it takes the only slot
	client := rpc.NewClient(listener.Addr().String(), nil)
	defer func() { _ = client.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	got, err := get(ctx, client, "a")
	is.NoErr(err)
	is.Equal(got, "a")
}

// Shutdown must not wait for the idle timeout of connections without requests in progress.
func TestShutdownEndsIdleConnections(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := rpc.NewServer(0, nil).WithIdleTimeout(time.Hour)
	is.NoErr(server.Register("Echo", &echo{}))
	go func() { _ = server.Serve(listener) }()
	client := rpc.NewClient(listener.Addr().String(), nil)
	defer func() { _ = client.Close() }()
	_, err = get(context.Background(), client, "a")
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	is.NoErr(server.Shutdown(ctx))
}

// Guards against a message that is too large and ends the connection, with all calls in progress there.
func TestTooLargeRequestLeavesTheConnection(t *testing.T) {
	is := is.New(t)
	_, service, client := serve(t)
	answered := beginSlow(client)
	_, err := get(context.Background(), client, strings.Repeat("x", rpc.MaxMessageBytes))
	var failure *rpc.Error
	is.True(errors.As(err, &failure))
	is.Equal(failure.Kind, rpc.KindProtocol)
	is.Equal(err.Error(), "rpc: Echo.Get: the message is too large: 4194309 bytes, limit 4194304")
	close(service.release)
	is.NoErr(<-answered)
}

// As TestTooLargeRequestLeavesTheConnection, for an answer: the caller learns the reason.
func TestTooLargeAnswerIsAnError(t *testing.T) {
	is := is.New(t)
	_, service, client := serve(t)
	answered := beginSlow(client)
	_, err := get(context.Background(), client, "large")
	var failure *rpc.Error
	is.True(errors.As(err, &failure))
	is.Equal(failure.Kind, rpc.KindRemote)
	is.True(strings.Contains(err.Error(), "the message is too large"))
	close(service.release)
	is.NoErr(<-answered)
}
