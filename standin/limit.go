package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// LimitFaults are how a server in need names the requests a second that it takes from all
// nodes together.
type LimitFaults struct {
	// Advertised is what stands in Server-Limit from now on; empty for nothing.
	Advertised string `json:"name"`
}

// advertisedLimit is what a server in need names. It is safe for concurrent use.
type advertisedLimit struct {
	mu    sync.Mutex
	value string
}

// SetAdvertisedLimit changes the limit that the server names.
func (l *advertisedLimit) SetAdvertisedLimit(f LimitFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.value = f.Advertised
}

// setLimitHeader has an answer name the limit, where there is one, and returns it; zero for none
// and for what is no number of requests.
func (l *advertisedLimit) setLimitHeader(h http.Header) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.value == "" {
		return 0
	}
	h.Set("Server-Limit", l.value)
	named, err := strconv.ParseFloat(l.value, 64)
	if err != nil {
		return 0
	}
	return max(named, 0)
}

// registerHandlers adds the call that makes a server name a limit.
func (l *advertisedLimit) registerHandlers(mux *http.ServeMux) {
	mux.Handle("POST /limit", jsonSetHandler(l.SetAdvertisedLimit))
}

const (
	// limitWindow is the time over which requests are counted against a limit.
	limitWindow = 4 * time.Second
	// limitGrace is how long after a node has passed on an answer that names a limit what it
	// sends counts.
	limitGrace = 500 * time.Millisecond
	// limitSlackFactor and limitSlackRequests are how much more than it allows may come in a window.
	limitSlackFactor   = 1.5
	limitSlackRequests = 5
)

// LimitBreach is a span in which a server got more requests than its limit allows.
type LimitBreach struct {
	// Limit is the number that was named, in requests a second.
	Limit float64
	// Count is how many requests came in the span that ends at AtMS, and Allowed how many
	// may.
	Count, Allowed int
	AtMS           int64
	// RequestsByNode are those that had been told, by whom the requests were sent.
	RequestsByNode map[string]int
}

// LimitBreaches returns the first span of each time with a limit in which a server got more
// requests than that allows, from nodes that had been told, later than contact after it had
// named the limit first. NodeOf names the node that a try was sent to, and excused tells
// whether what a node has sent in a time counts for nothing.
func LimitBreaches(list []ReceivedRequest, nodeOf func(id string) string, contact time.Duration, excused func(node string, fromMS, toMS int64) bool) []LimitBreach {
	var breaches []LimitBreach
	told := make(map[string]int64)
	first, broken := int64(0), false
	for i, v := range list {
		if v.Limit == 0 {
			clear(told)
			first, broken = 0, false
			continue
		}
		if first == 0 {
			first = v.AtMS
		}
		if node := nodeOf(v.ID); told[node] == 0 {
			told[node] = v.AtMS
		}
		if broken || v.AtMS < first+contact.Milliseconds() {
			continue
		}
		b := countInWindow(list[:i+1], nodeOf, told)
		for node, n := range b.RequestsByNode {
			if excused(node, v.AtMS-limitWindow.Milliseconds(), v.AtMS) {
				b.Count -= n
			}
		}
		broken = b.Count > b.Allowed
		if broken {
			breaches = append(breaches, b)
		}
	}
	return breaches
}

// countInWindow counts the requests of the window that ends with the last of some visits.
func countInWindow(list []ReceivedRequest, nodeOf func(id string) string, told map[string]int64) LimitBreach {
	last := list[len(list)-1]
	b := LimitBreach{Limit: last.Limit, AtMS: last.AtMS, RequestsByNode: make(map[string]int)}
	b.Allowed = int(limitSlackFactor*last.Limit*limitWindow.Seconds() + limitSlackRequests)
	for i := len(list) - 1; i >= 0 && list[i].AtMS > last.AtMS-limitWindow.Milliseconds(); i-- {
		node := nodeOf(list[i].ID)
		if at := told[node]; node != "" && at != 0 && at <= last.AtMS-limitGrace.Milliseconds() {
			b.Count++
			b.RequestsByNode[node]++
		}
	}
	return b
}
