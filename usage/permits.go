package usage

import (
	"net"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/fleetwire"
	"github.com/hoistjunction/hoistjunction/limit"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/wire"
)

// SetAddresses sets the addresses at which other nodes receive datagrams, by name.
func (x *Exchange) SetAddresses(addresses map[string]string) {
	resolved := make(map[string]net.Addr, len(addresses))
	for name, address := range addresses {
		to, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			x.log.Info("usage_peer_unusable", zap.String("address", address), logging.Err(err))
			continue
		}
		resolved[name] = to
	}
	x.addresses.Store(&resolved)
}

// SendPermitRequest sends a node a request for permits.
func (x *Exchange) SendPermitRequest(cmd limit.PermitRequestCmd) {
	id, born := fleetwire.IncarnationFields(cmd.PermitRequest.Upstream)
	x.sendTo(cmd.To, &wire.Usage{From: x.self, PermitAsk: &wire.PermitAsk{
		Id: id, Born: born, Life: cmd.PermitRequest.BootID, Number: cmd.PermitRequest.Seq, Want: uint32(cmd.PermitRequest.Permits),
		Named: x.encodeLimit(cmd.PermitRequest.Advertised), Sent: cmd.PermitRequest.Unpermitted,
	}})
}

// SendPermitGrant answers a node's request for permits.
func (x *Exchange) SendPermitGrant(to string, grant limit.Grant) {
	id, born := fleetwire.IncarnationFields(grant.Upstream)
	x.sendTo(to, &wire.Usage{From: x.self, PermitGrant: &wire.PermitGrant{
		Id: id, Born: born, Life: grant.BootID, Number: grant.Seq, Permits: uint32(grant.Permits),
		NextMs: int64(grant.NextIn), Queue: uint32(grant.Denied), Named: x.encodeLimit(grant.Advertised),
	}})
}

// sendTo sends a message to one node. If its address is unknown, the message is dropped, as if
// the datagram were lost.
func (x *Exchange) sendTo(name string, msg *wire.Usage) {
	if to := x.addressOf(name); to != nil {
		x.send(msg, []net.Addr{to})
	}
}

// addressOf returns the address at which a node receives datagrams; nil if unknown.
func (x *Exchange) addressOf(name string) net.Addr {
	if known := x.addresses.Load(); known != nil && (*known)[name] != nil {
		return (*known)[name]
	}
	if requester, ok := x.permitRequesters.Get(name); ok {
		return requester
	}
	return nil
}

// maxPermitRequesters bounds the nodes that request permits without being known otherwise. The
// leaves of a large data centre are known to its hubs only.
const maxPermitRequesters = 4096

// recordPermitRequester records the address to which a node's permits are granted.
func (x *Exchange) recordPermitRequester(m *wire.Member) {
	if known := x.addresses.Load(); known != nil && (*known)[m.GetName()] != nil || x.permitRequesters.Contains(m.GetName()) {
		return
	}
	address, err := net.ResolveUDPAddr("udp", m.GetUsageAddress())
	if err != nil {
		x.log.Info("usage_peer_unusable", zap.String("address", m.GetUsageAddress()), logging.Err(err))
		return
	}
	x.permitRequesters.Add(m.GetName(), address)
}

// receivePermits handles the permit request or grant in a message, and reports whether there
// was one.
func (x *Exchange) receivePermits(msg *wire.Usage) bool {
	if ask := msg.GetPermitAsk(); ask != nil {
		x.recordPermitRequester(msg.GetFrom())
		x.listener.ReceivePermitRequest(msg.GetFrom(), limit.PermitRequest{
			Upstream: fleetwire.IncarnationOf(ask), BootID: ask.GetLife(), Seq: ask.GetNumber(), Permits: int(ask.GetWant()),
			Advertised: x.decodeLimit(ask.GetNamed()), Unpermitted: ask.GetSent(),
		})
	}
	if grant := msg.GetPermitGrant(); grant != nil {
		x.listener.ReceivePermitGrant(msg.GetFrom(), limit.Grant{
			Upstream: fleetwire.IncarnationOf(grant), BootID: grant.GetLife(), Seq: grant.GetNumber(), Permits: int(grant.GetPermits()),
			NextIn: clock.Millis(grant.GetNextMs()), Denied: int(grant.GetQueue()), Advertised: x.decodeLimit(grant.GetNamed()),
		})
	}
	return msg.GetPermitAsk() != nil || msg.GetPermitGrant() != nil
}

// encodeLimits encodes rate limits by upstream.
func (x *Exchange) encodeLimits(limits map[fleet.Incarnation]limit.Advertised) []*wire.UpstreamLimit {
	var list []*wire.UpstreamLimit
	for upstream, advertised := range limits {
		id, born := fleetwire.IncarnationFields(upstream)
		list = append(list, &wire.UpstreamLimit{Id: id, Born: born, Named: x.encodeLimit(advertised)})
	}
	return list
}

// decodeLimits is the reverse of encodeLimits.
func (x *Exchange) decodeLimits(list []*wire.UpstreamLimit) map[fleet.Incarnation]limit.Advertised {
	if len(list) == 0 {
		return nil
	}
	limits := make(map[fleet.Incarnation]limit.Advertised, len(list))
	for _, l := range list {
		limits[fleetwire.IncarnationOf(l)] = x.decodeLimit(l.GetNamed())
	}
	return limits
}

// encodeLimit encodes an advertised limit with its age, since the clocks of nodes differ.
func (x *Exchange) encodeLimit(advertised limit.Advertised) *wire.NamedLimit {
	return &wire.NamedLimit{Rate: advertised.Rate, AgeMs: int64(clock.AgeOf(advertised.ReceivedAt, x.clock.Now()))}
}

// decodeLimit is the reverse of encodeLimit.
func (x *Exchange) decodeLimit(advertised *wire.NamedLimit) limit.Advertised {
	if advertised.GetAgeMs() < 0 {
		return limit.Advertised{ReceivedAt: clock.Never}
	}
	return limit.Advertised{Rate: advertised.GetRate(), ReceivedAt: x.clock.Now().Sub(clock.Millis(advertised.GetAgeMs()))}
}
