package relay

import (
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// UpstreamStatus is what an upstream says of itself beside its answer, whatever the answer is.
type UpstreamStatus struct {
	// BackOff is for how long it wants no request from this node; zero where it asks for none.
	BackOff clock.Millis
	// Leaving tells that it is about to end.
	Leaving bool
	// HasLimit tells that it takes a bounded number of requests from all nodes together, and
	// Limit is that number, in requests a second.
	HasLimit bool
	Limit    float64
	// Malformed is what it has said of that and what cannot be read; empty for nothing.
	Malformed string
}

// IsZero tells whether it has said nothing.
func (w UpstreamStatus) IsZero() bool { return w == UpstreamStatus{} }

// WithLeavingHandler sets who is told of an upstream that says that it is leaving, each time that
// it does.
func WithLeavingHandler(tell func(fleet.Incarnation)) Option {
	return func(r *Relay) { r.onLeaving = tell }
}

// WithReplacedHandler sets who is told of an upstream at whose address another one answers.
func WithReplacedHandler(tell func(upstream fleet.Incarnation, address string)) Option {
	return func(r *Relay) { r.onReplaced = tell }
}

// HandleUpstreamStatus takes in what an upstream has said of itself in an answer: to an attempt, a question
// or an order. The decider is told first: what is held back at the write is decided anew,
// and must not be sent there again.
//
// An answer to a question bears no name, so it may be that of the next process at the
// address. It is believed all the same: each word means less work for the one that was
// asked, and that one has ended where it was not the one that answered.
func (r *Relay) HandleUpstreamStatus(upstream fleet.Incarnation, word UpstreamStatus) {
	if word.Malformed != "" {
		r.stats.count("words_unread")
		if r.upstreams.get(upstream).isNewMalformed(word.Malformed) {
			r.log.Warn("word_unread", zap.Stringer("upstream", upstream), zap.String("text", word.Malformed))
		}
	}
	if word.HasLimit {
		r.stats.count("limits_named")
		r.decider.notify(r.lifetime, dispatch.AdvertisedLimitMsg{Upstream: upstream, Rate: word.Limit})
	}
	if word.BackOff > 0 {
		r.stats.count("rests_asked")
		r.decider.notify(r.lifetime, dispatch.BackOffMsg{Upstream: upstream, For: word.BackOff})
	}
	if word.Leaving {
		r.onLeaving(upstream)
	}
	r.upstreams.block(upstream, word)
}

// handleNoLimit takes in an answer without a limit, to a request that was sent at a time, of an
// upstream that has named one.
func (r *Relay) handleNoLimit(upstream fleet.Incarnation, sent clock.Millis) {
	if r.upstreams.get(upstream).endsLimit(sent) {
		r.decider.notify(r.lifetime, dispatch.NoAdvertisedLimitMsg{Upstream: upstream, SentAt: sent})
	}
}
