package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

const (
	// idleUpstream is how long a connection to an upstream is kept without
	// use. Upstreams close idle connections after a time of their own.
	idleUpstream = 4 * time.Second
	// idleEach bounds the idle connections to one upstream, which takes a
	// bounded number from all nodes together.
	idleEach = 24
	// readBuffer and writeBuffer are the bytes that a connection to an
	// upstream buffers; events are under 1 KB.
	readBuffer  = 4 << 10
	writeBuffer = 2 << 10
)

// dialFunc connects to an address.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// upstreamPool holds connections to upstreams, apart for each incarnation: a
// connection is never used for another one that got the same address.
type upstreamPool struct {
	dial  dialFunc
	clock *clock.Clock
	mu    sync.Mutex
	conns map[fleet.Incarnation]*upstreamConns
}

// upstreamConns are the connections to one upstream.
type upstreamConns struct {
	*http.Transport
	// single makes a connection for each attempt.
	single *http.Transport
	// restUntil is until when the upstream wants no request, in ms of the pool's clock, and
	// leaving tells that it gets none any more.
	restUntil atomic.Int64
	leaving   atomic.Bool
	// limitedAt is when a limit of the upstream has become known or has changed; zero for none.
	limitedAt atomic.Int64
	// unread is what it has said last that cannot be read.
	unread atomic.Pointer[string]
	// heard is when the last byte came on any of them, in ms of the pool's clock.
	heard atomic.Int64
}

func newUpstreamPool(dial dialFunc, c *clock.Clock) *upstreamPool {
	return &upstreamPool{dial: dial, clock: c, conns: make(map[fleet.Incarnation]*upstreamConns)}
}

// get returns the connections to an upstream.
func (p *upstreamPool) get(id fleet.Incarnation) *upstreamConns {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns, ok := p.conns[id]
	if !ok {
		conns = &upstreamConns{}
		conns.Transport = &http.Transport{
			DialContext:        guarded(p.dial, func() { conns.heard.Store(int64(p.clock.Now())) }),
			DisableCompression: true, MaxIdleConnsPerHost: idleEach, IdleConnTimeout: idleUpstream,
			ReadBufferSize: readBuffer, WriteBufferSize: writeBuffer,
		}
		conns.single = conns.Clone()
		conns.single.DisableKeepAlives = true
		p.conns[id] = conns
	}
	return conns
}

// bar keeps requests from being written to an upstream that rests or is leaving: they may
// have been decided before that was known, and wait for a connection.
func (p *upstreamPool) bar(id fleet.Incarnation, word Word) {
	if word.Rest == 0 && !word.Leaving {
		return
	}
	conns := p.get(id)
	if word.Leaving {
		conns.leaving.Store(true)
	}
	until := int64(p.clock.Now().Add(word.Rest))
	for known := conns.restUntil.Load(); known < until && !conns.restUntil.CompareAndSwap(known, until); known = conns.restUntil.Load() {
	}
}

// barred tells whether no request may be written to an upstream now.
func (p *upstreamPool) barred(conns *upstreamConns) bool {
	return conns.leaving.Load() || int64(p.clock.Now()) < conns.restUntil.Load()
}

// noteLimit notes that a limit of an upstream has become known, or that it has ended.
func (p *upstreamPool) noteLimit(id fleet.Incarnation, limited bool) {
	at := int64(0)
	if limited {
		at = max(1, int64(p.clock.Now()))
	}
	p.get(id).limitedAt.Store(at)
}

// limitEnds tells whether an answer without a limit, to a request that was sent at a time,
// may end the one that is known.
func (u *upstreamConns) limitEnds(sent clock.Millis) bool {
	at := u.limitedAt.Load()
	return at != 0 && int64(sent) > at
}

// unreadIsNews notes what cannot be read, and tells whether the upstream has not said the
// same last.
func (u *upstreamConns) unreadIsNews(text string) bool {
	last := u.unread.Swap(&text)
	return last == nil || *last != text
}

// choose returns what an attempt goes out with: a connection of its own, or one that may
// have been kept.
func (u *upstreamConns) choose(own bool) http.RoundTripper {
	if own {
		return u.single
	}
	return u.Transport
}

// renewUnheard closes the idle connections to an upstream that has brought nothing
// since a time, on any connection. Connections may go silent for good: those that are
// kept may be as silent as the one on which an answer is missing.
func (u *upstreamConns) renewUnheard(since clock.Millis) {
	if clock.Millis(u.heard.Load()) <= since {
		u.CloseIdleConnections()
	}
}

// drop closes the idle connections to an upstream that is gone.
func (p *upstreamPool) drop(id fleet.Incarnation) {
	p.mu.Lock()
	conns, ok := p.conns[id]
	delete(p.conns, id)
	p.mu.Unlock()
	if ok {
		conns.CloseIdleConnections()
	}
}

// closeIdle closes all idle connections.
func (p *upstreamPool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.conns {
		conns.CloseIdleConnections()
	}
}
