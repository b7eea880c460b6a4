package standin

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
