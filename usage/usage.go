// Package usage lets the nodes of a data centre tell each other what their
// requests take at engines, so that together they do not overfill one.
//
// It is a datagram to each of them a few times a second. A lost one is made up
// for by the next, so nothing is repeated or acknowledged.
package usage

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/wire"
)

// maxDatagram bounds a datagram, in bytes. An engine takes some 25 of them, so
// hundreds fit.
const maxDatagram = 16 << 10

// Sharing sends and receives usage.
type Sharing struct {
	self  *wire.Member
	conn  net.PacketConn
	log   *zap.Logger
	tell  func(node, centre string, used map[string]float64)
	peers atomic.Pointer[[]net.Addr]
}

// New binds an address for a node. Tell takes what other nodes have in use.
func New(ctx context.Context, self *wire.Member, address string, log *zap.Logger,
	tell func(node, centre string, used map[string]float64),
) (*Sharing, error) {
	var config net.ListenConfig
	conn, err := config.ListenPacket(ctx, "udp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "usage: cannot listen at %s", address)
	}
	return &Sharing{self: self, conn: conn, log: log, tell: tell}, nil
}

// Address returns where the node takes datagrams.
func (s *Sharing) Address() string { return s.conn.LocalAddr().String() }

// SetPeers sets who is told.
func (s *Sharing) SetPeers(addresses []string) {
	peers := make([]net.Addr, 0, len(addresses))
	for _, address := range addresses {
		peer, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			s.log.Info("usage_peer_unusable", zap.String("address", address), logging.Err(err))
			continue
		}
		peers = append(peers, peer)
	}
	s.peers.Store(&peers)
}

// Share tells the peers what this node has in use.
func (s *Sharing) Share(used map[string]float64) {
	peers := s.peers.Load()
	if peers == nil {
		return
	}
	msg := &wire.Usage{Node: s.self.GetName(), DataCentre: s.self.GetDataCentre()}
	for id, amount := range used {
		msg.Engines = append(msg.Engines, &wire.EngineUse{Id: id, Amount: amount})
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
	if err := proto.Unmarshal(data, &msg); err != nil || msg.GetNode() == "" {
		s.log.Debug("usage_unreadable", logging.Err(err))
		return
	}
	used := make(map[string]float64, len(msg.GetEngines()))
	for _, e := range msg.GetEngines() {
		used[e.GetId()] = e.GetAmount()
	}
	s.tell(msg.GetNode(), msg.GetDataCentre(), used)
}
