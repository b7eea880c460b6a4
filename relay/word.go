package relay

import (
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Word is what an upstream says of itself beside its answer, whatever the answer is.
type Word struct {
	// Rest is for how long it wants no request from this node; zero where it asks for none.
	Rest clock.Millis
	// Leaving tells that it is about to end.
	Leaving bool
	// Limited tells that it takes a bounded number of requests from all nodes together, and
	// Limit is that number, in requests a second.
	Limited bool
	Limit   float64
	// Unread is what it has said of that and what cannot be read; empty for nothing.
	Unread string
}

// IsZero tells whether it has said nothing.
func (w Word) IsZero() bool { return w == Word{} }

// WithLeaving sets who is told of an upstream that says that it is leaving, each time that
// it does.
func WithLeaving(tell func(fleet.Incarnation)) Option {
	return func(r *Relay) { r.leaving = tell }
}

// WithReplaced sets who is told of an upstream at whose address another one answers.
func WithReplaced(tell func(upstream fleet.Incarnation, address string)) Option {
	return func(r *Relay) { r.replaced = tell }
}

// Said takes in what an upstream has said of itself in an answer: to an attempt, a question
// or an order. The decider is told first: what is held back at the write is decided anew,
// and must not be sent there again.
//
// An answer to a question bears no name, so it may be that of the next process at the
// address. It is believed all the same: each word means less work for the one that was
// asked, and that one has ended where it was not the one that answered.
func (r *Relay) Said(upstream fleet.Incarnation, word Word) {
	if word.Unread != "" {
		r.stats.count("words_unread")
		if r.upstreams.get(upstream).unreadIsNews(word.Unread) {
			r.log.Warn("word_unread", zap.Stringer("upstream", upstream), zap.String("text", word.Unread))
		}
	}
	if word.Limited {
		r.stats.count("limits_named")
		r.decider.tell(r.life, dispatch.AdvertisedLimitMsg{Upstream: upstream, Rate: word.Limit})
	}
	if word.Rest > 0 {
		r.stats.count("rests_asked")
		r.decider.tell(r.life, dispatch.BackOffMsg{Upstream: upstream, For: word.Rest})
	}
	if word.Leaving {
		r.leaving(upstream)
	}
	r.upstreams.bar(upstream, word)
}

// unlimited takes in an answer without a limit, to a request that was sent at a time, of an
// upstream that has named one.
func (r *Relay) unlimited(upstream fleet.Incarnation, sent clock.Millis) {
	if r.upstreams.get(upstream).limitEnds(sent) {
		r.decider.tell(r.life, dispatch.NoAdvertisedLimitMsg{Upstream: upstream, SentAt: sent})
	}
}
