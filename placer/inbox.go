package placer

import (
	"sync"

	"github.com/hoistjunction/hoistjunction/placement"
)

// inbox is the queue of messages to the planner. It is unbounded because senders must not wait
// while a plan is computed, and a planner that misses a change plans wrongly. It holds at most the
// messages of other nodes and changes of the list that arrive during one plan: some thousand
// messages of 100 bytes each. It is safe for concurrent use.
type inbox struct {
	mu   sync.Mutex
	msgs []placement.Msg
	// ready contains an item while there are messages.
	ready chan struct{}
}

func newInbox() *inbox { return &inbox{ready: make(chan struct{}, 1)} }

// put appends a message.
func (i *inbox) put(msg placement.Msg) {
	i.mu.Lock()
	i.msgs = append(i.msgs, msg)
	i.mu.Unlock()
	select {
	case i.ready <- struct{}{}:
	default:
	}
}

// take removes and returns all messages, in order of arrival.
func (i *inbox) take() []placement.Msg {
	i.mu.Lock()
	defer i.mu.Unlock()
	msgs := i.msgs
	i.msgs = nil
	return msgs
}
