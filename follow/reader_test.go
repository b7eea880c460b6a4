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

// scriptedReader is another node. Its calls go into the list of the store's.
type scriptedReader struct {
	store *scriptedStore
	// answers are its answers, in order; after them it fails.
	answers []scriptedAnswer
	// offersLeft is how often it is still offered, and failed counts failures.
	offersLeft int
	failed     int
	// waitsLeft is how often the store is left to others, and lost counts the calls to
	// it in vain.
	waitsLeft     int
	storeFailures int
	// restores counts the store's returns from a copy.
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

func (r *scriptedReader) Failed(Reader) { r.failed, r.offersLeft = r.failed+1, 0 }

func (r *scriptedReader) Followed() bool { return false }

func (r *scriptedReader) First() (Reader, bool) { return nil, false }

func (r *scriptedReader) Overdue() bool { return false }

func (r *scriptedReader) Waits() bool {
	if r.waitsLeft == 0 {
		return false
	}
	r.waitsLeft--
	r.store.calls = append(r.store.calls, "waits")
	return true
}

func (r *scriptedReader) StoreLost()     { r.storeFailures++ }
func (r *scriptedReader) StoreBack()     { r.storeFailures = 0 }
func (r *scriptedReader) StoreReturned() { r.restores++ }

// A node follows the reader after it has read the store itself, and reads the
// store whole as soon as the reader fails. The reader's failure is no outage.
func TestCatalogFollowsAReader(t *testing.T) {
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
		t.Errorf("got versions %s, want %s", got, want)
	}
	if got, want := reader.failed, 1; got != want {
		t.Errorf("got %d failures noted, want %d", got, want)
	}
}

// The first contact with a reader may fail, since it does not yet know that it
// is one. What this node has read itself is no older for it.
func TestCatalogDoesNotReadAnewAfterAFirstContact(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	source := &scriptedStore{t: t, end: cancel, answers: []scriptedAnswer{{raw: "1"}, {}}}
	reader := &scriptedReader{store: source, offersLeft: 2}
	f := NewCatalog(source, clocktest.NewClock(), zap.NewNop(), &Outage{}, (&configHolder{}).take, WithReaders(reader, standalone{}))
	if err := f.Run(ctx); !errors.Is(err, context.Canceled) {
		t.Fatalf("got error %v, want %v", err, context.Canceled)
	}
	checkCalls(t, source.calls, []string{"read", "reader fails", "await"})
}

// The proof counts from the question, less the age that the reader gives.
func TestCatalogCountsTheReadersAge(t *testing.T) {
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
		t.Errorf("got proofs at %v, want two, the second 500 or more before %d", node.confirmedAt, c.Now())
	}
}

// publishedLog notes what goes to the nodes that follow this one.
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

// endOutageSoon ends an outage as the follower of the configuration would.
func endOutageSoon(ctx context.Context, outage *Outage, c *clock.Clock) {
	for ctx.Err() == nil {
		outage.RecordAnswer(c.Now())
		clock.Sleep(ctx, minRetryPause.Duration())
	}
}

// publishedAsOf plays answers of the store to a follower of the list, and returns what it
// passes on to the nodes that follow it.
func publishedFor(t *testing.T, answers []scriptedAnswer) []string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	source := &scriptedStore{t: t, end: cancel, answers: answers}
	outage := &Outage{}
	c := clocktest.NewClock()
	followers := &publishedLog{}
	f := NewFleet(source, c, zap.NewNop(), outage, func([]fleet.Change) {}, WithReaders(&scriptedReader{store: source}, followers))
	go endOutageSoon(ctx, outage, c)
	if err := f.Run(ctx); !errors.Is(err, context.Canceled) {
		t.Fatalf("got error %v, want %v", err, context.Canceled)
	}
	return followers.calls
}

