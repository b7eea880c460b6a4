package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hoistjunction/hoistjunction/standin"
)

const (
	// crashesBeforeBound is how many upstreams a request, and partCrashesBeforeBound how many requests
	// with the same part may crash before the bound applies, and propagationTime how long after that
	// crash nodes may take to learn of it.
	crashesBeforeBound     = 3
	partCrashesBeforeBound = 5
	propagationTime        = 3 * time.Second
	// maxLateCrashes bounds how many upstreams a request may crash after propagationTime.
	maxLateCrashes = 3
)

// crashes records the times at which requests crashed upstreams, by cause: the request's path or the
// part of its prompt. It is safe for concurrent use.
type crashes struct {
	mu      sync.Mutex
	byCause map[string][]time.Time
}

// record records that a request has crashed an upstream.
func (c *crashes) record(cause string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byCause == nil {
		c.byCause = make(map[string][]time.Time)
	}
	c.byCause[cause] = append(c.byCause[cause], time.Now())
}

// check returns the requests and parts that crashed too many upstreams. The bound grows by one crash for
// each node: a node that was paused, suspended or killed may not have learned of a crash and
// send the request once more.
func (c *crashes) check(nodes int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var violations []string
	for _, cause := range slices.Sorted(maps.Keys(c.byCause)) {
		times, allowed, late := c.byCause[cause], crashesBeforeBound, 0
		if strings.HasPrefix(cause, standin.CrashPart) {
			allowed = partCrashesBeforeBound
		}
		for i, at := range times {
			if i >= allowed && at.After(times[allowed-1].Add(propagationTime)) {
				late++
			}
		}
		if late > maxLateCrashes+nodes {
			violations = append(violations, fmt.Sprintf("%s crashed %d upstreams, %d of them late", cause, len(times), late))
		}
	}
	return violations
}

// count returns the number of upstreams that requests have crashed.
func (c *crashes) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, at := range c.byCause {
		n += len(at)
	}
	return n
}
