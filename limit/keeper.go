package limit

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

const (
	// permitLifetime is for how long a permit counts from the question that brought it.
	permitLifetime clock.Millis = 200
	// resendAfter is after how long a question is repeated, and maxAttempts how often each node is
	// asked.
	resendAfter clock.Millis = 25
	maxAttempts int          = 3
	// maxPermitsPerRequest bounds the permits that are asked for at once.
	maxPermitsPerRequest int = 64
	// failurePause is for how long nobody is asked after none of the owners has answered.
	failurePause clock.Millis = 500
	// countedBefore is how long before its limit is known what was sent to an upstream counts. The
	// limit binds some 3 s after it was named, when a window reaches back to a second before
	// that; the first answer that names it may be on its way for as long.
	countedBefore clock.Millis = 2000
	// removalSharedFor is for how long others are told of a limit's end.
	removalSharedFor clock.Millis = 5000
	// minRate stands in for a limit of nothing: the answer to a request in each window shows
	// its end.
	minRate = 0.25
	// unlimitedRate is from which rate on a limit binds nobody.
	unlimitedRate = 1e5
)

// Limiter keeps the limits of upstreams at one node, and hands out permits for those that it
// owns. It is not safe for concurrent use.
type Limiter struct {
	self      string
	bootID    uint64
	members   *members
	owner     *owner
	upstreams map[fleet.Incarnation]*upstreamState
	// limited is how many of them name a limit: mostly none, and then nothing is looked up.
	limited int
}

// Option sets up a Keeper.
type Option func(*Limiter)

// WithSelf sets the node's name.
func WithSelf(name string) Option { return func(k *Limiter) { k.self = name } }

// WithBootID sets what sets the node's questions apart from those of its earlier lives.
func WithBootID(life uint64) Option { return func(k *Limiter) { k.bootID = life } }

// New returns a keeper that knows no limit and no other node.
func New(opts ...Option) *Limiter {
	k := &Limiter{owner: newOwner(), upstreams: make(map[fleet.Incarnation]*upstreamState)}
	for _, opt := range opts {
		opt(k)
	}
	k.members = newMembers(k.self)
	return k
}

// SetMembers takes the nodes that may hand out permits: all, or some on which all nodes
// agree. This one may be among them.
func (k *Limiter) SetMembers(now clock.Millis, list []Member) {
	k.members.set(now, list)
	for _, s := range k.upstreams {
		// Owners are found for each list: one that is the owner again was not in between.
		k.candidates(s)
	}
}

// RecordSeen notes a sign of life of a node.
func (k *Limiter) RecordSeen(now clock.Millis, name string) { k.members.recordSeen(now, name) }

// RecordDataCentreSeen notes a sign of life of a data centre.
func (k *Limiter) RecordDataCentreSeen(now clock.Millis, dataCentre string) {
	k.members.recordDataCentreSeen(now, dataCentre)
}

// Named takes in the limit that an upstream has named to this node, and returns whether the
// number is another one than before.
func (k *Limiter) Named(now clock.Millis, upstream fleet.Incarnation, rate float64) bool {
	s := k.upstreamState(upstream)
	if rate >= unlimitedRate {
		return k.apply(now, s, Named{ReceivedAt: now})
	}
	return k.apply(now, s, Named{Rate: max(rate, minRate), ReceivedAt: now})
}

// SetUnlimited takes in an answer without a limit to a request that was sent at a time, and
// returns whether that ends one. An answer to a request of before the limit was named says
// nothing of it.
func (k *Limiter) SetUnlimited(now clock.Millis, upstream fleet.Incarnation, sent clock.Millis) bool {
	s := k.upstreams[upstream]
	if s == nil || s.advertised.Rate == 0 || sent <= s.advertised.ReceivedAt {
		return false
	}
	return k.apply(now, s, Named{ReceivedAt: now})
}

// Merge takes in what another node knows of an upstream's limit, and returns whether it brings
// another number. An older word than the own one brings none.
func (k *Limiter) Merge(now clock.Millis, upstream fleet.Incarnation, word Named) bool {
	s := k.upstreamState(upstream)
	return word.ReceivedAt > s.advertised.ReceivedAt && k.apply(now, s, word)
}

// Snapshot returns what other nodes are to be told of limits: of those that hold, and of those
// that have ended lately.
func (k *Limiter) Snapshot(now clock.Millis) map[fleet.Incarnation]Named {
	var known map[fleet.Incarnation]Named
	for id, s := range k.upstreams {
		if s.advertised.Rate == 0 && now > s.advertised.ReceivedAt.Add(removalSharedFor) {
			continue
		}
		if known == nil {
			known = make(map[fleet.Incarnation]Named)
		}
		known[id] = s.advertised
	}
	return known
}

// apply takes in a newer word on a limit, and returns whether it is another number.
func (k *Limiter) apply(now clock.Millis, s *upstreamState, word Named) bool {
	if s.advertised.Rate > 0 {
		k.limited--
	}
	if word.Rate > 0 {
		k.limited++
	}
	return s.apply(now, word)
}

// Limit returns what is known of an upstream's limit.
func (k *Limiter) Limit(upstream fleet.Incarnation) (Named, bool) {
	if k.limited == 0 {
		return Named{}, false
	}
	s := k.upstreams[upstream]
	if s == nil || s.advertised.Rate == 0 {
		return Named{}, false
	}
	return s.advertised, true
}

// State tells whether a request may be sent to an upstream.
func (k *Limiter) State(now clock.Millis, upstream fleet.Incarnation) State {
	if k.limited == 0 {
		return Unlimited
	}
	s := k.upstreams[upstream]
	switch {
	case s == nil || s.advertised.Rate == 0:
		return Unlimited
	case s.permits > 0 && now <= s.permitsExpireAt:
		return HasPermit
	case now < s.nextPermitAt:
		return Exhausted
	case s.requesting:
		return RequestPending
	default:
		return NeedsPermit
	}
}

// NextPermit returns how long it takes until another permit may be had, and how many were wanted
// in vain in the window.
func (k *Limiter) NextPermit(now clock.Millis, upstream fleet.Incarnation) (next clock.Millis, queue int) {
	s := k.upstreams[upstream]
	if s == nil {
		return 0, 0
	}
	return max(0, s.nextPermitAt.Sub(now)), s.denied
}

// RecordSent notes a request that is sent to an upstream. It takes a permit where there is a
// limit.
func (k *Limiter) RecordSent(now clock.Millis, upstream fleet.Incarnation) {
	s := k.upstreamState(upstream)
	s.sentLocally.Add(now, 1)
	if s.permits > 0 && s.advertised.Rate > 0 {
		s.permits--
		s.reported.Add(now, 1)
	}
}

// HandleAsk answers another node's question.
func (k *Limiter) HandleAsk(now clock.Millis, from string, ask Ask) (Grant, []AskCmd) {
	k.members.recordSeen(now, from)
	part, cmds := k.fraction(now, ask.Upstream)
	return k.owner.handle(now, from, ask, part), cmds
}

// Remove drops what is known of an upstream that has ended.
func (k *Limiter) Remove(upstream fleet.Incarnation) {
	if _, limited := k.Limit(upstream); limited {
		k.limited--
	}
	delete(k.upstreams, upstream)
}

func (k *Limiter) upstreamState(upstream fleet.Incarnation) *upstreamState {
	s := k.upstreams[upstream]
	if s == nil {
		s = &upstreamState{upstream: upstream, advertised: Named{ReceivedAt: clock.Never}}
		k.upstreams[upstream] = s
		k.candidates(s)
	}
	return s
}
