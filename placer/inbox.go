package placer

import (
	"sync"

	"github.com/hoistjunction/hoistjunction/placement"
)

// inbox holds what the planner is yet to take in. It has no bound, since nobody who
// tells something may wait for a plan that is sought, and a planner that misses a change
// plans wrongly: it holds what other nodes and the list tell in the seconds of one plan,
// at most some thousand messages of 100 bytes each. It is safe for concurrent use.
type inbox struct {
	mu   sync.Mutex
	msgs []placement.Msg
	// ready has an item while there are messages.
	ready chan struct{}
}

func newInbox() *inbox { return &inbox{ready: make(chan struct{}, 1)} }

// put adds a message.
func (i *inbox) put(msg placement.Msg) {
	i.mu.Lock()
	i.msgs = append(i.msgs, msg)
	i.mu.Unlock()
	select {
	case i.ready <- struct{}{}:
	default:
	}
}

// take removes all messages, in the order in which they came.
func (i *inbox) take() []placement.Msg {
	i.mu.Lock()
	defer i.mu.Unlock()
	msgs := i.msgs
	i.msgs = nil
	return msgs
}
