package entry

import (
	"sync"

	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/wire"
)

// proposalWaiters delivers the reply to a proposal to the operator's call that waits
// for it.
type proposalWaiters struct {
	mu       sync.Mutex
	lastCall uint64
	byCall   map[uint64]chan *wire.ProposeReply
}

func newProposalWaiters() *proposalWaiters {
	return &proposalWaiters{byCall: make(map[uint64]chan *wire.ProposeReply)}
}

func (p *proposalWaiters) open() (uint64, <-chan *wire.ProposeReply) {
	reply := make(chan *wire.ProposeReply, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastCall++
	p.byCall[p.lastCall] = reply
	return p.lastCall, reply
}

func (p *proposalWaiters) close(call uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byCall, call)
}

func (p *proposalWaiters) deliver(cmd *core.ProposedCmd) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if waiter := p.byCall[cmd.Call]; waiter != nil {
		waiter <- cmd.Reply
		delete(p.byCall, cmd.Call)
	}
}
