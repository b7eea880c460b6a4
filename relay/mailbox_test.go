package relay

import (
	"net/http"
	"testing"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/dispatch"
)

// Guards against a request that is open until its deadline although the model has ended it: its session was
// busy while commands about its stream came, and the command that ended it found no space.
func TestDecisionFindsSpaceInFullMailbox(t *testing.T) {
	d := newDecider(dispatch.New(), clocktest.NewClock(), zap.NewNop(), func(dispatch.ProbeCmd) {}, func(dispatch.IdentifyCmd) {})
	box := newMailbox()
	d.mailboxes[1] = box
	for range 2 * maxAdvice {
		d.execute(dispatch.RecheckAttemptCmd{Request: 1, Attempt: 1})
	}
	end := dispatch.EndRequestCmd{Answer: dispatch.RespondCmd{Request: 1, Status: http.StatusServiceUnavailable}}
	d.execute(dispatch.SendCmd{Request: 1, Attempt: 2})
	d.execute(end)
	if got, ok := (<-box.decisions).(dispatch.SendCmd); !ok || got.Attempt != 2 {
		t.Errorf("got %+v, want the second attempt", got)
	}
	if got := <-box.decisions; got != end {
		t.Errorf("got %+v, want %+v", got, end)
	}
	if got := len(box.advice); got != maxAdvice {
		t.Errorf("got %d commands about the attempt, want %d", got, maxAdvice)
	}
}
