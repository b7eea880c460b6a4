package relay

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/hoistjunction/hoistjunction/dispatch"
)

// recordFirstEvent reports the first event of an attempt at a chain of engines to the decider, and
// compares the time that it took with the prediction. A resumed stream has a first event in each
// attempt; the log shows that of the answer.
func (s *session) recordFirstEvent() {
	cmd := s.attempt.cmd
	if cmd.Node != "" {
		s.relay.decider.notify(s.relay.lifetime, dispatch.FirstEventMsg{Request: s.id, Attempt: cmd.Attempt})
	}
	if len(cmd.Chain) == 0 {
		return
	}
	took := s.lastUpdateAt.Sub(s.sentAt)
	if s.events == 0 {
		s.firstEventTook = took
	}
	s.relay.stats.firstEventOfAttempt(cmd.PredictedFirstEvent, took)
	s.relay.decider.notify(s.relay.lifetime, dispatch.FirstEventMsg{Request: s.id, Attempt: cmd.Attempt})
}

// predictionField returns the log fields for the prediction of an attempt that is sent.
func predictionField(cmd dispatch.SendCmd) zap.Field {
	if len(cmd.Chain) == 0 {
		return zap.Skip()
	}
	return zap.Inline(zapcore.ObjectMarshalerFunc(func(e zapcore.ObjectEncoder) error {
		e.AddInt64("predicted_ms", int64(cmd.PredictedFirstEvent))
		e.AddInt64("predicted_input_age_ms", int64(cmd.PredictionInputAge))
		return nil
	}))
}

// firstEventField returns the log fields for the predicted and the actual time from sending to the
// first event.
func (s *session) firstEventField() zap.Field {
	if s.predictedFirstEvent == 0 {
		return zap.Skip()
	}
	predicted, took := s.predictedFirstEvent, s.firstEventTook
	return zap.Inline(zapcore.ObjectMarshalerFunc(func(e zapcore.ObjectEncoder) error {
		e.AddInt64("predicted_ms", int64(predicted))
		e.AddInt64("first_after_sent_ms", int64(took))
		return nil
	}))
}

// firstEventOverdue reports to the decider that the attempt still has no event.
func (s *session) firstEventOverdue() {
	s.relay.decider.notify(s.relay.lifetime, dispatch.FirstEventOverdueMsg{Request: s.id, Attempt: s.attempt.cmd.Attempt})
}

// abandonOverdue abandons the attempt unless its first event has arrived meanwhile.
func (s *session) abandonOverdue(cmd dispatch.AbandonCmd) {
	if s.attempt != nil && s.attempt.cmd.Attempt == cmd.Attempt && s.events == 0 {
		s.relay.stats.count("first_event_overdue")
		s.abandon("", "first_event_is_overdue", false)
	}
}
