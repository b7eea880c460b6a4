// Package pipenet is a network inside the process, for tests in virtual time. Its
// connections can be made silent for good, as a broken middlebox does it: nothing that
// is sent arrives any more, nothing says so, and new connections work.
package pipenet

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// errRefused is the error of a connection to an address at which nobody listens.
var errRefused = errors.New("pipenet: nobody listens there")

// Network connects addresses. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	open      map[*conn]struct{}
	dials     map[string]int
}

// New returns a network at which nobody listens.
func New() *Network {
	return &Network{listeners: make(map[string]*listener), open: make(map[*conn]struct{}), dials: make(map[string]int)}
}

// Listen takes connections to an address.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{address: address, incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// DialContext connects to an address.
func (n *Network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.dials[address]++
	n.mu.Unlock()
	if l == nil {
		return nil, errRefused
	}
	near, far := net.Pipe()
	select {
	case l.incoming <- far:
	case <-l.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c := &conn{Conn: near, network: n, muted: make(chan struct{}), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open[c] = struct{}{}
	return c, nil
}

// Dials returns how many connections to an address were asked for.
func (n *Network) Dials(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials[address]
}

// Mute makes all connections silent for good that are open now.
func (n *Network) Mute() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.open {
		close(c.muted)
		delete(n.open, c)
	}
}

func (n *Network) forget(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.open, c)
}

// conn is the dialling end of a connection.
type conn struct {
	net.Conn
	network *Network
	muted   chan struct{}
	closing sync.Once
	closed  chan struct{}
}

func (c *conn) silent() bool {
	select {
	case <-c.muted:
		return true
	default:
		return false
	}
}

// Read implements net.Conn. A silent connection does not even end.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if !c.silent() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write implements net.Conn. A silent connection takes what is written.
func (c *conn) Write(data []byte) (int, error) {
	if c.silent() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.network.forget(c)
	c.closing.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// listener hands over the far ends of connections.
type listener struct {
	address  string
	incoming chan net.Conn
	closing  sync.Once
	closed   chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closing.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

func (address) Network() string  { return "pipe" }
func (a address) String() string { return string(a) }
