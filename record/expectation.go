package record

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/core"
)

// Expectation is an expected result of a replay: for a caller, a command type or
// the configuration. Fields with a zero value are not checked.
type Expectation struct {
	// Caller is the ID of the caller, and Outcome the outcome of its request; "none"
	// if the caller must get no final reply.
	Caller  uint64 `json:"caller"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Text    string `json:"text"`
	// By is the latest time of the final reply.
	By clock.Millis `json:"by"`
	// Retry requires a retry delay in the final reply.
	Retry bool `json:"retry"`

	// Command is a command type, and Times the exact number of such commands.
	Command string `json:"command"`
	Times   int    `json:"times"`

	// Version is the expected version of the active configuration.
	Version uint64 `json:"version"`
}

// checkExpectation compares an expectation with the result of the replay.
func (t *transcript) checkExpectation(e Expectation, m *core.Model) {
	if e.Command != "" && t.counts[e.Command] != e.Times {
		t.addViolation("command %s: got %d times, want %d", e.Command, t.counts[e.Command], e.Times)
	}
	if e.Version != 0 && m.Config().GetVersion() != e.Version {
		t.addViolation("active version: got %d, want %d", m.Config().GetVersion(), e.Version)
	}
	if e.Caller != 0 {
		t.checkCaller(e)
	}
}

func (t *transcript) checkCaller(e Expectation) {
	final := t.finalReplies[e.Caller]
	got := final.finish.Outcome.String()
	if e.Outcome != "" && got != e.Outcome {
		t.addViolation("caller %d: got outcome %s (%s), want %s", e.Caller, got, final.finish.Reason, e.Outcome)
	}
	if e.Reason != "" && final.finish.Reason.String() != e.Reason {
		t.addViolation("caller %d: got reason %s, want %s", e.Caller, final.finish.Reason, e.Reason)
	}
	if e.By != 0 && final.at > e.By {
		t.addViolation("caller %d: got the final reply at %d, want it by %d", e.Caller, final.at, e.By)
	}
	if e.Retry && final.finish.RetryAfter <= 0 {
		t.addViolation("caller %d: got no retry delay, want one", e.Caller)
	}
	if e.Text != "" {
		t.checkText(e)
	}
}

func (t *transcript) checkText(e Expectation) {
	got := ""
	if b := t.texts[e.Caller]; b != nil {
		got = b.String()
	}
	if got != e.Text {
		t.addViolation("caller %d: got text %q, want %q", e.Caller, got, e.Text)
	}
}
