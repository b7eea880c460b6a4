package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

// simConnectTimeout bounds the time for a new connection, as platform.Dialer does.
const simConnectTimeout = 400 * time.Millisecond

var errRefused = errors.New("connection refused")

// simNet is a network in memory. Its connections may go silent permanently, and its hosts may be
// frozen, killed or cut off from each other.
type simNet struct {
	mu        sync.Mutex
	listeners map[string]*simListener
	// links holds the open connections in the order in which they were opened.
	links      []*simLink
	linkCounts map[[2]string]int
	frozen     map[string]bool
	// cut holds the pairs of hosts that cannot reach each other.
	cut map[[2]string]bool
	// off holds the hosts that are switched off. A connection attempt to such a host fails only
	// when it times out, even if the host is switched on meanwhile, since its first packet is
	// lost.
	off map[string]bool
	// changed is closed and replaced when frozen or cut changes.
	changed chan struct{}
	// sendDelay draws the delay of a write by a busy processor.
	sendDelay func() time.Duration
}

func newSimNet() *simNet {
	return &simNet{
		listeners: make(map[string]*simListener), frozen: make(map[string]bool),
		cut: make(map[[2]string]bool), off: make(map[string]bool), linkCounts: make(map[[2]string]int), changed: make(chan struct{}),
		sendDelay: func() time.Duration { return 0 },
	}
}

// jitter delays each write by a random time below a maximum, as on a host with a busy
// processor.
func (n *simNet) jitter(seed uint64, maxDelay time.Duration) {
	if maxDelay <= 0 {
		return
	}
	random := rand.New(rand.NewPCG(seed, 1))
	n.sendDelay = func() time.Duration {
		n.mu.Lock()
		defer n.mu.Unlock()
		return time.Duration(random.Int64N(int64(maxDelay)))
	}
}

// simLink is a connection between two hosts.
type simLink struct {
	net      *simNet
	from, to string
	// number is the count of connections from one host to the other, this one included.
	number int
	silent chan struct{}
	once   sync.Once
}

// mute makes the connection silent: data that is written later is lost, and neither end notices
// when the other end closes the connection.
func (l *simLink) mute() { l.once.Do(func() { close(l.silent) }) }

func (l *simLink) muted() bool {
	select {
	case <-l.silent:
		return true
	default:
		return false
	}
}

// simConn is one end of a link.
type simConn struct {
	net.Conn
	link      *simLink
	local     string
	remote    string
	closed    chan struct{}
	closeOnce sync.Once
}

type simAddr string

func (simAddr) Network() string  { return "sim" }
func (a simAddr) String() string { return string(a) }

func (c *simConn) LocalAddr() net.Addr  { return simAddr(c.local + ":1") }
func (c *simConn) RemoteAddr() net.Addr { return simAddr(c.remote + ":1") }

// Write writes the data once both hosts can reach each other.
func (c *simConn) Write(p []byte) (int, error) {
	if wait := c.link.net.sendDelay(); wait > 0 {
		time.Sleep(wait)
	}
	for {
		passable, changed := c.link.net.canPass(c.local, c.remote)
		switch {
		case c.link.muted():
			return len(p), nil
		case passable:
			return c.Conn.Write(p)
		}
		select {
		case <-changed:
		case <-c.link.silent:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
}

// Close closes the connection. If it is silent, the other end does not notice.
func (c *simConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	if c.link.muted() {
		return c.SetDeadline(time.Unix(1, 0))
	}
	return c.Conn.Close()
}

// canPass reports whether two hosts can reach each other, and returns a channel that is closed
// when that may change.
func (n *simNet) canPass(a, b string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.frozen[a] && !n.frozen[b] && !n.cut[pair(a, b)], n.changed
}

func pair(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

// update changes the sets of frozen hosts and cut pairs.
func (n *simNet) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	close(n.changed)
	n.changed = make(chan struct{})
}

// muteLinks mutes each open connection with a probability, or only those of a host if one is
// given. The random choice depends on the two hosts and on the number of connections between
// them, not on the order of goroutines.
func (n *simNet) muteLinks(seed uint64, share float64, host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links = slices.DeleteFunc(n.links, func(l *simLink) bool {
		random := rand.New(rand.NewPCG(seed, hash(fmt.Sprint(l.from, l.to, l.number))))
		if host != "" && l.from != host && l.to != host || random.Float64() >= share {
			return false
		}
		l.mute()
		return true
	})
}

// dial returns the dialer of a host.
func (n *simNet) dial(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(ctx, simConnectTimeout)
		defer cancel()
		for {
			n.mu.Lock()
			cut, off, changed, listener := n.cut[pair(from, host)], n.off[host], n.changed, n.listeners[host]
			n.mu.Unlock()
			if off {
				<-ctx.Done()
				return nil, &net.OpError{Op: "dial", Net: "sim", Err: os.ErrDeadlineExceeded}
			}
			if !cut {
				return n.open(from, host, listener)
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return nil, os.ErrDeadlineExceeded
			}
		}
	}
}

func (n *simNet) open(from, to string, listener *simListener) (net.Conn, error) {
	if listener == nil {
		return nil, errRefused
	}
	near, far := net.Pipe()
	link := &simLink{net: n, from: from, to: to, silent: make(chan struct{})}
	dialed := &simConn{Conn: near, link: link, local: from, remote: to, closed: make(chan struct{})}
	accepted := &simConn{Conn: far, link: link, local: to, remote: from, closed: make(chan struct{})}
	if !listener.offer(accepted) {
		return nil, errRefused
	}
	n.mu.Lock()
	n.linkCounts[[2]string{from, to}]++
	link.number = n.linkCounts[[2]string{from, to}]
	n.links = append(n.links, link)
	n.mu.Unlock()
	listener.addPipes(near, far)
	return dialed, nil
}

// listen returns the listener of a host.
func (n *simNet) listen(host string) *simListener {
	l := &simListener{host: host, net: n, accepted: make(chan net.Conn, 64), closed: make(chan struct{})}
	n.mu.Lock()
	n.listeners[host] = l
	n.mu.Unlock()
	return l
}

// simListener accepts connections. It keeps the pipes so that it can close them even if they are
// silent.
type simListener struct {
	host     string
	net      *simNet
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
	mu       sync.Mutex
	pipes    []net.Conn
}

func (l *simListener) offer(c net.Conn) bool {
	select {
	case <-l.closed:
		return false
	case l.accepted <- c:
		return true
	}
}

func (l *simListener) addPipes(pipes ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pipes = append(l.pipes, pipes...)
}

// Accept implements net.Listener.
func (l *simListener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	case c := <-l.accepted:
		return c, nil
	}
}

// Close implements net.Listener. It also closes open connections, as the end of a process does.
func (l *simListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	l.net.mu.Lock()
	if l.net.listeners[l.host] == l {
		delete(l.net.listeners, l.host)
	}
	l.net.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.pipes {
		_ = p.Close()
	}
	return nil
}

// Addr implements net.Listener.
func (l *simListener) Addr() net.Addr { return simAddr(l.host + ":1") }
