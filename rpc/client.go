package rpc

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
)

const dialTimeout = 2 * time.Second

var errClosed = errors.New("client is closed")

// Client calls one peer over a single connection. It dials on the first call, and again on the first call after a
// failure. Create it with NewClient. It is safe for concurrent use.
type Client struct {
	address string
	traffic *Traffic

	mu     sync.Mutex
	conn   *rpc.Client
	closed bool
}

// NewClient returns a client for the peer at an IP address and port. It does not dial yet. Traffic is not counted if
// traffic is nil.
func NewClient(address string, traffic *Traffic) *Client {
	if traffic == nil {
		traffic = &Traffic{}
	}
	return &Client{address: address, traffic: traffic}
}

// Address returns the peer's address.
func (c *Client) Address() string {
	return c.address
}

// Close closes the connection. Calls in progress fail with KindUnanswered, and
// later ones with KindClosed.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn == nil {
		return nil
	}
	conn := c.conn
	c.conn = nil
	return conn.Close()
}

// Reset closes the current connection, so that the next call dials a new one. It is meant for peers that have stopped
// answering: after a network failure, an old connection may hang for a long time.
func (c *Client) Reset() {
	c.mu.Lock()
	conn := c.conn
	c.conn = nil
	c.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// Call sends a request and waits for its answer until ctx is done. Each call allocates its own reply, so that a late
// answer is discarded and never reaches another request.
func Call[R any, P interface {
	*R
	proto.Message
}](ctx context.Context, c *Client, method string, request proto.Message) (P, error) {
	if err := checkSize(request); err != nil {
		return nil, newError(method, KindProtocol, err)
	}
	conn, err := c.connect(ctx)
	if err != nil {
		return nil, err
	}
	reply := P(new(R))
	call := conn.Go(method, request, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return nil, newError(method, KindUnanswered, ctx.Err())
	case <-call.Done:
	}
	if call.Error == nil {
		return reply, nil
	}
	return nil, c.classify(conn, method, call.Error)
}

// classify converts the error of a call to an *Error, and drops the connection unless the peer itself returned the
// error.
func (c *Client) classify(conn *rpc.Client, method string, err error) error {
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return newError(method, KindRemote, err)
	}
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	_ = conn.Close()
	return newError(method, KindUnanswered, err)
}

func (c *Client) connect(ctx context.Context) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, newError("dial", KindClosed, errClosed)
	}
	if c.conn != nil {
		return c.conn, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, newError("dial", KindUnreachable, err)
	}
	c.conn = rpc.NewClientWithCodec(clientCodec{newStream(conn, c.traffic)})
	return c.conn, nil
}
