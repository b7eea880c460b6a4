package entry

import (
	"slices"
	"sync"

	"github.com/hoistjunction/hoistjunction/core"
)

// mailbox is where a caller's handler waits for its answer. It never blocks
// the decisions: what the caller has not read yet is bounded by the length of
// its answer.
type mailbox struct {
	mu      sync.Mutex
	texts   []string
	result  *core.FinishCmd
	tickets *core.TicketsCmd
	updated chan struct{}
}

func newMailbox() *mailbox { return &mailbox{updated: make(chan struct{}, 1)} }

func (b *mailbox) signal() {
	select {
	case b.updated <- struct{}{}:
	default:
	}
}

func (b *mailbox) emit(texts []string) {
	b.mu.Lock()
	b.texts = append(b.texts, texts...)
	b.mu.Unlock()
	b.signal()
}

func (b *mailbox) finish(f *core.FinishCmd) {
	b.mu.Lock()
	b.result = f
	b.mu.Unlock()
	b.signal()
}

func (b *mailbox) setTickets(t *core.TicketsCmd) {
	b.mu.Lock()
	b.tickets = t
	b.mu.Unlock()
	b.signal()
}

// take returns what has come since the last take, and the final word if it is
// there. It writes over the slice given.
func (b *mailbox) take(into []string) ([]string, *core.FinishCmd) {
	b.mu.Lock()
	defer b.mu.Unlock()
	into = append(into[:0], b.texts...)
	b.texts = slices.Delete(b.texts, 0, len(b.texts))
	return into, b.result
}

func (b *mailbox) grantedTickets() *core.TicketsCmd {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tickets
}
