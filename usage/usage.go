// Package usage lets nodes tell each other what the list and the engines show
// only seconds later: what their requests take at engines, so that together
// they do not overfill one, and which engines they have ordered to hold what,
// so that two planners do not move the two holders of a layer at once, which
// engines they have found silent, so that not each node has to find out by itself, and
// permits to send requests to upstreams that take a bounded number from all nodes.
//
// All are datagrams. What is in use is told a few times a second, and a lost
// datagram is made up for by the next; an order is told three times, and a silent
// engine twice.
package usage

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	lru "github.com/hashicorp/golang-lru/v2"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/fleetwire"
	"github.com/hoistjunction/hoistjunction/limit"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/wire"
	"github.com/hoistjunction/hoistjunction/work"
)

// maxDatagram bounds a datagram, in bytes. An engine takes some 25 of them, so
// hundreds fit.
const maxDatagram = 16 << 10

// Exchange sends and receives usage.
type Exchange struct {
	self *wire.Member
	conn net.PacketConn
	log  *zap.Logger
	// followable tells whether other nodes may follow this one.
	followable func() bool
	listener   Listener
	// unresponsive gathers the engines that near peers are to be told of, and placed the
	// orders that all are.
	unresponsive *batcher[fleet.Incarnation]
	placements   *batcher[placement]
	// outcomes gathers what has become of requests under suspicion, for all.
	outcomes *batcher[outcome]
	// recentCrashes is what was told of requests a moment ago, for nodes that become known.
	recentCrashes crashLog
	clock         *clock.Clock
	// quarantine stands for all that this node knows to be quarantined.
	quarantine func() uint64
	// recipients are whom this node tells, and shares counts how often it has told what it has
	// in use.
	recipients atomic.Pointer[recipients]
	usageSends int
	// addresses are the addresses of the nodes that are known, by their names, and askers those of
	// others that have asked for permits.
	addresses        atomic.Pointer[map[string]net.Addr]
	permitRequesters *lru.Cache[string, net.Addr]
}

// Listener takes what other nodes tell.
type Listener interface {
	// HearUse takes what a node has in use, and whether it may be followed.
	HearUse(from *wire.Member, msg Report)
	// HearPlaced takes an order that an engine has taken or, with holds, carried out.
	HearPlaced(upstream fleet.Incarnation, layers fleet.LayerRange, holds bool)
	// HearSilent takes an engine that a node has found silent.
	HearSilent(from *wire.Member, upstream fleet.Incarnation)
	// HearLost takes a request that a node has lost at an upstream that has ended.
	HearLost(id work.ID, upstream fleet.Incarnation)
	// HearAsk takes a node's question for permits, and HearGrant the answer to one of this
	// node's.
	HearAsk(from *wire.Member, ask limit.Ask)
	HearGrant(from *wire.Member, grant limit.Grant)
	// HearAnswered takes a request that was lost, and that an upstream has answered since.
	HearAnswered(id work.ID)
}

// Report is what a node tells of engines' memory.
type Report struct {
	// Used is what is in use by engine.
	Used map[fleet.Incarnation]fleet.EngineUsage
	// Limits are what the sender knows of the limits that upstreams name.
	Limits map[fleet.Incarnation]limit.Named
	// Total tells that all nodes of the sender's data centre have it in use, and Whole that
	// all nodes have that the sender knows of, in other data centres those of HeardOf.
	Total   bool
	Whole   bool
	HeardOf []string
	// Nodes is how many nodes these are; 0 where that is not told.
	Nodes int
	// Hubs are the hubs of the sender's data centre, where it tells them this time.
	Hubs []*wire.Member
	// Followable tells whether other nodes may follow the sender in place of the
	// store.
	Followable bool
	// QuarantineDigest stands for all that the sender knows to be quarantined.
	QuarantineDigest uint64
}

// Option sets up a Sharing.
type Option func(*Exchange)

// WithQuarantine sets who tells what this node knows to be quarantined, as one number.
func WithQuarantine(digest func() uint64) Option {
	return func(s *Exchange) { s.quarantine = digest }
}

// WithClock sets the node's clock.
func WithClock(c *clock.Clock) Option { return func(s *Exchange) { s.clock = c } }

// New binds an address for a node. Followable tells whether other nodes may follow
// this one in place of the store; the listener takes what they tell.
func New(ctx context.Context, self *wire.Member, address string, log *zap.Logger, followable func() bool, listener Listener, opts ...Option) (*Exchange, error) {
	var config net.ListenConfig
	conn, err := config.ListenPacket(ctx, "udp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "usage: cannot listen at %s", address)
	}
	s := &Exchange{self: self, conn: conn, log: log, followable: followable, listener: listener, quarantine: func() uint64 { return 0 }, clock: clock.New()}
	s.recipients.Store(&recipients{})
	if s.permitRequesters, err = lru.New[string, net.Addr](maxPermitRequesters); err != nil {
		return nil, errors.Wrap(err, "usage")
	}
	s.unresponsive, s.placements, s.outcomes = newBatcher(s.sendUnresponsive), newImmediateBatcher(s.sendPlacements), newImmediateBatcher(s.sendOutcomes)
	for _, opt := range opts {
		opt(s)
	}
	return s, nil
}

