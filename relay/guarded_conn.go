package relay

import (
	"context"
	"net"
	"sync/atomic"
)

// writeGuard is called immediately before the first bytes of a request are written.
type writeGuard interface {
	// beforeWrite returns an error if the request must not be written.
	beforeWrite() error
	// nothingWritten reports that the write failed before any byte was written.
	nothingWritten()
}

// guardedConn is a connection to an upstream that checks each request before it is written.
// net/http chooses the connection of a request itself, writes the request even if its context
// has ended meanwhile, and resends some requests when a pooled connection breaks. Therefore the
// request's guard is called in Write.
type guardedConn struct {
	net.Conn
	guard atomic.Pointer[writeGuard]
	// onRead is called after each read that returned data.
	onRead func()
}

// guardedConnOf returns the guarded connection that a connection is or wraps; nil if there is none.
func guardedConnOf(c net.Conn) *guardedConn {
	for {
		switch inner := c.(type) {
		case *guardedConn:
			return inner
		case interface{ NetConn() net.Conn }:
			c = inner.NetConn()
		default:
			return nil
		}
	}
}

// NetConn returns the wrapped connection.
func (c *guardedConn) NetConn() net.Conn { return c.Conn }

// setGuard sets the guard for the next request on the connection.
func (c *guardedConn) setGuard(g writeGuard) { c.guard.Store(&g) }

// Read implements net.Conn.
func (c *guardedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.onRead()
	}
	return n, err
}

// Write implements net.Conn. Only the first write of a request calls its guard.
func (c *guardedConn) Write(data []byte) (int, error) {
	guard := c.guard.Swap(nil)
	if guard == nil {
		return c.Conn.Write(data)
	}
	if err := (*guard).beforeWrite(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(data)
	if n == 0 && err != nil {
		(*guard).nothingWritten()
	}
	return n, err
}

// guardDialer returns a dialer whose connections are guarded. onRead is called after each read
// that returned data.
func guardDialer(dial dialFunc, onRead func()) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn, onRead: onRead}, nil
	}
}
