package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Mode is how a proxy treats the bytes that it forwards.
type Mode int32

// The modes of a proxy.
const (
	// Pass forwards everything at once.
	Pass Mode = iota
	// Delay forwards everything after proxyDelay.
	Delay
	// Reset resets all open connections and every new one.
	Reset
	// OneWay forwards the bytes from clients, and holds back those from the server.
	OneWay
	// Silence holds back the bytes of both directions.
	Silence
)

var modeNames = [...]string{"pass", "delay", "reset", "one_way", "silence"}

// String returns the name of the mode in the log.
func (m Mode) String() string { return modeNames[m] }

// proxyDelay is the delay of a chunk of bytes in mode Delay.
const proxyDelay = 120 * time.Millisecond

// holdPollInterval is the interval at which held bytes check whether the mode has changed.
const holdPollInterval = 10 * time.Millisecond

// proxy forwards TCP connections between two processes on loopback.
type proxy struct {
	listener net.Listener
	mode     atomic.Int32
	mu       sync.Mutex
	target   string
	conns    map[net.Conn]bool
	// muted is closed when the connections that are open now become silent for good; new
	// connections get a new channel.
	muted chan struct{}
}

// newProxy returns a proxy without a target. It resets every connection until setTarget is
// called.
func newProxy() (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, conns: make(map[net.Conn]bool), muted: make(chan struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = address
}

// set changes the mode. Reset also resets the open connections.
func (p *proxy) set(m Mode) {
	p.mode.Store(int32(m))
	if m != Reset {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// mute drops all further bytes of the open connections without closing them. New connections
// work.
func (p *proxy) mute() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.muted)
	p.muted = make(chan struct{})
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(client net.Conn) {
	p.mu.Lock()
	target, muted := p.target, p.muted
	p.mu.Unlock()
	if Mode(p.mode.Load()) == Reset || target == "" {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		reset(client)
		return
	}
	p.track(client, true)
	p.track(server, true)
	// Each direction sends on ended when it finishes: true for the direction to the client.
	ended := make(chan bool, 2)
	go func() { p.forward(server, client, false, muted); ended <- false }()
	go func() { p.forward(client, server, true, muted); ended <- true }()
	for toClient := <-ended; toClient && isClosed(muted); toClient = <-ended {
		// The client of a muted connection must not see that the server has closed it.
	}
	p.track(client, false)
	p.track(server, false)
	_ = client.Close()
	_ = server.Close()
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
}

// forward copies the bytes of one direction. From mute on it reads and drops them. ToClient
// reports whether the direction is to the client.
func (p *proxy) forward(to, from net.Conn, toClient bool, muted <-chan struct{}) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if isClosed(muted) {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			p.awaitPass(toClient)
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			p.awaitPass(toClient)
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// awaitPass waits until the mode lets the bytes of a direction pass.
func (p *proxy) awaitPass(toClient bool) {
	for {
		switch Mode(p.mode.Load()) {
		case Pass, Reset:
			return
		case Delay:
			time.Sleep(proxyDelay)
			return
		case OneWay:
			if !toClient {
				return
			}
		case Silence:
		}
		time.Sleep(holdPollInterval)
	}
}

func (p *proxy) close() { _ = p.listener.Close() }
