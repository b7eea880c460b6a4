package standin

import (
	"encoding/json"
	"net/http"
	"time"
)

// EngineFaults are an engine's switches.
type EngineFaults struct {
	// Leaving makes the engine refuse new generations and say so.
	Leaving bool `json:"leaving"`
	// BatchDelayMS is added to every batch, in milliseconds.
	BatchDelayMS int `json:"slow_ms"`
	// LinkDelayMS delays every answer, in milliseconds, as a degraded link does.
	LinkDelayMS int `json:"link_ms"`
	// Frozen makes the engine do nothing, and keep its connections.
	Frozen bool `json:"frozen"`
	// ExtraReplies is how many more times each answer is sent.
	ExtraReplies int `json:"doubled"`
}

// BatchDelay returns the time added to every batch.
func (f EngineFaults) BatchDelay() time.Duration {
	return time.Duration(f.BatchDelayMS) * time.Millisecond
}

// ServiceFaults are a plain service's switches.
type ServiceFaults struct {
	// BatchDelayMS is added to every call, in milliseconds.
	CallDelayMS int `json:"slow_ms"`
	// DropAfterExecution breaks the connection once the call has run.
	DropAfterExecution bool `json:"cut_after_run"`
	// Status is answered instead of 200, after the call has run.
	Status int `json:"status"`
}

// PlatformFaults are the platform's switches.
type PlatformFaults struct {
	// Down makes the store refuse everything.
	Down bool `json:"down"`
	// BatchDelayMS is added to every call of the store, in milliseconds.
	StoreDelayMS int `json:"slow_ms"`
	// LoseResponses makes writes take effect and their answers get lost.
	LoseResponses bool `json:"lose_answers"`
	// ListDown makes the list of VMs answer nothing.
	ListDown bool `json:"list_down"`
	// ListLagMS is how late the list shows a change, in milliseconds.
	ListLagMS int `json:"list_lag_ms"`
}

// jsonSetHandler sets faults from the JSON of a request.
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

// jsonGetHandler answers with what a function returns.
func jsonGetHandler(get func() any) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(get())
	})
}
