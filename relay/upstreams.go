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
	// idleTimeout is how long a connection to an upstream is kept without
	// use. Upstreams close idle connections after a time of their own.
	idleTimeout = 4 * time.Second
	// maxIdlePerUpstream bounds the idle connections to one upstream, which takes a
	// bounded number from all nodes together.
	maxIdlePerUpstream = 24
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
	// singleUse makes a connection for each attempt.
	singleUse *http.Transport
	// backOffUntil is until when the upstream wants no request, in ms of the pool's clock, and
	// leaving tells that it gets none any more.
	backOffUntil atomic.Int64
	leaving      atomic.Bool
	// limitChangedAt is when a limit of the upstream has become known or has changed; zero for none.
	limitChangedAt atomic.Int64
	// lastMalformed is what it has said last that cannot be read.
	lastMalformed atomic.Pointer[string]
	// lastReadAt is when the last byte came on any of them, in ms of the pool's clock.
	lastReadAt atomic.Int64
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
			DialContext:        guardDialer(p.dial, func() { conns.lastReadAt.Store(int64(p.clock.Now())) }),
			DisableCompression: true, MaxIdleConnsPerHost: maxIdlePerUpstream, IdleConnTimeout: idleTimeout,
			ReadBufferSize: readBuffer, WriteBufferSize: writeBuffer,
		}
		conns.singleUse = conns.Clone()
		conns.singleUse.DisableKeepAlives = true
		p.conns[id] = conns
	}
	return conns
}

// block keeps requests from being written to an upstream that rests or is leaving: they may
// have been decided before that was known, and wait for a connection.
func (p *upstreamPool) block(id fleet.Incarnation, word UpstreamStatus) {
	if word.BackOff == 0 && !word.Leaving {
		return
	}
	conns := p.get(id)
	if word.Leaving {
		conns.leaving.Store(true)
	}
	until := int64(p.clock.Now().Add(word.BackOff))
	for known := conns.backOffUntil.Load(); known < until && !conns.backOffUntil.CompareAndSwap(known, until); known = conns.backOffUntil.Load() {
	}
}

// blocked tells whether no request may be written to an upstream now.
func (p *upstreamPool) blocked(conns *upstreamConns) bool {
	return conns.leaving.Load() || int64(p.clock.Now()) < conns.backOffUntil.Load()
}

// recordLimit notes that a limit of an upstream has become known, or that it has ended.
func (p *upstreamPool) recordLimit(id fleet.Incarnation, limited bool) {
	at := int64(0)
	if limited {
		at = max(1, int64(p.clock.Now()))
	}
	p.get(id).limitChangedAt.Store(at)
}

// endsLimit tells whether an answer without a limit, to a request that was sent at a time,
// may end the one that is known.
func (u *upstreamConns) endsLimit(sent clock.Millis) bool {
	at := u.limitChangedAt.Load()
	return at != 0 && int64(sent) > at
}

// isNewMalformed notes what cannot be read, and tells whether the upstream has not said the
// same last.
func (u *upstreamConns) isNewMalformed(text string) bool {
	last := u.lastMalformed.Swap(&text)
	return last == nil || *last != text
}

// roundTripper returns what an attempt goes out with: a connection of its own, or one that may
// have been kept.
func (u *upstreamConns) roundTripper(own bool) http.RoundTripper {
	if own {
		return u.singleUse
	}
	return u.Transport
}

// closeIdleIfSilent closes the idle connections to an upstream that has brought nothing
// since a time, on any connection. Connections may go silent for good: those that are
// kept may be as silent as the one on which an answer is missing.
func (u *upstreamConns) closeIdleIfSilent(since clock.Millis) {
	if clock.Millis(u.lastReadAt.Load()) <= since {
		u.CloseIdleConnections()
	}
}

// remove closes the idle connections to an upstream that is gone.
func (p *upstreamPool) remove(id fleet.Incarnation) {
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
