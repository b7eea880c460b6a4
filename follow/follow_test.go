package follow

import (
	"context"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/moment"
)

// errStoreDown is the error of the scripted store during an outage.
var errStoreDown = errors.New("store down")

// scriptedStore answers calls from a list, and ends the test's context after the last answer.
type scriptedStore struct {
	t       *testing.T
	end     context.CancelFunc
	answers []scriptedAnswer
	calls   []string
}

type scriptedAnswer struct {
	raw     string
	changes []fleet.Change
	err     error
}

func (s *scriptedStore) next(call string) scriptedAnswer {
	s.calls = append(s.calls, call)
	if len(s.answers) == 0 {
		s.end()
		return scriptedAnswer{err: errStoreDown}
	}
	answer := s.answers[0]
	s.answers = s.answers[1:]
	return answer
}

func (s *scriptedStore) catalog(call string) (CatalogReading, error) {
	answer := s.next(call)
	return CatalogReading{Raw: []byte(answer.raw), AsOf: moment.At(0, uint64(len(s.calls)))}, answer.err
}

func (s *scriptedStore) ReadCatalog(context.Context) (CatalogReading, error) {
	return s.catalog("read")
}
func (s *scriptedStore) AwaitCatalog(context.Context, moment.Moment, clock.Millis) (CatalogReading, error) {
	return s.catalog("await")
}

func (s *scriptedStore) DecodeCatalog(raw []byte, written moment.Moment) (*catalog.Catalog, error) {
	if string(raw) == "bad" {
		return nil, errStoreDown
	}
	return catalog.New(uint64(raw[0]-'0'), catalog.WithSource(raw, written)), nil
}

func (s *scriptedStore) fleet(call string) (FleetReading, error) {
	answer := s.next(call)
	return FleetReading{Changes: answer.changes, AsOf: moment.At(0, uint64(len(s.calls)))}, answer.err
}

func (s *scriptedStore) ReadUpstreams(context.Context) (FleetReading, error) { return s.fleet("read") }
func (s *scriptedStore) AwaitUpstreams(context.Context, moment.Moment, clock.Millis) (FleetReading, error) {
	return s.fleet("await")
}

// configHolder applies proofs like a node, and records their effects.
type configHolder struct {
	inForce       ActiveConfig
	applied       []string
	confirmations int
	// confirmedAt holds the time of each proof that was not outdated.
	confirmedAt []clock.Millis
}

func (o *configHolder) take(p Proof) ActiveConfig {
	result := o.inForce.Apply(p)
	if result != Outdated {
		o.confirmations++
		o.confirmedAt = append(o.confirmedAt, p.Confirmed)
	}
	if result == Replaced {
		o.applied = append(o.applied, p.Edition.String())
	}
	return o.inForce
}

func checkCalls(t *testing.T, got, want []string) {
	t.Helper()
	if len(got) < len(want) {
		t.Fatalf("got calls %v, want %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("got calls %v, want %v", got, want)
		}
	}
}

func TestCatalogFollowsStore(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	source := &scriptedStore{t: t, end: cancel, answers: []scriptedAnswer{
		{raw: "1"}, {}, {raw: "2"}, {err: ErrFullReadRequired}, {raw: "2"}, {raw: "bad"}, {err: errStoreDown}, {raw: "3"},
	}}
	node := &configHolder{}
	f := NewCatalog(source, clocktest.NewClock(), zap.NewNop(), &Outage{}, node.take)
	if err := f.Run(ctx); !errors.Is(err, context.Canceled) {
		t.Fatalf("got error %v, want %v", err, context.Canceled)
	}
	checkCalls(t, source.calls, []string{"read", "await", "await", "await", "read", "await", "await", "read"})
	if got, want := strings.Join(node.applied, " "), "1 2 3"; got != want {
		t.Errorf("got applied versions %s, want %s", got, want)
	}
	// An invalid configuration and a failed call prove nothing.
	if got, want := node.confirmations, 5; got != want {
		t.Errorf("got %d confirmations, want %d", got, want)
	}
}

