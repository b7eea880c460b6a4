package relay

import (
	"net/http"
	"sync"
	"testing"
)

// requestCounter counts the requests on each connection.
type requestCounter struct {
	upstreams http.Handler

	mu           sync.Mutex
	byConnection map[string]int
}

// ServeHTTP implements http.Handler.
func (c *requestCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	c.byConnection[r.RemoteAddr]++
	c.mu.Unlock()
	c.upstreams.ServeHTTP(w, r)
}

// An upstream may send a late second answer to a request, which is read as the answer to the
// next request on that connection. The attempt id in the answer tells requests apart, but not
// two attempts of the same request: a late refusal of the first attempt would report that the
// second was not executed. Therefore no connection may carry a request twice.
func TestRetriesDoNotShareAConnection(t *testing.T) {
	counter := &requestCounter{byConnection: make(map[string]int), upstreams: &scriptedUpstreams{script: []outcome{failure}}}
	_, address := newTestRelay(t, counter)
	call(t, http.DefaultClient, address, "/few/a")
	counter.mu.Lock()
	defer counter.mu.Unlock()
	requests := 0
	for _, got := range counter.byConnection {
		requests += got
		if got > 1 {
			t.Errorf("got %d attempts on one connection, want at most 1", got)
		}
	}
	if requests <= fewUpstreams {
		t.Errorf("got %d attempts, want more than %d, the number of upstreams", requests, fewUpstreams)
	}
}
