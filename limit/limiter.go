package limit

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

const (
	// permitLifetime is how long a permit is valid, counted from the request that it answers.
	permitLifetime clock.Millis = 200
	// resendAfter is the time after which an unanswered request is resent. maxAttempts bounds
	// how often a request is sent to one node.
	resendAfter clock.Millis = 25
	maxAttempts int          = 3
	// maxPermitsPerRequest bounds the permits of one request.
	maxPermitsPerRequest int = 64
	// failurePause is how long no permits are requested after all candidates left a request
	// unanswered.
	failurePause clock.Millis = 500
	// countedBefore bounds the requests that count against a new limit to those sent at most
	// this long before the limit was received. The limit takes effect some 3 s after it was
	// advertised, when a window reaches back to a second before that time, and the first
	// response that advertises it may take another second to arrive.
	countedBefore clock.Millis = 2000
	// removalSharedFor is how long the removal of a limit is announced to other nodes.
	removalSharedFor clock.Millis = 5000
	// minRate replaces an advertised limit of zero. It allows one request in each window, so
	// that a response can show that the limit has ended.
	minRate = 0.25
	// unlimitedRate is the rate from which an advertised limit counts as no limit.
	unlimitedRate = 1e5
)

// Limiter enforces the advertised limits of upstreams at one node, and grants permits for the
// upstreams that it owns. It is not safe for concurrent use.
type Limiter struct {
	self    string
	bootID  uint64
	members *members
	// unknownMembers is set until SetMembers is called, if the node may not be the only one.
	unknownMembers bool
	owner          *owner
	upstreams      map[fleet.Incarnation]*upstreamState
	// limited is the number of upstreams with a limit. It is mostly zero, and then all lookups
	// are skipped.
	limited int
}

// Option configures a Limiter.
type Option func(*Limiter)

// WithSelf sets the node's name.
func WithSelf(name string) Option { return func(l *Limiter) { l.self = name } }

// WithBootID sets the number that distinguishes the node's requests from those of its earlier
// processes.
func WithBootID(id uint64) Option { return func(l *Limiter) { l.bootID = id } }

// WithUnknownMembers makes the limiter request and grant no permits of the node's own until SetMembers is
// called. Without it a limiter takes its node for the only one until then.
func WithUnknownMembers() Option { return func(l *Limiter) { l.unknownMembers = true } }

// Self returns the name of the node, and BootID the number of its process.
func (l *Limiter) Self() string { return l.self }

// BootID returns the number that distinguishes the node's requests from those of its earlier
// processes.
func (l *Limiter) BootID() uint64 { return l.bootID }

// New returns a limiter without limits and without other nodes.
func New(opts ...Option) *Limiter {
	l := &Limiter{owner: newOwner(), upstreams: make(map[fleet.Incarnation]*upstreamState)}
	for _, opt := range opts {
		opt(l)
	}
	l.members = newMembers(l.self)
	return l
}

// SetMembers sets the nodes that may grant permits: all nodes, or a subset that is the same at
// all nodes. It may contain this node.
func (l *Limiter) SetMembers(now clock.Millis, list []Member) {
	l.members.set(now, list)
	if l.unknownMembers {
		l.becomeKnown(now)
	}
	for _, s := range l.upstreams {
		// Compute the candidates for every list. Otherwise a node that loses an upstream and
		// gets it back would seem to have owned it in between.
		l.candidates(s)
	}
}

// becomeKnown ends the time in which the nodes were unknown. Until now others granted the permits, so a
// node that owns an upstream takes it over from them.
func (l *Limiter) becomeKnown(now clock.Millis) {
	l.unknownMembers = false
	l.members.changedAt = now
	for _, s := range l.upstreams {
		s.candidates, s.nextPermitAt = nil, min(s.nextPermitAt, now)
	}
}

// RecordSeen records a message from a node.
func (l *Limiter) RecordSeen(now clock.Millis, name string) { l.members.recordSeen(now, name) }

// RecordDataCentreSeen records a message that reports on a whole data centre.
func (l *Limiter) RecordDataCentreSeen(now clock.Millis, dataCentre string) {
	l.members.recordDataCentreSeen(now, dataCentre)
}

// SetAdvertised sets the limit that an upstream has advertised to this node, and reports
// whether the rate changed.
func (l *Limiter) SetAdvertised(now clock.Millis, upstream fleet.Incarnation, rate float64) bool {
	s := l.upstreamState(upstream)
	if rate >= unlimitedRate {
		return l.apply(now, s, Advertised{ReceivedAt: now})
	}
	return l.apply(now, s, Advertised{Rate: max(rate, minRate), ReceivedAt: now})
}

