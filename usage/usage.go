// Package usage exchanges state between nodes that the store's list and the engines' reports
// would show only seconds later:
//   - the memory and slots that each node's requests take at engines, so that the nodes
//     together do not overload one;
//   - the capacity that client accounts use of services under contention, so that the nodes
//     together divide it fairly;
//   - placement orders that engines accepted, so that two planners do not move both holders
//     of a layer at once;
//   - engines found unresponsive, so that not every node has to detect them;
//   - upstream crashes under a request, and answers to requests suspected of causing them;
//   - permits, and requests for them, to send requests to upstreams that limit the rate of
//     all nodes together.
//
// All messages are datagrams. Usage is sent a few times per second, so that the next datagram
// makes up for a lost one. Placements and request outcomes are sent three times, and
// unresponsive engines twice.
package usage

import (
	"context"
	"encoding/hex"
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	lru "github.com/hashicorp/golang-lru/v2"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/hoistjunction/hoistjunction/budget"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fairshare"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/fleetwire"
	"github.com/hoistjunction/hoistjunction/internal/contain"
	"github.com/hoistjunction/hoistjunction/limit"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/wire"
	"github.com/hoistjunction/hoistjunction/work"
)

// maxDatagram bounds a datagram, in bytes, as UDP does. A report of 300 engines, 64 accounts with long
// names and 100 loans takes 30 KB; a smaller buffer would cut it off, and lose all of it.
const maxDatagram = 64 << 10

// Exchange sends the node's messages to peers, and receives theirs.
type Exchange struct {
	self *wire.Member
	conn net.PacketConn
	log  *zap.Logger
	// followable reports whether other nodes may follow this one.
	followable func() bool
	listener   Listener
	// contain runs the work on one datagram.
	contain contain.Func
	// unresponsive batches unresponsive engines, and placements the placement orders.
	unresponsive *batcher[fleet.Incarnation]
	// responsive batches engines that answered after another node had found them unresponsive.
	responsive *batcher[fleet.Incarnation]
	placements *batcher[placement]
	// outcomes batches the outcomes of requests: crashes of upstreams under them, answers and verdicts.
	outcomes *batcher[outcome]
	// recentCrashes holds crashes that were sent recently, to send them to new recipients too.
	recentCrashes crashLog
	clock         *clock.Clock
	// quarantine returns the digest of this node's quarantine.
	quarantine func() uint64
	// recipients holds the addresses to send to, and usageSends counts calls of SendUsage.
	recipients atomic.Pointer[recipients]
	usageSends int
	// addresses holds the addresses of the known nodes by name, and permitRequesters those of
	// other nodes that requested permits.
	addresses        atomic.Pointer[map[string]net.Addr]
	permitRequesters *lru.Cache[string, net.Addr]
}

// Listener handles messages from other nodes.
type Listener interface {
	// ReceiveUsage handles a usage report.
	ReceiveUsage(from *wire.Member, msg Report)
	// ReceivePlacement handles a placement order that an engine accepted; holds is set once the
	// engine has loaded the layers.
	ReceivePlacement(upstream fleet.Incarnation, layers fleet.LayerRange, holds bool)
	// ReceiveUnresponsive handles the report that an engine is unresponsive.
	ReceiveUnresponsive(from *wire.Member, upstream fleet.Incarnation)
	// ReceiveResponsive handles the report that an engine answered the sender after another node had
	// found it unresponsive.
	ReceiveResponsive(from *wire.Member, upstream fleet.Incarnation)
	// ReceiveCrash handles the report that an upstream crashed while executing a request.
	ReceiveCrash(c Crash)
	// ReceivePartShare handles the report of how many requests have a part that may have crashed
	// upstreams.
	ReceivePartShare(s PartShare)
	// ReceiveVerdict handles the report that another node has quarantined a request or a part.
	ReceiveVerdict(v Verdict)
	// ReceivePermitRequest handles a request for permits, and ReceivePermitGrant the grant for a request of this
	// node.
	ReceivePermitRequest(from *wire.Member, ask limit.PermitRequest)
	ReceivePermitGrant(from *wire.Member, grant limit.Grant)
	// ReceiveAnswered handles the report that an upstream answered a request which was lost in a
	// crash before.
	ReceiveAnswered(id work.ID)
}

