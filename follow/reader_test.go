package follow

import (
	"context"
	"fmt"
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

// scriptedReader is another node that reads the store. Its calls are recorded in the list of
// the store's calls.
type scriptedReader struct {
	store *scriptedStore
	// answers are its answers in order; after the last one its calls fail.
	answers []scriptedAnswer
	// offersLeft is how many times it can still be selected, and failed counts its reported
	// failures.
	offersLeft int
	failed     int
	// waitsLeft is how many times the node must still wait, and storeFailures counts failed
	// calls to the store.
	waitsLeft     int
	storeFailures int
	// restores counts store restores.
	restores int
}

func (r *scriptedReader) next() scriptedAnswer {
	if len(r.answers) == 0 {
		r.store.calls = append(r.store.calls, "reader fails")
		return scriptedAnswer{err: errStoreDown}
	}
	r.store.calls = append(r.store.calls, "reader")
	answer := r.answers[0]
	r.answers = r.answers[1:]
	return answer
}

func (r *scriptedReader) AwaitCatalog(_ context.Context, have catalog.Edition, _ clock.Millis) (CatalogReading, error) {
	answer := r.next()
	return CatalogReading{Raw: []byte(answer.raw), Edition: have, Age: 500, AnsweredAge: 500}, answer.err
}

func (r *scriptedReader) AwaitUpstreams(context.Context, moment.Moment, clock.Millis) (FleetReading, error) {
	answer := r.next()
	return FleetReading{Changes: answer.changes, AsOf: moment.At(0, 1)}, answer.err
}

func (r *scriptedReader) Reader() Reader {
	if r.offersLeft == 0 {
		return nil
	}
	r.offersLeft--
	return r
}

func (r *scriptedReader) ReaderFailed(Reader) { r.failed, r.offersLeft = r.failed+1, 0 }

func (r *scriptedReader) HasFollowers() bool { return false }

func (r *scriptedReader) InitialReader() (Reader, bool) { return nil, false }

func (r *scriptedReader) NeedsProof() bool { return false }

func (r *scriptedReader) ShouldWait() bool {
	if r.waitsLeft == 0 {
		return false
	}
	r.waitsLeft--
	r.store.calls = append(r.store.calls, "waits")
	return true
}

func (r *scriptedReader) StoreLost()      { r.storeFailures++ }
func (r *scriptedReader) StoreRecovered() { r.storeFailures = 0 }
func (r *scriptedReader) StoreRestored()  { r.restores++ }

// Checks that a node follows a reader after its initial reading of the store, and reads the
// full configuration from the store when the reader fails. A failure of the reader is no
// outage.
func TestCatalogFollowsReader(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	source := &scriptedStore{t: t, end: cancel, answers: []scriptedAnswer{{raw: "1"}, {raw: "3"}, {}}}
	reader := &scriptedReader{store: source, answers: []scriptedAnswer{{}, {raw: "2"}}, offersLeft: 4}
	outage := &Outage{}
	node := &configHolder{}
	f := NewCatalog(source, clocktest.NewClock(), zap.NewNop(), outage, node.take, WithReaders(reader, standalone{}))
	if err := f.Run(ctx); !errors.Is(err, context.Canceled) {
		t.Fatalf("got error %v, want %v", err, context.Canceled)
	}
	checkCalls(t, source.calls, []string{"read", "reader", "reader", "reader fails", "read", "await"})
	if got, want := strings.Join(node.applied, " "), "1 2 3"; got != want {
		t.Errorf("got applied versions %s, want %s", got, want)
	}
	if got, want := reader.failed, 1; got != want {
		t.Errorf("got %d reader failures, want %d", got, want)
	}
}

// The first call to a reader may fail because that node does not know yet that it is the
// reader. The node's own reading of the store stays valid, so it does not read the full
// configuration again.
func TestCatalogKeepsReadingAfterFirstReaderFailure(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	source := &scriptedStore{t: t, end: cancel, answers: []scriptedAnswer{{raw: "1"}, {}}}
	reader := &scriptedReader{store: source, offersLeft: 2}
	f := NewCatalog(source, clocktest.NewClock(), zap.NewNop(), &Outage{}, (&configHolder{}).take, WithReaders(reader, standalone{}))
	if err := f.Run(ctx); !errors.Is(err, context.Canceled) {
		t.Fatalf("got error %v, want %v", err, context.Canceled)
	}
	checkCalls(t, source.calls, []string{"read", "reader fails", "await"})
}

// Checks that the time of a proof is the sending time of the call minus the age in the
// response.
func TestCatalogSubtractsReaderAge(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	source := &scriptedStore{t: t, end: cancel, answers: []scriptedAnswer{{raw: "1"}}}
	reader := &scriptedReader{store: source, answers: []scriptedAnswer{{}}, offersLeft: 2}
	c := clocktest.NewClock()
	node := &configHolder{}
	f := NewCatalog(source, c, zap.NewNop(), &Outage{}, node.take, WithReaders(reader, standalone{}))
	if err := f.Run(ctx); !errors.Is(err, context.Canceled) {
		t.Fatalf("got error %v, want %v", err, context.Canceled)
	}
	if len(node.confirmedAt) != 2 || node.confirmedAt[1] > c.Now()-500 {
		t.Errorf("got proofs at %v, want two, the second at least 500 ms before %d", node.confirmedAt, c.Now())
	}
}

// publishedLog records what a node publishes to its followers.
type publishedLog struct {
	standalone
	calls []string
}

func (l *publishedLog) AddFleet(_ moment.Moment, changes []fleet.Change) {
	text := "add"
	for _, c := range changes {
		text += fmt.Sprint(" ", c.ID.String(), c.Gone)
	}
	l.calls = append(l.calls, text)
}

func (l *publishedLog) SetFleet(_ moment.Moment, list []fleet.Upstream) {
	text := "set"
	for _, u := range list {
		text += " " + u.ID.String()
	}
	l.calls = append(l.calls, text)
}

func (l *publishedLog) AddEnded(ended []fleet.Change) {
	for _, c := range ended {
		l.calls = append(l.calls, "ended "+c.ID.String())
	}
}

func (l *publishedLog) Suspend() { l.calls = append(l.calls, "suspend") }

func listed(id string) fleet.Change {
	return fleet.Change{ID: fleet.IncarnationByID(fleet.ID(id)), Upstream: fleet.Upstream{ID: fleet.IncarnationByID(fleet.ID(id))}}
}

// endOutageSoon ends an outage as the follower of the configuration does.
func endOutageSoon(ctx context.Context, outage *Outage, c *clock.Clock) {
	for ctx.Err() == nil {
		outage.RecordAnswer(c.Now())
		clock.Sleep(ctx, minRetryPause.Duration())
	}
}

// publishedFor passes answers of the store to a follower of the list and returns what that
// publishes.
func publishedFor(t *testing.T, answers []scriptedAnswer) []string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	source := &scriptedStore{t: t, end: cancel, answers: answers}
	outage := &Outage{}
	c := clocktest.NewClock()
	published := &publishedLog{}
	f := NewFleet(source, c, zap.NewNop(), outage, func([]fleet.Change) {}, WithReaders(&scriptedReader{store: source}, published))
	go endOutageSoon(ctx, outage, c)
	if err := f.Run(ctx); !errors.Is(err, context.Canceled) {
		t.Fatalf("got error %v, want %v", err, context.Canceled)
	}
	return published.calls
}

