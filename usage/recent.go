package usage

import (
	"slices"
	"sync"

	"github.com/hoistjunction/hoistjunction/clock"
)

const (
	// recentCrashTTL is for how long nodes that become known are told what was lost before: when
	// all nodes start together, they know each other after 2.5 s.
	recentCrashTTL clock.Millis = 4000
	// maxRecentCrashes bounds that.
	maxRecentCrashes = 2 * outcomesPerDatagram
)

// crashLog is what was told a moment ago. It is safe for concurrent use.
type crashLog struct {
	mu      sync.Mutex
	crashes []recentCrash
}

type recentCrash struct {
	outcome
	at clock.Millis
}

// record adds what is told now.
func (r *crashLog) record(now clock.Millis, t outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	if len(r.crashes) < maxRecentCrashes {
		r.crashes = append(r.crashes, recentCrash{outcome: t, at: now})
	}
}

// list returns what was told within recentCrashTTL.
func (r *crashLog) list(now clock.Millis) []outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	var list []outcome
	for _, t := range r.crashes {
		list = append(list, t.outcome)
	}
	return list
}

func (r *crashLog) expire(now clock.Millis) {
	r.crashes = slices.DeleteFunc(r.crashes, func(t recentCrash) bool { return now > t.at.Add(recentCrashTTL) })
}
