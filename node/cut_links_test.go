package node_test

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/hoistjunction/hoistjunction/platform"
)

// linkCut is how the links to upstreams are cut.
type linkCut uint8

// Cuts of the links to upstreams.
const (
	linksWork linkCut = iota
	// linksSilent loses what is written, on open and on new connections.
	linksSilent
	// linksReset resets open connections and refuses new ones.
	linksReset
	// linksRefuseNew refuses new connections, while open ones live on.
	linksRefuseNew
	// linksOneWay delivers what is written and loses what comes back.
	linksOneWay
)

// upstreamLinks opens connections to upstreams and cuts them.
type upstreamLinks struct {
	mu    sync.Mutex
	cut   linkCut
	conns map[*linkConn]bool
	// spared holds the addresses to which the links always work.
	spared map[string]bool
}

func newUpstreamLinks() *upstreamLinks { return &upstreamLinks{conns: make(map[*linkConn]bool)} }

// set cuts or restores all links. Connections that were silent are reset when the links work again.
func (l *upstreamLinks) set(cut linkCut) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if cut == linksSilent || cut == linksOneWay || cut == linksRefuseNew {
		return
	}
	for c := range l.conns {
		_ = c.Close()
	}
	clear(l.conns)
}

// cutTo returns the cut of the links to an address.
func (l *upstreamLinks) cutTo(address string) linkCut {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.spared[address] {
		return linksWork
	}
	return l.cut
}

// DialContext opens a connection, as platform.Dialer does on the links as they are.
func (l *upstreamLinks) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := platform.Dialer()
	switch l.cutTo(address) {
	case linksReset, linksRefuseNew:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	case linksSilent, linksOneWay:
		ctx, cancel := context.WithTimeout(ctx, dialer.Timeout)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
	case linksWork:
	}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	linked := &linkConn{Conn: conn, links: l, address: address}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[linked] = true
	return linked, nil
}

// linkConn is a connection over links that may be cut.
type linkConn struct {
	net.Conn
	links   *upstreamLinks
	address string
}

// Read implements net.Conn. Data that arrives while the links are silent is lost.
func (c *linkConn) Read(data []byte) (int, error) {
	for {
		n, err := c.Conn.Read(data)
		if cut := c.links.cutTo(c.address); err != nil || cut != linksSilent && cut != linksOneWay {
			return n, err
		}
	}
}

// Write implements net.Conn. Data that is written while the links are silent is lost.
func (c *linkConn) Write(data []byte) (int, error) {
	if c.links.cutTo(c.address) == linksSilent {
		return len(data), nil
	}
	return c.Conn.Write(data)
}
