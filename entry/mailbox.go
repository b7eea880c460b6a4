package entry

import (
	"slices"
	"sync"

	"github.com/hoistjunction/hoistjunction/core"
)

// mailbox buffers the response to one request for the caller's HTTP handler. It never
// blocks the model loop: the length of the response bounds the unread content.
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

// take returns the texts that arrived since the previous take, and the result once it
// has arrived, otherwise nil. It overwrites the given slice.
func (b *mailbox) take(buffer []string) ([]string, *core.FinishCmd) {
	b.mu.Lock()
	defer b.mu.Unlock()
	buffer = append(buffer[:0], b.texts...)
	b.texts = slices.Delete(b.texts, 0, len(b.texts))
	return buffer, b.result
}

func (b *mailbox) grantedTickets() *core.TicketsCmd {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tickets
}
