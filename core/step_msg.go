package core

// StepDoneMsg says that a stage has run a step.
type StepDoneMsg struct {
	Upstream   string   `json:"upstream"`
	Request    uint64   `json:"request"`
	Generation uint32   `json:"generation"`
	Position   uint32   `json:"position"`
	Outputs    []uint64 `json:"outputs,omitempty"`
	// Positions is how many positions the step covered.
	Positions int    `json:"positions"`
	Token     uint32 `json:"token,omitempty"`
	Text      string `json:"text,omitempty"`
	// Last is set on the last token of an answer.
	Last bool `json:"last,omitempty"`
	// Load is the number of generations that the engine holds for all nodes.
	Load    int  `json:"load,omitempty"`
	Leaving bool `json:"leaving,omitempty"`
	// Cached is how many prompt positions came from the prefix cache.
	Cached int `json:"cached,omitempty"`
}

// StepFault says why a step was not run, as far as is known.
type StepFault uint8

// The faults. Only the first two prove that the step did not begin.
const (
	// StepNotSent means that no byte of the step left this node.
	StepNotSent StepFault = iota
	// StepRefused means that the engine took nothing in: it is leaving or full.
	StepRefused
	// StepFenced means that the engine has seen a higher generation.
	StepFenced
	// StepGap means that the engine expects another position.
	StepGap
)

// StepFailedMsg says that a stage has not run a step.
type StepFailedMsg struct {
	Upstream   string    `json:"upstream"`
	Request    uint64    `json:"request"`
	Generation uint32    `json:"generation"`
	Position   uint32    `json:"position"`
	Fault      StepFault `json:"fault"`
	Leaving    bool      `json:"leaving,omitempty"`
}

// UpstreamDownMsg says that the stream to an engine has broken. What was
// under way there may have run.
type UpstreamDownMsg struct {
	Upstream string `json:"upstream"`
}

// CallDoneMsg says that a plain service has answered in full.
type CallDoneMsg struct {
	Request     uint64 `json:"request"`
	Attempt     uint32 `json:"attempt"`
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// CallFailedMsg says that a plain service gave no whole answer.
type CallFailedMsg struct {
	Request uint64 `json:"request"`
	Attempt uint32 `json:"attempt"`
	// NotSent is proof that no byte of the call left this node.
	NotSent bool `json:"not_sent,omitempty"`
}
