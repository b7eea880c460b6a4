package entry

import (
	"sync"

	"github.com/hoistjunction/hoistjunction/core"
)

// mailroom finds mailboxes by the caller's number.
type mailroom struct {
	mu    sync.Mutex
	last  uint64
	boxes map[uint64]*mailbox
}

func newMailroom() *mailroom { return &mailroom{boxes: make(map[uint64]*mailbox)} }

// open returns a new mailbox and its caller's number.
func (r *mailroom) open() (uint64, *mailbox) {
	box := newMailbox()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	r.boxes[r.last] = box
	return r.last, box
}

func (r *mailroom) close(caller uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.boxes, caller)
}

func (r *mailroom) get(caller uint64) *mailbox {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.boxes[caller]
}

func (r *mailroom) emit(cmd *core.EmitCmd) {
	for _, caller := range cmd.Callers {
		if box := r.get(caller); box != nil {
			box.emit(cmd.Texts)
		}
	}
}

func (r *mailroom) finish(cmd *core.FinishCmd) {
	if box := r.get(cmd.Caller); box != nil {
		box.finish(cmd)
	}
}

func (r *mailroom) grant(cmd *core.TicketsCmd) {
	if box := r.get(cmd.Caller); box != nil {
		box.grant(cmd)
	}
}
