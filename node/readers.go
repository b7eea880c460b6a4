package node

import (
	"context"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/follow"
	"github.com/hoistjunction/hoistjunction/moment"
	"github.com/hoistjunction/hoistjunction/reading"
	"github.com/hoistjunction/hoistjunction/wire"
)

// maxFollowableAge is how long ago the store may have answered for others to follow
// this node. For a node that reads for others that gets
// 1.2 s old, and a little more where the store is slow.
const maxFollowableAge clock.Millis = 2000

// readers says which node reads the store for this one. It implements
// follow.Readers and is safe for concurrent use.
type readers struct {
	node   *Node
	client *http.Client

	mu sync.Mutex
	// address is the address of the node that is followed, empty for none, and source
	// follows it.
	address string
	source  *namedSource
}

// namedSource follows a node of a name.
type namedSource struct {
	*reading.Source
	name string
}

// Reader implements follow.Readers.
func (r *readers) Reader() follow.Reader {
	m := r.node.roster.Reader(r.node.clock.Now())
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.GetAddress() != r.address {
		r.address = m.GetAddress()
		r.source = r.newSource(m)
		r.node.log.Info("reader", zap.String("follows", m.GetName()), zap.String("address", r.address))
	}
	if m == nil {
		// Not r.source: a nil pointer in an interface is not nil.
		return nil
	}
	return r.source
}

// sourceName is the name of the node that is followed, empty for the store.
func (r *readers) sourceName() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.address == "" {
		return ""
	}
	return r.source.name
}

// initialReadTimeout is how long another node may take to tell this one the first that it knows.
// Where all start together it reads the store meanwhile.
const initialReadTimeout clock.Millis = 800

// initialReader reads from another node first. It may never have been heard of by this one, so
// what fails is not asked twice.
type initialReader struct{ *namedSource }

// AwaitCatalog implements follow.Reader.
func (r initialReader) AwaitCatalog(ctx context.Context, have catalog.Edition, wait clock.Millis) (follow.CatalogReading, error) {
	ctx, cancel := context.WithTimeout(ctx, initialReadTimeout.Duration())
	defer cancel()
	reading, err := r.namedSource.AwaitCatalog(ctx, have, wait)
	return reading, initialReadError(err)
}

// AwaitUpstreams implements follow.Reader.
func (r initialReader) AwaitUpstreams(ctx context.Context, after moment.Moment, wait clock.Millis) (follow.FleetReading, error) {
	ctx, cancel := context.WithTimeout(ctx, initialReadTimeout.Duration())
	defer cancel()
	reading, err := r.namedSource.AwaitUpstreams(ctx, after, wait)
	return reading, initialReadError(err)
}

// errInitialRead is why a node has not read from another one first.
var errInitialRead = errors.New("node: another node has not told the first that it knows")

// initialReadError leaves out of an error what would have the node asked once more.
func initialReadError(err error) error {
	if err == nil {
		return nil
	}
	return errors.Newf("%v: %v", errInitialRead, err)
}

// InitialReader implements follow.Readers.
func (r *readers) InitialReader() (follow.Reader, bool) {
	m, waits := r.node.roster.InitialReader(r.node.clock.Now())
	if m == nil {
		return nil, waits
	}
	return initialReader{r.newSource(m)}, false
}

// newSource returns what follows a node.
func (r *readers) newSource(m *wire.Member) *namedSource {
	vouchSoon := follow.FirstRequestWait(r.node.settings.changeDeadline())
	return &namedSource{Source: reading.NewSource(r.client, m.GetAddress(), r.node.roster.Self().GetAddress(), vouchSoon), name: m.GetName()}
}

// ReaderFailed implements follow.Readers.
func (r *readers) ReaderFailed(reader follow.Reader) {
	switch source := reader.(type) {
	case *namedSource:
		r.node.roster.ReaderFailed(r.node.clock.Now(), source.name)
	case initialReader:
		r.node.roster.ReaderFailed(r.node.clock.Now(), source.name)
	}
}

// NeedsProof implements follow.Readers.
func (r *readers) NeedsProof() bool { return r.node.readLog.NeedsProof() }

// ShouldWait implements follow.Readers.
func (r *readers) ShouldWait() bool {
	return r.node.roster.ShouldWait(r.node.clock.Now(), r.node.readLog.HasFollowers())
}

// StoreLost implements follow.Readers.
func (r *readers) StoreLost() { r.node.roster.StoreLost(r.node.clock.Now()) }

// StoreRecovered implements follow.Readers.
func (r *readers) StoreRecovered() { r.node.roster.StoreRecovered(r.node.clock.Now()) }

// StoreRestored implements follow.Readers.
func (r *readers) StoreRestored() { r.node.restoreEntries() }

// HasFollowers implements follow.Readers. A node whose turn it is to read for others
// is ready before they ask.
func (r *readers) HasFollowers() bool {
	return r.node.roster.IsReader(r.node.clock.Now()) || r.node.readLog.HasFollowers()
}

// isFollowable tells whether other nodes may follow this one in place of the
// store.
func (n *Node) isFollowable() bool {
	return !n.relay.Stopping() && !n.outage.Ongoing() && !n.local.Config().Edition.IsZero() &&
		n.clock.Now().Sub(n.readLog.AnsweredAt()) <= maxFollowableAge
}

// readingGroup returns the nodes of which one reads the store for all: those of the
// data centre or, where it has too few and the system is so small that all nodes
// tell each other of themselves, all.
func readingGroup(others []*wire.Member, dataCentre string) []*wire.Member {
	here := membersIn(others, dataCentre)
	if len(here)+1 < reading.MinNodes && len(others) < maxMeshUsageNodes {
		return others
	}
	return here
}

// membersIn returns the nodes of a data centre.
func membersIn(members []*wire.Member, dataCentre string) []*wire.Member {
	var near []*wire.Member
	for _, m := range members {
		if m.GetDataCentre() == dataCentre {
			near = append(near, m)
		}
	}
	return near
}
