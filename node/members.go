package node

import (
	"sync"

	"github.com/hoistjunction/hoistjunction/wire"
)

// members are the other nodes that are known. It is safe for concurrent use.
type members struct {
	mu     sync.Mutex
	others []*wire.Member
	// rank is this node's by name among all, and changes counts what was set.
	rank    int
	changes int
	// ready is closed once something was set.
	ready chan struct{}
}

func newMembers() *members { return &members{ready: make(chan struct{})} }

func (m *members) set(others []*wire.Member, rank int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changes == 0 {
		close(m.ready)
	}
	m.others, m.rank = others, rank
	m.changes++
}

func (m *members) get() (others []*wire.Member, rank, changes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.others, m.rank, m.changes
}
