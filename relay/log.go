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

// chainPartTextBytes is about how long a part of a chain is in the log.
const chainPartTextBytes = 24

func appendRange(text []byte, from, to int) []byte {
	text = strconv.AppendInt(text, int64(from), 10)
	text = append(text, '-')
	return strconv.AppendInt(text, int64(to), 10)
}

// normalizeHost returns a host in the form in which routes have it.
func normalizeHost(host string) string {
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
		zap.Int64("remaining_ms", int64(remaining)), zap.String("resume_after", s.lastEventID), zap.Bool("suspected", cmd.WorkSuspected), rateLimitField(cmd.Limit))
}

func (s *session) logAnswer(status int) {
	s.relay.stats.count("answered")
	s.relay.stats.wholeAnswer(s.age())
	late := s.missedAim()
	if late != "" {
		s.relay.stats.count("late_" + string(late))
	}
	s.log.Info("answered", s.outcomeFields(zap.Int("status", status), zap.String("late", string(late)))...)
}

// outcomeFields are what is logged at the end of a request, whatever it is.
func (s *session) outcomeFields(more ...zap.Field) []zap.Field {
	name := ""
	if s.route != nil {
		name = s.route.Name
	}
	return append([]zap.Field{zap.String("id", s.head.ID), zap.String("route", name)}, append(more,
		zap.Int("events", s.events), zap.Int("attempts", s.attempts), zap.Int("moves", s.migrations),
		zap.Int64("first_ms", int64(s.firstEvent)), zap.Int64("pause_ms", int64(s.longestPause)), zap.Int64("after_ms", int64(s.age())))...)
}

// aim says by what an answer has missed its route's aims; empty if it has
// not.
type aim string

const (
	aimFirstEvent  aim = "first_event"
	aimPause       aim = "pause"
	aimWholeAnswer aim = "whole_answer"
)

func (s *session) missedAim() aim {
	switch {
	case s.route == nil:
		return ""
	case s.route.Kind == catalog.Streaming && s.route.LatencyTarget > 0 && s.firstEvent > s.route.LatencyTarget:
		return aimFirstEvent
	case s.route.Kind == catalog.Streaming && s.route.EventGapTarget > 0 && s.longestPause > s.route.EventGapTarget:
		return aimPause
	case s.route.Kind != catalog.Streaming && s.route.LatencyTarget > 0 && s.age() > s.route.LatencyTarget:
		return aimWholeAnswer
	}
	return ""
}

func (s *session) logCallerLeft() {
	s.outcomeLogged = true
	s.relay.stats.count("caller_left")
	s.log.Info("caller_left", s.outcomeFields()...)
}

func (s *session) logSlotWait(cmd dispatch.SlotWaitCmd) {
	s.relay.stats.count("awaited_places")
	s.log.Info("awaits_place", zap.String("id", s.head.ID), zap.String("service", cmd.Service), zap.Int("waiting", cmd.Waiting),
		zap.Int64("for_ms", int64(cmd.Until.Sub(s.relay.clock.Now()))), zap.Int64("after_ms", int64(s.age())))
}

func (s *session) logRefusal(cmd dispatch.RespondCmd) {
	s.log.Info("refused", zap.String("id", s.head.ID), zap.Stringer("work", cmd.Work), zap.String("host", s.request.Host), zap.String("path", s.request.URL.Path),
		zap.Int("status", cmd.Status), zap.String("reason", string(cmd.Reason)),
		zap.Int64("retry_after_ms", int64(cmd.RetryAfter)), zap.Int("attempts", s.attempts),
		zap.Stringer("config", cmd.Config), zap.Int64("config_age_ms", int64(cmd.ConfigAge)),
		zap.Int64("after_ms", int64(s.age())), missingResourceField(cmd.Missing), limitRefusalField(cmd.RateLimit))
}

// rateLimitField is what the upstream of an attempt takes from all nodes together.
func rateLimitField(perSecond float64) zap.Field {
	if perSecond == 0 {
		return zap.Skip()
	}
	return zap.Float64("limit", perSecond)
}

// limitRefusalField says whose limit has had a request refused.
func limitRefusalField(limited *dispatch.LimitRefusal) zap.Field {
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

// missingResourceField says what ran short, and by whose word.
func missingResourceField(lack *dispatch.MissingResource) zap.Field {
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

func (s *session) logFailure(cause dispatch.Cause, at string, word UpstreamStatus, err error) {
	s.relay.stats.count("attempt_" + cause.String())
	s.log.Info("attempt_failed", zap.String("id", s.head.ID), zap.Stringer("work", s.attempt.cmd.Work), zap.Int("attempt", s.attempt.cmd.Attempt),
		zap.Stringer("upstream", s.attempt.cmd.Upstream), zap.Stringer("cause", cause), zap.String("at", at),
		zap.Int("events", s.events), zap.Int64("after_ms", int64(s.relay.clock.Now().Sub(s.sentAt))), upstreamStatusField(word), logging.Err(err))
}

// upstreamStatusField is what an upstream has said of itself.
func upstreamStatusField(word UpstreamStatus) zap.Field {
	if word.IsZero() {
		return zap.Skip()
	}
	return zap.Inline(zapcore.ObjectMarshalerFunc(func(e zapcore.ObjectEncoder) error {
		e.AddInt64("rest_ms", int64(word.BackOff))
		e.AddBool("leaving", word.Leaving)
		if word.HasLimit {
			e.AddFloat64("limit", word.Limit)
		}
		if word.Malformed != "" {
			e.AddString("unread", word.Malformed)
		}
		return nil
	}))
}

// logCallerLost notes that a caller could not be given its answer.
func (s *session) logCallerLost(err error) {
	s.outcomeLogged = true
	s.relay.stats.count("caller_lost")
	s.log.Info("caller_lost", zap.String("id", s.head.ID), zap.Int("events", s.events), logging.Err(err))
}
