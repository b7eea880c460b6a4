package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// BackOffFaults are how a server turns requests away and asks for rest.
type BackOffFaults struct {
	// ForMS is for how long, from now on, it turns all requests away, in ms; zero for none.
	ForMS int `json:"for_ms"`
	// RetryAfter is what stands in Retry-After then; empty for nothing.
	RetryAfter string `json:"ask"`
}

// backOffFault is how a server asks for rest. It is safe for concurrent use.
type backOffFault struct {
	mu         sync.Mutex
	until      time.Time
	retryAfter string
}

// SetBackOff changes how the server asks for rest.
func (r *backOffFault) SetBackOff(f BackOffFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.until, r.retryAfter = time.Now().Add(time.Duration(f.ForMS)*time.Millisecond), f.RetryAfter
}

// rejection tells whether the server turns away what comes now, and what it asks for.
func (r *backOffFault) rejection(now time.Time) (ask string, away bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retryAfter, now.Before(r.until)
}

// registerHandlers adds the call that makes a server ask for rest.
func (r *backOffFault) registerHandlers(mux *http.ServeMux) {
	mux.Handle("POST /rest", jsonSetHandler(r.SetBackOff))
}

// retryAfterMS reads a rest that is asked for, in ms; zero for one that is no number.
func retryAfterMS(ask string) int64 {
	seconds, err := strconv.ParseFloat(ask, 64)
	if err != nil {
		return 0
	}
	return int64(seconds * float64(time.Second/time.Millisecond))
}
