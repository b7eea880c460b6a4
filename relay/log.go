package relay

import (
	"math"
	"net"
	"strconv"
	"strings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/hoistjunction/hoistjunction/admission"
	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fairshare"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/work"
)

// chainPartTextBytes is the approximate length in bytes of one part of a chain in the log.
const chainPartTextBytes = 24

// chainText formats a chain for the log.
func chainText(parts []chain.Stage) string {
	text := make([]byte, 0, len(parts)*chainPartTextBytes)
	for i, p := range parts {
		if i > 0 {
			text = append(text, ' ')
		}
		text = append(text, p.ID.String()...)
		text = append(text, ':')
		text = appendRange(text, p.Layers.From, p.Layers.To)
	}
	return string(text)
}

func appendRange(text []byte, from, to int) []byte {
	text = strconv.AppendInt(text, int64(from), 10)
	text = append(text, '-')
	return strconv.AppendInt(text, int64(to), 10)
}

// normalizeHost returns a host without port and in lower case, as routes contain it.
func normalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

func (s *session) logSend(cmd dispatch.SendCmd, remaining clock.Millis) {
	s.relay.stats.count("sent")
	s.log.Info("sent", zap.String("id", s.head.ID), zap.Stringer("work", cmd.Work), s.partsField(), zap.Int("attempt", cmd.Attempt), zap.String("route", cmd.Route.Name),
		zap.String("account", cmd.Account), zap.Stringer("upstream", cmd.Upstream), zap.String("address", cmd.Address),
		zap.String("chain", chainText(cmd.Chain)), zap.Int("in_flight", cmd.InFlight), zap.Int("priority", cmd.Priority),
		zap.Stringer("config", cmd.Config), zap.Int64("config_age_ms", int64(cmd.ConfigAge)),
		zap.Int64("list_age_ms", int64(s.relay.listAge())),
		zap.Int64("remaining_ms", int64(remaining)), zap.String("resume_after", s.lastEventID), zap.Bool("suspected", !cmd.SuspectedBy.IsZero()), suspectedByField(cmd.SuspectedBy), rateLimitField(cmd.Limit), predictionField(cmd), recoveryField(cmd.Recovery), s.relay.stopField())
}

// stopField returns the log field for the time that a stopping node has left.
func (r *Relay) stopField() zap.Field {
	if !r.Stopping() {
		return zap.Skip()
	}
	return zap.Int64("node_ends_in_ms", int64(clock.Millis(r.endsAt.Load()).Sub(r.clock.Now())))
}

// partsField returns the log field for the parts of the prompt that other requests may share.
func (s *session) partsField() zap.Field {
	if len(s.head.PromptParts) == 0 {
		return zap.Skip()
	}
	return zap.Stringers("parts", s.head.PromptParts)
}

// suspectedByField returns the log field for the part of a prompt by which a request is suspected or
// in quarantine.
func suspectedByField(by work.ID) zap.Field {
	if !by.IsPart() {
		return zap.Skip()
	}
	return zap.Stringer("by", by)
}

func (s *session) logAnswer(status int) {
	s.relay.stats.count("answered")
	s.relay.stats.wholeAnswer(s.age())
	missed := s.missedAim()
	if missed != "" {
		s.relay.stats.count("late_" + string(missed))
	}
	s.log.Info("answered", s.outcomeFields(zap.Int("status", status), zap.String("late", string(missed)), s.partsField())...)
}

// outcomeFields returns the log fields common to all outcomes of a request.
func (s *session) outcomeFields(more ...zap.Field) []zap.Field {
	name := ""
	if s.route != nil {
		name = s.route.Name
	}
	return append([]zap.Field{zap.String("id", s.head.ID), zap.String("route", name)}, append(more,
		zap.Int("events", s.events), zap.Int("attempts", s.attempts), zap.Int("moves", s.migrations),
		zap.Int64("first_ms", int64(s.firstEvent)), zap.Int64("pause_ms", int64(s.longestPause)), zap.Int64("after_ms", int64(s.age())), s.firstEventField())...)
}

// aim names the latency aim of a route that an answer has missed; empty if none.
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
	s.log.Info("refused", zap.String("id", s.head.ID), zap.Stringer("work", cmd.Work), s.partsField(), zap.String("host", s.request.Host), zap.String("path", s.request.URL.Path),
		zap.Int("status", cmd.Status), zap.String("reason", string(cmd.Reason)),
		zap.Int64("retry_after_ms", int64(cmd.RetryAfter)), zap.Int("attempts", s.attempts),
		zap.Stringer("config", cmd.Config), zap.Int64("config_age_ms", int64(cmd.ConfigAge)),
		zap.Int64("after_ms", int64(s.age())), s.ownDelayField(), suspectedByField(cmd.QuarantinedBy), missingResourceField(cmd.Missing), limitRefusalField(cmd.RateLimit), heldBackField(cmd.HeldBack), overShareField(cmd.OverShare))
}

// rateLimitField returns the log field for the rate limit of an upstream, in requests per
// second over all nodes.
func rateLimitField(perSecond float64) zap.Field {
	if perSecond == 0 {
		return zap.Skip()
	}
	return zap.Float64("limit", perSecond)
}