// SetUnlimited handles a response that advertises no limit, and reports whether that removes
// one. sentAt is when its request was sent: responses to requests from before the limit was
// received are ignored.
func (l *Limiter) SetUnlimited(now clock.Millis, upstream fleet.Incarnation, sentAt clock.Millis) bool {
	s := l.upstreams[upstream]
	if s == nil || s.advertised.Rate == 0 || sentAt <= s.advertised.ReceivedAt {
		return false
	}
	return l.apply(now, s, Advertised{ReceivedAt: now})
}

// Merge applies another node's view of an upstream's limit, and reports whether the rate
// changed. A view that is older than the local one is ignored.
func (l *Limiter) Merge(now clock.Millis, upstream fleet.Incarnation, newer Advertised) bool {
	s := l.upstreamState(upstream)
	return newer.ReceivedAt > s.advertised.ReceivedAt && l.apply(now, s, newer)
}

// Snapshot returns the limits to announce to other nodes: the current ones and those that were
// removed recently.
func (l *Limiter) Snapshot(now clock.Millis) map[fleet.Incarnation]Advertised {
	var snapshot map[fleet.Incarnation]Advertised
	for id, s := range l.upstreams {
		if s.advertised.Rate == 0 && now > s.advertised.ReceivedAt.Add(removalSharedFor) {
			continue
		}
		if snapshot == nil {
			snapshot = make(map[fleet.Incarnation]Advertised)
		}
		snapshot[id] = s.advertised
	}
	return snapshot
}

// apply replaces a limit by a newer one, and reports whether the rate changed.
func (l *Limiter) apply(now clock.Millis, s *upstreamState, newer Advertised) bool {
	if s.advertised.Rate > 0 {
		l.limited--
	}
	if newer.Rate > 0 {
		l.limited++
	}
	return s.apply(now, newer)
}

// Limit returns an upstream's limit, and whether it has one.
func (l *Limiter) Limit(upstream fleet.Incarnation) (Advertised, bool) {
	if l.limited == 0 {
		return Advertised{}, false
	}
	s := l.upstreams[upstream]
	if s == nil || s.advertised.Rate == 0 {
		return Advertised{}, false
	}
	return s.advertised, true
}

// State returns whether a request may be sent to an upstream.
func (l *Limiter) State(now clock.Millis, upstream fleet.Incarnation) State {
	if l.limited == 0 {
		return Unlimited
	}
	s := l.upstreams[upstream]
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

// NextPermit returns the time until the next permit is available, and how many permits all
// nodes were denied in the window.
func (l *Limiter) NextPermit(now clock.Millis, upstream fleet.Incarnation) (next clock.Millis, denied int) {
	s := l.upstreams[upstream]
	if s == nil {
		return 0, 0
	}
	return max(0, s.nextPermitAt.Sub(now)), s.denied
}

// RecordSent records a request that is sent to an upstream. It uses up a permit if the upstream
// has a limit.
func (l *Limiter) RecordSent(now clock.Millis, upstream fleet.Incarnation) {
	s := l.upstreamState(upstream)
	s.sentLocally.Add(now, 1)
	if s.permits > 0 && s.advertised.Rate > 0 {
		s.permits--
		s.reported.Add(now, 1)
	}
}

// HandleRequest answers another node's permit request. It also returns the probes to send to
// candidates that rank before this node.
func (l *Limiter) HandleRequest(now clock.Millis, from string, req PermitRequest) (Grant, []PermitRequestCmd) {
	l.members.recordSeen(now, from)
	fraction, cmds := l.fraction(now, req.Upstream)
	return l.owner.handle(now, from, req, fraction), cmds
}

// Remove drops the state of an upstream that has crashed or left.
func (l *Limiter) Remove(upstream fleet.Incarnation) {
	if _, limited := l.Limit(upstream); limited {
		l.limited--
	}
	delete(l.upstreams, upstream)
}

func (l *Limiter) upstreamState(upstream fleet.Incarnation) *upstreamState {
	s := l.upstreams[upstream]
	if s == nil {
		s = &upstreamState{upstream: upstream, advertised: Advertised{ReceivedAt: clock.Never}}
		l.upstreams[upstream] = s
		l.candidates(s)
	}
	return s
}
