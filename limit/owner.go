package limit

import (
	"math"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

const (
	// grantedShare is the share of a limit that is granted. A permit may be used until
	// permitLifetime after it was granted, so a window can contain the permits of a span that
	// is longer by that time. With this share they still fit the limit.
	grantedShare = 0.94
	// minBurst and burstSeconds bound the permits that accumulate while idle: minBurst, or the
	// permits of burstSeconds if these are more. The burst covers requests that are resent
	// after up to 100 ms.
	minBurst     = 2.0
	burstSeconds = 0.04
	// windowFactor and windowExtra bound the requests that reach an upstream in a window to
	// windowFactor times the limit plus windowExtra. The bound includes requests that were sent
	// before the limit was known and permits that other nodes granted.
	windowFactor = 1.375
	windowExtra  = 3
	// idleLifetime is how long an owner keeps the state of an upstream for which no permits are
	// requested.
	idleLifetime clock.Millis = 10_000
)

// ownedUpstream is the owner's state of one limited upstream.
type ownedUpstream struct {
	advertised Advertised
	// available is the number of permits that could be granted at refilledAt.
	available  float64
	refilledAt clock.Millis
	// sent counts granted permits and requests sent without a permit. denied counts permits
	// that were requested and not granted.
	sent   History
	denied History
	// lastGrants holds the last grant to each requesting node.
	lastGrants  map[string]Grant
	requestedAt clock.Millis
}

// owner grants permits for the upstreams that this node owns.
type owner struct {
	owned map[fleet.Incarnation]*ownedUpstream
}

func newOwner() *owner { return &owner{owned: make(map[fleet.Incarnation]*ownedUpstream)} }

// handle answers a permit request. fraction is the fraction of the limit that this node may
// grant.
func (o *owner) handle(now clock.Millis, from string, req PermitRequest, fraction float64) Grant {
	u := o.lookup(now, req.Upstream)
	u.requestedAt = now
	if req.Advertised.ReceivedAt > u.advertised.ReceivedAt {
		u.advertised = req.Advertised
	}
	last, found := u.lastGrants[from]
	if found && last.BootID == req.BootID && req.Seq <= last.Seq {
		return u.repeat(last, req)
	}
	u.sent.AddCounts(now, req.Unpermitted)
	u.refill(now, fraction)
	grant := Grant{Upstream: req.Upstream, BootID: req.BootID, Seq: req.Seq, Permits: u.take(now, req.Permits), Advertised: u.advertised}
	u.denied.Add(now, req.Permits-grant.Permits)
	grant.NextIn, grant.Denied = u.nextIn(now, fraction), u.denied.Sum(now)
	u.lastGrants[from] = grant
	return grant
}

// repeat answers a duplicate of an earlier request: the last one gets the same grant again, and
// an older one that was delayed gets no permits.
func (u *ownedUpstream) repeat(last Grant, req PermitRequest) Grant {
	if req.Seq < last.Seq {
		last.Seq, last.Permits = req.Seq, 0
	}
	last.Advertised = u.advertised
	return last
}

func (o *owner) lookup(now clock.Millis, id fleet.Incarnation) *ownedUpstream {
	u := o.owned[id]
	if u == nil {
		// Start without permits, because another owner may have granted some until now.
		u = &ownedUpstream{refilledAt: now, advertised: Advertised{ReceivedAt: clock.Never}, lastGrants: make(map[string]Grant)}
		o.owned[id] = u
	}
	return u
}

// refill adds the permits that have become due since the last refill.
func (u *ownedUpstream) refill(now clock.Millis, fraction float64) {
	due := float64(now.Sub(u.refilledAt)) / msPerSecond * u.advertised.Rate * grantedShare * fraction
	u.available = min(u.available+due, max(minBurst, u.advertised.Rate*burstSeconds))
	u.refilledAt = now
}

// take grants up to the requested number of permits, as far as they are available.
func (u *ownedUpstream) take(now clock.Millis, requested int) int {
	if u.advertised.Rate == 0 {
		return 0
	}
	free := int(u.windowLimit()+windowExtra) - u.sent.Sum(now)
	n := max(0, min(requested, int(u.available), free))
	u.available -= float64(n)
	u.sent.Add(now, n)
	return n
}

// windowLimit returns how many requests may reach the upstream in a window, without
// windowExtra.
func (u *ownedUpstream) windowLimit() float64 {
	return windowFactor * u.advertised.Rate * window.Duration().Seconds()
}

// nextIn returns the time until the next permit is available.
func (u *ownedUpstream) nextIn(now clock.Millis, fraction float64) clock.Millis {
	if u.available >= 1 || u.advertised.Rate == 0 {
		// A permit is available, but none is granted while the window already contains too many
		// requests.
		return bucketWidth * clock.Millis(min(1, max(0, u.sent.Sum(now)-int(u.windowLimit()))))
	}
	wait := (1 - u.available) * msPerSecond / (u.advertised.Rate * grantedShare * fraction)
	return clock.Millis(math.Ceil(min(wait, float64(maxNextIn))))
}

// expire removes the upstreams for which no permits were requested within idleLifetime.
func (o *owner) expire(now clock.Millis) {
	for id, u := range o.owned {
		if now > u.requestedAt.Add(idleLifetime) {
			delete(o.owned, id)
		}
	}
}

const (
	msPerSecond = 1000
	// maxNextIn bounds the time until the next permit that a grant reports, and so the time for
	// which a node requests no permits.
	maxNextIn clock.Millis = 30_000
)
