package node

import (
	"maps"
	"sync"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// duplicateWindow is for how long further word of an engine's silence is no news. All nodes
// of a data centre find it out, and tell of it, within some 0.3 s.
const duplicateWindow clock.Millis = 500

// unresponsiveReports are the engines of which other nodes have told lately. It is safe for
// concurrent use.
type unresponsiveReports struct {
	mu         sync.Mutex
	reportedAt map[fleet.Incarnation]clock.Millis
}

func newUnresponsiveReports() *unresponsiveReports {
	return &unresponsiveReports{reportedAt: make(map[fleet.Incarnation]clock.Millis)}
}

// isNew notes a word, and tells whether it is news.
func (s *unresponsiveReports) isNew(now clock.Millis, upstream fleet.Incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.reportedAt, func(_ fleet.Incarnation, at clock.Millis) bool { return now >= at.Add(duplicateWindow) })
	if _, known := s.reportedAt[upstream]; known {
		return false
	}
	s.reportedAt[upstream] = now
	return true
}
