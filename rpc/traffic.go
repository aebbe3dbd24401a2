package rpc

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes and requests of connections. The zero value is ready for use.
type Traffic struct {
	// BytesIn and BytesOut count payload bytes, without TCP headers.
	BytesIn  atomic.Int64
	BytesOut atomic.Int64
	// Requests counts the requests that servers have begun to handle.
	Requests atomic.Int64
}

// countingConn is a net.Conn that counts the bytes read and written.
type countingConn struct {
	net.Conn

	traffic *Traffic
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.BytesIn.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.BytesOut.Add(int64(n))
	return n, err
}
