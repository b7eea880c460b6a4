package usage

import (
	"slices"
	"sync"

	"github.com/hoistjunction/hoistjunction/clock"
)

const (
	// recentFor is for how long nodes that become known are told what was lost before: when
	// all nodes start together, they know each other after 2.5 s.
	recentFor clock.Millis = 4000
	// mostRecent bounds that.
	mostRecent = 2 * triedTogether
)

// recent is what was told a moment ago. It is safe for concurrent use.
type recent struct {
	mu   sync.Mutex
	told []recentlyTried
}

type recentlyTried struct {
	tried
	at clock.Millis
}

// note adds what is told now.
func (r *recent) note(now clock.Millis, t tried) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	if len(r.told) < mostRecent {
		r.told = append(r.told, recentlyTried{tried: t, at: now})
	}
}

// list returns what was told within recentFor.
func (r *recent) list(now clock.Millis) []tried {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	var list []tried
	for _, t := range r.told {
		list = append(list, t.tried)
	}
	return list
}

func (r *recent) expire(now clock.Millis) {
	r.told = slices.DeleteFunc(r.told, func(t recentlyTried) bool { return now > t.at.Add(recentFor) })
}
