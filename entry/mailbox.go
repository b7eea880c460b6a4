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
	final   *core.FinishCmd
	tickets *core.TicketsCmd
	wake    chan struct{}
}

func newMailbox() *mailbox { return &mailbox{wake: make(chan struct{}, 1)} }

func (b *mailbox) ring() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *mailbox) emit(texts []string) {
	b.mu.Lock()
	b.texts = append(b.texts, texts...)
	b.mu.Unlock()
	b.ring()
}

func (b *mailbox) finish(f *core.FinishCmd) {
	b.mu.Lock()
	b.final = f
	b.mu.Unlock()
	b.ring()
}

func (b *mailbox) grant(t *core.TicketsCmd) {
	b.mu.Lock()
	b.tickets = t
	b.mu.Unlock()
	b.ring()
}

// take returns what has come since the last take, and the final word if it is
// there. It writes over the slice given.
func (b *mailbox) take(into []string) ([]string, *core.FinishCmd) {
	b.mu.Lock()
	defer b.mu.Unlock()
	into = append(into[:0], b.texts...)
	b.texts = slices.Delete(b.texts, 0, len(b.texts))
	return into, b.final
}

func (b *mailbox) granted() *core.TicketsCmd {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tickets
}