// Report is a usage report of a node.
type Report struct {
	// Used is the usage by engine.
	Used map[fleet.Incarnation]fleet.EngineUsage
	// Limits are the rate limits by upstream that are known to the sender.
	Limits map[fleet.Incarnation]limit.Advertised
	// Accounts is the use by client account of the services under contention.
	Accounts []fairshare.AccountUse
	// WholeDataCentre is set if the usage is that of all nodes in the sender's data centre, and
	// AllNodes if it is that of all nodes known to the sender. IncludedDataCentres then lists the
	// other data centres whose nodes are included.
	WholeDataCentre     bool
	AllNodes            bool
	IncludedDataCentres []string
	// Nodes is the number of nodes whose usage is included; 0 if unknown.
	Nodes int
	// Hubs are the hubs of the sender's data centre; empty if this report does not list them.
	Hubs []*wire.Member
	// Followable is set if other nodes may follow the sender instead of the store.
	Followable bool
	// QuarantineDigest is a digest of the sender's quarantine. Nodes whose quarantines are
	// equal have equal digests.
	QuarantineDigest uint64
	// Retries are the sender's requests for retries and its loans.
	Retries budget.Report
}

// Option configures an Exchange.
type Option func(*Exchange)

// WithQuarantine sets the function that returns a digest of the node's quarantine.
func WithQuarantine(digest func() uint64) Option {
	return func(x *Exchange) { x.quarantine = digest }
}

// WithContainment sets the function that contains panics in the work on one datagram. Without it they end the process.
func WithContainment(f contain.Func) Option { return func(x *Exchange) { x.contain = f } }

// WithClock sets the node's clock.
func WithClock(c *clock.Clock) Option { return func(x *Exchange) { x.clock = c } }

// New returns an Exchange that is bound to an address. followable reports whether other nodes
// may follow this one instead of the store; listener handles received messages.
func New(ctx context.Context, self *wire.Member, address string, log *zap.Logger, followable func() bool, listener Listener, opts ...Option) (*Exchange, error) {
	var listenConfig net.ListenConfig
	conn, err := listenConfig.ListenPacket(ctx, "udp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "usage: listen at %s", address)
	}
	x := &Exchange{self: self, conn: conn, log: log, followable: followable, listener: listener, quarantine: func() uint64 { return 0 }, clock: clock.New(), contain: contain.Direct}
	x.recipients.Store(&recipients{})
	if x.permitRequesters, err = lru.New[string, net.Addr](maxPermitRequesters); err != nil {
		return nil, errors.Wrap(err, "usage: create cache of permit requesters")
	}
	x.responsive = newBatcher(x.sendResponsive)
	x.unresponsive, x.placements, x.outcomes = newBatcher(x.sendUnresponsive), newImmediateBatcher(x.sendPlacements), newImmediateBatcher(x.sendOutcomes)
	for _, opt := range opts {
		opt(x)
	}
	return x, nil
}

// Address returns the address at which the node receives datagrams.
func (x *Exchange) Address() string { return x.conn.LocalAddr().String() }

// SendUsage sends peers this node's usage, the limits known to it, and its requests for retries
// and loans. Calls must not be concurrent.
func (x *Exchange) SendUsage(used map[fleet.Incarnation]fleet.EngineUsage, accounts []fairshare.AccountUse, limits map[fleet.Incarnation]limit.Advertised, retries budget.Report) {
	msg := &wire.Usage{From: x.self, Followable: x.followable(), Engines: encodeEngines(used), Accounts: encodeAccounts(accounts), Quarantine: x.quarantine(), Limits: x.encodeLimits(limits)}
	x.send(addRetries(msg, retries), x.usageRecipients())
}

// SendDataCentreTotal sends peers in other data centres the usage of all nodes in this data
// centre.
func (x *Exchange) SendDataCentreTotal(used map[fleet.Incarnation]fleet.EngineUsage, accounts []fairshare.AccountUse, nodes int, limits map[fleet.Incarnation]limit.Advertised) {
	x.send(&wire.Usage{From: x.self, Total: true, Nodes: uint32(nodes), Engines: encodeEngines(used), Accounts: encodeAccounts(accounts), Quarantine: x.quarantine(), Limits: x.encodeLimits(limits)}, x.recipients.Load().dataCentreTotal)
}

