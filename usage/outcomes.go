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
	// outcomesPerDatagram bounds the outcomes in a datagram. One takes some 45 bytes, so a
	// datagram fits into a packet.
	outcomesPerDatagram = 28
	// maxOutcomes bounds the outcomes that are sent in one batch. When an upstream crashes,
	// some ten requests on it have just started. Of more, each node learns through the crashes
	// under its own requests.
	maxOutcomes = 10 * outcomesPerDatagram
)

// errMissingWorkID is logged for a request outcome without a valid work ID.
var errMissingWorkID = errors.New("usage: request outcome has no work ID")

// outcome is the outcome of a request: upstream crashed while executing it or, if upstream is
// zero, the request was answered.
type outcome struct {
	work     work.ID
	upstream fleet.Incarnation
}

// SendCrash reports to all peers, in the next batch, that an upstream crashed while executing a
// request of this node.
func (x *Exchange) SendCrash(id work.ID, upstream fleet.Incarnation) {
	crash := outcome{work: id, upstream: upstream}
	x.recentCrashes.record(x.clock.Now(), crash)
	x.outcomes.add(crash)
}

// SendAnswered reports to all peers, in the next batch, that an upstream answered a request
// suspected of crashing upstreams.
func (x *Exchange) SendAnswered(id work.ID) { x.outcomes.add(outcome{work: id}) }

// sendOutcomes sends outcomes as often as placement orders are sent.
func (x *Exchange) sendOutcomes(outcomes []outcome) {
	if len(outcomes) > maxOutcomes {
		x.log.Warn("not_all_told", zap.Int("requests", len(outcomes)), zap.Int("told", maxOutcomes))
		outcomes = outcomes[:maxOutcomes]
	}
	var msgs []*wire.Usage
	for chunk := range slices.Chunk(outcomes, outcomesPerDatagram) {
		msgs = append(msgs, x.outcomeMessage(chunk))
	}
	for range placementSends {
		for _, msg := range msgs {
			x.send(msg, x.recipients.Load().outcomes)
		}
		time.Sleep(placementInterval)
	}
}

func (x *Exchange) outcomeMessage(outcomes []outcome) *wire.Usage {
	msg := &wire.Usage{From: x.self}
	for _, o := range outcomes {
		if o.upstream.IsZero() {
			msg.Answered = append(msg.Answered, o.work.Bytes())
			continue
		}
		id, born := fleetwire.IncarnationFields(o.upstream)
		msg.Lost = append(msg.Lost, &wire.LostWork{Work: o.work.Bytes(), Id: id, Born: born})
	}
	return msg
}

// receiveOutcomes handles the request outcomes in a message.
func (x *Exchange) receiveOutcomes(msg *wire.Usage) {
	for _, l := range msg.GetLost() {
		if id, ok := work.FromBytes(l.GetWork()); ok {
			x.listener.ReceiveCrash(id, fleetwire.IncarnationOf(l))
			continue
		}
		x.log.Debug("usage_unreadable", logging.Err(errMissingWorkID))
	}
	for _, raw := range msg.GetAnswered() {
		if id, ok := work.FromBytes(raw); ok {
			x.listener.ReceiveAnswered(id)
			continue
		}
		x.log.Debug("usage_unreadable", logging.Err(errMissingWorkID))
	}
}
