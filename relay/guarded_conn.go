package relay

import (
	"context"
	"net"
	"sync/atomic"
)

// writeGuard is asked right before the first bytes of a request go out.
type writeGuard interface {
	// beforeWrite returns why the request must not be written; nil if it may.
	beforeWrite() error
	// nothingWritten takes back that it was written: none of its bytes went out.
	nothingWritten()
}

// guardedConn is a connection to an upstream. net/http decides by itself which
// connection a request goes out on, and writes it even if its context has ended
// in the meantime; it also repeats some requests on its own when a kept
// connection breaks. So the request's guard is asked here, at the write.
type guardedConn struct {
	net.Conn
	guard atomic.Pointer[writeGuard]
	// onRead is told of all that comes.
	onRead func()
}

// setGuard sets the guard of the request that is written next.
func (c *guardedConn) setGuard(g writeGuard) { c.guard.Store(&g) }

// Read implements net.Conn.
func (c *guardedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.onRead()
	}
	return n, err
}

// Write implements net.Conn. Only a request's first write asks its guard.
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

// guardDialer makes a dialer's connections guarded ones. Heard is told of all that comes
// on them.
func guardDialer(dial dialFunc, heard func()) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn, onRead: heard}, nil
	}
}
