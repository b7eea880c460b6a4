package entry

import (
	"crypto/rand"
	"encoding/binary"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/engine"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/record"
	"github.com/hoistjunction/hoistjunction/tablestore"
	"github.com/hoistjunction/hoistjunction/wire"
)

// Bounds of the listeners against callers that send slowly or not at all.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 64 << 10
	shutdownTimeout   = 2 * time.Second
)

// Node is an entry node: the core, and the shell around it.
type Node struct {
	config           *Config
	log              *logging.Log
	clock            *clock.Clock
	tls              *TLSFiles
	loop             *modelLoop
	mailboxes        *mailboxRegistry
	engines          *engine.Pool
	services         *serviceCaller
	peers            *peerCaller
	store            *storeWorker
	platform         *tablestore.Client
	pendingProposals *proposalWaiters

	caller  net.Listener
	peer    net.Listener
	admin   net.Listener
	drained chan struct{}
}

// NewNode binds the node's ports and builds it. Run makes it work.
func NewNode(c *Config, log *logging.Log) (*Node, error) {
	n := &Node{
		config: c, log: log, clock: clock.New(), mailboxes: newMailboxRegistry(), pendingProposals: newProposalWaiters(),
		drained: make(chan struct{}),
	}
	if c.TLSCert != "" {
		files, err := NewTLSFiles(c.TLSCert, c.TLSKey, c.TLSCA)
		if err != nil {
			return nil, err
		}
		n.tls = files
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.buildComponents()
	return n, nil
}

func (n *Node) listen() error {
	for _, l := range []struct {
		into    *net.Listener
		address string
		what    string
	}{
		{&n.caller, n.config.CallerListen, "caller"},
		{&n.peer, n.config.PeerListen, "peer"},
		{&n.admin, n.config.AdminListen, "admin"},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			n.closeListeners()
			return errors.Wrapf(err, "entry: cannot listen for %ss; choose another [%s] listen", l.what, l.what)
		}
		*l.into = listener
		n.log.Info("listening", zap.String("port", l.what), zap.Stringer("address", listener.Addr()))
	}
	return nil
}

func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.caller, n.peer, n.admin} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// buildComponents joins the duties.
func (n *Node) buildComponents() {
	start := record.Header{
		Node: n.nodeRecord(), Seed: uint64(n.config.Seed), Seeds: n.config.PeerSeeds,
		Grace: n.config.Grace, Policy: n.config.Policy,
	}
	secret := randomBytes(32)
	model := start.NewModel(core.WithSecret(secret), core.WithChooser(n.config.newChooser()))
	recorder := record.NewRecorder(start, record.WithCapacity(n.config.RecordingCapacity))
	n.loop = newModelLoop(model, n.clock, recorder)
	n.loop.execute = n.execute
	n.engines = engine.NewPool(start.Node.GetIncarnation(), n.loop.post)
	n.services = newServiceCaller(n.log, n.loop.post)
	n.peers = newPeerCaller(n.tls, n.config.PeerSecret, n.log, n.loop.post)
	n.platform = tablestore.NewClient(n.config.PlatformAddress)
	n.store = newStoreWorker(n.platform, n.log, n.loop.post)
}

// nodeRecord is what the node says of itself. Its incarnation is 64 random bits:
// the ownership of keys rests on no two being equal.
func (n *Node) nodeRecord() *wire.NodeRecord {
	address := n.config.PeerAdvertise
	if address == "" {
		address = n.peer.Addr().String()
	}
	return &wire.NodeRecord{
		Name:        n.config.Name,
		Incarnation: binary.BigEndian.Uint64(randomBytes(8)),
		DataCentre:  n.config.DataCentre,
		Address:     address,
		StartedMs:   n.clock.Wall(),
	}
}

func randomBytes(n int) []byte {
	b := make([]byte, n)
	_, _ = rand.Read(b) // never fails, as its documentation says
	return b
}

// CallerAddress returns where callers are served.
func (n *Node) CallerAddress() string { return n.caller.Addr().String() }

// PeerAddress returns where peers are served.
func (n *Node) PeerAddress() string { return n.peer.Addr().String() }

// AdminAddress returns where operators are served.
func (n *Node) AdminAddress() string { return n.admin.Addr().String() }

// Drain begins a planned stop. Run returns when nothing is in progress.
func (n *Node) Drain() { n.loop.post(core.DrainMsg{}) }
