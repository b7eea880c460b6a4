package relay

import (
	"net"
	"strconv"
	"strings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/logging"
)

// bytesEachPart is about how long a part of a chain is in the log.
const bytesEachPart = 24

func appendRange(text []byte, from, to int) []byte {
	text = strconv.AppendInt(text, int64(from), 10)
	text = append(text, '-')
	return strconv.AppendInt(text, int64(to), 10)
}

// hostName returns a host in the form in which routes have it.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

func (s *session) logSend(cmd dispatch.SendCmd, remaining clock.Millis) {
	s.relay.stats.count("sent")
	s.log.Info("sent", zap.String("id", s.head.ID), zap.Stringer("work", cmd.Work), zap.Int("attempt", cmd.Attempt), zap.String("route", cmd.Route.Name),
		zap.String("account", cmd.Account), zap.Stringer("upstream", cmd.Upstream), zap.String("address", cmd.Address),
		zap.String("chain", chainText(cmd.Chain)), zap.Int("in_flight", cmd.InFlight), zap.Int("priority", cmd.Priority),
		zap.Stringer("config", cmd.Config), zap.Int64("config_age_ms", int64(cmd.ConfigAge)),
		zap.Int64("list_age_ms", int64(s.relay.listAge())),
		zap.Int64("remaining_ms", int64(remaining)), zap.String("resume_after", s.lastEvent), zap.Bool("suspected", cmd.WorkSuspected), limitField(cmd.Limit))
}

func (s *session) logAnswer(status int) {
	s.relay.stats.count("answered")
	s.relay.stats.whole(s.age())
	late := s.late()
	if late != "" {
		s.relay.stats.count("late_" + string(late))
	}
	s.log.Info("answered", s.fields(zap.Int("status", status), zap.String("late", string(late)))...)
}

// fields are what is logged at the end of a request, whatever it is.
func (s *session) fields(more ...zap.Field) []zap.Field {
	name := ""
	if s.route != nil {
		name = s.route.Name
	}
	return append([]zap.Field{zap.String("id", s.head.ID), zap.String("route", name)}, append(more,
		zap.Int("events", s.events), zap.Int("attempts", s.attempts), zap.Int("moves", s.moved),
		zap.Int64("first_ms", int64(s.first)), zap.Int64("pause_ms", int64(s.pause)), zap.Int64("after_ms", int64(s.age())))...)
}

// lateness says by what an answer has missed its route's aims; empty if it has
// not.
type lateness string

const (
	lateFirst lateness = "first_event"
	latePause lateness = "pause"
	lateWhole lateness = "whole_answer"
)

func (s *session) late() lateness {
	switch {
	case s.route == nil:
		return ""
	case s.route.Kind == catalog.Streaming && s.route.LatencyTarget > 0 && s.first > s.route.LatencyTarget:
		return lateFirst
	case s.route.Kind == catalog.Streaming && s.route.EventGapTarget > 0 && s.pause > s.route.EventGapTarget:
		return latePause
	case s.route.Kind != catalog.Streaming && s.route.LatencyTarget > 0 && s.age() > s.route.LatencyTarget:
		return lateWhole
	}
	return ""
}

func (s *session) logLeft() {
	s.explained = true
	s.relay.stats.count("caller_left")
	s.log.Info("caller_left", s.fields()...)
}

func (s *session) logAwait(cmd dispatch.SlotWaitCmd) {
	s.relay.stats.count("awaited_places")
	s.log.Info("awaits_place", zap.String("id", s.head.ID), zap.String("service", cmd.Service), zap.Int("waiting", cmd.Waiting),
		zap.Int64("for_ms", int64(cmd.Until.Sub(s.relay.clock.Now()))), zap.Int64("after_ms", int64(s.age())))
}

func (s *session) logFinish(cmd dispatch.RespondCmd) {
	s.log.Info("refused", zap.String("id", s.head.ID), zap.Stringer("work", cmd.Work), zap.String("host", s.r.Host), zap.String("path", s.r.URL.Path),
		zap.Int("status", cmd.Status), zap.String("reason", string(cmd.Reason)),
		zap.Int64("retry_after_ms", int64(cmd.RetryAfter)), zap.Int("attempts", s.attempts),
		zap.Stringer("config", cmd.Config), zap.Int64("config_age_ms", int64(cmd.ConfigAge)),
		zap.Int64("after_ms", int64(s.age())), lackField(cmd.Missing), limitedField(cmd.RateLimit))
}

// limitField is what the upstream of an attempt takes from all nodes together.
func limitField(perSecond float64) zap.Field {
	if perSecond == 0 {
		return zap.Skip()
	}
	return zap.Float64("limit", perSecond)
}

// limitedField says whose limit has had a request refused.
func limitedField(limited *dispatch.LimitRefusal) zap.Field {
	if limited == nil {
		return zap.Skip()
	}
	return zap.Inline(zapcore.ObjectMarshalerFunc(func(e zapcore.ObjectEncoder) error {
		e.AddString("at", limited.Upstream.String())
		e.AddFloat64("limit", limited.Rate)
		e.AddInt("limited", limited.LimitedUpstreams)
		e.AddInt("queue", limited.RecentDenials)
		return nil
	}))
}

// lackField says what ran short, and by whose word.
func lackField(lack *dispatch.MissingResource) zap.Field {
	if lack == nil {
		return zap.Skip()
	}
	return zap.Inline(zapcore.ObjectMarshalerFunc(func(e zapcore.ObjectEncoder) error {
		e.AddString("lacks", string(appendRange(nil, lack.Layers.From, lack.Layers.To)))
		e.AddInt("holders", lack.Holders)
		e.AddString("at", lack.ID.String())
		e.AddInt64("left", int64(lack.FreeMemory))
		e.AddInt64("asked", int64(lack.RequiredMemory))
		e.AddString("word_of", string(lack.Source))
		e.AddInt64("word_age_ms", int64(lack.SourceAge))
		return nil
	}))
}

func (s *session) logFailure(cause dispatch.Cause, at string, word Word, err error) {
	s.relay.stats.count("attempt_" + cause.String())
	s.log.Info("attempt_failed", zap.String("id", s.head.ID), zap.Stringer("work", s.attempt.cmd.Work), zap.Int("attempt", s.attempt.cmd.Attempt),
		zap.Stringer("upstream", s.attempt.cmd.Upstream), zap.Stringer("cause", cause), zap.String("at", at),
		zap.Int("events", s.events), zap.Int64("after_ms", int64(s.relay.clock.Now().Sub(s.sent))), wordField(word), logging.Err(err))
}

// wordField is what an upstream has said of itself.
func wordField(word Word) zap.Field {
	if word.IsZero() {
		return zap.Skip()
	}
	return zap.Inline(zapcore.ObjectMarshalerFunc(func(e zapcore.ObjectEncoder) error {
		e.AddInt64("rest_ms", int64(word.Rest))
		e.AddBool("leaving", word.Leaving)
		if word.Limited {
			e.AddFloat64("limit", word.Limit)
		}
		if word.Unread != "" {
			e.AddString("unread", word.Unread)
		}
		return nil
	}))
}

// logLost notes that a caller could not be given its answer.
func (s *session) logLost(err error) {
	s.explained = true
	s.relay.stats.count("caller_lost")
	s.log.Info("caller_lost", zap.String("id", s.head.ID), zap.Int("events", s.events), logging.Err(err))
}
