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

// errStoreDown is what the scripted store answers while it is away.
var errStoreDown = errors.New("away")

// scriptedStore answers calls from a list, and ends the test's context after it.
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

// configHolder is a node that takes proofs, and notes what has come of them.
type configHolder struct {
	inForce       ActiveConfig
	applied       []string
	confirmations int
	// confirmedAt are when what it took was confirmed.
	confirmedAt []clock.Millis
}

func (o *configHolder) take(p Proof) ActiveConfig {
	taken := o.inForce.Apply(p)
	if taken != Outdated {
		o.confirmations++
		o.confirmedAt = append(o.confirmedAt, p.Confirmed)
	}
	if taken == Replaced {
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

func TestCatalogFollows(t *testing.T) {
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
		t.Errorf("got versions %s, want %s", got, want)
	}
	// An unreadable configuration and a failed call prove nothing fresh.
	if got, want := node.confirmations, 5; got != want {
		t.Errorf("got %d confirmations, want %d", got, want)
	}
}

func TestOutage(t *testing.T) {
	o := &Outage{}
	steps := []struct {
		what    string
		do      func() bool
		news    bool
		at      clock.Millis
		lapsing bool
	}{
		{"an answer in good times", func() bool { return o.RecordAnswer(0) }, false, 0, false},
		{"a first failure", func() bool { return o.RecordFailure(10) }, true, 10, true},
		{"a further one", func() bool { return o.RecordFailure(20) }, false, 20, true},
		{"an answer", func() bool { return o.RecordAnswer(100) }, true, 100, true},
		{"a further one", func() bool { return o.RecordAnswer(200) }, false, 100 + fleet.RemovalGrace - 1, true},
		{"later", func() bool { return o.RecordAnswer(9000) }, false, 100 + fleet.RemovalGrace, false},
		{"a second failure", func() bool { return o.RecordFailure(10_000) }, true, 10_000, true},
		{"another node's answer", func() bool { return o.RecordReaderAnswer(10_100) }, false, 10_100, true},
		{"one later", func() bool { return o.RecordReaderAnswer(10_100 + fleet.RemovalGrace) }, false, 10_100 + fleet.RemovalGrace, false},
		{"one long after", func() bool { return o.RecordReaderAnswer(10_000 + outageExpiry) }, true, 10_000 + outageExpiry, false},
		{"a further one", func() bool { return o.RecordReaderAnswer(90_000) }, false, 90_000, false},
		{"a third failure", func() bool { return o.RecordFailure(100_000) }, true, 100_000, true},
		{"another node's answer", func() bool { return o.RecordReaderAnswer(101_000) }, false, 101_000, true},
		{"its last one", func() bool { return o.RecordReaderAnswer(108_000) }, false, 108_000, false},
		{"the store's own, soon after", func() bool { return o.RecordAnswer(109_000) }, true, 109_000, false},
		{"a fourth failure", func() bool { return o.RecordFailure(120_000) }, true, 120_000, true},
		{"another node's only answer", func() bool { return o.RecordReaderAnswer(121_000) }, false, 121_000, true},
		{"the store's own, long after", func() bool { return o.RecordAnswer(129_000) }, true, 129_000, true},
	}
	for _, s := range steps {
		if got := s.do(); got != s.news {
			t.Errorf("%s: got news %v, want %v", s.what, got, s.news)
		}
		if got := o.FalseRemovalsPossible(s.at); got != s.lapsing {
			t.Errorf("%s: got lapsing %v at %d, want %v", s.what, got, s.at, s.lapsing)
		}
	}
}

func TestFleetReadsWholeAfterAnOutage(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	up := func(id string) fleet.Change {
		return fleet.Change{ID: fleet.IncarnationByID(fleet.ID(id)), Upstream: fleet.Upstream{ID: fleet.IncarnationByID(fleet.ID(id))}}
	}
	source := &scriptedStore{t: t, end: cancel, answers: []scriptedAnswer{
		{changes: []fleet.Change{up("u1"), up("u2")}}, {err: errStoreDown}, {changes: []fleet.Change{up("u2")}},
	}}
	outage := &Outage{}
	c := clocktest.NewClock()
	gone := 0
	f := NewFleet(source, c, zap.NewNop(), outage, func(changes []fleet.Change) {
		for _, change := range changes {
			if change.Gone {
				gone++
			}
		}
	})
	// The follower of the configuration finds the store again.
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
	if got, want := gone, 0; got != want {
		t.Errorf("got %d upstreams gone right after an outage, want %d", got, want)
	}
}
