package holder

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/phuslu/log"

	"hollyfork.example/hollyfork/clock/clocktest"
	"hollyfork.example/hollyfork/malformed"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/rpc"
	"hollyfork.example/wire/poolpb"
)

// noticeRecorder is a notice service that records the notices it receives.
type noticeRecorder chan *poolpb.NoticeRequest

// Tell accepts a notice, as the holder's process does.
func (t noticeRecorder) Tell(request *poolpb.NoticeRequest, reply *poolpb.NoticeReply) error {
	t <- request
	reply.Taken = true
	return nil
}

// newNoticeSender returns a host that sends its notices to another process, and those notices.
func newNoticeSender(t *testing.T) (*Host, noticeRecorder) {
	t.Helper()
	is := is.New(t)
	notices := make(noticeRecorder, 2)
	server := rpc.NewServer(0, nil)
	is.NoErr(server.Register(NoticeServiceName, notices))
	config := net.ListenConfig{}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	host := New("pool", "relay", "10.0.0.9:1", pool.DefaultSettings(), Deps{Clock: clocktest.New(), Logger: logger, Malformed: malformed.New(logger, metrics.NewSet())})
	host.setNoticeTarget(listener.Addr().String())
	return host, notices
}

// A gateway on standby sends notices to a relay, which forwards them to the holder. If a relay has a wrong address of
// the holder, notices must not circulate.
func TestNoticesAreForwardedOnce(t *testing.T) {
	is := is.New(t)
	host, notices := newNoticeSender(t)
	service := NewNoticeService(func(string) (*Host, bool) { return host, true })
	is.NoErr(service.Tell(&poolpb.NoticeRequest{Pool: "pool", Name: "job/1/spec"}, &poolpb.NoticeReply{}))
	select {
	case forwarded := <-notices:
		is.Equal(forwarded.GetName(), "job/1/spec")
		is.True(forwarded.GetForwarded())
	case <-time.After(10 * time.Second):
		t.Fatal("the notice was not forwarded")
	}
	is.NoErr(service.Tell(&poolpb.NoticeRequest{Pool: "pool", Name: "job/2/spec", Forwarded: true}, &poolpb.NoticeReply{}))
	select {
	case <-notices:
		t.Fatal("a notice was forwarded twice")
	case <-time.After(100 * time.Millisecond):
	}
}
