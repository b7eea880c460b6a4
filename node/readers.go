package node

import (
	"context"
	"net/http"
	"net/http/httptrace"
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

// maxFollowableAge is the largest age of the store's last answer at which other nodes may follow
// this one. On a node that reads for others the age reaches 1.2 s, and slightly more if the
// store is slow.
const maxFollowableAge clock.Millis = 2000

// readers selects the node that reads the store for this one. It implements follow.Readers and
// is safe for concurrent use.
type readers struct {
	node   *Node
	client *http.Client

	mu sync.Mutex
	// address is the address of the followed node, empty for none; source reads from that node.
	address string
	source  *namedSource
}

// namedSource reads from a node and holds the node's name.
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
		// Returning r.source here would give a non-nil interface that holds a nil pointer.
		return nil
	}
	return r.source
}

// sourceName returns the name of the followed node, empty if the node reads the store itself.
func (r *readers) sourceName() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.address == "" {
		return ""
	}
	return r.source.name
}

// Bounds of a read from another node at the start.
const (
	// initialReadTimeout bounds one read. A node that is frozen does not answer.
	initialReadTimeout clock.Millis = 800
	// initialReadWait is how long the other node may hold a read while it is starting itself. Its
	// answer must arrive within initialReadTimeout.
	initialReadWait clock.Millis = 600
	// initialConnectTimeout bounds the opening of a connection. While a VM is starting, the first
	// packet to it is lost and repeated only after a second. It exceeds the longest pause of a
	// throttled node, which may see late that the connection is open.
	initialConnectTimeout clock.Millis = 100
)

// initialReader reads from another node at the start. The other node may not have discovered
// this one yet, so a failed read is not retried.
type initialReader struct {
	*namedSource
	// starting reports whether the read failed because the other node is starting too, and
	// unreachable whether it failed because no connection could be opened in time.
	starting    bool
	unreachable bool
	timeout     clock.TimeoutFunc
}

// AwaitCatalog implements follow.Reader.
func (r *initialReader) AwaitCatalog(ctx context.Context, have catalog.Edition, _ clock.Millis) (follow.CatalogReading, error) {
	ctx, cancel := initialReadContext(ctx, r.timeout)
	defer cancel()
	reading, err := r.namedSource.AwaitCatalog(ctx, have, initialReadWait)
	return reading, r.recordError(ctx, err)
}

// AwaitUpstreams implements follow.Reader.
func (r *initialReader) AwaitUpstreams(ctx context.Context, after moment.Moment, _ clock.Millis) (follow.FleetReading, error) {
	ctx, cancel := initialReadContext(ctx, r.timeout)
	defer cancel()
	reading, err := r.namedSource.AwaitUpstreams(ctx, after, initialReadWait)
	return reading, r.recordError(ctx, err)
}

// errNotConnected means that no connection to another node could be opened in time.
var errNotConnected = errors.New("node: no connection")

// initialReadContext returns the context of a read, which ends after initialReadTimeout, and
// after initialConnectTimeout unless there is a connection.
func initialReadContext(ctx context.Context, timeout clock.TimeoutFunc) (context.Context, context.CancelFunc) {
	ctx, cancel := timeout(ctx, initialReadTimeout)
	ctx, abort := context.WithCancelCause(ctx)
	connecting, connected := timeout(context.Background(), initialConnectTimeout)
	stop := context.AfterFunc(connecting, func() {
		if errors.Is(context.Cause(connecting), context.DeadlineExceeded) {
			abort(errNotConnected)
		}
	})
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected() }})
	return ctx, func() {
		stop()
		connected()
		cancel()
	}
}

// errInitialRead is the reason why the first read from another node failed.
var errInitialRead = errors.New("node: initial read from another node failed")

// recordError records why a read with a context failed. It hides the cause, so that the caller
// does not retry because of its type.
func (r *initialReader) recordError(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	r.starting, r.unreachable = errors.Is(err, reading.ErrStarting), errors.Is(context.Cause(ctx), errNotConnected)
	return errors.Newf("%v: %v", errInitialRead, err)
}

// InitialReader implements follow.Readers.
func (r *readers) InitialReader() (follow.Reader, bool) {
	m, wait := r.node.roster.InitialReader(r.node.clock.Now())
	if m == nil {
		return nil, wait
	}
	return &initialReader{namedSource: r.newSource(m), timeout: r.node.overload.WithTimeout}, false
}

// newSource returns a source that reads from a node.
func (r *readers) newSource(m *wire.Member) *namedSource {
	requestWait := follow.FirstRequestWait(r.node.settings.changeDeadline())
	return &namedSource{Source: reading.NewSource(r.client, m.GetAddress(), r.node.roster.Self().GetAddress(), requestWait, reading.WithTimeouts(r.node.overload.WithTimeout)), name: m.GetName()}
}

// ReaderFailed implements follow.Readers.
func (r *readers) ReaderFailed(reader follow.Reader) {
	switch source := reader.(type) {
	case *namedSource:
		r.node.roster.ReaderFailed(r.node.clock.Now(), source.name)
	case *initialReader:
		switch {
		case source.starting:
			// The node has its reading soon, and is asked again.
		case source.unreachable:
			r.node.roster.InitialReaderUnreachable(r.node.clock.Now(), source.name)
		default:
			r.node.roster.ReaderFailed(r.node.clock.Now(), source.name)
		}
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

// HasFollowers implements follow.Readers. A node that is selected as reader is ready before the
// first request of a follower.
func (r *readers) HasFollowers() bool {
	return r.node.roster.IsReader(r.node.clock.Now()) || r.node.readLog.HasFollowers()
}

// isFollowable reports whether other nodes may follow this node instead of the store.
func (n *Node) isFollowable() bool {
	return !n.relay.Stopping() && !n.outage.Ongoing() && !n.local.Config().Edition.IsZero() &&
		n.clock.Now().Sub(n.readLog.AnsweredAt()) <= maxFollowableAge
}

// readingGroup returns the other nodes that share a reader with this one: those of its data
// centre or, if the data centre has too few nodes and the system is so small that all nodes
// exchange usage, all nodes.
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
