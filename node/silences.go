package node

import (
	"maps"
	"sync"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// silenceLasts is for how long further word of an engine's silence is no news. All nodes
// of a data centre find it out, and tell of it, within some 0.3 s.
const silenceLasts clock.Millis = 500

// silences are the engines of which other nodes have told lately. It is safe for
// concurrent use.
type silences struct {
	mu   sync.Mutex
	told map[fleet.Incarnation]clock.Millis
}

func newSilences() *silences { return &silences{told: make(map[fleet.Incarnation]clock.Millis)} }

// news notes a word, and tells whether it is news.
func (s *silences) news(now clock.Millis, upstream fleet.Incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.told, func(_ fleet.Incarnation, at clock.Millis) bool { return now >= at.Add(silenceLasts) })
	if _, known := s.told[upstream]; known {
		return false
	}
	s.told[upstream] = now
	return true
}
