package core

// StepDoneMsg reports that an engine has executed a step.
type StepDoneMsg struct {
	Upstream   string   `json:"upstream"`
	Request    uint64   `json:"request"`
	Generation uint32   `json:"generation"`
	Position   uint32   `json:"position"`
	Outputs    []uint64 `json:"outputs,omitempty"`
	// Positions is the number of positions that the step covered.
	Positions int    `json:"positions"`
	Token     uint32 `json:"token,omitempty"`
	Text      string `json:"text,omitempty"`
	// Last is set on the last token of an answer.
	Last bool `json:"last,omitempty"`
	// Load is the number of generations that the engine holds for all entry nodes together.
	Load    int  `json:"load,omitempty"`
	Leaving bool `json:"leaving,omitempty"`
	// Cached is the number of prompt positions that were found in the prefix cache.
	Cached int `json:"cached,omitempty"`
}

// StepFault is the reason why an engine did not execute a step.
type StepFault uint8

// The step faults. Only StepNotSent and StepRefused prove that the step did not begin.
const (
	// StepNotSent means that no byte of the step left this node.
	StepNotSent StepFault = iota
	// StepRefused means that the engine accepted no part of the step because it is leaving or full.
	StepRefused
	// StepFenced means that the engine has received a higher generation of the request.
	StepFenced
	// StepGap means that the engine expects another position.
	StepGap
)

// StepFailedMsg reports that an engine did not execute a step.
type StepFailedMsg struct {
	Upstream   string    `json:"upstream"`
	Request    uint64    `json:"request"`
	Generation uint32    `json:"generation"`
	Position   uint32    `json:"position"`
	Fault      StepFault `json:"fault"`
	Leaving    bool      `json:"leaving,omitempty"`
}

// UpstreamDownMsg reports that the connection to an engine was lost. Steps in flight on it may have
// been executed.
type UpstreamDownMsg struct {
	Upstream string `json:"upstream"`
}

// CallDoneMsg carries the complete answer of a plain service.
type CallDoneMsg struct {
	Request     uint64 `json:"request"`
	Attempt     uint32 `json:"attempt"`
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// CallFailedMsg reports that a call to a plain service ended without a complete answer.
type CallFailedMsg struct {
	Request uint64 `json:"request"`
	Attempt uint32 `json:"attempt"`
	// NotSent is set when it is certain that no byte of the call left this node.
	NotSent bool `json:"not_sent,omitempty"`
}
