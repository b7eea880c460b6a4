// Package engine carries steps to the model engines and their answers back:
// one long stream for each engine, with a goroutine that writes and one that
// reads. It decides nothing; what it could not send, or lost, it reports.
package engine

import (
	"sync"

	"github.com/hoistjunction/hoistjunction/core"
)

// Reporter takes in what happens at the engines. It may be called from many
// goroutines.
type Reporter func(core.Msg)

// Pool holds the streams to all engines in use.
type Pool struct {
	node   uint64
	report Reporter
	ring   int

	mu     sync.Mutex
	links  map[string]*link
	closed bool
	wg     sync.WaitGroup
}

// Option sets up a Pool.
type Option func(*Pool)

// WithRingCapacity sets how many steps may wait for one engine's stream.
func WithRingCapacity(capacity int) Option { return func(p *Pool) { p.ring = capacity } }

// defaultRingCapacity holds more steps than an engine takes generations.
const defaultRingCapacity = 4096

// NewPool returns a pool without streams. The node's incarnation names it to
// the engines.
func NewPool(node uint64, report Reporter, opts ...Option) *Pool {
	p := &Pool{node: node, report: report, ring: defaultRingCapacity, links: make(map[string]*link)}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Step sends a step, and opens a stream where there is none. When there is no
// room it returns the message that says so, and else nil.
func (p *Pool) Step(cmd *core.StepCmd) core.Msg {
	l := p.link(cmd.Upstream, cmd.Address)
	if l == nil || !l.ring.Offer(outgoing{step: cmd}) {
		return notSentMsg(cmd)
	}
	return nil
}

// End tells an engine to free a generation, if there is a stream to it.
func (p *Pool) End(cmd *core.EndCmd) {
	p.mu.Lock()
	l := p.links[cmd.Upstream]
	p.mu.Unlock()
	if l != nil {
		l.ring.Offer(outgoing{end: cmd})
	}
}

// Close ends all streams and waits for their goroutines.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	for _, l := range p.links {
		l.stop()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// link returns the stream to an engine, opened if need be. A stream to the
// same name at another address is that of an earlier incarnation.
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

// removeLink takes a broken stream out, so that the next step opens another.
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
