package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// BackOffFaults make a server reject requests and request a back-off.
type BackOffFaults struct {
	// ForMS is the time from now in which the server rejects all requests, in ms;
	// zero means none.
	ForMS int `json:"for_ms"`
	// RetryAfter is the value of the Retry-After header of a rejection; empty
	// means that the header is not set.
	RetryAfter string `json:"ask"`
}

// backOffFault holds the back-off that a server requests. It is safe for
// concurrent use.
type backOffFault struct {
	mu         sync.Mutex
	until      time.Time
	retryAfter string
}

// SetBackOff sets the back-off that the server requests from now on.
func (r *backOffFault) SetBackOff(f BackOffFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.until, r.retryAfter = time.Now().Add(time.Duration(f.ForMS)*time.Millisecond), f.RetryAfter
}

// rejection reports whether the server rejects requests now, and returns the
// value of their Retry-After header.
func (r *backOffFault) rejection(now time.Time) (retryAfter string, rejecting bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retryAfter, now.Before(r.until)
}

// registerHandlers adds the handler that sets the back-off.
func (r *backOffFault) registerHandlers(mux *http.ServeMux) {
	mux.Handle("POST /rest", jsonSetHandler(r.SetBackOff))
}

// retryAfterMS returns the back-off of a Retry-After value in ms, or zero if the
// value is not a number of seconds.
func retryAfterMS(retryAfter string) int64 {
	seconds, err := strconv.ParseFloat(retryAfter, 64)
	if err != nil {
		return 0
	}
	return int64(seconds * float64(time.Second/time.Millisecond))
}
