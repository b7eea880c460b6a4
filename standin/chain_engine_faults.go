package standin

// ChainFaults are what goes wrong with an engine that runs pipelines.
type ChainFaults struct {
	// FailEach makes the engine run each so manieth stream and answer it with a
	// failure of its own; zero for none.
	FailEach int `json:"fail_each"`
	// CutEach makes it break each so manieth stream off partway; zero for none.
	CutEach int `json:"cut_each"`
}

// SetFaults changes what goes wrong.
func (e *ChainEngine) SetFaults(f ChainFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults, e.taken = f, 0
}

// fate is what becomes of a stream that the engine takes.
type fate int

const (
	fateWhole fate = iota
	fateFailed
	fateCut
)

// take says what becomes of the stream that is taken now.
func (e *ChainEngine) take() fate {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.taken++
	switch {
	case e.faults.FailEach > 0 && e.taken%e.faults.FailEach == 0:
		return fateFailed
	case e.faults.CutEach > 0 && e.taken%e.faults.CutEach == 0:
		return fateCut
	}
	return fateWhole
}
