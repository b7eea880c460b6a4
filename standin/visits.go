package standin

import (
	"net/http"
	"sync"
	"time"
)

// ReceivedRequest is a request that reached the server that it was meant for.
type ReceivedRequest struct {
	// ID is the caller's name of the try.
	ID string `json:"id"`
	// AtMS is the wall time at which it came, in ms since 1970.
	AtMS int64 `json:"at_ms"`
	// BackOffMS is the rest that was asked for in its answer, in ms; zero for none.
	BackOffMS int64 `json:"asked_ms"`
	// Leaving tells that its answer says that the server is leaving.
	Leaving bool `json:"leaving"`
	// Limit is the number of requests a second that its answer names; zero for none.
	Limit float64 `json:"limit"`
}

// maxReceivedRequests bounds the visits that are kept for the judge.
const maxReceivedRequests = 1 << 14

// requestLog are the requests that have reached a server. They are safe for concurrent use.
type requestLog struct {
	mu   sync.Mutex
	list []ReceivedRequest
}

func (v *requestLog) recordReceived(visit ReceivedRequest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.list) == maxReceivedRequests {
		v.list = v.list[1:]
	}
	v.list = append(v.list, visit)
}

// ReceivedRequests returns the requests that have reached the server, in their order.
func (v *requestLog) ReceivedRequests() []ReceivedRequest {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]ReceivedRequest{}, v.list...)
}

// registerHandlers adds the call that tells what has reached a server.
func (v *requestLog) registerHandlers(mux *http.ServeMux) {
	mux.Handle("GET /visits", jsonGetHandler(func() any { return v.ReceivedRequests() }))
}

// backOffGrace is how long after an answer with a rest requests may still come that were on
// their way: the platform's promise counts from then.
const backOffGrace = 500 * time.Millisecond

// SendBreach is that a node went on sending to a server that had asked it not to.
type SendBreach struct {
	Node string
	// FromMS and ToMS bound the time in which that counts, in ms since 1970; ToMS is zero
	// for one that goes on for ever.
	FromMS, ToMS int64
	// Count is how many requests came in that time.
	Count int
}

// BackOffBreaches returns the rests that a server had asked nodes for in which they sent it
// requests. NodeOf names the node that a try was sent to.
func BackOffBreaches(list []ReceivedRequest, nodeOf func(id string) string) []SendBreach {
	var breaches []SendBreach
	for i, asked := range list {
		if asked.BackOffMS == 0 {
			continue
		}
		b := SendBreach{Node: nodeOf(asked.ID), FromMS: asked.AtMS + backOffGrace.Milliseconds(), ToMS: asked.AtMS + asked.BackOffMS}
		for _, v := range list[i+1:] {
			if v.AtMS > b.FromMS && v.AtMS < b.ToMS && nodeOf(v.ID) == b.Node {
				b.Count++
			}
		}
		if b.Count > 0 {
			breaches = append(breaches, b)
		}
	}
	return breaches
}

// LeavingBreaches returns the nodes that sent a server requests later than a time after an
// answer of it had told them that it is leaving.
func LeavingBreaches(list []ReceivedRequest, nodeOf func(id string) string, within time.Duration) []SendBreach {
	told := make(map[string]*SendBreach)
	for _, v := range list {
		node := nodeOf(v.ID)
		if b := told[node]; b != nil && v.AtMS > b.FromMS {
			b.Count++
		}
		if v.Leaving && told[node] == nil {
			told[node] = &SendBreach{Node: node, FromMS: v.AtMS + within.Milliseconds()}
		}
	}
	var breaches []SendBreach
	for _, b := range told {
		if b.Count > 0 {
			breaches = append(breaches, *b)
		}
	}
	return breaches
}