// recoveryField returns the log fields for how a stream was scheduled that left an engine.
func recoveryField(recovery *dispatch.Recovery) zap.Field {
	if recovery == nil {
		return zap.Skip()
	}
	return zap.Inline(zapcore.ObjectMarshalerFunc(func(e zapcore.ObjectEncoder) error {
		e.AddInt64("late_in_ms", int64(recovery.LateIn))
		e.AddInt64("held_ms", int64(recovery.Held))
		e.AddInt64("read_ms", int64(recovery.ReadTime))
		e.AddInt("nodes", recovery.Nodes)
		return nil
	}))
}

// limitRefusalField returns the log fields for the rate limit that caused a refusal.
func limitRefusalField(refusal *dispatch.LimitRefusal) zap.Field {
	if refusal == nil {
		return zap.Skip()
	}
	return zap.Inline(zapcore.ObjectMarshalerFunc(func(e zapcore.ObjectEncoder) error {
		e.AddString("at", refusal.Upstream.String())
		e.AddFloat64("limit", refusal.Rate)
		e.AddInt("limited", refusal.LimitedUpstreams)
		e.AddInt("queue", refusal.RecentDenials)
		return nil
	}))
}

// missingResourceField returns the log fields for the memory that an upstream lacked and the
// source of that figure.
func missingResourceField(missing *dispatch.MissingResource) zap.Field {
	if missing == nil {
		return zap.Skip()
	}
	return zap.Inline(zapcore.ObjectMarshalerFunc(func(e zapcore.ObjectEncoder) error {
		e.AddString("lacks", string(appendRange(nil, missing.Layers.From, missing.Layers.To)))
		e.AddInt("holders", missing.Holders)
		e.AddString("at", missing.ID.String())
		e.AddInt64("left", int64(missing.FreeMemory))
		e.AddInt64("asked", int64(missing.RequiredMemory))
		e.AddString("word_of", string(missing.Source))
		e.AddInt64("word_age_ms", int64(missing.SourceAge))
		return nil
	}))
}

// heldBackField returns the log fields for the decision of admission control that caused a refusal.
func heldBackField(d *admission.Decision) zap.Field {
	if d == nil {
		return zap.Skip()
	}
	return zap.Inline(zapcore.ObjectMarshalerFunc(func(e zapcore.ObjectEncoder) error {
		e.AddInt("priority", d.Priority)
		e.AddFloat64("use", roundedShare(d.Use))
		e.AddFloat64("pressure", roundedShare(d.Pressure))
		e.AddFloat64("level", roundedShare(d.Level))
		e.AddFloat64("threshold", roundedShare(d.Threshold))
		e.AddInt64("pressure_age_ms", int64(d.Age))
		return nil
	}))
}

// overShareField returns the log fields for the decision of fair shares that held a request back.
func overShareField(d *fairshare.Decision) zap.Field {
	if d == nil {
		return zap.Skip()
	}
	return zap.Inline(zapcore.ObjectMarshalerFunc(func(e zapcore.ObjectEncoder) error {
		e.AddString("account", d.Account)
		e.AddInt64("account_use", int64(d.Use))
		e.AddInt64("account_share", int64(d.Share))
		e.AddInt64("share_age_ms", int64(d.Age))
		return nil
	}))
}

// roundedShare rounds a value from 0 to 1 for the log.
func roundedShare(v float64) float64 {
	const steps = 1000
	return math.Round(v*steps) / steps
}

func (s *session) logFailure(cause dispatch.Cause, faultyAddress string, status UpstreamStatus, err error) {
	s.relay.stats.count("attempt_" + cause.String())
	s.log.Info("attempt_failed", zap.String("id", s.head.ID), zap.Stringer("work", s.attempt.cmd.Work), s.partsField(), zap.Int("attempt", s.attempt.cmd.Attempt),
		zap.Stringer("upstream", s.attempt.cmd.Upstream), zap.Stringer("cause", cause), zap.String("at", faultyAddress),
		zap.Int("events", s.events), zap.Int64("after_ms", int64(s.relay.clock.Now().Sub(s.sentAt))), s.ownDelayField(), upstreamStatusField(status), logging.Err(err))
}

// minLoggedDelay is the shortest delay in ms of this node's own goroutines that is logged.
const minLoggedDelay clock.Millis = 5

// ownDelayField returns the log field for how late this node's own goroutines run.
func (s *session) ownDelayField() zap.Field { return s.relay.ownDelayField() }

func (r *Relay) ownDelayField() zap.Field {
	delay := r.ownDelay()
	if delay < minLoggedDelay {
		return zap.Skip()
	}
	return zap.Int64("own_delay_ms", int64(delay))
}

// upstreamStatusField returns the log fields for the status reported by an upstream.
func upstreamStatusField(status UpstreamStatus) zap.Field {
	if status.IsZero() {
		return zap.Skip()
	}
	return zap.Inline(zapcore.ObjectMarshalerFunc(func(e zapcore.ObjectEncoder) error {
		e.AddInt64("rest_ms", int64(status.BackOff))
		e.AddBool("leaving", status.Leaving)
		if status.HasLimit {
			e.AddFloat64("limit", status.Limit)
		}
		if status.Malformed != "" {
			e.AddString("unread", status.Malformed)
		}
		return nil
	}))
}

// logCallerLost logs that the answer could not be written to the caller.
func (s *session) logCallerLost(err error) {
	s.outcomeLogged = true
	s.relay.stats.count("caller_lost")
	s.log.Info("caller_lost", zap.String("id", s.head.ID), zap.Int("events", s.events), logging.Err(err))
}
