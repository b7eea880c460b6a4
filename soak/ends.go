package soak

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// crashesBeforeBound is how many upstreams a request may end before the promise counts, and
	// propagationTime how long after that nodes may need to know of it.
	crashesBeforeBound = 3
	propagationTime    = 3 * time.Second
	// maxLateCrashes is how many it may end after that.
	maxLateCrashes = 3
)

// crashes are the upstreams that requests have ended. They are safe for concurrent use.
type crashes struct {
	mu     sync.Mutex
	byPath map[string][]time.Time
}

// record notes that a request has ended an upstream.
func (e *crashes) record(path string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byPath == nil {
		e.byPath = make(map[string][]time.Time)
	}
	e.byPath[path] = append(e.byPath[path], time.Now())
}

// check returns the requests that have ended too many. A node that was paused, suspended or
// killed may not know of one yet, and send it once more.
func (e *crashes) check(nodes int) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var broken []string
	for _, path := range slices.Sorted(maps.Keys(e.byPath)) {
		late := 0
		for i, at := range e.byPath[path] {
			if i >= crashesBeforeBound && at.After(e.byPath[path][crashesBeforeBound-1].Add(propagationTime)) {
				late++
			}
		}
		if late > maxLateCrashes+nodes {
			broken = append(broken, fmt.Sprintf("%s has ended %d upstreams, %d of them late", path, len(e.byPath[path]), late))
		}
	}
	return broken
}

// count is how many upstreams requests have ended.
func (e *crashes) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, at := range e.byPath {
		n += len(at)
	}
	return n
}
