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

// SetAddresses sets where the other nodes take datagrams, by their names.
func (s *Exchange) SetAddresses(addresses map[string]string) {
	named := make(map[string]net.Addr, len(addresses))
	for name, address := range addresses {
		to, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			s.log.Info("usage_peer_unusable", zap.String("address", address), logging.Err(err))
			continue
		}
		named[name] = to
	}
	s.addresses.Store(&named)
}

// Ask sends a node a question for permits.
func (s *Exchange) Ask(cmd limit.AskCmd) {
	id, born := fleetwire.IncarnationFields(cmd.Ask.Upstream)
	s.sendTo(cmd.To, &wire.Usage{From: s.self, PermitAsk: &wire.PermitAsk{
		Id: id, Born: born, Life: cmd.Ask.Life, Number: cmd.Ask.Number, Want: uint32(cmd.Ask.Want),
		Named: s.encodeLimit(cmd.Ask.Named), Sent: cmd.Ask.Sent,
	}})
}

// SendPermitGrant answers a node's question for permits.
func (s *Exchange) SendPermitGrant(to string, grant limit.Grant) {
	id, born := fleetwire.IncarnationFields(grant.Upstream)
	s.sendTo(to, &wire.Usage{From: s.self, PermitGrant: &wire.PermitGrant{
		Id: id, Born: born, Life: grant.Life, Number: grant.Number, Permits: uint32(grant.Permits),
		NextMs: int64(grant.NextIn), Queue: uint32(grant.Queue), Named: s.encodeLimit(grant.Named),
	}})
}

// sendTo sends one node something. One whose address is not known gets nothing, as if the
// datagram were lost.
func (s *Exchange) sendTo(name string, msg *wire.Usage) {
	if to := s.addressOf(name); to != nil {
		s.send(msg, []net.Addr{to})
	}
}

// addressOf returns where a node takes datagrams; nil where that is not known.
func (s *Exchange) addressOf(name string) net.Addr {
	if named := s.addresses.Load(); named != nil && (*named)[name] != nil {
		return (*named)[name]
	}
	if asker, ok := s.permitRequesters.Get(name); ok {
		return asker
	}
	return nil
}

// maxPermitRequesters bounds the nodes that ask for permits and are not known otherwise: those of a
// large data centre are known to its hubs alone.
const maxPermitRequesters = 4096

// recordPermitRequester notes where a node takes the answer to its question.
func (s *Exchange) recordPermitRequester(m *wire.Member) {
	if named := s.addresses.Load(); named != nil && (*named)[m.GetName()] != nil || s.permitRequesters.Contains(m.GetName()) {
		return
	}
	address, err := net.ResolveUDPAddr("udp", m.GetUsageAddress())
	if err != nil {
		s.log.Info("usage_peer_unusable", zap.String("address", m.GetUsageAddress()), logging.Err(err))
		return
	}
	s.permitRequesters.Add(m.GetName(), address)
}

// receivePermits takes a question for permits or the answer to one, and tells whether there was
// any.
func (s *Exchange) receivePermits(msg *wire.Usage) bool {
	if ask := msg.GetPermitAsk(); ask != nil {
		s.recordPermitRequester(msg.GetFrom())
		s.listener.HearAsk(msg.GetFrom(), limit.Ask{
			Upstream: fleetwire.IncarnationOf(ask), Life: ask.GetLife(), Number: ask.GetNumber(), Want: int(ask.GetWant()),
			Named: s.decodeLimit(ask.GetNamed()), Sent: ask.GetSent(),
		})
	}
	if grant := msg.GetPermitGrant(); grant != nil {
		s.listener.HearGrant(msg.GetFrom(), limit.Grant{
			Upstream: fleetwire.IncarnationOf(grant), Life: grant.GetLife(), Number: grant.GetNumber(), Permits: int(grant.GetPermits()),
			NextIn: clock.Millis(grant.GetNextMs()), Queue: int(grant.GetQueue()), Named: s.decodeLimit(grant.GetNamed()),
		})
	}
	return msg.GetPermitAsk() != nil || msg.GetPermitGrant() != nil
}

// encodeLimits tells limits by upstream.
func (s *Exchange) encodeLimits(limits map[fleet.Incarnation]limit.Named) []*wire.UpstreamLimit {
	var list []*wire.UpstreamLimit
	for upstream, named := range limits {
		id, born := fleetwire.IncarnationFields(upstream)
		list = append(list, &wire.UpstreamLimit{Id: id, Born: born, Named: s.encodeLimit(named)})
	}
	return list
}

// decodeLimits is the reverse of encodeLimits.
func (s *Exchange) decodeLimits(list []*wire.UpstreamLimit) map[fleet.Incarnation]limit.Named {
	if len(list) == 0 {
		return nil
	}
	limits := make(map[fleet.Incarnation]limit.Named, len(list))
	for _, l := range list {
		limits[fleetwire.IncarnationOf(l)] = s.decodeLimit(l.GetNamed())
	}
	return limits
}

// encodeLimit tells a limit with its age, since nodes' clocks differ.
func (s *Exchange) encodeLimit(named limit.Named) *wire.NamedLimit {
	return &wire.NamedLimit{Rate: named.Rate, AgeMs: int64(clock.AgeOf(named.ReceivedAt, s.clock.Now()))}
}

// decodeLimit is the reverse of encodeLimit.
func (s *Exchange) decodeLimit(named *wire.NamedLimit) limit.Named {
	if named.GetAgeMs() < 0 {
		return limit.Named{ReceivedAt: clock.Never}
	}
	return limit.Named{Rate: named.GetRate(), ReceivedAt: s.clock.Now().Sub(clock.Millis(named.GetAgeMs()))}
}
