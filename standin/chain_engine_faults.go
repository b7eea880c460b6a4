package standin

// ChainFaults are what goes wrong with an engine that runs pipelines.
type ChainFaults struct {
	// FailEvery makes the engine run each so manieth stream and answer it with a
	// failure of its own; zero for none.
	FailEvery int `json:"fail_each"`
	// AbortEvery makes it break each so manieth stream off partway; zero for none.
	AbortEvery int `json:"cut_each"`
}

// SetFaults changes what goes wrong.
func (e *ChainEngine) SetFaults(f ChainFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults, e.acceptedStreams = f, 0
}

// streamOutcome is what becomes of a stream that the engine takes.
type streamOutcome int

const (
	outcomeComplete streamOutcome = iota
	outcomeFailed
	outcomeAborted
)

// nextOutcome says what becomes of the stream that is taken now.
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
