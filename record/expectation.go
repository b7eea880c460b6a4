package record

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/core"
)

// Expectation is a stated outcome: of a caller, of a kind of command, or of
// the configuration. What is left out is not looked at.
type Expectation struct {
	// Caller, with the outcome that it must have; "none" for no final word.
	Caller  uint64 `json:"caller"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Text    string `json:"text"`
	// By is the latest time of the final word.
	By clock.Millis `json:"by"`
	// Retry is set when the caller must be told when to come back.
	Retry bool `json:"retry"`

	// Command names a kind of command, and Times how often it must come.
	Command string `json:"command"`
	Times   int    `json:"times"`

	// Version is the version that must be in force.
	Version uint64 `json:"version"`
}

// checkExpectation compares an expectation with what came of the replay.
func (t *transcript) checkExpectation(e Expectation, m *core.Model) {
	if e.Command != "" && t.counts[e.Command] != e.Times {
		t.addViolation("%s: got %d times, want %d", e.Command, t.counts[e.Command], e.Times)
	}
	if e.Version != 0 && m.Config().GetVersion() != e.Version {
		t.addViolation("version in force: got %d, want %d", m.Config().GetVersion(), e.Version)
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
		t.addViolation("caller %d: got its final word at %d, want it by %d", e.Caller, final.at, e.By)
	}
	if e.Retry && final.finish.RetryAfter <= 0 {
		t.addViolation("caller %d: got no time to come back, want one", e.Caller)
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
