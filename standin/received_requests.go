package standin

import (
	"net/http"
	"sync"
	"time"
)

// ReceivedRequest is a request that was received by the server instance that it
// was addressed to.
type ReceivedRequest struct {
	// ID is the attempt's id, from the Attempt-Id header.
	ID string `json:"id"`
	// AtMS is the time of receipt, in ms since 1970.
	AtMS int64 `json:"at_ms"`
	// BackOffMS is the back-off that the response requested with Retry-After, in
	// ms; zero means none.
	BackOffMS int64 `json:"asked_ms"`
	// Leaving is true if the response had the Server-Leaving header.
	Leaving bool `json:"leaving"`
	// Limit is the limit that the response advertised, in requests per second;
	// zero means none.
	Limit float64 `json:"limit"`
}

// maxReceivedRequests is the maximum number of requests in a log. The oldest is
// dropped.
const maxReceivedRequests = 1 << 14

// requestLog records the latest requests that a server received, for checks of
// what nodes send. It is safe for concurrent use.
type requestLog struct {
	mu   sync.Mutex
	list []ReceivedRequest
}

func (l *requestLog) recordReceived(r ReceivedRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.list) == maxReceivedRequests {
		l.list = l.list[1:]
	}
	l.list = append(l.list, r)
}

// ReceivedRequests returns the recorded requests in the order of their receipt.
func (l *requestLog) ReceivedRequests() []ReceivedRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]ReceivedRequest{}, l.list...)
}

// registerHandlers adds the handler that returns the recorded requests.
func (l *requestLog) registerHandlers(mux *http.ServeMux) {
	mux.Handle("GET /visits", jsonGetHandler(func() any { return l.ReceivedRequests() }))
}

// backOffGrace is the time after a response with Retry-After in which requests
// that were already in flight may still arrive. The platform's API requires the
// back-off from the end of this time.
const backOffGrace = 500 * time.Millisecond

// SendBreach is a time span in which a node kept sending requests to a server
// that had requested a back-off or announced that it is leaving.
type SendBreach struct {
	Node string
	// FromMS and ToMS are the bounds of the time span, in ms since 1970. A ToMS
	// of zero means that the span has no end.
	FromMS, ToMS int64
	// Count is the number of requests from the node in the time span.
	Count int
}

// BackOffBreaches returns the back-offs during which a node sent requests to the
// server that had requested the back-off. nodeOf returns the node that an
// attempt was sent to, by the attempt's id.
func BackOffBreaches(list []ReceivedRequest, nodeOf func(id string) string) []SendBreach {
	var breaches []SendBreach
	for i, rejected := range list {
		if rejected.BackOffMS == 0 {
			continue
		}
		b := SendBreach{Node: nodeOf(rejected.ID), FromMS: rejected.AtMS + backOffGrace.Milliseconds(), ToMS: rejected.AtMS + rejected.BackOffMS}
		for _, r := range list[i+1:] {
			if r.AtMS > b.FromMS && r.AtMS < b.ToMS && nodeOf(r.ID) == b.Node {
				b.Count++
			}
		}
		if b.Count > 0 {
			breaches = append(breaches, b)
		}
	}
	return breaches
}

// LeavingBreaches returns the nodes that sent requests to a server more than
// within after its first response to them with Server-Leaving. nodeOf returns the
// node that an attempt was sent to, by the attempt's id.
func LeavingBreaches(list []ReceivedRequest, nodeOf func(id string) string, within time.Duration) []SendBreach {
	notified := make(map[string]*SendBreach)
	for _, r := range list {
		node := nodeOf(r.ID)
		if b := notified[node]; b != nil && r.AtMS > b.FromMS {
			b.Count++
		}
		if r.Leaving && notified[node] == nil {
			notified[node] = &SendBreach{Node: node, FromMS: r.AtMS + within.Milliseconds()}
		}
	}
	var breaches []SendBreach
	for _, b := range notified {
		if b.Count > 0 {
			breaches = append(breaches, *b)
		}
	}
	return breaches
}
