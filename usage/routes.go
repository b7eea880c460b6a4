package usage

import (
	"net"
	"slices"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/wire"
)

// Recipients are the addresses of those whom a node tells what, by what it is told of.
type Recipients struct {
	// Usage are told what this node has in use, Total what its data centre has, and Leaves
	// what all have: the nodes to which this one is a hub. Absent are told as Use, but seldom.
	Usage           []string
	Absent          []string
	DataCentreTotal []string
	Leaves          []string
	// Hubs are the hubs that leaves are to know: one that has just come is known to others
	// that register, and not to them.
	Hubs []*wire.Member
	// Placements are told of orders to engines, Silences of engines that are silent, and Works
	// of requests that were lost.
	Placements   []string
	Unresponsive []string
	Outcomes     []string
	// Forward are told what others tell this node of these three, as they would tell all.
	Forward []string
}

// recipients are Routes with addresses to send to.
type recipients struct {
	usage, infrequentUsage, dataCentreTotal, leaves, placements, unresponsive, outcomes, forward []net.Addr
	hubs                                                                                         []*wire.Member
}

const (
	// infrequentEvery is how many times all others are told what this node has in use for each
	// time that those are which have not been heard lately.
	infrequentEvery = 10
	// hubsEvery is how many times leaves are told of a hub for each time that they are told
	// of all hubs.
	hubsEvery = 10
)

// usageRecipients returns who is told this time what this node has in use.
func (s *Exchange) usageRecipients() []net.Addr {
	to := s.recipients.Load()
	if s.usageSends++; s.usageSends%infrequentEvery != 0 {
		return to.usage
	}
	return slices.Concat(to.usage, to.infrequentUsage)
}

// SetPeers sets who is told what this node has in use, and who is told what its data centre
// has, where all nodes of a data centre tell each other. All are told of orders, and of
// requests that were lost.
func (s *Exchange) SetPeers(near, far []string) {
	all := append(append([]string(nil), near...), far...)
	s.SetRecipients(Recipients{Usage: near, DataCentreTotal: far, Placements: all, Unresponsive: near, Outcomes: all})
}

// SetRecipients sets whom this node tells what.
func (s *Exchange) SetRecipients(r Recipients) {
	s.recipients.Store(&recipients{
		usage: s.resolve(r.Usage), infrequentUsage: s.resolve(r.Absent), dataCentreTotal: s.resolve(r.DataCentreTotal), leaves: s.resolve(r.Leaves), placements: s.resolve(r.Placements),
		unresponsive: s.resolve(r.Unresponsive), outcomes: s.resolve(r.Outcomes), forward: s.resolve(r.Forward),
		hubs: r.Hubs,
	})
	for _, t := range s.recentCrashes.list(s.clock.Now()) {
		s.outcomes.add(t)
	}
}

func (s *Exchange) resolve(addresses []string) []net.Addr {
	peers := make([]net.Addr, 0, len(addresses))
	for _, address := range addresses {
		peer, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			s.log.Info("usage_peer_unusable", zap.String("address", address), logging.Err(err))
			continue
		}
		peers = append(peers, peer)
	}
	return peers
}

// isEvent tells whether a datagram brings what is told once, and not what is told again and
// again.
func isEvent(msg *wire.Usage) bool {
	return len(msg.GetPlaced())+len(msg.GetSilent())+len(msg.GetLost())+len(msg.GetAnswered()) > 0
}

// forward tells those to whom this node is a hub what another node tells all.
func (s *Exchange) forward(msg *wire.Usage) {
	to := s.recipients.Load().forward
	if len(to) == 0 || msg.GetPassedOn() || !isEvent(msg) {
		return
	}
	msg.PassedOn = true
	s.send(msg, to)
}
