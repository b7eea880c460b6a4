package follow

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
)

// A node lost the store, followed others that had it, and asked the store itself again
// when it had nobody to follow any more. That counted as the end of its outage: it held
// back for 2.2 s what ended then, 2 s after others had vouched for the store. Found by
// seed 3967 of the followers' simulation; the log shows store_back at the time from which
// entries were held back.
func TestOutageEndsWithTheWordOfOthers(t *testing.T) {
	o := &Outage{}
	o.Lost(1000)
	o.Told(2000)
	o.Told(4000)
	o.Back(5000)
	if got := o.Lapsing(5000); got {
		t.Error("got entries held back 3 s after another node had the store, want none")
	}
	o.Lost(6000)
	o.Back(7000)
	if got := o.Lapsing(7500); !got {
		t.Error("got no entries held back right after an outage, want some")
	}
	o.Lost(8000)
	o.Told(9000)
	o.Back(19_000)
	if got := o.Lapsing(19_500); !got {
		t.Error("got no entries held back 10 s after another node had the store, want some: it may have lost it too")
	}
}

// A call that hung since before the store's return failed after it, and counted as a new
// outage: what had vanished counted on for as long again.
func TestCallThatOutlivedAnOutage(t *testing.T) {
	o := &Outage{}
	const lost, sent, back, later clock.Millis = 1000, 1500, 2000, 2100
	if o.Outlived(0) {
		t.Error("got a call that has outlived an outage before there was one")
	}
	o.Lost(lost)
	if o.Outlived(sent) {
		t.Error("got a call that has outlived an outage that lasts")
	}
	o.Back(back)
	for at, want := range map[clock.Millis]bool{sent: true, later: false} {
		if got := o.Outlived(at); got != want {
			t.Errorf("call sent at %d: got outlived %v, want %v", at, got, want)
		}
	}
}
