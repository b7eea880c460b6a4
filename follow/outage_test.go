package follow

import "testing"

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
