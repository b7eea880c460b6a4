package relay

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
)

const (
	// firstStall is after how long without a first event the first engine is
	// asked what holds the stream up. First events come within 45 to 75 ms at
	// the median (docs/PLATFORM.md), and their aim is 500 ms.
	firstStall clock.Millis = 300
	// gapStall is the same between events, which come every 20 to 40 ms. A
	// pause of 200 ms is late already.
	gapStall clock.Millis = 250
	// askAgain is how soon the engine is asked again; its report is that old.
	askAgain clock.Millis = 200
	// abandonAfter is after how long without an event a stream is taken up
	// elsewhere although nobody knows why it stands still. Callers give a
	// stream up after two seconds.
	abandonAfter clock.Millis = 1000
)

// errTakenBack is the error of an attempt that the session gave up.
var errTakenBack = errors.New("relay: taken back")

// stallAnswer is what the first engine of a chain says of its streams.
type stallAnswer struct {
	attempt *attempt
	streams []StalledStream
	err     error
}

func (s *session) armStall() {
	if s.attempt != nil && len(s.attempt.cmd.Chain) > 0 {
		s.stall.Reset(gapStall.Duration())
	}
}

// checkStall asks the first engine whether the stream stands still.
func (s *session) checkStall() {
	if s.attempt == nil {
		return
	}
	s.stall.Reset(askAgain.Duration())
	if s.asking {
		return
	}
	s.asking = true
	a := s.attempt
	go func() {
		streams, err := s.relay.engines.Stalled(s.relay.life, a.cmd.Address)
		s.asked <- stallAnswer{attempt: a, streams: streams, err: err}
	}()
}

// stallAnswered acts on what the first engine says. An engine that does not
// answer is given up at once: the stream comes from there.
func (s *session) stallAnswered(answer stallAnswer) {
	s.asking = false
	if s.attempt == nil || answer.attempt != s.attempt {
		return
	}
	quiet := s.relay.clock.Now().Sub(s.lastPiece)
	if quiet < gapStall {
		return
	}
	if answer.err != nil {
		s.abandon("", "first_engine_is_silent")
		return
	}
	for _, stream := range answer.streams {
		if stream.ID == s.head.ID {
			s.log.Info("stalled", zap.String("id", s.head.ID), zap.String("at", stream.At),
				zap.Int64("quiet_ms", int64(quiet)), zap.Int("events", s.events))
			s.stalledAt(stream.At)
			return
		}
	}
	if quiet >= abandonAfter {
		s.abandon("", "no_event_for_too_long")
	}
}

// stalledAt moves the stream away from an engine, or takes it up elsewhere if
// it has brought nothing yet.
func (s *session) stalledAt(at string) {
	if s.events == 0 || at == s.attempt.cmd.Address {
		s.abandon(at, "engine_holds_it_up")
		return
	}
	s.relay.decider.tell(s.relay.life, dispatch.StalledMsg{Request: s.id, Attempt: s.attempt.cmd.Attempt, At: at})
}

// move orders the first engine to send the stream over other engines.
func (s *session) move(cmd dispatch.MoveCmd) {
	if s.attempt == nil || s.attempt.cmd.Attempt != cmd.Attempt {
		return
	}
	s.attempt.cmd.Chain = cmd.Chain
	address := s.attempt.cmd.Address
	go func() {
		result, at := s.relay.engines.Move(s.relay.life, address, s.head.ID, cmd.Chain)
		s.log.Info("move", zap.String("id", s.head.ID), zap.String("away_from", cmd.Away),
			zap.String("chain", chainText(cmd.Chain)), zap.Int("result", int(result)), zap.String("at", at))
		s.moves <- dispatch.MovedMsg{Request: s.id, Attempt: cmd.Attempt, Result: result, At: at}
	}()
}

// moved passes on what came of a move. A stream whose first engine does not
// know it, or does not answer, is taken up elsewhere.
func (s *session) moved(msg dispatch.MovedMsg) {
	s.relay.stats.count("moved")
	s.relay.decider.tell(s.relay.life, msg)
	if s.attempt == nil || s.attempt.cmd.Attempt != msg.Attempt {
		return
	}
	if msg.Result == dispatch.MoveUnknownStream || msg.Result == dispatch.MoveUnanswered {
		s.abandon("", "stream_cannot_be_moved")
	}
}

// probe asks an upstream whether it is well, for the decider.
func (r *Relay) probe(cmd dispatch.ProbeCmd) {
	go func() {
		err := r.probeOnce(cmd)
		r.log.Info("probe", zap.String("upstream", cmd.Upstream), zap.String("address", cmd.Address), zap.Error(err))
		r.decider.tell(r.life, dispatch.ProbedMsg{Upstream: cmd.Upstream, Answered: err == nil})
	}()
}

// errNoEngines means that nothing can be asked of upstreams.
var errNoEngines = errors.New("relay: upstreams cannot be probed")

func (r *Relay) probeOnce(cmd dispatch.ProbeCmd) error {
	if r.engines == nil {
		return errNoEngines
	}
	return r.engines.Probe(context.WithoutCancel(r.life), cmd.Address, cmd.Upstream)
}

func chainText(parts []chain.Part) string {
	text := make([]byte, 0, len(parts)*bytesEachPart)
	for i, p := range parts {
		if i > 0 {
			text = append(text, ' ')
		}
		text = append(text, p.ID...)
		text = append(text, ':')
		text = appendRange(text, p.Layers.From, p.Layers.To)
	}
	return string(text)
}
