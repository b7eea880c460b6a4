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
	"github.com/hoistjunction/hoistjunction/internal/httpanswer"
)

const (
	// idleTimeout is the time after which an idle connection to an upstream is closed.
	// Upstreams close idle connections after a timeout of their own.
	idleTimeout = 4 * time.Second
	// maxIdlePerUpstream bounds the idle connections to one upstream, since an upstream accepts
	// a bounded number of connections from all nodes together.
	maxIdlePerUpstream = 24
	// readBuffer and writeBuffer are the sizes in bytes of a connection's buffers; events are
	// under 1 KB.
	readBuffer  = 4 << 10
	writeBuffer = 2 << 10
)

// dialFunc connects to a network address.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// upstreamPool holds the connections to upstreams, separately for each incarnation: a
// connection is never reused for another incarnation at the same address.
type upstreamPool struct {
	dial  dialFunc
	clock *clock.Clock
	mu    sync.Mutex
	conns map[fleet.Incarnation]*upstreamConns
}

// upstreamConns holds the connections to one upstream.
type upstreamConns struct {
	*httpanswer.Transport
	// singleUse opens a new connection for each attempt.
	singleUse *httpanswer.Transport
	// backOffUntil is the time until which the upstream accepts no request, in ms of the pool's
	// clock, and leaving reports that it accepts no request any more.
	backOffUntil atomic.Int64
	leaving      atomic.Bool
	// limitChangedAt is the time at which the upstream's rate limit started or last changed;
	// zero without a limit.
	limitChangedAt atomic.Int64
	// lastMalformed is the last status text of the upstream that could not be parsed.
	lastMalformed atomic.Pointer[string]
	// lastReadAt is the time at which data last arrived on any of the connections, in ms of the
	// pool's clock.
	lastReadAt atomic.Int64
}

func newUpstreamPool(dial dialFunc, c *clock.Clock) *upstreamPool {
	return &upstreamPool{dial: dial, clock: c, conns: make(map[fleet.Incarnation]*upstreamConns)}
}

// get returns the connections to an upstream and creates them if needed.
func (p *upstreamPool) get(id fleet.Incarnation) *upstreamConns {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns, ok := p.conns[id]
	if !ok {
		conns = newUpstreamConns(p.dial, p.clock)
		p.conns[id] = conns
	}
	return conns
}

// newUpstreamConns returns connections that are opened by a function.
func newUpstreamConns(dial dialFunc, c *clock.Clock) *upstreamConns {
	conns := &upstreamConns{}
	pooled := &http.Transport{
		DialContext:        guardDialer(dial, func() { conns.lastReadAt.Store(int64(c.Now())) }),
		DisableCompression: true, MaxIdleConnsPerHost: maxIdlePerUpstream, IdleConnTimeout: idleTimeout,
		ReadBufferSize: readBuffer, WriteBufferSize: writeBuffer,
	}
	singleUse := pooled.Clone()
	singleUse.DisableKeepAlives = true
	conns.Transport, conns.singleUse = httpanswer.NewTransport(pooled), httpanswer.NewTransport(singleUse)
	return conns
}

// block stops requests to an upstream that requests a back-off or is leaving. This covers
// requests that were decided before and still wait for a connection.
func (p *upstreamPool) block(id fleet.Incarnation, status UpstreamStatus) {
	if status.BackOff == 0 && !status.Leaving {
		return
	}
	conns := p.get(id)
	if status.Leaving {
		conns.leaving.Store(true)
	}
	until := int64(p.clock.Now().AddFull(status.BackOff))
	for known := conns.backOffUntil.Load(); known < until && !conns.backOffUntil.CompareAndSwap(known, until); known = conns.backOffUntil.Load() {
	}
}

// blocked reports whether no request may be written to an upstream now.
func (p *upstreamPool) blocked(conns *upstreamConns) bool {
	return conns.leaving.Load() || int64(p.clock.Now()) < conns.backOffUntil.Load()
}

// recordLimit records that the rate limit of an upstream has started, changed or ended.
func (p *upstreamPool) recordLimit(id fleet.Incarnation, limited bool) {
	changedAt := int64(0)
	if limited {
		changedAt = max(1, int64(p.clock.Now()))
	}
	p.get(id).limitChangedAt.Store(changedAt)
}

// endsLimit reports whether an answer without an advertised limit ends the known limit. It
// does only if its request was sent after the limit last changed.
func (u *upstreamConns) endsLimit(sentAt clock.Millis) bool {
	at := u.limitChangedAt.Load()
	return at != 0 && int64(sentAt) > at
}

// isNewMalformed records a status text that cannot be parsed and reports whether it differs
// from the last one.
func (u *upstreamConns) isNewMalformed(text string) bool {
	last := u.lastMalformed.Swap(&text)
	return last == nil || *last != text
}

// roundTripper returns the transport of an attempt: one that opens a new connection, or the one
// with pooled connections.
func (u *upstreamConns) roundTripper(singleUse bool) http.RoundTripper {
	if singleUse {
		return u.singleUse
	}
	return u.Transport
}

// closeIdleIfSilent closes the idle connections to an upstream if no connection has received
// data since a time. Connections may stop carrying data without being closed, and the pooled
// ones may be affected like the one on which an answer is missing.
func (u *upstreamConns) closeIdleIfSilent(since clock.Millis) {
	if clock.Millis(u.lastReadAt.Load()) <= since {
		u.CloseIdleConnections()
	}
}

// remove closes the idle connections to an upstream that was removed from the list.
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
