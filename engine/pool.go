// Package engine sends steps to the model engines and reports their replies: one
// long-lived stream for each engine, with a goroutine that writes and one that
// reads. It makes no decisions; it reports the steps that were not sent or lost.
package engine

import (
	"sync"

	"github.com/hoistjunction/hoistjunction/core"
)

// Reporter receives replies and failures of the engines. It may be called from
// many goroutines at once.
type Reporter func(core.Msg)

// Pool holds the open streams to engines.
type Pool struct {
	node   uint64
	report Reporter
	// ring is the capacity of the send ring of each stream.
	ring int

	mu     sync.Mutex
	links  map[string]*link
	closed bool
	wg     sync.WaitGroup
}

// Option configures a Pool.
type Option func(*Pool)

// WithRingCapacity sets how many messages may wait to be sent to one engine.
func WithRingCapacity(capacity int) Option { return func(p *Pool) { p.ring = capacity } }

// defaultRingCapacity exceeds the number of generations that an engine accepts.
const defaultRingCapacity = 4096

// NewPool returns a pool without streams. The parameter node is the node's
// incarnation, which identifies the node to the engines.
func NewPool(node uint64, report Reporter, opts ...Option) *Pool {
	p := &Pool{node: node, report: report, ring: defaultRingCapacity, links: make(map[string]*link)}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Step queues a step for the engine, and opens a stream if there is none. It
// returns nil, or a failure message if the ring is full or the pool is closed.
func (p *Pool) Step(cmd *core.StepCmd) core.Msg {
	l := p.link(cmd.Upstream, cmd.Address)
	if l == nil || !l.ring.Offer(outgoing{step: cmd}) {
		return notSentMsg(cmd)
	}
	return nil
}

// End asks an engine to free a generation, if a stream to the engine is open.
func (p *Pool) End(cmd *core.EndCmd) {
	p.mu.Lock()
	l := p.links[cmd.Upstream]
	p.mu.Unlock()
	if l != nil {
		l.ring.Offer(outgoing{end: cmd})
	}
}

// Close closes all streams and waits for their goroutines.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	for _, l := range p.links {
		l.stop()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// link returns the stream to an engine, and opens it if necessary. A stream to the
// same name at another address belongs to an earlier incarnation and is closed.
func (p *Pool) link(name, address string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	l := p.links[name]
	if l != nil && l.address == address {
		return l
	}
	if l != nil {
		l.stop()
	}
	l = newLink(p, name, address)
	p.links[name] = l
	p.wg.Go(l.run)
	return l
}

// removeLink removes a broken stream, so that the next step opens a new one.
func (p *Pool) removeLink(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[l.name] == l {
		delete(p.links, l.name)
	}
}

func notSentMsg(cmd *core.StepCmd) core.Msg {
	return core.StepFailedMsg{
		Upstream: cmd.Upstream, Request: cmd.Request, Generation: cmd.Generation,
		Position: cmd.Position, Fault: core.StepNotSent,
	}
}
