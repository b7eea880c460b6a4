package soak

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// crashesBeforeBound is how many upstreams a request may crash before the bound applies,
	// and propagationTime how long after that crash nodes may take to learn of it.
	crashesBeforeBound = 3
	propagationTime    = 3 * time.Second
	// maxLateCrashes bounds how many upstreams a request may crash after propagationTime.
	maxLateCrashes = 3
)

// crashes records the times at which requests crashed upstreams, by request path. It is safe
// for concurrent use.
type crashes struct {
	mu     sync.Mutex
	byPath map[string][]time.Time
}

// record records that the request with a path has crashed an upstream.
func (c *crashes) record(path string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byPath == nil {
		c.byPath = make(map[string][]time.Time)
	}
	c.byPath[path] = append(c.byPath[path], time.Now())
}

// check returns the requests that crashed too many upstreams. The bound grows by one crash for
// each node: a node that was paused, suspended or killed may not have learned of a crash and
// send the request once more.
func (c *crashes) check(nodes int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var violations []string
	for _, path := range slices.Sorted(maps.Keys(c.byPath)) {
		late := 0
		for i, at := range c.byPath[path] {
			if i >= crashesBeforeBound && at.After(c.byPath[path][crashesBeforeBound-1].Add(propagationTime)) {
				late++
			}
		}
		if late > maxLateCrashes+nodes {
			violations = append(violations, fmt.Sprintf("%s crashed %d upstreams, %d of them late", path, len(c.byPath[path]), late))
		}
	}
	return violations
}

// count returns the number of upstreams that requests have crashed.
func (c *crashes) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, at := range c.byPath {
		n += len(at)
	}
	return n
}
