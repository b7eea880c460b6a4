package node

import (
	"sync"

	"github.com/hoistjunction/hoistjunction/wire"
)

// members holds the other known nodes. It is safe for concurrent use.
type members struct {
	mu     sync.Mutex
	others []*wire.Member
	// rank is the position of this node among all nodes sorted by name; changes counts the calls
	// of set.
	rank    int
	changes int
	// complete is false until this node or a peer that has answered has read the registry; others may be
	// missing until then.
	complete bool
	// ready is closed by the first call of set.
	ready chan struct{}
}

func newMembers() *members { return &members{ready: make(chan struct{})} }

func (m *members) set(others []*wire.Member, rank int, complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changes == 0 {
		close(m.ready)
	}
	m.others, m.rank, m.complete = others, rank, complete
	m.changes++
}

func (m *members) get() (others []*wire.Member, rank, changes int, complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.others, m.rank, m.changes, m.complete
}
