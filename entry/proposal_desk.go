package entry

import (
	"sync"

	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/wire"
)

// proposalDesk finds the operator's call that waits for a proposal's answer.
type proposalDesk struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan *wire.ProposeReply
}

func newProposalDesk() *proposalDesk {
	return &proposalDesk{waiting: make(map[uint64]chan *wire.ProposeReply)}
}

func (d *proposalDesk) open() (uint64, <-chan *wire.ProposeReply) {
	answer := make(chan *wire.ProposeReply, 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.last++
	d.waiting[d.last] = answer
	return d.last, answer
}

func (d *proposalDesk) close(call uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, call)
}

func (d *proposalDesk) answer(cmd *core.ProposedCmd) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w := d.waiting[cmd.Call]; w != nil {
		w <- cmd.Reply
		delete(d.waiting, cmd.Call)
	}
}
