package record

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/outcome"
)

// ErrUnexpectedOutcome means that a replay did not come out as stated.
var ErrUnexpectedOutcome = errors.New("record: not as stated")

// transcript gathers the commands of a replay, and checks on the way what must
// hold whatever the recording:
//
//   - a caller has one final word, and nothing after it;
//   - a call that may not be repeated is not sent again, unless the attempt
//     before it is proven not to have been sent;
//   - "not run" is not said to a caller whose request is out at an upstream.
type transcript struct {
	counts       map[string]int
	finalReplies map[uint64]finalReply
	texts        map[uint64]*strings.Builder
	atUpstream   map[uint64]bool
	sentCalls    map[string]bool
	// callNames tells under which name a request is in sent.
	callNames  map[uint64]string
	violations []string
}

// finalReply is a caller's final word and when it came.
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

// observeMessage notes what messages prove.
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
		t.addViolation("a call that may not be repeated was sent again: %s", name)
	}
	t.sentCalls[name] = true
	t.callNames[cmd.Request] = name
}

func (t *transcript) checkEmit(cmd *core.EmitCmd) {
	for _, caller := range cmd.Callers {
		if _, ended := t.finalReplies[caller]; ended {
			t.addViolation("caller %d was given text after its final word", caller)
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
		t.addViolation("caller %d was given two final words", cmd.Caller)
	}
	if cmd.Outcome == outcome.NotExecuted && t.atUpstream[cmd.Caller] {
		t.addViolation("caller %d was told \"not run\" while its request was out at an upstream", cmd.Caller)
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
