package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// RestFaults are how a server turns requests away and asks for rest.
type RestFaults struct {
	// ForMS is for how long, from now on, it turns all requests away, in ms; zero for none.
	ForMS int `json:"for_ms"`
	// Ask is what stands in Retry-After then; empty for nothing.
	Ask string `json:"ask"`
}

// rest is how a server asks for rest. It is safe for concurrent use.
type rest struct {
	mu    sync.Mutex
	until time.Time
	ask   string
}

// SetRest changes how the server asks for rest.
func (r *rest) SetRest(f RestFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.until, r.ask = time.Now().Add(time.Duration(f.ForMS)*time.Millisecond), f.Ask
}

// turnsAway tells whether the server turns away what comes now, and what it asks for.
func (r *rest) turnsAway(now time.Time) (ask string, away bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ask, now.Before(r.until)
}

// serve adds the call that makes a server ask for rest.
func (r *rest) serve(mux *http.ServeMux) { mux.Handle("POST /rest", faultHandler(r.SetRest)) }

// askedMS reads a rest that is asked for, in ms; zero for one that is no number.
func askedMS(ask string) int64 {
	seconds, err := strconv.ParseFloat(ask, 64)
	if err != nil {
		return 0
	}
	return int64(seconds * float64(time.Second/time.Millisecond))
}
