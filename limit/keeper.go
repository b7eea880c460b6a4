package limit

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

const (
	// permitLasts is for how long a permit counts from the question that brought it.
	permitLasts clock.Millis = 200
	// askAgain is after how long a question is repeated, and asksEach how often each node is
	// asked.
	askAgain clock.Millis = 25
	asksEach int          = 3
	// asksTogether bounds the permits that are asked for at once.
	asksTogether int = 64
	// unanswered is for how long nobody is asked after none of the owners has answered.
	unanswered clock.Millis = 500
	// settles is how long before its limit is known what was sent to an upstream counts. The
	// limit binds some 3 s after it was named, when a window reaches back to a second before
	// that; the first answer that names it may be on its way for as long.
	settles clock.Millis = 2000
	// endTold is for how long others are told of a limit's end.
	endTold clock.Millis = 5000
	// leastRate stands in for a limit of nothing: the answer to a request in each window shows
	// its end.
	leastRate = 0.25
	// noLimit is from which rate on a limit binds nobody.
	noLimit = 1e5
)

// Keeper keeps the limits of upstreams at one node, and hands out permits for those that it
// owns. It is not safe for concurrent use.
type Keeper struct {
	self    string
	life    uint64
	members *members
	owner   *owner
	shares  map[fleet.Incarnation]*share
	// limited is how many of them name a limit: mostly none, and then nothing is looked up.
	limited int
}

// Option sets up a Keeper.
type Option func(*Keeper)

// WithSelf sets the node's name.
func WithSelf(name string) Option { return func(k *Keeper) { k.self = name } }

// WithLife sets what sets the node's questions apart from those of its earlier lives.
func WithLife(life uint64) Option { return func(k *Keeper) { k.life = life } }

// New returns a keeper that knows no limit and no other node.
func New(opts ...Option) *Keeper {
	k := &Keeper{owner: newOwner(), shares: make(map[fleet.Incarnation]*share)}
	for _, opt := range opts {
		opt(k)
	}
	k.members = newMembers(k.self)
	return k
}

// SetMembers takes the nodes that may hand out permits: all, or some on which all nodes
// agree. This one may be among them.
func (k *Keeper) SetMembers(now clock.Millis, list []Member) {
	k.members.set(now, list)
	for _, s := range k.shares {
		// Owners are found for each list: one that is the owner again was not in between.
		k.order(s)
	}
}

// Heard notes a sign of life of a node.
func (k *Keeper) Heard(now clock.Millis, name string) { k.members.heard(now, name) }

// HeardAll notes a sign of life of a data centre.
func (k *Keeper) HeardAll(now clock.Millis, dataCentre string) { k.members.heardAll(now, dataCentre) }

// Named takes in the limit that an upstream has named to this node, and returns whether the
// number is another one than before.
func (k *Keeper) Named(now clock.Millis, upstream fleet.Incarnation, rate float64) bool {
	s := k.share(upstream)
	if rate >= noLimit {
		return k.learn(now, s, Named{At: now})
	}
	return k.learn(now, s, Named{Rate: max(rate, leastRate), At: now})
}

// Unnamed takes in an answer without a limit to a request that was sent at a time, and
// returns whether that ends one. An answer to a request of before the limit was named says
// nothing of it.
func (k *Keeper) Unnamed(now clock.Millis, upstream fleet.Incarnation, sent clock.Millis) bool {
	s := k.shares[upstream]
	if s == nil || s.named.Rate == 0 || sent <= s.named.At {
		return false
	}
	return k.learn(now, s, Named{At: now})
}

// Told takes in what another node knows of an upstream's limit, and returns whether it brings
// another number. An older word than the own one brings none.
func (k *Keeper) Told(now clock.Millis, upstream fleet.Incarnation, word Named) bool {
	s := k.share(upstream)
	return word.At > s.named.At && k.learn(now, s, word)
}

// Known returns what other nodes are to be told of limits: of those that hold, and of those
// that have ended lately.
func (k *Keeper) Known(now clock.Millis) map[fleet.Incarnation]Named {
	var known map[fleet.Incarnation]Named
	for id, s := range k.shares {
		if s.named.Rate == 0 && now > s.named.At.Add(endTold) {
			continue
		}
		if known == nil {
			known = make(map[fleet.Incarnation]Named)
		}
		known[id] = s.named
	}
	return known
}

// learn takes in a newer word on a limit, and returns whether it is another number.
func (k *Keeper) learn(now clock.Millis, s *share, word Named) bool {
	if s.named.Rate > 0 {
		k.limited--
	}
	if word.Rate > 0 {
		k.limited++
	}
	return s.learn(now, word)
}

// Limit returns what is known of an upstream's limit.
func (k *Keeper) Limit(upstream fleet.Incarnation) (Named, bool) {
	if k.limited == 0 {
		return Named{}, false
	}
	s := k.shares[upstream]
	if s == nil || s.named.Rate == 0 {
		return Named{}, false
	}
	return s.named, true
}

// State tells whether a request may be sent to an upstream.
func (k *Keeper) State(now clock.Millis, upstream fleet.Incarnation) State {
	if k.limited == 0 {
		return Free
	}
	s := k.shares[upstream]
	switch {
	case s == nil || s.named.Rate == 0:
		return Free
	case s.permits > 0 && now <= s.permitsUntil:
		return Permitted
	case now < s.nextAt:
		return Spent
	case s.asking:
		return Waiting
	default:
		return Askable
	}
}

// Next returns how long it takes until another permit may be had, and how many were wanted
// in vain in the window.
func (k *Keeper) Next(now clock.Millis, upstream fleet.Incarnation) (next clock.Millis, queue int) {
	s := k.shares[upstream]
	if s == nil {
		return 0, 0
	}
	return max(0, s.nextAt.Sub(now)), s.queue
}

// Sent notes a request that is sent to an upstream. It takes a permit where there is a
// limit.
func (k *Keeper) Sent(now clock.Millis, upstream fleet.Incarnation) {
	s := k.share(upstream)
	s.all.Add(now, 1)
	if s.permits > 0 && s.named.Rate > 0 {
		s.permits--
		s.known.Add(now, 1)
	}
}

// Asked answers another node's question.
func (k *Keeper) Asked(now clock.Millis, from string, ask Ask) (Grant, []AskCmd) {
	k.members.heard(now, from)
	part, cmds := k.part(now, ask.Upstream)
	return k.owner.ask(now, from, ask, part), cmds
}

// Forget drops what is known of an upstream that has ended.
func (k *Keeper) Forget(upstream fleet.Incarnation) {
	if _, limited := k.Limit(upstream); limited {
		k.limited--
	}
	delete(k.shares, upstream)
}

func (k *Keeper) share(upstream fleet.Incarnation) *share {
	s := k.shares[upstream]
	if s == nil {
		s = &share{upstream: upstream, named: Named{At: clock.Never}}
		k.shares[upstream] = s
		k.order(s)
	}
	return s
}
