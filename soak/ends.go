package soak

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// firstEnds is how many upstreams a request may end before the promise counts, and
	// inTouch how long after that nodes may need to know of it.
	firstEnds = 3
	inTouch   = 3 * time.Second
	// moreEnds is how many it may end after that.
	moreEnds = 3
)

// ends are the upstreams that requests have ended. They are safe for concurrent use.
type ends struct {
	mu     sync.Mutex
	byPath map[string][]time.Time
}

// note notes that a request has ended an upstream.
func (e *ends) note(path string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byPath == nil {
		e.byPath = make(map[string][]time.Time)
	}
	e.byPath[path] = append(e.byPath[path], time.Now())
}

// check returns the requests that have ended too many. A node that was paused, suspended or
// killed may not know of one yet, and send it once more.
func (e *ends) check(nodes int) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var broken []string
	for _, path := range slices.Sorted(maps.Keys(e.byPath)) {
		late := 0
		for i, at := range e.byPath[path] {
			if i >= firstEnds && at.After(e.byPath[path][firstEnds-1].Add(inTouch)) {
				late++
			}
		}
		if late > moreEnds+nodes {
			broken = append(broken, fmt.Sprintf("%s has ended %d upstreams, %d of them late", path, len(e.byPath[path]), late))
		}
	}
	return broken
}

// count is how many upstreams requests have ended.
func (e *ends) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, at := range e.byPath {
		n += len(at)
	}
	return n
}
