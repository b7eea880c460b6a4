// Package pipenet provides an in-process network for tests in virtual time. Open connections
// can be black-holed, as a faulty middlebox does: data is dropped without an error,
// while new connections work.
package pipenet

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// errRefused means that an address has no listener.
var errRefused = errors.New("pipenet: connection refused")

// Network connects dialers to listeners by address. It is safe for concurrent use.
type Network struct {
	mu         sync.Mutex
	listeners  map[string]*listener
	open       map[*conn]struct{}
	dialCounts map[string]int
}

// New returns a network without listeners.
func New() *Network {
	return &Network{listeners: make(map[string]*listener), open: make(map[*conn]struct{}), dialCounts: make(map[string]int)}
}

// Listen returns a listener that accepts connections to an address.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{address: address, incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// DialContext connects to the listener of an address.
func (n *Network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.dialCounts[address]++
	n.mu.Unlock()
	if l == nil {
		return nil, errRefused
	}
	local, remote := net.Pipe()
	select {
	case l.incoming <- remote:
	case <-l.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c := &conn{Conn: local, network: n, blackholed: make(chan struct{}), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open[c] = struct{}{}
	return c, nil
}

// DialCount returns the number of dials to an address, failed ones included.
func (n *Network) DialCount(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dialCounts[address]
}

// Blackhole makes all currently open connections drop data permanently.
func (n *Network) Blackhole() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.open {
		close(c.blackholed)
		delete(n.open, c)
	}
}

func (n *Network) remove(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.open, c)
}

// conn is the dialer's end of a connection.
type conn struct {
	net.Conn
	network    *Network
	blackholed chan struct{}
	closing    sync.Once
	closed     chan struct{}
}

func (c *conn) isBlackholed() bool {
	select {
	case <-c.blackholed:
		return true
	default:
		return false
	}
}

// Read implements net.Conn. On a black-holed connection it blocks until Close.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if !c.isBlackholed() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write implements net.Conn. A black-holed connection discards the data and reports success.
func (c *conn) Write(data []byte) (int, error) {
	if c.isBlackholed() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.network.remove(c)
	c.closing.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// listener accepts the remote ends of connections.
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
