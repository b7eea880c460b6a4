package usage

import (
	"net"
	"slices"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/wire"
)

// Routes are the addresses of those whom a node tells what, by what it is told of.
type Routes struct {
	// Use are told what this node has in use, Total what its data centre has, and Leaves
	// what all have: the nodes to which this one is a hub. Absent are told as Use, but seldom.
	Use    []string
	Absent []string
	Total  []string
	Leaves []string
	// Hubs are the hubs that leaves are to know: one that has just come is known to others
	// that register, and not to them.
	Hubs []*wire.Member
	// Orders are told of orders to engines, Silences of engines that are silent, and Works
	// of requests that were lost.
	Orders   []string
	Silences []string
	Works    []string
	// PassOn are told what others tell this node of these three, as they would tell all.
	PassOn []string
}

// routes are Routes with addresses to send to.
type routes struct {
	use, absent, total, leaves, orders, silences, works, passOn []net.Addr
	hubs                                                        []*wire.Member
}

const (
	// absentEvery is how many times all others are told what this node has in use for each
	// time that those are which have not been heard lately.
	absentEvery = 10
	// hubsEvery is how many times leaves are told of a hub for each time that they are told
	// of all hubs.
	hubsEvery = 10
)

// useTold returns who is told this time what this node has in use.
func (s *Sharing) useTold() []net.Addr {
	to := s.routes.Load()
	if s.shares++; s.shares%absentEvery != 0 {
		return to.use
	}
	return slices.Concat(to.use, to.absent)
}

// SetPeers sets who is told what this node has in use, and who is told what its data centre
// has, where all nodes of a data centre tell each other. All are told of orders, and of
// requests that were lost.
func (s *Sharing) SetPeers(near, far []string) {
	all := append(append([]string(nil), near...), far...)
	s.SetRoutes(Routes{Use: near, Total: far, Orders: all, Silences: near, Works: all})
}

// SetRoutes sets whom this node tells what.
func (s *Sharing) SetRoutes(r Routes) {
	s.routes.Store(&routes{
		use: s.resolve(r.Use), absent: s.resolve(r.Absent), total: s.resolve(r.Total), leaves: s.resolve(r.Leaves), orders: s.resolve(r.Orders),
		silences: s.resolve(r.Silences), works: s.resolve(r.Works), passOn: s.resolve(r.PassOn),
		hubs: r.Hubs,
	})
	for _, t := range s.recent.list(s.clock.Now()) {
		s.works.add(t)
	}
}

func (s *Sharing) resolve(addresses []string) []net.Addr {
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

// isNews tells whether a datagram brings what is told once, and not what is told again and
// again.
func isNews(msg *wire.Usage) bool {
	return len(msg.GetPlaced())+len(msg.GetSilent())+len(msg.GetLost())+len(msg.GetAnswered()) > 0
}

// passOn tells those to whom this node is a hub what another node tells all.
func (s *Sharing) passOn(msg *wire.Usage) {
	to := s.routes.Load().passOn
	if len(to) == 0 || msg.GetPassedOn() || !isNews(msg) {
		return
	}
	msg.PassedOn = true
	s.send(msg, to)
}
