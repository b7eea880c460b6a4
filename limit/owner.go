package limit

import (
	"math"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

const (
	// grantedShare is the part of a limit that is handed out. A permit may be used up to permitLifetime
	// after it was given, so a window may hold those of a span that is longer by that: with
	// this part they are still within the limit.
	grantedShare = 0.94
	// minBurst is how many permits may be had at once after a pause, or as many as fall due in
	// burstSeconds of a higher limit: questions are repeated after up to 100 ms.
	minBurst     = 2.0
	burstSeconds = 0.04
	// windowFactor and spare bound what reaches an upstream in a window, with what was sent to it
	// before its limit was known and what others have handed out: most times what the limit
	// allows in it, and spare.
	windowFactor = 1.375
	windowExtra  = 3
	// idleLifetime is for how long an owner keeps what it knows of an upstream that nobody asks
	// for.
	idleLifetime clock.Millis = 10_000
)

// ownedUpstream is what an owner knows of one limited upstream.
type ownedUpstream struct {
	advertised Named
	// available is how many permits may be had at refilledAt.
	available  float64
	refilledAt clock.Millis
	// sent are the permits and what was sent without, and denied what was wanted in vain.
	sent   History
	denied History
	// lastGrants are the last ones, by the nodes that have asked.
	lastGrants  map[string]Grant
	requestedAt clock.Millis
}

// owner hands out permits.
type owner struct {
	owned map[fleet.Incarnation]*ownedUpstream
}

func newOwner() *owner { return &owner{owned: make(map[fleet.Incarnation]*ownedUpstream)} }

// handle answers a question. Part is the part of the limit that this node may hand out.
func (o *owner) handle(now clock.Millis, from string, ask Ask, part float64) Grant {
	u := o.lookup(now, ask.Upstream)
	u.requestedAt = now
	if ask.Named.ReceivedAt > u.advertised.ReceivedAt {
		u.advertised = ask.Named
	}
	last, known := u.lastGrants[from]
	if known && last.Life == ask.Life && ask.Number <= last.Number {
		return u.repeat(last, ask)
	}
	u.sent.AddCounts(now, ask.Sent)
	u.refill(now, part)
	grant := Grant{Upstream: ask.Upstream, Life: ask.Life, Number: ask.Number, Permits: u.take(now, ask.Want), Named: u.advertised}
	u.denied.Add(now, ask.Want-grant.Permits)
	grant.NextIn, grant.Queue = u.nextIn(now, part), u.denied.Sum(now)
	u.lastGrants[from] = grant
	return grant
}

// repeat answers a question that was answered before: alike where it is the last one, and
// with nothing where it is older and has come late.
func (u *ownedUpstream) repeat(last Grant, ask Ask) Grant {
	if ask.Number < last.Number {
		last.Number, last.Permits = ask.Number, 0
	}
	last.Named = u.advertised
	return last
}

func (o *owner) lookup(now clock.Millis, id fleet.Incarnation) *ownedUpstream {
	u := o.owned[id]
	if u == nil {
		// Nothing at once: another owner may have handed out until now.
		u = &ownedUpstream{refilledAt: now, advertised: Named{ReceivedAt: clock.Never}, lastGrants: make(map[string]Grant)}
		o.owned[id] = u
	}
	return u
}

// refill adds the permits that have fallen due.
func (u *ownedUpstream) refill(now clock.Millis, part float64) {
	due := float64(now.Sub(u.refilledAt)) / msPerSecond * u.advertised.Rate * grantedShare * part
	u.available = min(u.available+due, max(minBurst, u.advertised.Rate*burstSeconds))
	u.refilledAt = now
}

// take hands out as many permits as there are, up to a number.
func (u *ownedUpstream) take(now clock.Millis, want int) int {
	if u.advertised.Rate == 0 {
		return 0
	}
	room := int(u.windowLimit()+windowExtra) - u.sent.Sum(now)
	n := max(0, min(want, int(u.available), room))
	u.available -= float64(n)
	u.sent.Add(now, n)
	return n
}

// windowLimit is how many requests may reach the upstream in a window, but for the spare ones.
func (u *ownedUpstream) windowLimit() float64 {
	return windowFactor * u.advertised.Rate * window.Duration().Seconds()
}

// nextIn is how long it takes until another permit may be had.
func (u *ownedUpstream) nextIn(now clock.Millis, part float64) clock.Millis {
	if u.available >= 1 || u.advertised.Rate == 0 {
		// None is handed out all the same where too much was sent before.
		return bucketWidth * clock.Millis(min(1, max(0, u.sent.Sum(now)-int(u.windowLimit()))))
	}
	wait := (1 - u.available) * msPerSecond / (u.advertised.Rate * grantedShare * part)
	return clock.Millis(math.Ceil(min(wait, float64(maxNextIn))))
}

// expire forgets the upstreams that nobody has asked for lately.
func (o *owner) expire(now clock.Millis) {
	for id, u := range o.owned {
		if now > u.requestedAt.Add(idleLifetime) {
			delete(o.owned, id)
		}
	}
}

const (
	msPerSecond = 1000
	// maxNextIn bounds for how long nobody asks again.
	maxNextIn clock.Millis = 30_000
)
