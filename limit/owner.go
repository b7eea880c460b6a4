package limit

import (
	"math"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

const (
	// pace is the part of a limit that is handed out. A permit may be used up to permitLasts
	// after it was given, so a window may hold those of a span that is longer by that: with
	// this part they are still within the limit.
	pace = 0.94
	// depth is how many permits may be had at once after a pause, or as many as fall due in
	// depthFor of a higher limit: questions are repeated after up to 100 ms.
	depth    = 2.0
	depthFor = 0.04
	// most and spare bound what reaches an upstream in a window, with what was sent to it
	// before its limit was known and what others have handed out: most times what the limit
	// allows in it, and spare.
	most  = 1.375
	spare = 3
	// ownsFor is for how long an owner keeps what it knows of an upstream that nobody asks
	// for.
	ownsFor clock.Millis = 10_000
)

// owned is what an owner knows of one limited upstream.
type owned struct {
	named Named
	// level is how many permits may be had at levelAt.
	level   float64
	levelAt clock.Millis
	// sent are the permits and what was sent without, and denied what was wanted in vain.
	sent   History
	denied History
	// answers are the last ones, by the nodes that have asked.
	answers map[string]Grant
	askedAt clock.Millis
}

// owner hands out permits.
type owner struct {
	upstreams map[fleet.Incarnation]*owned
}

func newOwner() *owner { return &owner{upstreams: make(map[fleet.Incarnation]*owned)} }

// ask answers a question. Part is the part of the limit that this node may hand out.
func (o *owner) ask(now clock.Millis, from string, ask Ask, part float64) Grant {
	u := o.of(now, ask.Upstream)
	u.askedAt = now
	if ask.Named.At > u.named.At {
		u.named = ask.Named
	}
	last, known := u.answers[from]
	if known && last.Life == ask.Life && ask.Number <= last.Number {
		return u.again(last, ask)
	}
	u.sent.AddAges(now, ask.Sent)
	u.fill(now, part)
	grant := Grant{Upstream: ask.Upstream, Life: ask.Life, Number: ask.Number, Permits: u.take(now, ask.Want), Named: u.named}
	u.denied.Add(now, ask.Want-grant.Permits)
	grant.Next, grant.Queue = u.next(now, part), u.denied.Sum(now)
	u.answers[from] = grant
	return grant
}

// again answers a question that was answered before: alike where it is the last one, and
// with nothing where it is older and has come late.
func (u *owned) again(last Grant, ask Ask) Grant {
	if ask.Number < last.Number {
		last.Number, last.Permits = ask.Number, 0
	}
	last.Named = u.named
	return last
}

func (o *owner) of(now clock.Millis, id fleet.Incarnation) *owned {
	u := o.upstreams[id]
	if u == nil {
		// Nothing at once: another owner may have handed out until now.
		u = &owned{levelAt: now, named: Named{At: clock.Never}, answers: make(map[string]Grant)}
		o.upstreams[id] = u
	}
	return u
}

// fill adds the permits that have fallen due.
func (u *owned) fill(now clock.Millis, part float64) {
	due := float64(now.Sub(u.levelAt)) / msPerSecond * u.named.Rate * pace * part
	u.level = min(u.level+due, max(depth, u.named.Rate*depthFor))
	u.levelAt = now
}

// take hands out as many permits as there are, up to a number.
func (u *owned) take(now clock.Millis, want int) int {
	if u.named.Rate == 0 {
		return 0
	}
	room := int(u.bound()+spare) - u.sent.Sum(now)
	n := max(0, min(want, int(u.level), room))
	u.level -= float64(n)
	u.sent.Add(now, n)
	return n
}

// bound is how many requests may reach the upstream in a window, but for the spare ones.
func (u *owned) bound() float64 { return most * u.named.Rate * window.Duration().Seconds() }

// next is how long it takes until another permit may be had.
func (u *owned) next(now clock.Millis, part float64) clock.Millis {
	if u.level >= 1 || u.named.Rate == 0 {
		// None is handed out all the same where too much was sent before.
		return step * clock.Millis(min(1, max(0, u.sent.Sum(now)-int(u.bound()))))
	}
	wait := (1 - u.level) * msPerSecond / (u.named.Rate * pace * part)
	return clock.Millis(math.Ceil(min(wait, float64(longestNext))))
}

// expire forgets the upstreams that nobody has asked for lately.
func (o *owner) expire(now clock.Millis) {
	for id, u := range o.upstreams {
		if now > u.askedAt.Add(ownsFor) {
			delete(o.upstreams, id)
		}
	}
}

const (
	msPerSecond = 1000
	// longestNext bounds for how long nobody asks again.
	longestNext clock.Millis = 30_000
)
