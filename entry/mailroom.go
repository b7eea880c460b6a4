package entry

import (
	"sync"

	"github.com/hoistjunction/hoistjunction/core"
)

// mailboxRegistry finds mailboxes by the caller's number.
type mailboxRegistry struct {
	mu         sync.Mutex
	lastCaller uint64
	byCaller   map[uint64]*mailbox
}

func newMailboxRegistry() *mailboxRegistry {
	return &mailboxRegistry{byCaller: make(map[uint64]*mailbox)}
}

// open returns a new mailbox and its caller's number.
func (r *mailboxRegistry) open() (uint64, *mailbox) {
	box := newMailbox()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastCaller++
	r.byCaller[r.lastCaller] = box
	return r.lastCaller, box
}

func (r *mailboxRegistry) close(caller uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byCaller, caller)
}

func (r *mailboxRegistry) get(caller uint64) *mailbox {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byCaller[caller]
}

func (r *mailboxRegistry) emit(cmd *core.EmitCmd) {
	for _, caller := range cmd.Callers {
		if box := r.get(caller); box != nil {
			box.emit(cmd.Texts)
		}
	}
}

func (r *mailboxRegistry) finish(cmd *core.FinishCmd) {
	if box := r.get(cmd.Caller); box != nil {
		box.finish(cmd)
	}
}

func (r *mailboxRegistry) setTickets(cmd *core.TicketsCmd) {
	if box := r.get(cmd.Caller); box != nil {
		box.setTickets(cmd)
	}
}