// SendAllNodes sends the leaves of this hub the usage of all known nodes, including
// those of the given other data centres, and the requests for retries of all leaves.
func (x *Exchange) SendAllNodes(used map[fleet.Incarnation]fleet.EngineUsage, accounts []fairshare.AccountUse, dataCentres []string, nodes int, limits map[fleet.Incarnation]limit.Advertised, retries budget.Report) {
	msg := &wire.Usage{Whole: true, Nodes: uint32(nodes), HeardOf: dataCentres, Engines: encodeEngines(used), Accounts: encodeAccounts(accounts), Limits: x.encodeLimits(limits)}
	x.sendToLeaves(addRetries(msg, retries))
}

// SendHeartbeat reports to the leaves of this hub that it is alive, and what it lends to them.
func (x *Exchange) SendHeartbeat(retries budget.Report) {
	x.sendToLeaves(addRetries(&wire.Usage{}, budget.Report{Grants: retries.Grants}))
}

// sendToLeaves completes a message with the fields that hubs always send, and sends it.
func (x *Exchange) sendToLeaves(msg *wire.Usage) {
	to := x.recipients.Load()
	msg.From, msg.Followable, msg.Quarantine = x.self, x.followable(), x.quarantine()
	if x.usageSends%hubsEvery == 0 {
		msg.Hubs = to.hubs
	}
	x.send(msg, to.leaves)
}

func encodeEngines(used map[fleet.Incarnation]fleet.EngineUsage) []*wire.EngineUse {
	list := make([]*wire.EngineUse, 0, len(used))
	for engine, u := range used {
		id, born := fleetwire.IncarnationFields(engine)
		list = append(list, &wire.EngineUse{Id: id, Born: born, Amount: u.Memory, Streams: int32(u.Streams), PromptTokens: u.PromptTokens, Slowdown: u.Slowdown})
	}
	return list
}

func (x *Exchange) send(msg *wire.Usage, peers []net.Addr) {
	if len(peers) == 0 {
		return
	}
	data, err := proto.Marshal(msg)
	if err != nil {
		x.log.Info("usage_not_sent", logging.Err(err))
		return
	}
	for _, peer := range peers {
		if _, err := x.conn.WriteTo(data, peer); err != nil {
			x.log.Debug("usage_not_sent", zap.Stringer("peer", peer), logging.Err(err))
		}
	}
}

// Run receives datagrams until the context ends.
func (x *Exchange) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = x.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := x.conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			// On some systems a datagram to a closed port is reported here.
			x.log.Debug("usage_not_read", logging.Err(err))
			continue
		}
		datagram := buffer[:n]
		x.contain("datagram", func() string { return hex.EncodeToString(datagram) }, func() { x.receive(datagram) })
	}
}

func (x *Exchange) receive(data []byte) {
	var msg wire.Usage
	if err := proto.Unmarshal(data, &msg); err != nil || msg.GetFrom().GetName() == "" {
		x.log.Debug("usage_unreadable", logging.Err(err))
		return
	}
	x.forward(&msg)
	for _, p := range msg.GetPlaced() {
		x.listener.ReceivePlacement(fleetwire.IncarnationOf(p), fleet.LayerRange{From: int(p.GetFrom()), To: int(p.GetTo())}, p.GetHolds())
	}
	for _, u := range msg.GetSilent() {
		x.listener.ReceiveUnresponsive(msg.GetFrom(), fleetwire.IncarnationOf(u))
	}
	for _, u := range msg.GetResponsive() {
		x.listener.ReceiveResponsive(msg.GetFrom(), fleetwire.IncarnationOf(u))
	}
	x.receiveOutcomes(&msg)
	if x.receivePermits(&msg) {
		return
	}
	if isEvent(&msg) {
		return
	}
	used := make(map[fleet.Incarnation]fleet.EngineUsage, len(msg.GetEngines()))
	for _, e := range msg.GetEngines() {
		used[fleetwire.IncarnationOf(e)] = fleet.EngineUsage{Memory: e.GetAmount(), Streams: int(e.GetStreams()), PromptTokens: e.GetPromptTokens(), Slowdown: e.GetSlowdown()}
	}
	x.listener.ReceiveUsage(msg.GetFrom(), Report{Used: used, Accounts: decodeAccounts(msg.GetAccounts()), Limits: x.decodeLimits(msg.GetLimits()), WholeDataCentre: msg.GetTotal(), AllNodes: msg.GetWhole(), IncludedDataCentres: msg.GetHeardOf(), Nodes: int(msg.GetNodes()), Hubs: msg.GetHubs(), Followable: msg.GetFollowable(), QuarantineDigest: msg.GetQuarantine(), Retries: decodeRetries(&msg)})
}
