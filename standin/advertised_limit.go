package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// LimitFaults set the rate limit that an overloaded server advertises, in
// requests per second from all nodes together.
type LimitFaults struct {
	// Advertised is the value of the Server-Limit response header; empty means
	// that the header is not set.
	Advertised string `json:"name"`
}

// advertisedLimit is the rate limit that a server advertises. It is safe for
// concurrent use.
type advertisedLimit struct {
	mu    sync.Mutex
	value string
}

// SetAdvertisedLimit sets the limit that the server advertises.
func (l *advertisedLimit) SetAdvertisedLimit(f LimitFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.value = f.Advertised
}

// setLimitHeader sets the Server-Limit header if a limit is advertised, and
// returns the limit. It returns zero if there is none, or if the value is not a
// positive number.
func (l *advertisedLimit) setLimitHeader(h http.Header) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.value == "" {
		return 0
	}
	h.Set("Server-Limit", l.value)
	rate, err := strconv.ParseFloat(l.value, 64)
	if err != nil {
		return 0
	}
	return max(rate, 0)
}

// registerHandlers adds the handler that sets the advertised limit.
func (l *advertisedLimit) registerHandlers(mux *http.ServeMux) {
	mux.Handle("POST /limit", jsonSetHandler(l.SetAdvertisedLimit))
}

const (
	// limitWindow is the length of the window in which requests are counted
	// against a limit.
	limitWindow = 4 * time.Second
	// limitGrace is the time after the first response with a limit to a node
	// until the node's requests count.
	limitGrace = 500 * time.Millisecond
	// A window may hold limitSlackFactor times the requests that the limit
	// allows, plus limitSlackRequests.
	limitSlackFactor   = 1.5
	limitSlackRequests = 5
)

// LimitBreach is a window in which a server received more requests than its
// advertised limit allows.
type LimitBreach struct {
	// Limit is the advertised limit, in requests per second.
	Limit float64
	// Count is the number of requests in the window, and Allowed the maximum.
	Count, Allowed int
	// AtMS is the end of the window, in ms since 1970.
	AtMS int64
	// RequestsByNode is the number of requests in the window from each node that
	// had received the limit.
	RequestsByNode map[string]int
}

// LimitBreaches returns the first breach of each period in which a server
// advertised a limit. Windows that end less than contact after the start of the
// period are ignored, and so are requests that a node sent before it had received
// the limit. nodeOf returns the node that an attempt was sent to, by the attempt's
// id. excused reports whether the requests of a node in a time span are not
// counted.
func LimitBreaches(list []ReceivedRequest, nodeOf func(id string) string, contact time.Duration, excused func(node string, fromMS, toMS int64) bool) []LimitBreach {
	var breaches []LimitBreach
	notifiedAt := make(map[string]int64)
	first, breached := int64(0), false
	for i, r := range list {
		if r.Limit == 0 {
			clear(notifiedAt)
			first, breached = 0, false
			continue
		}
		if first == 0 {
			first = r.AtMS
		}
		if node := nodeOf(r.ID); notifiedAt[node] == 0 {
			notifiedAt[node] = r.AtMS
		}
		if breached || r.AtMS < first+contact.Milliseconds() {
			continue
		}
		b := countInWindow(list[:i+1], nodeOf, notifiedAt)
		for node, n := range b.RequestsByNode {
			if excused(node, r.AtMS-limitWindow.Milliseconds(), r.AtMS) {
				b.Count -= n
			}
		}
		breached = b.Count > b.Allowed
		if breached {
			breaches = append(breaches, b)
		}
	}
	return breaches
}

// countInWindow counts the requests in the window that ends with the last
// request of list. notifiedAt holds the time at which each node first received
// the limit, in ms since 1970.
func countInWindow(list []ReceivedRequest, nodeOf func(id string) string, notifiedAt map[string]int64) LimitBreach {
	last := list[len(list)-1]
	b := LimitBreach{Limit: last.Limit, AtMS: last.AtMS, RequestsByNode: make(map[string]int)}
	b.Allowed = int(limitSlackFactor*last.Limit*limitWindow.Seconds() + limitSlackRequests)
	for i := len(list) - 1; i >= 0 && list[i].AtMS > last.AtMS-limitWindow.Milliseconds(); i-- {
		node := nodeOf(list[i].ID)
		if at := notifiedAt[node]; node != "" && at != 0 && at <= list[i].AtMS-limitGrace.Milliseconds() {
			b.Count++
			b.RequestsByNode[node]++
		}
	}
	return b
}