// Checks what a node publishes around a store outage. During the outage it publishes nothing.
// Afterwards, the published list includes held entries. A node that has started during an
// outage cannot know the falsely removed entries, and publishes nothing until the grace period
// ends. The removal of an entry that the node never had is published too, because a follower
// may have it.
func TestFleetPublishes(t *testing.T) {
	tests := []struct {
		name    string
		answers []scriptedAnswer
		want    []string
	}{
		{"held entries", []scriptedAnswer{
			{changes: []fleet.Change{listed("u1"), listed("u2")}}, {err: errStoreDown}, {changes: []fleet.Change{listed("u1")}},
			{changes: []fleet.Change{listed("u3")}},
		}, []string{"set u1 u2", "suspend", "set u1 u2", "add u3false", "suspend"}},
		{"incomplete list", []scriptedAnswer{
			{err: errStoreDown}, {changes: []fleet.Change{listed("u1")}}, {changes: []fleet.Change{listed("u2")}},
		}, []string{"suspend", "suspend", "suspend", "suspend"}},
		{"removal of an unknown entry", []scriptedAnswer{
			{changes: []fleet.Change{listed("u1")}}, {changes: []fleet.Change{{ID: fleet.IncarnationByID("u9"), Gone: true}}},
		}, []string{"set u1", "add u9true", "suspend"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			checkCalls(t, publishedFor(t, tt.answers), tt.want)
		})
	}
}

