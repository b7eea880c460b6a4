package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
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
	dial dialFunc
	mu   sync.Mutex
	byID map[string]*http.Transport
}

func newUpstreamPool(dial dialFunc) *upstreamPool {
	return &upstreamPool{dial: guarded(dial), byID: make(map[string]*http.Transport)}
}

// get returns the connections to an upstream.
func (p *upstreamPool) get(id string) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.byID[id]
	if !ok {
		t = &http.Transport{
			DialContext: p.dial, DisableCompression: true, MaxIdleConnsPerHost: idleEach,
			IdleConnTimeout: idleUpstream, ReadBufferSize: readBuffer, WriteBufferSize: writeBuffer,
		}
		p.byID[id] = t
	}
	return t
}

// drop closes the idle connections to an upstream that is gone.
func (p *upstreamPool) drop(id string) {
	p.mu.Lock()
	t, ok := p.byID[id]
	delete(p.byID, id)
	p.mu.Unlock()
	if ok {
		t.CloseIdleConnections()
	}
}

func (p *upstreamPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.byID {
		t.CloseIdleConnections()
	}
}
