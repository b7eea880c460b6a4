package relay

import (
	"net"
	"strconv"
	"strings"

	"go.uber.org/zap"

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
	s.log.Info("sent", zap.String("id", s.head.ID), zap.Int("attempt", cmd.Attempt), zap.String("route", cmd.Route.Name),
		zap.String("account", cmd.Account), zap.String("upstream", cmd.Upstream), zap.String("address", cmd.Address),
		zap.String("chain", chainText(cmd.Chain)), zap.Int("in_flight", cmd.InFlight), zap.Int("priority", cmd.Priority),
		zap.Uint64("config", cmd.CatalogVersion), zap.Int64("config_age_ms", int64(cmd.CatalogAge)),
		zap.Int64("remaining_ms", int64(remaining)), zap.String("resume_after", s.lastEvent))
}

func (s *session) logAnswer(status int) {
	s.relay.stats.count("answered")
	s.relay.stats.whole(s.age())
	s.log.Info("answered", zap.String("id", s.head.ID), zap.Int("status", status), zap.Int("events", s.events),
		zap.Int("attempts", s.attempts), zap.Int64("after_ms", int64(s.age())))
}

func (s *session) logFinish(cmd dispatch.FinishCmd) {
	s.log.Info("refused", zap.String("id", s.head.ID), zap.String("host", s.r.Host), zap.String("path", s.r.URL.Path),
		zap.Int("status", cmd.Status), zap.String("reason", string(cmd.Reason)),
		zap.Int64("retry_after_ms", int64(cmd.RetryAfter)), zap.Int("attempts", s.attempts),
		zap.Uint64("config", cmd.CatalogVersion), zap.Int64("config_age_ms", int64(cmd.CatalogAge)),
		zap.Int64("after_ms", int64(s.age())))
}

func (s *session) logFailure(cause dispatch.Cause, at string, err error) {
	s.relay.stats.count("attempt_" + cause.String())
	s.log.Info("attempt_failed", zap.String("id", s.head.ID), zap.Int("attempt", s.attempt.cmd.Attempt),
		zap.String("upstream", s.attempt.cmd.Upstream), zap.Stringer("cause", cause), zap.String("at", at),
		zap.Int("events", s.events), zap.Int64("after_ms", int64(s.relay.clock.Now().Sub(s.sent))), logging.Err(err))
}

// logLost notes that a caller could not be given its answer.
func (s *session) logLost(err error) {
	s.relay.stats.count("caller_lost")
	s.log.Info("caller_lost", zap.String("id", s.head.ID), zap.Int("events", s.events), logging.Err(err))
}
