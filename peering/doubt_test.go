package peering

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/moment"
	"github.com/hoistjunction/hoistjunction/momentwire"
)

// Guards against a registry that has not been read, or not since the store returned, and counts as one
// whose nodes vouch for nothing, and against one without vouching nodes that counts as proof.
func TestDoubtByState(t *testing.T) {
	const limit = 5000
	none, first, second, third := moment.Moment{}, moment.At(1, 40), moment.At(2, 7), moment.At(3, 1)
	type reading struct {
		at              clock.Millis
		readIn, vouched moment.Moment
	}
	tests := []struct {
		name     string
		readings []reading
		now      clock.Millis
		since    clock.Millis
		era      moment.Moment
		want     bool
	}{
		{"not read, store without eras", nil, 10, 10, none, false},
		{"not read, first era", nil, 10, 10, first, false},
		{"not read, later era", nil, 10, 10, second, true},
		{"not read for long, later era", nil, 60_000, 10, second, true},
		{"empty, first era", []reading{{10, first, none}}, 20, 10, first, false},
		{"nobody since the return", []reading{{10, second, first}}, 20, 10, second, true},
		{"nobody since the return, time over", []reading{{10, second, first}}, 10 + limit, 10, second, false},
		{"read again, which does not prolong it", []reading{{10, second, first}, {4000, second, first}}, 10 + limit, 10, second, false},
		{"somebody since the return", []reading{{10, second, second}}, 20, 10, second, false},
		{"somebody, found by a later reading", []reading{{10, second, first}, {30, second, second}}, 40, 10, second, false},
		{"read before the return", []reading{{10, second, second}}, 20, 10, third, true},
		{"read before the return, long ago", []reading{{10, second, second}}, 60_000, 10, third, true},
		{"read anew after the return", []reading{{10, second, second}, {7000, third, second}}, 7100, 10, third, true},
	}
	for _, tt := range tests {
		d := doubt{limit: limit}
		for _, r := range tt.readings {
			d.setVouched(r.at, r.readIn, r.vouched, none)
		}
		if got := d.holds(tt.now, tt.since, tt.era); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
		d.limit = 0
		if d.holds(tt.now, tt.since, tt.era) {
			t.Errorf("%s: got doubt where keys do not fail closed", tt.name)
		}
	}
}

// Guards against a node that goes on with what it read of the registry before the store returned, until
// the next periodic reading.
func TestRegistryIsReadAgainInLaterEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		const maxCalls = 2
		registry := &failingRegistry{asOf: moment.At(2, 5)}
		registry.cancel, registry.maxCalls = cancel, maxCalls
		earlier := member("me")
		earlier.Vouched = momentwire.Moment(moment.At(1, 1))
		registry.list = []Registration{{Member: earlier, Renewed: moment.At(2, 1)}}
		node := &fakeNode{version: 5, era: moment.At(2, 5)}
		p := New(member("me"), nil, registry, node, node, clocktest.NewClock(), zap.NewNop(), http.DefaultTransport, 1, WithRestoreDoubt(5000))
		ended := make(chan error, 1)
		go func() { ended <- p.MaintainRegistration(ctx) }()
		synctest.Wait()
		p.reviewComparison()
		synctest.Wait()
		if got := len(registry.calls); got != 1 {
			t.Errorf("got %d calls, want no second reading in the same era", got)
		}
		registry.asOf, node.era = moment.At(3, 2), moment.At(3, 2)
		for range 3 {
			p.reviewComparison()
			synctest.Wait()
		}
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("got error %v, want the second reading", err)
		}
		if now := time.Since(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)); now >= registryReadInterval {
			t.Errorf("got the second reading after %v, want it at once", now)
		}
	})
}

// Guards against a node that takes registrations which vouch for no era as no sign of a return, where the
// era of the store itself says that there was one: those that vouched may have expired, or be missing in
// the copy.
func TestDoubtWhereNoRegistrationVouches(t *testing.T) {
	const limit = 5000
	second := moment.At(2, 7)
	tests := []struct {
		name          string
		era           moment.Moment
		readAt, since clock.Millis
		now           clock.Millis
		want          bool
	}{
		{"first era", moment.At(1, 40), 10, 10, 20, false},
		{"store without eras", moment.At(0, 40), 10, 10, 20, false},
		{"later era", second, 10, 10, 20, true},
		{"later era, time over", second, 10, 10, 10 + limit, false},
		{"later era, configuration later than the reading", second, 10, 900, 10 + limit, true},
	}
	for _, tt := range tests {
		d := doubt{limit: limit}
		d.setVouched(tt.readAt, tt.era, moment.Moment{}, moment.Moment{})
		if got := d.holds(tt.now, tt.since, tt.era); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}
