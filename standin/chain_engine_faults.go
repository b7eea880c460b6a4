package standin

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ChainFaults are the injectable faults of a ChainEngine.
type ChainFaults struct {
	// FailEvery makes every nth accepted stream fail with status 500; zero
	// means none.
	FailEvery int `json:"fail_each"`
	// AbortEvery aborts every nth accepted stream after some events; zero
	// means none.
	AbortEvery int `json:"cut_each"`
}

// SetFaults replaces the engine's injected faults and restarts the count of
// accepted streams.
func (e *ChainEngine) SetFaults(f ChainFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults, e.acceptedStreams = f, 0
}

// streamOutcome is the injected outcome of an accepted stream.
type streamOutcome int

const (
	outcomeComplete streamOutcome = iota
	outcomeFailed
	outcomeAborted
)

// nextOutcome counts an accepted stream and returns its outcome.
func (e *ChainEngine) nextOutcome() streamOutcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.acceptedStreams++
	switch {
	case e.faults.FailEvery > 0 && e.acceptedStreams%e.faults.FailEvery == 0:
		return outcomeFailed
	case e.faults.AbortEvery > 0 && e.acceptedStreams%e.faults.AbortEvery == 0:
		return outcomeAborted
	}
	return outcomeComplete
}

// partCrashDelay is the time from the start of a request with a part that crashes engines to the
// crash.
const partCrashDelay = 40 * time.Millisecond

// crashByPart crashes the engine if the prompt has a part that does so, and reports whether it did.
// For half of the attempts, by a hash of their id, the head of the response comes before.
func (e *ChainEngine) crashByPart(w http.ResponseWriter, r *http.Request) bool {
	part := CrashingPart(r.Header.Get("Prompt-Prefix"))
	if e.crash.terminate == nil || part == "" {
		return false
	}
	id := r.Header.Get("Attempt-Id")
	if xxhash.Sum64String(id)%2 == 0 {
		w.Header().Set("Attempt-Id", id)
		w.Header().Set("Response-Seal", e.id)
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
	}
	time.Sleep(partCrashDelay)
	e.crash.terminate(part)
	return true
}
