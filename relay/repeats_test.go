package relay

import (
	"net/http"
	"sync"
	"testing"
)

// requestCounter count how often each connection has brought a request.
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

// An upstream may answer a request once more, late, in the place of the next answer on
// that connection. The name of the request in the answer tells one request from another,
// but not two attempts of the same one: a late refusal of the first would say that the
// second had not run. So no connection brings a request twice. Found by reading what
// attempts are told apart by, once repeats went to upstreams that had run the request.
func TestRepeatsDoNotShareAConnection(t *testing.T) {
	counting := &requestCounter{byConnection: make(map[string]int), upstreams: &scriptedUpstreams{script: []outcome{failure}}}
	_, address := newTestRelay(t, counting)
	call(t, http.DefaultClient, address, "/few/a")
	counting.mu.Lock()
	defer counting.mu.Unlock()
	requests := 0
	for _, got := range counting.byConnection {
		requests += got
		if got > 1 {
			t.Errorf("got a request %d times on one connection, want once at most", got)
		}
	}
	if requests <= fewUpstreams {
		t.Errorf("got %d attempts, want more than the %d upstreams", requests, fewUpstreams)
	}
}
