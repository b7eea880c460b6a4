package standin

import (
	"net/http"
	"slices"
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

// TurnedAway is a request that reached a server while it turned requests away.
type TurnedAway struct {
	// ID is the caller's name of the try.
	ID string `json:"id"`
	// AtMS is the wall time at which it came, in ms since 1970.
	AtMS int64 `json:"at_ms"`
	// AskedMS is the rest that was asked for in its answer, in ms.
	AskedMS int64 `json:"asked_ms"`
}

// mostTurnedAway bounds the requests that are kept for the judge.
const mostTurnedAway = 1 << 14

// rest is how a server asks for rest, and whom it has turned away.
type rest struct {
	mu     sync.Mutex
	until  time.Time
	ask    string
	turned []TurnedAway
	// taken are the requests that came when it turned none away.
	taken []TurnedAway
}

// SetRest changes how the server asks for rest.
func (r *rest) SetRest(f RestFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.until, r.ask = time.Now().Add(time.Duration(f.ForMS)*time.Millisecond), f.Ask
}

// Arrivals returns the requests that have reached the server, in their order.
func (r *rest) Arrivals() []TurnedAway {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := slices.Concat(r.turned, r.taken)
	slices.SortStableFunc(all, func(a, b TurnedAway) int { return int(a.AtMS - b.AtMS) })
	return all
}

// turnsAway answers a request that is turned away, and reports whether it was.
func (r *rest) turnsAway(w http.ResponseWriter, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	came := TurnedAway{ID: id, AtMS: now.UnixMilli()}
	if !now.Before(r.until) {
		r.taken = keepLast(r.taken, came)
		return false
	}
	seconds, err := strconv.ParseFloat(r.ask, 64)
	if err == nil {
		came.AskedMS = int64(seconds * float64(time.Second/time.Millisecond))
	}
	r.turned = keepLast(r.turned, came)
	if r.ask != "" {
		w.Header().Set("Retry-After", r.ask)
	}
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

func keepLast(list []TurnedAway, one TurnedAway) []TurnedAway {
	if len(list) == mostTurnedAway {
		list = list[1:]
	}
	return append(list, one)
}

// serve adds the calls that make a server ask for rest, and that tell what has reached it.
func (r *rest) serve(mux *http.ServeMux) {
	mux.Handle("POST /rest", faultHandler(r.SetRest))
	mux.Handle("GET /arrivals", jsonHandler(func() any { return r.Arrivals() }))
}

// restGrace is how long after an answer with a rest requests may still come that were on
// their way: the platform's promise counts from then.
const restGrace = 500 * time.Millisecond

// AgainstRest counts the requests that reached a server in a rest that it had asked the
// same node for: the most of any one rest. NodeOf names the node that a try was sent to.
func AgainstRest(arrivals []TurnedAway, nodeOf func(id string) string) int {
	most := 0
	for i, asked := range arrivals {
		if asked.AskedMS == 0 {
			continue
		}
		count := 0
		for _, a := range arrivals[i+1:] {
			if a.AtMS > asked.AtMS+restGrace.Milliseconds() && a.AtMS < asked.AtMS+asked.AskedMS && nodeOf(a.ID) == nodeOf(asked.ID) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}
