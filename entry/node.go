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

// Limits of the listeners, which bound the cost of slow or idle clients.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 64 << 10
	shutdownTimeout   = 2 * time.Second
	// finishPollInterval is the time between two looks at the connections of a drained node.
	finishPollInterval = 20 * time.Millisecond
)

// Node is an entry node: the decision model, its event loop, and the servers and
// clients that connect the loop to callers, peers, upstreams and the store.
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

	// Listeners for callers, peers and operators.
	caller net.Listener
	peer   net.Listener
	admin  net.Listener
	// drained is closed when a planned stop has finished.
	drained chan struct{}
}

// NewNode binds the node's ports and creates its components. Run starts serving.
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
		listener *net.Listener
		address  string
		name     string
	}{
		{&n.caller, n.config.CallerListen, "caller"},
		{&n.peer, n.config.PeerListen, "peer"},
		{&n.admin, n.config.AdminListen, "admin"},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			n.closeListeners()
			return errors.Wrapf(err, "entry: listen on the %s port; change the [%s] listen setting", l.name, l.name)
		}
		*l.listener = listener
		n.log.Info("listening", zap.String("port", l.name), zap.Stringer("address", listener.Addr()))
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

// buildComponents creates the event loop and the clients that post messages to it.
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

// nodeRecord returns the record by which the node registers and identifies itself to
// peers. The incarnation is 64 random bits: the ownership of keys requires that no two
// incarnations are equal.
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
	_, _ = rand.Read(b) // crypto/rand.Read never returns an error
	return b
}

// CallerAddress returns the address of the listener for callers.
func (n *Node) CallerAddress() string { return n.caller.Addr().String() }

// PeerAddress returns the address of the listener for peers.
func (n *Node) PeerAddress() string { return n.peer.Addr().String() }

// AdminAddress returns the address of the listener for operators.
func (n *Node) AdminAddress() string { return n.admin.Addr().String() }

// Drain starts a planned stop. Run returns when no request is in progress.
func (n *Node) Drain() { n.loop.post(core.DrainMsg{}) }
