package rpc

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// DefaultMaxConnections is the limit on the connections of a server that is created without one.
const DefaultMaxConnections = 64

const drainPollInterval = 5 * time.Millisecond

// Server handles requests on a listener. Create it with NewServer.
type Server struct {
	rpc     *rpc.Server
	traffic *Traffic
	slots   chan struct{}

	// idleTimeout is the time after which a connection without requests is closed; 0 means never.
	idleTimeout time.Duration

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	closed   bool
}

// NewServer returns a server with at most maxConnections open connections. Further connections wait in the listener's
// queue. Traffic is not counted if traffic is nil.
func NewServer(maxConnections int, traffic *Traffic) *Server {
	if maxConnections <= 0 {
		maxConnections = DefaultMaxConnections
	}
	if traffic == nil {
		traffic = &Traffic{}
	}
	return &Server{
		rpc:     rpc.NewServer(),
		traffic: traffic,
		slots:   make(chan struct{}, maxConnections),
		conns:   map[net.Conn]struct{}{},
	}
}

// WithIdleTimeout makes the server close connections that send no request for a time, and returns the server. A peer
// may disappear without resetting its connection, which then still counts towards the limit on connections: after
// eight such connections, an agent with a limit of eight could never be reached by a ninth holder. WithIdleTimeout
// must be called before Serve.
func (s *Server) WithIdleTimeout(after time.Duration) *Server {
	s.idleTimeout = after
	return s
}

// Register publishes the methods of service under name. It must be called before Serve.
func (s *Server) Register(name string, service any) error {
	if err := s.rpc.RegisterName(name, service); err != nil {
		return newError("register "+name, KindProtocol, err)
	}
	return nil
}

// Serve accepts connections until Shutdown or Close is called, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return listener.Close()
	}
	for {
		s.slots <- struct{}{}
		conn, err := listener.Accept()
		if err != nil {
			<-s.slots
			if s.isClosed() || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return newError("accept", KindProtocol, err)
		}
		go s.serveConn(conn)
	}
}

func (s *Server) serveConn(conn net.Conn) {
	defer func() { <-s.slots }()
	if !s.track(conn) {
		_ = conn.Close()
		return
	}
	s.rpc.ServeCodec(newServerCodec(conn, s.traffic, func() { s.setIdleDeadline(conn) }))
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

// setIdleDeadline sets the read deadline for a connection's next request, unless the server is stopping.
func (s *Server) setIdleDeadline(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idleTimeout > 0 && !s.closed {
		_ = conn.SetReadDeadline(time.Now().Add(s.idleTimeout)) // fails only if the connection is closed
	}
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *Server) noConnections() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) == 0
}

// Shutdown stops accepting connections and requests, waits until every request in progress is answered or ctx is
// done, and closes the server.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopAccepting()
	s.stopReading()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !s.noConnections() {
		select {
		case <-ctx.Done():
			_ = s.Close()
			return newError("shutdown", KindClosed, ctx.Err())
		case <-ticker.C:
		}
	}
	return s.Close()
}

// stopReading makes the pending reads of requests fail. net/rpc then answers the requests that it has read and closes
// the connections.
func (s *Server) stopReading() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	}
}

func (s *Server) stopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() error {
	s.stopAccepting()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	return nil
}
