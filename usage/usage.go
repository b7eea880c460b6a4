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
	// near are told what this node has in use, and far what its data centre has.
	near atomic.Pointer[[]net.Addr]
	far  atomic.Pointer[[]net.Addr]
	// named are the addresses of all nodes, by their names.
	named atomic.Pointer[map[string]net.Addr]
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
	// Total tells that all nodes of the sender's data centre have it in use.
	Total bool
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
	s.silent, s.placed, s.works = newGathering(s.tellSilent), newGatheringAtOnce(s.tellPlaced), newGatheringAtOnce(s.tellTried)
	for _, opt := range opts {
		opt(s)
	}
	return s, nil
}

// Address returns where the node takes datagrams.
func (s *Sharing) Address() string { return s.conn.LocalAddr().String() }

// SetPeers sets who is told what this node has in use, and who is told what its
// data centre has.
func (s *Sharing) SetPeers(near, far []string) {
	s.near.Store(s.resolve(near))
	s.far.Store(s.resolve(far))
	for _, t := range s.recent.list(s.clock.Now()) {
		s.works.add(t)
	}
}

func (s *Sharing) resolve(addresses []string) *[]net.Addr {
	peers := make([]net.Addr, 0, len(addresses))
	for _, address := range addresses {
		peer, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			s.log.Info("usage_peer_unusable", zap.String("address", address), logging.Err(err))
			continue
		}
		peers = append(peers, peer)
	}
	return &peers
}

// Share tells the near peers what this node has in use, and what it knows of limits.
func (s *Sharing) Share(used map[fleet.Incarnation]fleet.Use, limits map[fleet.Incarnation]limit.Named) {
	s.send(&wire.Usage{From: s.self, Followable: s.followable(), Engines: engineUse(used), Quarantine: s.quarantine(), Limits: s.limitsKnown(limits)}, s.near.Load())
}

// ShareTotal tells the far peers what this node's data centre has in use.
func (s *Sharing) ShareTotal(total map[fleet.Incarnation]fleet.Use, limits map[fleet.Incarnation]limit.Named) {
	s.send(&wire.Usage{From: s.self, Total: true, Engines: engineUse(total), Quarantine: s.quarantine(), Limits: s.limitsKnown(limits)}, s.far.Load())
}

func engineUse(used map[fleet.Incarnation]fleet.Use) []*wire.EngineUse {
	list := make([]*wire.EngineUse, 0, len(used))
	for engine, use := range used {
		id, born := fleetwire.Name(engine)
		list = append(list, &wire.EngineUse{Id: id, Born: born, Amount: use.Memory, Streams: int32(use.Streams)})
	}
	return list
}

func (s *Sharing) send(msg *wire.Usage, peers *[]net.Addr) {
	if peers == nil {
		return
	}
	data, err := proto.Marshal(msg)
	if err != nil {
		s.log.Info("usage_not_sent", logging.Err(err))
		return
	}
	for _, peer := range *peers {
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
	if len(msg.GetPlaced())+len(msg.GetSilent())+len(msg.GetLost())+len(msg.GetAnswered()) > 0 {
		return
	}
	used := make(map[fleet.Incarnation]fleet.Use, len(msg.GetEngines()))
	for _, e := range msg.GetEngines() {
		used[fleetwire.IncarnationOf(e)] = fleet.Use{Memory: e.GetAmount(), Streams: int(e.GetStreams())}
	}
	s.listener.HearUse(msg.GetFrom(), Msg{Used: used, Limits: s.limitsTold(msg.GetLimits()), Total: msg.GetTotal(), Followable: msg.GetFollowable(), Quarantine: msg.GetQuarantine()})
}