// While the store is away nobody can follow the list. Once it is back, what has
// lapsed meanwhile still stands in what is passed on. A node that has started in an
// outage cannot know what has lapsed in it, and passes nothing on until all that lives
// is back. What has gone before a node has seen it is passed on all the same: one that
// follows may have seen it.
func TestFleetPassesOn(t *testing.T) {
	tests := []struct {
		name    string
		answers []scriptedAnswer
		want    []string
	}{
		{"what may come back", []scriptedAnswer{
			{changes: []fleet.Change{listed("u1"), listed("u2")}}, {err: errStoreDown}, {changes: []fleet.Change{listed("u1")}},
			{changes: []fleet.Change{listed("u3")}},
		}, []string{"set u1 u2", "suspend", "set u1 u2", "add u3false", "suspend"}},
		{"no part of a list", []scriptedAnswer{
			{err: errStoreDown}, {changes: []fleet.Change{listed("u1")}}, {changes: []fleet.Change{listed("u2")}},
		}, []string{"suspend", "suspend", "suspend", "suspend"}},
		{"unknown ends", []scriptedAnswer{
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

// Seen: nodes refused requests for want of an upstream, since the node that they had just
// begun to follow told a whole list of one upstream out of three. That node had read an
// empty list at its start and then learnt the list from peers; what it read from the store
// afterwards brought one change that was news to it, and only that was passed on. The logs
// of both showed the list learnt (revision=0), and the ends of upstreams that lived.
func TestFleetPassesOnWhatPeersHaveTold(t *testing.T) {
	followers := &publishedLog{}
	f := NewFleet(&scriptedStore{t: t}, clocktest.NewClock(), zap.NewNop(), &Outage{}, func([]fleet.Change) {}, WithReaders(standalone{}, followers))
	now := f.clock.Now()
	f.apply(now, FleetReading{AsOf: moment.At(0, 1), Whole: true}, false)
	f.AddPeerList([]fleet.Upstream{{ID: fleet.IncarnationByID("u1")}, {ID: fleet.IncarnationByID("u2")}})
	f.applyPeerList(now)
	f.apply(now, FleetReading{AsOf: moment.At(0, 4), Changes: []fleet.Change{listed("u1"), listed("u2"), listed("u3")}}, false)
	checkCalls(t, followers.calls, []string{"set", "set u1 u2 u3"})
}

// A node without anybody to follow leaves the store to others while it is told to,
// but for its first reading.
func TestLeavesTheStoreToOthers(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	source := &scriptedStore{t: t, end: cancel, answers: []scriptedAnswer{{raw: "1"}, {}}}
	readers := &scriptedReader{store: source, waitsLeft: 2}
	f := NewCatalog(source, clocktest.NewClock(), zap.NewNop(), &Outage{}, (&configHolder{}).take, WithReaders(readers, standalone{}))
	if err := f.Run(ctx); !errors.Is(err, context.Canceled) {
		t.Fatalf("got error %v, want %v", err, context.Canceled)
	}
	checkCalls(t, source.calls, []string{"read", "waits", "waits", "await", "await"})
}

// A node that alone has lost the store follows another one from where it was,
// without reading the whole again. When that one fails it soon after, what it has told
// may have left out what it held itself, and the store is read anew.
func TestFleetFollowsAReaderWhileTheStoreIsLost(t *testing.T) {
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
		t.Errorf("got %q, want %q: a reader's word on what is gone counts at once", got, want)
	}
}

// readerInOutage offers a reader while the store is lost, until it fails.
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

// The newest configuration cannot be read: that there is no newer one proves
// nothing about the one in force.
func TestUnreadableConfigurationIsNeverConfirmed(t *testing.T) {
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

// A list that a peer has told counts only for a moment, and the newest counts: one
// from the time of the node's start lacks what has registered since.
func TestLearntListsGrowOld(t *testing.T) {
	c := clocktest.NewClock()
	var told []string
	f := NewFleet(&scriptedStore{t: t}, c, zap.NewNop(), &Outage{}, func(changes []fleet.Change) {
		for _, change := range changes {
			told = append(told, fmt.Sprint(change.ID.String(), change.Gone))
		}
	})
	f.view.Apply(c.Now(), []fleet.Change{listed("u1"), listed("u2")}, false)
	f.AddPeerList([]fleet.Upstream{{ID: fleet.IncarnationByID("u1")}})
	f.AddPeerList([]fleet.Upstream{{ID: fleet.IncarnationByID("u1")}, {ID: fleet.IncarnationByID("u2")}, {ID: fleet.IncarnationByID("u3")}})
	f.applyPeerList(c.Now())
	if got, want := strings.Join(told, " "), "u3false"; got != want {
		t.Errorf("got %q of two lists, want %q of the newer", got, want)
	}
	told = nil
	f.AddPeerList([]fleet.Upstream{{ID: fleet.IncarnationByID("u1")}})
	f.applyPeerList(c.Now().Add(peerListLifetime + 1))
	if len(told) > 0 {
		t.Errorf("got %q of an old list, want nothing", told)
	}
}

// followedNode are those of a node that others follow.
type followedNode struct {
	standalone
	needsProof bool
}

func (followedNode) Followed() bool          { return true }
func (r followedNode) First() (Reader, bool) { return nil, false }

func (r followedNode) Overdue() bool { return r.needsProof }

// A node that others follow asks a slow store for shorter waits, so that its proofs get
// no older than they may, and for none while others wait for a proof.
func TestSlowStoreIsAskedForShorterWaits(t *testing.T) {
	tests := []struct {
		name     string
		readers  Readers
		progress catalogProgress
		want     clock.Millis
	}{
		{"nobody follows", standalone{}, catalogProgress{extraLatency: 240}, limitsFor(defaultChangeDeadline).configWait},
		{"a quick store", followedNode{}, catalogProgress{}, followedConfigWait},
		{"a slow store", followedNode{}, catalogProgress{extraLatency: 240}, followedConfigWait - 480},
		{"a very slow store", followedNode{}, catalogProgress{extraLatency: 900}, minWait},
		{"others wait for a proof", followedNode{needsProof: true}, catalogProgress{}, 0},
		{"they still do", followedNode{needsProof: true}, catalogProgress{skippedWait: true}, followedConfigWait},
	}
	for _, tt := range tests {
		f := NewCatalog(nil, clocktest.NewClock(), zap.NewNop(), &Outage{}, nil, WithReaders(tt.readers, standalone{}))
		if got, _ := f.nextWait(tt.progress); got != tt.want {
			t.Errorf("%s: got a wait of %d ms, want %d", tt.name, got, tt.want)
		}
	}
	p := catalogProgress{nextWait: 600, extraLatency: 7}
	if got, want := p.latencyAfter(nil, CatalogReading{}, 840), clock.Millis(240); got != want {
		t.Errorf("got slowness %d after a wait of 840 ms for 600, want %d", got, want)
	}
	if got, want := p.latencyAfter(nil, CatalogReading{Raw: []byte("1")}, 100), clock.Millis(7); got != want {
		t.Errorf("got slowness %d after a change, want %d as before", got, want)
	}
}

// An engine answers as a later run of its process than the list shows. The earlier run ends
// at once, here and for those that follow, and no list that is late brings it back.
func TestLaterRunEndsTheEarlierOne(t *testing.T) {
	c := clocktest.NewClock()
	earlier, later := fleet.NewIncarnation("u1", 100), fleet.NewIncarnation("u1", 200)
	list := []fleet.Upstream{{ID: earlier}}
	var told []fleet.Change
	followers := &publishedLog{}
	f := NewFleet(&scriptedStore{t: t}, c, zap.NewNop(), &Outage{}, func(changes []fleet.Change) { told = append(told, changes...) },
		WithReaders(standalone{}, followers))
	f.apply(c.Now(), FleetReading{AsOf: moment.At(0, 1), Whole: true, Changes: []fleet.Change{{ID: earlier, Upstream: list[0]}}}, false)
	told = nil
	f.Supersede(later)
	if len(told) != 1 || told[0].ID != earlier || !told[0].Ended {
		t.Fatalf("got %v told, want that %s has ended", told, earlier)
	}
	if got, want := strings.Join(followers.calls, " "), "set u1@100 ended u1@100"; got != want {
		t.Errorf("got %q for those that follow, want %q", got, want)
	}
	f.Supersede(later)
	f.AddPeerList(list)
	f.applyPeerList(c.Now())
	f.apply(c.Now(), FleetReading{AsOf: moment.At(0, 2), Whole: true, Changes: []fleet.Change{{ID: earlier, Upstream: list[0]}}}, false)
	if len(told) != 1 {
		t.Errorf("got %v told after that, want nothing more", told[1:])
	}
}
