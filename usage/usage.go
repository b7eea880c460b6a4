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

// Sharing sends and receives usage.
type Sharing struct {
	self *wire.Member
	conn net.PacketConn
	log  *zap.Logger
	// followable tells whether other nodes may follow this one.
	followable func() bool
	listener   Listener
	// silent gathers the engines that near peers are to be told of, and placed the
	// orders that all are.
	silent *gathering[fleet.Incarnation]
	placed *gathering[placed]
	// works gathers what has become of requests under suspicion, for all.
	works *gathering[tried]
	// recent is what was told of requests a moment ago, for nodes that become known.
	recent recent
	clock  *clock.Clock
	// quarantine stands for all that this node knows to be quarantined.
	quarantine func() uint64
	// routes are whom this node tells, and shares counts how often it has told what it has
	// in use.
	routes atomic.Pointer[routes]
	shares int
	// named are the addresses of the nodes that are known, by their names, and askers those of
	// others that have asked for permits.
	named  atomic.Pointer[map[string]net.Addr]
	askers *lru.Cache[string, net.Addr]
}

// Listener takes what other nodes tell.
type Listener interface {
	// HearUse takes what a node has in use, and whether it may be followed.
	HearUse(from *wire.Member, msg Msg)
	// HearPlaced takes an order that an engine has taken or, with holds, carried out.
	HearPlaced(upstream fleet.Incarnation, layers fleet.Range, holds bool)
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

// Msg is what a node tells of engines' memory.
type Msg struct {
	// Used is what is in use by engine.
	Used map[fleet.Incarnation]fleet.Use
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
	// Quarantine stands for all that the sender knows to be quarantined.
	Quarantine uint64
}

// Option sets up a Sharing.
type Option func(*Sharing)

// WithQuarantine sets who tells what this node knows to be quarantined, as one number.
func WithQuarantine(digest func() uint64) Option {
	return func(s *Sharing) { s.quarantine = digest }
}

// WithClock sets the node's clock.
func WithClock(c *clock.Clock) Option { return func(s *Sharing) { s.clock = c } }

// New binds an address for a node. Followable tells whether other nodes may follow
// this one in place of the store; the listener takes what they tell.
func New(ctx context.Context, self *wire.Member, address string, log *zap.Logger, followable func() bool, listener Listener, opts ...Option) (*Sharing, error) {
	var config net.ListenConfig
	conn, err := config.ListenPacket(ctx, "udp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "usage: cannot listen at %s", address)
	}
	s := &Sharing{self: self, conn: conn, log: log, followable: followable, listener: listener, quarantine: func() uint64 { return 0 }, clock: clock.New()}
	s.routes.Store(&routes{})
	if s.askers, err = lru.New[string, net.Addr](mostAskers); err != nil {
		return nil, errors.Wrap(err, "usage")
	}
	s.silent, s.placed, s.works = newGathering(s.tellSilent), newGatheringAtOnce(s.tellPlaced), newGatheringAtOnce(s.tellTried)
	for _, opt := range opts {
		opt(s)
	}
	return s, nil
}

// Address returns where the node takes datagrams.
func (s *Sharing) Address() string { return s.conn.LocalAddr().String() }

// Share tells peers what this node has in use, and what it knows of limits. It is not safe for
// concurrent use with itself.
func (s *Sharing) Share(used map[fleet.Incarnation]fleet.Use, limits map[fleet.Incarnation]limit.Named) {
	s.send(&wire.Usage{From: s.self, Followable: s.followable(), Engines: engineUse(used), Quarantine: s.quarantine(), Limits: s.limitsKnown(limits)}, s.useTold())
}

// ShareTotal tells peers in other data centres what the nodes of this one's have in use.
func (s *Sharing) ShareTotal(total map[fleet.Incarnation]fleet.Use, nodes int, limits map[fleet.Incarnation]limit.Named) {
	s.send(&wire.Usage{From: s.self, Total: true, Nodes: uint32(nodes), Engines: engineUse(total), Quarantine: s.quarantine(), Limits: s.limitsKnown(limits)}, s.routes.Load().total)
}

// ShareWhole tells the leaves of a hub what all nodes have in use that it knows of, in other
// data centres those that it has heard of.
func (s *Sharing) ShareWhole(whole map[fleet.Incarnation]fleet.Use, heardOf []string, nodes int, limits map[fleet.Incarnation]limit.Named) {
	s.tellLeaves(&wire.Usage{Whole: true, Nodes: uint32(nodes), HeardOf: heardOf, Engines: engineUse(whole), Limits: s.limitsKnown(limits)})
}

// ShareLife tells the leaves of a hub that it is there.
func (s *Sharing) ShareLife() { s.tellLeaves(&wire.Usage{}) }

// tellLeaves adds what a hub tells in any case.
func (s *Sharing) tellLeaves(msg *wire.Usage) {
	to := s.routes.Load()
	msg.From, msg.Followable, msg.Quarantine = s.self, s.followable(), s.quarantine()
	if s.shares%hubsEvery == 0 {
		msg.Hubs = to.hubs
	}
	s.send(msg, to.leaves)
}

func engineUse(used map[fleet.Incarnation]fleet.Use) []*wire.EngineUse {
	list := make([]*wire.EngineUse, 0, len(used))
	for engine, use := range used {
		id, born := fleetwire.IncarnationFields(engine)
		list = append(list, &wire.EngineUse{Id: id, Born: born, Amount: use.Memory, Streams: int32(use.Streams)})
	}
	return list
}

func (s *Sharing) send(msg *wire.Usage, peers []net.Addr) {
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
func (s *Sharing) Run(ctx context.Context) error {
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
		s.take(buffer[:n])
	}
}

func (s *Sharing) take(data []byte) {
	var msg wire.Usage
	if err := proto.Unmarshal(data, &msg); err != nil || msg.GetFrom().GetName() == "" {
		s.log.Debug("usage_unreadable", logging.Err(err))
		return
	}
	s.passOn(&msg)
	for _, p := range msg.GetPlaced() {
		s.listener.HearPlaced(fleetwire.IncarnationOf(p), fleet.Range{From: int(p.GetFrom()), To: int(p.GetTo())}, p.GetHolds())
	}
	for _, u := range msg.GetSilent() {
		s.listener.HearSilent(msg.GetFrom(), fleetwire.IncarnationOf(u))
	}
	s.takeTried(&msg)
	if s.takePermits(&msg) {
		return
	}
	if isNews(&msg) {
		return
	}
	used := make(map[fleet.Incarnation]fleet.Use, len(msg.GetEngines()))
	for _, e := range msg.GetEngines() {
		used[fleetwire.IncarnationOf(e)] = fleet.Use{Memory: e.GetAmount(), Streams: int(e.GetStreams())}
	}
	s.listener.HearUse(msg.GetFrom(), Msg{Used: used, Limits: s.limitsTold(msg.GetLimits()), Total: msg.GetTotal(), Whole: msg.GetWhole(), HeardOf: msg.GetHeardOf(), Nodes: int(msg.GetNodes()), Hubs: msg.GetHubs(), Followable: msg.GetFollowable(), Quarantine: msg.GetQuarantine()})
}