// Guards against followers with an incomplete list: they got a full list of one upstream out of
// three and rejected requests. Their reader had read an empty list when it started, then
// applied a list of a peer, and published only what its next reading of the store changed.
func TestFleetPublishesPeerLists(t *testing.T) {
	published := &publishedLog{}
	f := NewFleet(&scriptedStore{t: t}, clocktest.NewClock(), zap.NewNop(), &Outage{}, func([]fleet.Change) {}, WithReaders(standalone{}, published))
	now := f.clock.Now()
	f.apply(now, FleetReading{AsOf: moment.At(0, 1), Whole: true}, false)
	f.AddPeerList([]fleet.Upstream{{ID: fleet.IncarnationByID("u1")}, {ID: fleet.IncarnationByID("u2")}})
	f.applyPeerList(now)
	f.apply(now, FleetReading{AsOf: moment.At(0, 4), Changes: []fleet.Change{listed("u1"), listed("u2"), listed("u3")}}, false)
	checkCalls(t, published.calls, []string{"set", "set u1 u2 u3"})
}

// Checks that a node without a reader makes no store calls while ShouldWait reports true, except for
// its initial reading.
func TestShouldWaitDelaysStoreCalls(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	source := &scriptedStore{t: t, end: cancel, answers: []scriptedAnswer{{raw: "1"}, {}}}
	readers := &scriptedReader{store: source, waitsLeft: 2}
	f := NewCatalog(source, clocktest.NewClock(), zap.NewNop(), &Outage{}, (&configHolder{}).take, WithReaders(readers, standalone{}))
	if err := f.Run(ctx); !errors.Is(err, context.Canceled) {
		t.Fatalf("got error %v, want %v", err, context.Canceled)
	}
	checkCalls(t, source.calls, []string{"read", "waits", "waits", "await", "await"})
}

// Checks that a node that alone has lost the store follows a reader from its last revision,
// without a full reading. If the reader fails soon after, its list may have included entries
// that it held itself, so the node reads the full list from the store.
func TestFleetFollowsReaderDuringOutage(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	source := &scriptedStore{t: t, end: cancel, answers: []scriptedAnswer{{changes: []fleet.Change{listed("u1")}}, {err: errStoreDown}}}
	reader := &scriptedReader{store: source, answers: []scriptedAnswer{{changes: []fleet.Change{listed("u2")}}, {changes: []fleet.Change{{ID: fleet.IncarnationByID("u1"), Gone: true}}}}}
	outage := &Outage{}
	var seen []string
	f := NewFleet(source, clocktest.NewClock(), zap.NewNop(), outage, func(changes []fleet.Change) {
		for _, c := range changes {
			seen = append(seen, fmt.Sprint(c.ID.String(), c.Gone))
		}
	}, WithReaders(readerInOutage{reader, outage}, standalone{}))
	if err := f.Run(ctx); !errors.Is(err, context.Canceled) {
		t.Fatalf("got error %v, want %v", err, context.Canceled)
	}
	checkCalls(t, source.calls, []string{"read", "await", "reader", "reader", "reader fails", "read"})
	if got, want := strings.Join(seen, " "), "u1false u2false u1true"; got != want {
		t.Errorf("got %q, want %q: a removal by a reader applies immediately", got, want)
	}
}

// readerInOutage can be selected during a store outage until it fails.
type readerInOutage struct {
	*scriptedReader
	outage *Outage
}

func (r readerInOutage) Reader() Reader {
	if !r.outage.Ongoing() || r.failed > 0 {
		return nil
	}
	return r.scriptedReader
}

// If the newest configuration is invalid, a reading without changes proves nothing about the
// active one.
func TestInvalidConfigIsNeverConfirmed(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	source := &scriptedStore{t: t, end: cancel, answers: []scriptedAnswer{{raw: "1"}, {raw: "bad"}, {}, {}, {raw: "2"}}}
	node := &configHolder{}
	f := NewCatalog(source, clocktest.NewClock(), zap.NewNop(), &Outage{}, node.take)
	if err := f.Run(ctx); !errors.Is(err, context.Canceled) {
		t.Fatalf("got error %v, want %v", err, context.Canceled)
	}
	if got, want := node.confirmations, 2; got != want {
		t.Errorf("got %d confirmations, want %d", got, want)
	}
}

