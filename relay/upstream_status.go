package relay

import (
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// UpstreamStatus is the state that an upstream reports in the headers of any answer.
type UpstreamStatus struct {
	// BackOff is the time for which this node must not send requests to the upstream; zero for
	// none.
	BackOff clock.Millis
	// Leaving reports that the upstream is about to terminate.
	Leaving bool
	// HasLimit reports that the upstream advertises a rate limit for all nodes together, and
	// Limit is its value in requests per second.
	HasLimit bool
	Limit    float64
	// Malformed is the text of the status headers that could not be parsed; empty for none.
	Malformed string
}

// IsZero reports whether the status contains no information.
func (s UpstreamStatus) IsZero() bool { return s == UpstreamStatus{} }

// WithLeavingHandler sets the function that is called each time an upstream reports that it is
// leaving.
func WithLeavingHandler(handle func(fleet.Incarnation)) Option {
	return func(r *Relay) { r.onLeaving = handle }
}

// WithReplacedHandler sets the function that is called for an upstream when another incarnation
// answers at its address.
func WithReplacedHandler(handle func(upstream fleet.Incarnation, address string)) Option {
	return func(r *Relay) { r.onReplaced = handle }
}

// HandleUpstreamStatus handles the status that an upstream reports in an answer to an attempt,
// a query or an order. The decider is notified before requests are blocked: a blocked request
// is decided again and must not be sent to the same upstream.
//
// An answer to a query does not identify its sender, so it may come from the next process at
// the address. It is applied anyway: every reported state reduces the load on the upstream that
// was asked, and that upstream has terminated if another process answered.
func (r *Relay) HandleUpstreamStatus(upstream fleet.Incarnation, status UpstreamStatus) {
	if status.Malformed != "" {
		r.stats.count("words_unread")
		if r.upstreams.get(upstream).isNewMalformed(status.Malformed) {
			r.log.Warn("word_unread", zap.Stringer("upstream", upstream), zap.String("text", status.Malformed))
		}
	}
	if status.HasLimit {
		r.stats.count("limits_named")
		r.decider.notify(r.lifetime, dispatch.AdvertisedLimitMsg{Upstream: upstream, Rate: status.Limit})
	}
	if status.BackOff > 0 {
		r.stats.count("rests_asked")
		r.decider.notify(r.lifetime, dispatch.BackOffMsg{Upstream: upstream, For: status.BackOff})
	}
	if status.Leaving {
		r.onLeaving(upstream)
	}
	r.upstreams.block(upstream, status)
}

// handleNoLimit handles an answer that advertises no limit, from an upstream that may have
// advertised one. sentAt is the time at which the request was sent.
func (r *Relay) handleNoLimit(upstream fleet.Incarnation, sentAt clock.Millis) {
	if r.upstreams.get(upstream).endsLimit(sentAt) {
		r.decider.notify(r.lifetime, dispatch.NoAdvertisedLimitMsg{Upstream: upstream, SentAt: sentAt})
	}
}