func TestOutage(t *testing.T) {
	o := &Outage{}
	steps := []struct {
		name      string
		record    func() bool
		changed   bool
		at        clock.Millis
		uncertain bool
	}{
		{"an answer before any outage", func() bool { return o.RecordAnswer(0) }, false, 0, false},
		{"a failure that begins the first outage", func() bool { return o.RecordFailure(10) }, true, 10, true},
		{"a second failure in a row", func() bool { return o.RecordFailure(20) }, false, 20, true},
		{"an answer after the outage", func() bool { return o.RecordAnswer(100) }, true, 100, true},
		{"another answer", func() bool { return o.RecordAnswer(200) }, false, 100 + fleet.RemovalGrace - 1, true},
		{"an answer after the grace period", func() bool { return o.RecordAnswer(9000) }, false, 100 + fleet.RemovalGrace, false},
		{"a failure that begins the second outage", func() bool { return o.RecordFailure(10_000) }, true, 10_000, true},
		{"a reader's answer", func() bool { return o.RecordReaderAnswer(10_100) }, false, 10_100, true},
		{"a reader's answer after the grace period", func() bool { return o.RecordReaderAnswer(10_100 + fleet.RemovalGrace) }, false, 10_100 + fleet.RemovalGrace, false},
		{"a reader's answer after the outage has expired", func() bool { return o.RecordReaderAnswer(10_000 + outageExpiry) }, true, 10_000 + outageExpiry, false},
		{"another answer of the reader", func() bool { return o.RecordReaderAnswer(90_000) }, false, 90_000, false},
		{"a failure that begins the third outage", func() bool { return o.RecordFailure(100_000) }, true, 100_000, true},
		{"a reader's answer", func() bool { return o.RecordReaderAnswer(101_000) }, false, 101_000, true},
		{"the reader's last answer", func() bool { return o.RecordReaderAnswer(108_000) }, false, 108_000, false},
		{"the store's answer soon after the reader's", func() bool { return o.RecordAnswer(109_000) }, true, 109_000, false},
		{"a failure that begins the fourth outage", func() bool { return o.RecordFailure(120_000) }, true, 120_000, true},
		{"a reader's only answer", func() bool { return o.RecordReaderAnswer(121_000) }, false, 121_000, true},
		{"the store's answer long after the reader's", func() bool { return o.RecordAnswer(129_000) }, true, 129_000, true},
	}
	for _, s := range steps {
		if got := s.record(); got != s.changed {
			t.Errorf("%s: got changed=%v, want %v", s.name, got, s.changed)
		}
		if got := o.FalseRemovalsPossible(s.at); got != s.uncertain {
			t.Errorf("%s: got false removals possible=%v at %d, want %v", s.name, got, s.at, s.uncertain)
		}
	}
}

func TestFleetReadsFullListAfterOutage(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	up := func(id string) fleet.Change {
		return fleet.Change{ID: fleet.IncarnationByID(fleet.ID(id)), Upstream: fleet.Upstream{ID: fleet.IncarnationByID(fleet.ID(id))}}
	}
	source := &scriptedStore{t: t, end: cancel, answers: []scriptedAnswer{
		{changes: []fleet.Change{up("u1"), up("u2")}}, {err: errStoreDown}, {changes: []fleet.Change{up("u2")}},
	}}
	outage := &Outage{}
	c := clocktest.NewClock()
	removed := 0
	f := NewFleet(source, c, zap.NewNop(), outage, func(changes []fleet.Change) {
		for _, change := range changes {
			if change.Gone {
				removed++
			}
		}
	})
	// The follower of the configuration records the end of the outage.
	go func() {
		for ctx.Err() == nil {
			outage.RecordAnswer(c.Now())
			clock.Sleep(ctx, minRetryPause.Duration())
		}
	}()
	if err := f.Run(ctx); !errors.Is(err, context.Canceled) {
		t.Fatalf("got error %v, want %v", err, context.Canceled)
	}
	checkCalls(t, source.calls, []string{"read", "await", "read"})
	if got, want := removed, 0; got != want {
		t.Errorf("got %d upstreams removed right after an outage, want %d", got, want)
	}
}
