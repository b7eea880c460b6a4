package follow

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
)

// Guards against an outage that ends too late: a node that had followed readers during an
// outage called the store itself later, and counted that answer as the end of the outage. It
// then held removed entries for another 2.2 s, 2 s after readers had reached the store. Found
// by seed 3967 of the followers' simulation.
func TestOutageEndsWithReaderAnswer(t *testing.T) {
	o := &Outage{}
	o.RecordFailure(1000)
	o.RecordReaderAnswer(2000)
	o.RecordReaderAnswer(4000)
	o.RecordAnswer(5000)
	if got := o.FalseRemovalsPossible(5000); got {
		t.Error("got false removals possible 3 s after a reader reached the store, want not")
	}
	o.RecordFailure(6000)
	o.RecordAnswer(7000)
	if got := o.FalseRemovalsPossible(7500); !got {
		t.Error("got no false removals possible right after an outage, want possible")
	}
	o.RecordFailure(8000)
	o.RecordReaderAnswer(9000)
	o.RecordAnswer(19_000)
	if got := o.FalseRemovalsPossible(19_500); !got {
		t.Error("got no false removals possible 10 s after the last answer of a reader, want possible: it may have lost the store too")
	}
}

// Guards against a call that was sent during an outage and fails after its end: it counted as a
// new outage, so the node held disappeared entries for another grace period.
func TestCallSentBeforeRecovery(t *testing.T) {
	o := &Outage{}
	const lostAt, sent, recoveredAt, later clock.Millis = 1000, 1500, 2000, 2100
	if o.SentBeforeRecovery(0) {
		t.Error("got a call sent before a recovery without an outage")
	}
	o.RecordFailure(lostAt)
	if o.SentBeforeRecovery(sent) {
		t.Error("got a call sent before a recovery during an outage")
	}
	o.RecordAnswer(recoveredAt)
	for at, want := range map[clock.Millis]bool{sent: true, later: false} {
		if got := o.SentBeforeRecovery(at); got != want {
			t.Errorf("call sent at %d: got sent before the recovery=%v, want %v", at, got, want)
		}
	}
}