// Checks that a peer's list is applied only while it is recent, and only the last one received:
// an older one lacks upstreams that have registered since.
func TestPeerListsExpire(t *testing.T) {
	c := clocktest.NewClock()
	var changed []string
	f := NewFleet(&scriptedStore{t: t}, c, zap.NewNop(), &Outage{}, func(changes []fleet.Change) {
		for _, change := range changes {
			changed = append(changed, fmt.Sprint(change.ID.String(), change.Gone))
		}
	})
	f.view.Apply(c.Now(), []fleet.Change{listed("u1"), listed("u2")}, false)
	f.AddPeerList([]fleet.Upstream{{ID: fleet.IncarnationByID("u1")}})
	f.AddPeerList([]fleet.Upstream{{ID: fleet.IncarnationByID("u1")}, {ID: fleet.IncarnationByID("u2")}, {ID: fleet.IncarnationByID("u3")}})
	f.applyPeerList(c.Now())
	if got, want := strings.Join(changed, " "), "u3false"; got != want {
		t.Errorf("got changes %q after two lists, want %q from the last one", got, want)
	}
	changed = nil
	f.AddPeerList([]fleet.Upstream{{ID: fleet.IncarnationByID("u1")}})
	f.applyPeerList(c.Now().Add(peerListLifetime + 1))
	if len(changed) > 0 {
		t.Errorf("got changes %q from an expired list, want none", changed)
	}
}

// followedNode implements Readers for a node with followers.
type followedNode struct {
	standalone
	needsProof bool
}

func (followedNode) HasFollowers() bool              { return true }
func (r followedNode) InitialReader() (Reader, bool) { return nil, false }

func (r followedNode) NeedsProof() bool { return r.needsProof }

// Checks that a node with followers sends shorter waits to a slow store, so that its proof does
// not get too old, and no wait while followers need a proof.
func TestSlowStoreGetsShorterWaits(t *testing.T) {
	tests := []struct {
		name     string
		readers  Readers
		progress catalogProgress
		want     clock.Millis
	}{
		{"no followers", standalone{}, catalogProgress{extraLatency: 240}, limitsFor(defaultChangeDeadline).configWait},
		{"a fast store", followedNode{}, catalogProgress{}, followedConfigWait},
		{"a slow store", followedNode{}, catalogProgress{extraLatency: 240}, followedConfigWait - 480},
		{"a very slow store", followedNode{}, catalogProgress{extraLatency: 900}, minWait},
		{"followers need a proof", followedNode{needsProof: true}, catalogProgress{}, 0},
		{"followers need a proof after a skipped wait", followedNode{needsProof: true}, catalogProgress{skippedWait: true}, followedConfigWait},
	}
	for _, tt := range tests {
		f := NewCatalog(nil, clocktest.NewClock(), zap.NewNop(), &Outage{}, nil, WithReaders(tt.readers, standalone{}))
		if got, _ := f.nextWait(tt.progress); got != tt.want {
			t.Errorf("%s: got a wait of %d ms, want %d", tt.name, got, tt.want)
		}
	}
	p := catalogProgress{nextWait: 600, extraLatency: 7}
	if got, want := p.latencyAfter(nil, CatalogReading{}, 840), clock.Millis(240); got != want {
		t.Errorf("got extra latency %d after a call of 840 ms with a wait of 600, want %d", got, want)
	}
	if got, want := p.latencyAfter(nil, CatalogReading{Raw: []byte("1")}, 100), clock.Millis(7); got != want {
		t.Errorf("got extra latency %d after a change, want %d as before", got, want)
	}
}

// An engine responds as a later incarnation than the list contains. The earlier one is removed
// immediately, at this node and at its followers, and outdated lists do not add it again.
func TestLaterIncarnationReplacesEarlier(t *testing.T) {
	c := clocktest.NewClock()
	earlier, later := fleet.NewIncarnation("u1", 100), fleet.NewIncarnation("u1", 200)
	list := []fleet.Upstream{{ID: earlier}}
	var changed []fleet.Change
	published := &publishedLog{}
	f := NewFleet(&scriptedStore{t: t}, c, zap.NewNop(), &Outage{}, func(changes []fleet.Change) { changed = append(changed, changes...) },
		WithReaders(standalone{}, published))
	f.apply(c.Now(), FleetReading{AsOf: moment.At(0, 1), Whole: true, Changes: []fleet.Change{{ID: earlier, Upstream: list[0]}}}, false)
	changed = nil
	f.Supersede(later)
	if len(changed) != 1 || changed[0].ID != earlier || !changed[0].Ended {
		t.Fatalf("got changes %v, want the end of %s", changed, earlier)
	}
	if got, want := strings.Join(published.calls, " "), "set u1@100 ended u1@100"; got != want {
		t.Errorf("got %q published, want %q", got, want)
	}
	f.Supersede(later)
	f.AddPeerList(list)
	f.applyPeerList(c.Now())
	f.apply(c.Now(), FleetReading{AsOf: moment.At(0, 2), Whole: true, Changes: []fleet.Change{{ID: earlier, Upstream: list[0]}}}, false)
	if len(changed) != 1 {
		t.Errorf("got further changes %v, want none", changed[1:])
	}
}
