package record

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/outcome"
)

// ErrUnexpectedOutcome means that a replay violated an expectation or an invariant.
var ErrUnexpectedOutcome = errors.New("record: unexpected outcome")

// transcript collects the commands of a replay and checks the invariants of every
// recording:
//
//   - a caller gets one final reply, and nothing after it;
//   - a non-repeatable call is not sent again, unless the previous attempt is
//     known not to have been sent;
//   - a caller does not get the outcome "not executed" while its request may be at
//     an upstream.
type transcript struct {
	counts       map[string]int
	finalReplies map[uint64]finalReply
	texts        map[uint64]*strings.Builder
	atUpstream   map[uint64]bool
	sentCalls    map[string]bool
	// callNames maps a request to its name in sentCalls.
	callNames  map[uint64]string
	violations []string
}

// finalReply is the final reply to a caller and its time.
type finalReply struct {
	at     clock.Millis
	finish core.FinishCmd
}

func newTranscript() *transcript {
	return &transcript{
		counts: make(map[string]int), finalReplies: make(map[uint64]finalReply), texts: make(map[uint64]*strings.Builder),
		atUpstream: make(map[uint64]bool), sentCalls: make(map[string]bool),
		callNames: make(map[uint64]string),
	}
}

// observeMessage clears the tracked call or step of a request when a message
// reports that it was not sent or that the engine refused it.
func (t *transcript) observeMessage(msg core.Msg) {
	switch msg := msg.(type) {
	case core.CallFailedMsg:
		if msg.NotSent {
			delete(t.atUpstream, msg.Request)
			delete(t.sentCalls, t.callNames[msg.Request])
		}
	case core.StepFailedMsg:
		if msg.Fault == core.StepNotSent || msg.Fault == core.StepRefused {
			delete(t.atUpstream, msg.Request)
		}
	}
}

func (t *transcript) observeCommand(at clock.Millis, cmd core.Cmd) {
	t.counts[TypeName(cmd)]++
	switch cmd := cmd.(type) {
	case *core.StepCmd:
		t.atUpstream[cmd.Request] = true
	case *core.CallCmd:
		t.atUpstream[cmd.Request] = true
		t.checkCall(cmd)
	case *core.EmitCmd:
		t.checkEmit(cmd)
	case *core.FinishCmd:
		t.checkFinish(at, cmd)
	}
}

func (t *transcript) checkCall(cmd *core.CallCmd) {
	if !cmd.NoRepeat {
		return
	}
	name := "request " + fmt.Sprint(cmd.Request)
	if cmd.Key != "" {
		name = "key " + cmd.Key
	}
	if t.sentCalls[name] {
		t.addViolation("non-repeatable call was sent again: %s", name)
	}
	t.sentCalls[name] = true
	t.callNames[cmd.Request] = name
}

func (t *transcript) checkEmit(cmd *core.EmitCmd) {
	for _, caller := range cmd.Callers {
		if _, ended := t.finalReplies[caller]; ended {
			t.addViolation("caller %d got text after its final reply", caller)
		}
		if t.texts[caller] == nil {
			t.texts[caller] = &strings.Builder{}
		}
		for _, text := range cmd.Texts {
			t.texts[caller].WriteString(text)
		}
	}
}

func (t *transcript) checkFinish(at clock.Millis, cmd *core.FinishCmd) {
	if _, ended := t.finalReplies[cmd.Caller]; ended {
		t.addViolation("caller %d got two final replies", cmd.Caller)
	}
	if cmd.Outcome == outcome.NotExecuted && t.atUpstream[cmd.Caller] {
		t.addViolation("caller %d got outcome \"not executed\" while its request was at an upstream", cmd.Caller)
	}
	t.finalReplies[cmd.Caller] = finalReply{at: at, finish: *cmd}
}

func (t *transcript) addViolation(format string, args ...any) {
	t.violations = append(t.violations, fmt.Sprintf(format, args...))
}

func (t *transcript) err() error {
	if len(t.violations) == 0 {
		return nil
	}
	return errors.Wrap(ErrUnexpectedOutcome, strings.Join(t.violations, "; "))
}
