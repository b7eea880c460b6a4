package usage

import (
	"net"
	"slices"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/wire"
)

// Recipients are the addresses that the node sends to, by the kind of message.
type Recipients struct {
	// Usage receive this node's usage, DataCentreTotal the total of its data centre, and
	// Leaves, the nodes that this node is a hub of, the usage of all nodes. MissingHubs are hubs
	// that have not responded recently; they receive this node's usage less often.
	Usage           []string
	MissingHubs     []string
	DataCentreTotal []string
	Leaves          []string
	// Hubs is the list of hubs that is sent to leaves. Leaves do not register, and
	// would not otherwise learn of a new hub.
	Hubs []*wire.Member
	// Placements receive placement orders, Unresponsive the engines found unresponsive, and
	// Outcomes the outcomes of requests.
	Placements   []string
	Unresponsive []string
	Outcomes     []string
	// Forward receive these three kinds of message as a hub receives them from other nodes.
	Forward []string
}

// recipients are Recipients with resolved addresses.
type recipients struct {
	usage, infrequentUsage, dataCentreTotal, leaves, placements, unresponsive, outcomes, forward []net.Addr
	hubs                                                                                         []*wire.Member
}

const (
	// infrequentEvery is the number of usage reports of which one is also sent to absent hubs.
	infrequentEvery = 10
	// hubsEvery is the number of messages to leaves of which one contains the list of hubs.
	hubsEvery = 10
)

// usageRecipients returns the recipients of the next usage report.
func (x *Exchange) usageRecipients() []net.Addr {
	to := x.recipients.Load()
	if x.usageSends++; x.usageSends%infrequentEvery != 0 {
		return to.usage
	}
	return slices.Concat(to.usage, to.infrequentUsage)
}

// SetPeers sets the recipients where the nodes of a data centre send to each other without
// hubs: those of this node's usage, and those of its data centre's total. Both receive
// placement orders and outcomes of requests.
func (x *Exchange) SetPeers(usagePeers, totalPeers []string) {
	all := append(append([]string(nil), usagePeers...), totalPeers...)
	x.SetRecipients(Recipients{Usage: usagePeers, DataCentreTotal: totalPeers, Placements: all, Unresponsive: usagePeers, Outcomes: all})
}

// SetRecipients sets the recipients of all messages, and sends recent crashes to them.
func (x *Exchange) SetRecipients(r Recipients) {
	x.recipients.Store(&recipients{
		usage: x.resolve(r.Usage), infrequentUsage: x.resolve(r.MissingHubs), dataCentreTotal: x.resolve(r.DataCentreTotal), leaves: x.resolve(r.Leaves), placements: x.resolve(r.Placements),
		unresponsive: x.resolve(r.Unresponsive), outcomes: x.resolve(r.Outcomes), forward: x.resolve(r.Forward),
		hubs: r.Hubs,
	})
	for _, crash := range x.recentCrashes.list(x.clock.Now()) {
		x.outcomes.add(crash)
	}
}

func (x *Exchange) resolve(addresses []string) []net.Addr {
	peers := make([]net.Addr, 0, len(addresses))
	for _, address := range addresses {
		peer, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			x.log.Info("usage_peer_unusable", zap.String("address", address), logging.Err(err))
			continue
		}
		peers = append(peers, peer)
	}
	return peers
}

// isEvent reports whether a message contains events, which are sent once, as opposed to state,
// which is sent periodically.
func isEvent(msg *wire.Usage) bool {
	return len(msg.GetPlaced())+len(msg.GetSilent())+len(msg.GetResponsive())+len(msg.GetLost())+len(msg.GetAnswered())+len(msg.GetPartShares())+len(msg.GetQuarantined()) > 0
}

// forward sends events that this node receives as a hub to the nodes that it forwards to.
func (x *Exchange) forward(msg *wire.Usage) {
	to := x.recipients.Load().forward
	if len(to) == 0 || msg.GetPassedOn() || !isEvent(msg) {
		return
	}
	msg.PassedOn = true
	x.send(msg, to)
}
