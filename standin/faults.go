package standin

import (
	"encoding/json"
	"net/http"
	"time"
)

// EngineFaults are the injectable faults of an Engine.
type EngineFaults struct {
	// Leaving makes the engine reject new generations and set Leaving in its
	// replies.
	Leaving bool `json:"leaving"`
	// BatchDelayMS is added to the execution time of each batch, in ms.
	BatchDelayMS int `json:"slow_ms"`
	// LinkDelayMS delays each reply, in ms, like a degraded link.
	LinkDelayMS int `json:"link_ms"`
	// Frozen stops execution while connections stay open.
	Frozen bool `json:"frozen"`
	// ExtraReplies is the number of duplicates sent of each reply.
	ExtraReplies int `json:"doubled"`
}

// BatchDelay returns the time added to each batch.
func (f EngineFaults) BatchDelay() time.Duration {
	return time.Duration(f.BatchDelayMS) * time.Millisecond
}

// ServiceFaults are the injectable faults of a Service.
type ServiceFaults struct {
	// CallDelayMS is added to the duration of each call, in ms.
	CallDelayMS int `json:"slow_ms"`
	// DropAfterExecution closes the connection after the call has executed,
	// without a response.
	DropAfterExecution bool `json:"cut_after_run"`
	// Status is the status code of the response after the call has executed;
	// zero means 200.
	Status int `json:"status"`
}

// PlatformFaults are the injectable faults of a Platform.
type PlatformFaults struct {
	// Down makes the store reject all calls.
	Down bool `json:"down"`
	// StoreDelayMS is added to the duration of each store call, in ms.
	StoreDelayMS int `json:"slow_ms"`
	// LoseResponses executes writes but closes their connections without a
	// response.
	LoseResponses bool `json:"lose_answers"`
	// ListDown makes requests for the list of VMs fail with status 503.
	ListDown bool `json:"list_down"`
	// ListLagMS is the delay until a change of the list of VMs is visible,
	// in ms.
	ListLagMS int `json:"list_lag_ms"`
}

// jsonSetHandler returns a handler that passes the JSON value in the request
// body to set.
func jsonSetHandler[T any](set func(T)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var f T
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(f)
	})
}

// jsonGetHandler returns a handler that responds with the result of get as JSON.
func jsonGetHandler(get func() any) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(get())
	})
}
