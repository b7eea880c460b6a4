package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Mode is what a proxy does to the bytes that pass it.
type Mode int32

// The modes of a proxy.
const (
	// Pass passes everything on.
	Pass Mode = iota
	// Delay passes everything on late.
	Delay
	// Reset breaks every connection, and new ones.
	Reset
	// OneWay passes what callers send, and holds back what comes back.
	OneWay
	// Silence holds everything back.
	Silence
)

var modeNames = [...]string{"pass", "delay", "reset", "one_way", "silence"}

// String names the mode for the log.
func (m Mode) String() string { return modeNames[m] }

// proxyDelay is how late a Delay passes bytes on.
const proxyDelay = 120 * time.Millisecond

// holdPollInterval is how often held bytes look whether they may pass.
const holdPollInterval = 10 * time.Millisecond

// proxy stands between two processes on loopback.
type proxy struct {
	listener net.Listener
	mode     atomic.Int32
	mu       sync.Mutex
	target   string
	conns    map[net.Conn]bool
	// muted is closed when the connections that are open now go silent for good.
	muted chan struct{}
}

// newProxy returns a proxy without a target; it resets until it has one.
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

// set changes the mode. A reset breaks what is open.
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

// mute has the open connections say nothing any more, without a reset. New ones work.
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

func (p *proxy) serve(caller net.Conn) {
	p.mu.Lock()
	target, muted := p.target, p.muted
	p.mu.Unlock()
	if Mode(p.mode.Load()) == Reset || target == "" {
		reset(caller)
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		reset(caller)
		return
	}
	p.track(caller, true)
	p.track(server, true)
	// Each pump says when it has ended, and whether it is the one back to the caller.
	ended := make(chan bool, 2)
	go func() { p.forward(server, caller, false, muted); ended <- false }()
	go func() { p.forward(caller, server, true, muted); ended <- true }()
	for back := <-ended; back && isClosed(muted); back = <-ended {
		// The caller of a muted connection is not told that the server has ended it.
	}
	p.track(caller, false)
	p.track(server, false)
	_ = caller.Close()
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

// forward passes bytes one way, until the connection is muted. Back tells that they go to
// the caller.
func (p *proxy) forward(to, from net.Conn, back bool, muted <-chan struct{}) {
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
			p.awaitPass(back)
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			p.awaitPass(back)
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

// awaitPass waits until bytes may pass.
func (p *proxy) awaitPass(back bool) {
	for {
		switch Mode(p.mode.Load()) {
		case Pass, Reset:
			return
		case Delay:
			time.Sleep(proxyDelay)
			return
		case OneWay:
			if !back {
				return
			}
		case Silence:
		}
		time.Sleep(holdPollInterval)
	}
}

func (p *proxy) close() { _ = p.listener.Close() }
