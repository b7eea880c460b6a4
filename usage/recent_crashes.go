package usage

import (
	"slices"
	"sync"

	"github.com/hoistjunction/hoistjunction/clock"
)

const (
	// recentCrashTTL is how long after a crash it is sent to nodes that become known: nodes
	// that start together know each other after 2.5 s.
	recentCrashTTL clock.Millis = 4000
	// maxRecentCrashes bounds the crashes that are kept.
	maxRecentCrashes = 56
)

// crashLog holds crashes that were sent recently. It is safe for concurrent use.
type crashLog struct {
	mu      sync.Mutex
	crashes []recentCrash
}

type recentCrash struct {
	outcome
	at clock.Millis
}

// record adds a crash that is sent now.
func (l *crashLog) record(now clock.Millis, crash outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if len(l.crashes) < maxRecentCrashes {
		l.crashes = append(l.crashes, recentCrash{outcome: crash, at: now})
	}
}

// list returns the crashes within recentCrashTTL.
func (l *crashLog) list(now clock.Millis) []outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	var list []outcome
	for _, crash := range l.crashes {
		list = append(list, crash.outcome)
	}
	return list
}

func (l *crashLog) expire(now clock.Millis) {
	l.crashes = slices.DeleteFunc(l.crashes, func(crash recentCrash) bool { return now > crash.at.Add(recentCrashTTL) })
}
