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
	// triedTogether is how many requests a datagram tells of at the most. One takes some 45
	// bytes, and so they fit into a packet.
	triedTogether = 28
	// mostTried bounds what is told of one moment. An upstream that ends has some ten
	// requests that have just begun; of more, each node learns by what it loses itself.
	mostTried = 10 * triedTogether
)

// errNoWork is why a datagram is not read that should name a request's work.
var errNoWork = errors.New("usage: no name of a work")

// tried is what has become of a request: it was lost at an upstream that has ended, or,
// without one, answered.
type tried struct {
	work     work.ID
	upstream fleet.Incarnation
}

// Lost tells all peers soon of a request that this node has lost at an upstream that has
// ended.
func (s *Sharing) Lost(id work.ID, upstream fleet.Incarnation) {
	t := tried{work: id, upstream: upstream}
	s.recent.note(s.clock.Now(), t)
	s.works.add(t)
}

// Answered tells all peers soon of a request under suspicion that an upstream has answered.
func (s *Sharing) Answered(id work.ID) { s.works.add(tried{work: id}) }

// tellTried tells it as often as an order is told.
func (s *Sharing) tellTried(news []tried) {
	if len(news) > mostTried {
		s.log.Warn("not_all_told", zap.Int("requests", len(news)), zap.Int("told", mostTried))
		news = news[:mostTried]
	}
	var msgs []*wire.Usage
	for some := range slices.Chunk(news, triedTogether) {
		msgs = append(msgs, s.triedMessage(some))
	}
	for range placedTimes {
		for _, msg := range msgs {
			s.send(msg, s.routes.Load().works)
		}
		time.Sleep(placedEvery)
	}
}

func (s *Sharing) triedMessage(news []tried) *wire.Usage {
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

// takeTried takes what another node has told of requests.
func (s *Sharing) takeTried(msg *wire.Usage) {
	for _, l := range msg.GetLost() {
		if id, ok := work.FromBytes(l.GetWork()); ok {
			s.listener.HearLost(id, fleetwire.IncarnationOf(l))
			continue
		}
		s.log.Debug("usage_unreadable", logging.Err(errNoWork))
	}
	for _, raw := range msg.GetAnswered() {
		if id, ok := work.FromBytes(raw); ok {
			s.listener.HearAnswered(id)
			continue
		}
		s.log.Debug("usage_unreadable", logging.Err(errNoWork))
	}
}
