package rpc

import (
	"bufio"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"hollyfork.example/wire"
)

const (
	// MaxMessageBytes limits the encoded size of a message, in bytes.
	MaxMessageBytes = 4 << 20
	// MaxRequestsPerConnection limits the requests that a server handles concurrently for one connection. Further
	// requests are not read from the connection until one is finished.
	MaxRequestsPerConnection = 64

	writeTimeout = 5 * time.Second
)

// stream reads and writes length-delimited protobuf messages on a connection.
type stream struct {
	conn    net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	traffic *Traffic
}

func newStream(conn net.Conn, traffic *Traffic) *stream {
	counted := countingConn{Conn: conn, traffic: traffic}
	return &stream{
		conn:    conn,
		reader:  bufio.NewReader(counted),
		writer:  bufio.NewWriter(counted),
		traffic: traffic,
	}
}

func (s *stream) read(m proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}
	return options.UnmarshalFrom(s.reader, m)
}

// write sends a header and a body. It fails after writeTimeout if the peer does not read.
func (s *stream) write(header, body proto.Message) error {
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := protodelim.MarshalTo(s.writer, header); err != nil {
		return err
	}
	if _, err := protodelim.MarshalTo(s.writer, body); err != nil {
		return err
	}
	return s.writer.Flush()
}

// checkSize returns an error for a message that the peer would reject by ending the connection.
func checkSize(m proto.Message) error {
	if size := proto.Size(m); size > MaxMessageBytes {
		return fmt.Errorf("%w: %d bytes, limit %d", errTooLarge, size, MaxMessageBytes)
	}
	return nil
}

// readBody reads a message into body, or discards it if body is nil.
func (s *stream) readBody(body any) error {
	m, ok := body.(proto.Message)
	if !ok {
		m = &wire.RequestHeader{}
	}
	return s.read(m)
}

// clientCodec implements rpc.ClientCodec.
type clientCodec struct {
	*stream
}

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	m, ok := body.(proto.Message)
	if !ok {
		return newError("write request", KindProtocol, errNotProto)
	}
	return c.write(&wire.RequestHeader{Method: r.ServiceMethod, Sequence: r.Seq}, m)
}

func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	header := &wire.ResponseHeader{}
	if err := c.read(header); err != nil {
		return err
	}
	r.ServiceMethod = header.GetMethod()
	r.Seq = header.GetSequence()
	r.Error = header.GetError()
	return nil
}

func (c clientCodec) ReadResponseBody(body any) error {
	return c.readBody(body)
}

func (c clientCodec) Close() error {
	return c.conn.Close()
}

// serverCodec implements rpc.ServerCodec.
type serverCodec struct {
	*stream
	slots chan struct{}
	once  *sync.Once
	// beforeRead is called before each read of a request header.
	beforeRead func()
}

func newServerCodec(conn net.Conn, traffic *Traffic, await func()) serverCodec {
	return serverCodec{
		beforeRead: await,
		stream:     newStream(conn, traffic),
		slots:      make(chan struct{}, MaxRequestsPerConnection),
		once:       &sync.Once{},
	}
}

func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.beforeRead()
	header := &wire.RequestHeader{}
	if err := c.read(header); err != nil {
		return err
	}
	c.slots <- struct{}{}
	c.traffic.Requests.Add(1)
	r.ServiceMethod = header.GetMethod()
	r.Seq = header.GetSequence()
	return nil
}

func (c serverCodec) ReadRequestBody(body any) error {
	return c.readBody(body)
}

// WriteResponse implements rpc.ServerCodec. net/rpc calls it once for each request header, so it frees the request's
// slot.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-c.slots }()
	m, ok := body.(proto.Message)
	if !ok {
		m = &wire.ResponseHeader{}
	}
	header := &wire.ResponseHeader{Method: r.ServiceMethod, Sequence: r.Seq, Error: r.Error}
	if err := checkSize(m); err != nil {
		header.Error, m = "answer: "+err.Error(), &wire.ResponseHeader{}
	}
	err := c.write(header, m)
	if err != nil {
		_ = c.conn.Close()
	}
	return err
}

func (c serverCodec) Close() error {
	var err error
	c.once.Do(func() { err = c.conn.Close() })
	return err
}