// Address returns where the node takes datagrams.
func (s *Exchange) Address() string { return s.conn.LocalAddr().String() }

// SendUsage tells peers what this node has in use, and what it knows of limits. It is not safe for
// concurrent use with itself.
func (s *Exchange) SendUsage(used map[fleet.Incarnation]fleet.EngineUsage, limits map[fleet.Incarnation]limit.Named) {
	s.send(&wire.Usage{From: s.self, Followable: s.followable(), Engines: encodeEngines(used), Quarantine: s.quarantine(), Limits: s.encodeLimits(limits)}, s.usageRecipients())
}

// SendDataCentreTotal tells peers in other data centres what the nodes of this one's have in use.
func (s *Exchange) SendDataCentreTotal(total map[fleet.Incarnation]fleet.EngineUsage, nodes int, limits map[fleet.Incarnation]limit.Named) {
	s.send(&wire.Usage{From: s.self, Total: true, Nodes: uint32(nodes), Engines: encodeEngines(total), Quarantine: s.quarantine(), Limits: s.encodeLimits(limits)}, s.recipients.Load().dataCentreTotal)
}

// SendAllNodes tells the leaves of a hub what all nodes have in use that it knows of, in other
// data centres those that it has heard of.
func (s *Exchange) SendAllNodes(whole map[fleet.Incarnation]fleet.EngineUsage, heardOf []string, nodes int, limits map[fleet.Incarnation]limit.Named) {
	s.sendToLeaves(&wire.Usage{Whole: true, Nodes: uint32(nodes), HeardOf: heardOf, Engines: encodeEngines(whole), Limits: s.encodeLimits(limits)})
}

// SendHeartbeat tells the leaves of a hub that it is there.
func (s *Exchange) SendHeartbeat() { s.sendToLeaves(&wire.Usage{}) }

// sendToLeaves adds what a hub tells in any case.
func (s *Exchange) sendToLeaves(msg *wire.Usage) {
	to := s.recipients.Load()
	msg.From, msg.Followable, msg.Quarantine = s.self, s.followable(), s.quarantine()
	if s.usageSends%hubsEvery == 0 {
		msg.Hubs = to.hubs
	}
	s.send(msg, to.leaves)
}

func encodeEngines(used map[fleet.Incarnation]fleet.EngineUsage) []*wire.EngineUse {
	list := make([]*wire.EngineUse, 0, len(used))
	for engine, use := range used {
		id, born := fleetwire.IncarnationFields(engine)
		list = append(list, &wire.EngineUse{Id: id, Born: born, Amount: use.Memory, Streams: int32(use.Streams)})
	}
	return list
}

func (s *Exchange) send(msg *wire.Usage, peers []net.Addr) {
	if len(peers) == 0 {
		return
	}
	data, err := proto.Marshal(msg)
	if err != nil {
		s.log.Info("usage_not_sent", logging.Err(err))
		return
	}
	for _, peer := range peers {
		if _, err := s.conn.WriteTo(data, peer); err != nil {
			s.log.Debug("usage_not_sent", zap.Stringer("peer", peer), logging.Err(err))
		}
	}
}

// Run receives until the context ends.
func (s *Exchange) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := s.conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			// On some systems a datagram to a closed port is reported here.
			s.log.Debug("usage_not_read", logging.Err(err))
			continue
		}
		s.receive(buffer[:n])
	}
}

func (s *Exchange) receive(data []byte) {
	var msg wire.Usage
	if err := proto.Unmarshal(data, &msg); err != nil || msg.GetFrom().GetName() == "" {
		s.log.Debug("usage_unreadable", logging.Err(err))
		return
	}
	s.forward(&msg)
	for _, p := range msg.GetPlaced() {
		s.listener.HearPlaced(fleetwire.IncarnationOf(p), fleet.LayerRange{From: int(p.GetFrom()), To: int(p.GetTo())}, p.GetHolds())
	}
	for _, u := range msg.GetSilent() {
		s.listener.HearSilent(msg.GetFrom(), fleetwire.IncarnationOf(u))
	}
	s.receiveOutcomes(&msg)
	if s.receivePermits(&msg) {
		return
	}
	if isEvent(&msg) {
		return
	}
	used := make(map[fleet.Incarnation]fleet.EngineUsage, len(msg.GetEngines()))
	for _, e := range msg.GetEngines() {
		used[fleetwire.IncarnationOf(e)] = fleet.EngineUsage{Memory: e.GetAmount(), Streams: int(e.GetStreams())}
	}
	s.listener.HearUse(msg.GetFrom(), Report{Used: used, Limits: s.decodeLimits(msg.GetLimits()), Total: msg.GetTotal(), Whole: msg.GetWhole(), HeardOf: msg.GetHeardOf(), Nodes: int(msg.GetNodes()), Hubs: msg.GetHubs(), Followable: msg.GetFollowable(), QuarantineDigest: msg.GetQuarantine()})
}
