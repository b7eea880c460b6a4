package usage

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/fleetwire"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/wire"
	"github.com/hoistjunction/hoistjunction/work"
)

const (
	// outcomesPerDatagram is how many requests a datagram tells of at the most. One takes some 45
	// bytes, and so they fit into a packet.
	outcomesPerDatagram = 28
	// maxOutcomes bounds what is told of one moment. An upstream that ends has some ten
	// requests that have just begun; of more, each node learns by what it loses itself.
	maxOutcomes = 10 * outcomesPerDatagram
)

// errMissingWorkID is why a datagram is not read that should name a request's work.
var errMissingWorkID = errors.New("usage: no name of a work")

// outcome is what has become of a request: it was lost at an upstream that has ended, or,
// without one, answered.
type outcome struct {
	work     work.ID
	upstream fleet.Incarnation
}

// SendCrash tells all peers soon of a request that this node has lost at an upstream that has
// ended.
func (s *Exchange) SendCrash(id work.ID, upstream fleet.Incarnation) {
	t := outcome{work: id, upstream: upstream}
	s.recentCrashes.record(s.clock.Now(), t)
	s.outcomes.add(t)
}

// SendAnswered tells all peers soon of a request under suspicion that an upstream has answered.
func (s *Exchange) SendAnswered(id work.ID) { s.outcomes.add(outcome{work: id}) }

// sendOutcomes tells it as often as an order is told.
func (s *Exchange) sendOutcomes(news []outcome) {
	if len(news) > maxOutcomes {
		s.log.Warn("not_all_told", zap.Int("requests", len(news)), zap.Int("told", maxOutcomes))
		news = news[:maxOutcomes]
	}
	var msgs []*wire.Usage
	for some := range slices.Chunk(news, outcomesPerDatagram) {
		msgs = append(msgs, s.outcomeMessage(some))
	}
	for range placementSends {
		for _, msg := range msgs {
			s.send(msg, s.recipients.Load().outcomes)
		}
		time.Sleep(placementInterval)
	}
}

func (s *Exchange) outcomeMessage(news []outcome) *wire.Usage {
	msg := &wire.Usage{From: s.self}
	for _, n := range news {
		if n.upstream.IsZero() {
			msg.Answered = append(msg.Answered, n.work.Bytes())
			continue
		}
		id, born := fleetwire.IncarnationFields(n.upstream)
		msg.Lost = append(msg.Lost, &wire.LostWork{Work: n.work.Bytes(), Id: id, Born: born})
	}
	return msg
}

// receiveOutcomes takes what another node has told of requests.
func (s *Exchange) receiveOutcomes(msg *wire.Usage) {
	for _, l := range msg.GetLost() {
		if id, ok := work.FromBytes(l.GetWork()); ok {
			s.listener.HearLost(id, fleetwire.IncarnationOf(l))
			continue
		}
		s.log.Debug("usage_unreadable", logging.Err(errMissingWorkID))
	}
	for _, raw := range msg.GetAnswered() {
		if id, ok := work.FromBytes(raw); ok {
			s.listener.HearAnswered(id)
			continue
		}
		s.log.Debug("usage_unreadable", logging.Err(errMissingWorkID))
	}
}
