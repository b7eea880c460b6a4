package node

import (
	"maps"
	"sync"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// duplicateWindow is how long repeated reports of an unresponsive engine are ignored. All nodes
// of a data centre detect and report such an engine within some 0.3 s.
const duplicateWindow clock.Millis = 500

// engineReports holds the engines about which other nodes have recently reported the same.
// It is safe for concurrent use.
type engineReports struct {
	mu         sync.Mutex
	reportedAt map[fleet.Incarnation]clock.Millis
}

func newEngineReports() *engineReports {
	return &engineReports{reportedAt: make(map[fleet.Incarnation]clock.Millis)}
}

// isNew records a report, and reports whether there was none for the same engine within
// duplicateWindow.
func (s *engineReports) isNew(now clock.Millis, upstream fleet.Incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.reportedAt, func(_ fleet.Incarnation, at clock.Millis) bool { return now >= at.Add(duplicateWindow) })
	if _, recent := s.reportedAt[upstream]; recent {
		return false
	}
	s.reportedAt[upstream] = now
	return true
}
