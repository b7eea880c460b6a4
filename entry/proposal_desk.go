package entry

import (
	"sync"

	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/wire"
)

// proposalWaiters finds the operator's call that waits for a proposal's answer.
type proposalWaiters struct {
	mu       sync.Mutex
	lastCall uint64
	byCall   map[uint64]chan *wire.ProposeReply
}

func newProposalWaiters() *proposalWaiters {
	return &proposalWaiters{byCall: make(map[uint64]chan *wire.ProposeReply)}
}

func (d *proposalWaiters) open() (uint64, <-chan *wire.ProposeReply) {
	answer := make(chan *wire.ProposeReply, 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastCall++
	d.byCall[d.lastCall] = answer
	return d.lastCall, answer
}

func (d *proposalWaiters) close(call uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.byCall, call)
}

func (d *proposalWaiters) deliver(cmd *core.ProposedCmd) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w := d.byCall[cmd.Call]; w != nil {
		w <- cmd.Reply
		delete(d.byCall, cmd.Call)
	}
}
