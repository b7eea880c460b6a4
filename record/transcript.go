package record

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/outcome"
)

// ErrOutcome means that a replay did not come out as stated.
var ErrOutcome = errors.New("record: not as stated")

// transcript gathers the commands of a replay, and checks on the way what must
// hold whatever the recording:
//
//   - a caller has one final word, and nothing after it;
//   - a call that may not be repeated is not sent again, unless the attempt
//     before it is proven not to have been sent;
//   - "not run" is not said to a caller whose request is out at an upstream.
type transcript struct {
	counts map[string]int
	finals map[uint64]finalWord
	texts  map[uint64]*strings.Builder
	out    map[uint64]bool
	sent   map[string]bool
	// named tells under which name a request is in sent.
	named  map[uint64]string
	faults []string
}

// finalWord is a caller's final word and when it came.
type finalWord struct {
	at     clock.Millis
	finish core.FinishCmd
}

func newTranscript() *transcript {
	return &transcript{
		counts: make(map[string]int), finals: make(map[uint64]finalWord), texts: make(map[uint64]*strings.Builder),
		out: make(map[uint64]bool), sent: make(map[string]bool),
		named: make(map[uint64]string),
	}
}

// message notes what messages prove.
func (t *transcript) message(msg core.Msg) {
	switch msg := msg.(type) {
	case core.CallFailedMsg:
		if msg.NotSent {
			delete(t.out, msg.Request)
			delete(t.sent, t.named[msg.Request])
		}
	case core.StepFailedMsg:
		if msg.Fault == core.StepNotSent || msg.Fault == core.StepRefused {
			delete(t.out, msg.Request)
		}
	}
}

func (t *transcript) command(at clock.Millis, cmd core.Cmd) {
	t.counts[Name(cmd)]++
	switch cmd := cmd.(type) {
	case *core.StepCmd:
		t.out[cmd.Request] = true
	case *core.CallCmd:
		t.out[cmd.Request] = true
		t.call(cmd)
	case *core.EmitCmd:
		t.emit(cmd)
	case *core.FinishCmd:
		t.finish(at, cmd)
	}
}

func (t *transcript) call(cmd *core.CallCmd) {
	if !cmd.NoRepeat {
		return
	}
	name := "request " + fmt.Sprint(cmd.Request)
	if cmd.Key != "" {
		name = "key " + cmd.Key
	}
	if t.sent[name] {
		t.fault("a call that may not be repeated was sent again: %s", name)
	}
	t.sent[name] = true
	t.named[cmd.Request] = name
}

func (t *transcript) emit(cmd *core.EmitCmd) {
	for _, caller := range cmd.Callers {
		if _, ended := t.finals[caller]; ended {
			t.fault("caller %d was given text after its final word", caller)
		}
		if t.texts[caller] == nil {
			t.texts[caller] = &strings.Builder{}
		}
		for _, text := range cmd.Texts {
			t.texts[caller].WriteString(text)
		}
	}
}

func (t *transcript) finish(at clock.Millis, cmd *core.FinishCmd) {
	if _, ended := t.finals[cmd.Caller]; ended {
		t.fault("caller %d was given two final words", cmd.Caller)
	}
	if cmd.Outcome == outcome.NotExecuted && t.out[cmd.Caller] {
		t.fault("caller %d was told \"not run\" while its request was out at an upstream", cmd.Caller)
	}
	t.finals[cmd.Caller] = finalWord{at: at, finish: *cmd}
}

func (t *transcript) fault(format string, args ...any) {
	t.faults = append(t.faults, fmt.Sprintf(format, args...))
}

func (t *transcript) err() error {
	if len(t.faults) == 0 {
		return nil
	}
	return errors.Wrap(ErrOutcome, strings.Join(t.faults, "; "))
}
