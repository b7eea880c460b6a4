package limit

import (
	"slices"

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
	// leastRate stands in for a limit of nothing: with a request now and then its end shows.
	leastRate = 0.05
	// noLimit is from which rate on a limit binds nobody.
	noLimit = 1e5
)

// Parts of a limit that are handed out by nodes that may not be the only ones.
const (
	// partCutOff is that of a node that hears less than half of the nodes.
	partCutOff = 0.25
	// partActing is that of one in the place of an owner that does not answer it, after
	// actsAfter, and of one that has just become the owner, for handoverFor. After lostAfter
	// it is all.
	partActing               = 0.45
	actsAfter   clock.Millis = 3000
	handoverFor clock.Millis = 2000
)

// partInPlace are the parts by the place in the order while the owner may be there: others
// may still be served by it.
var partInPlace = [owners]float64{1, 1.0 / 8, 1.0 / 16}

// State is whether a request may be sent to an upstream.
type State uint8

const (
	// Free means that it names no limit.
	Free State = iota
	// Permitted means that there is a permit for a request.
	Permitted
	// Askable means that there is none, and one may be asked for.
	Askable
	// Waiting means that one has been asked for.
	Waiting
	// Spent means that none can be had before a time.
	Spent
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

// SetMembers takes all nodes. This one may be among them.
func (k *Keeper) SetMembers(now clock.Millis, list []Member) { k.members.set(now, list) }

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

// Ask asks for permits, or repeats a question. Where this node is the owner, its answer is
// there at once.
func (k *Keeper) Ask(now clock.Millis, upstream fleet.Incarnation, want int) []AskCmd {
	s := k.share(upstream)
	if !s.asking {
		s.begin(now, min(max(want, 1), asksTogether))
	} else if now < s.askedAt.Add(askAgain) {
		return nil
	}
	return k.question(now, s)
}

// Report tells an upstream's owner what this node has sent there before its limit was known:
// it counts, and other nodes may be given permits that do not fit in beside it.
func (k *Keeper) Report(now clock.Millis, upstream fleet.Incarnation) []AskCmd {
	s := k.share(upstream)
	if s.asking || s.named.Rate == 0 || s.all.Sum(now) == 0 {
		return nil
	}
	s.begin(now, 0)
	return k.question(now, s)
}

// question sends a question to the first owner that may answer it.
func (k *Keeper) question(now clock.Millis, s *share) []AskCmd {
	if s.tries >= asksEach {
		k.members.silent(now, s.to)
	}
	to, found := k.answering(now, s)
	if !found {
		s.fail(now)
		return nil
	}
	if to != s.to || s.tries >= asksEach {
		s.turnTo(now, to)
	}
	s.askedAt = now
	s.tries++
	ask := Ask{Upstream: s.upstream, Life: k.life, Number: s.number, Want: s.want, Named: s.named, Sent: s.unreported(now)}
	if to == k.self {
		grant, cmds := k.Asked(now, k.self, ask)
		k.Granted(now, k.self, grant)
		return cmds
	}
	return []AskCmd{{To: to, Ask: ask}}
}

// answering returns the first of an upstream's owners that is not silent.
func (k *Keeper) answering(now clock.Millis, s *share) (string, bool) {
	for _, name := range k.order(s) {
		if name == k.self || !k.members.isSilent(now, name) {
			return name, true
		}
	}
	return "", false
}

func (k *Keeper) order(s *share) []string {
	if s.orderOf != k.members.version || s.order == nil {
		s.order, s.orderOf = Order(k.members.names, s.upstream), k.members.version
	}
	return s.order
}

// Asked answers another node's question.
func (k *Keeper) Asked(now clock.Millis, from string, ask Ask) (Grant, []AskCmd) {
	k.members.heard(now, from)
	part, cmds := k.part(now, ask.Upstream)
	return k.owner.ask(now, from, ask, part), cmds
}

// part is the part of an upstream's limit that this node may hand out now. One that stands
// in for others asks them whether they are there.
func (k *Keeper) part(now clock.Millis, upstream fleet.Incarnation) (float64, []AskCmd) {
	s := k.share(upstream)
	order := k.order(s)
	place := slices.Index(order, k.self)
	part, cmds := 0.0, []AskCmd(nil)
	switch {
	case place == 0:
		part = 1
		if now < k.members.changedAt.Add(handoverFor) && len(k.members.names) > 1 {
			part = partActing
		}
	case place > 0:
		var silent clock.Millis
		silent, cmds = k.doubtOthers(now, s, order[:place])
		part = partInPlace[place]
		if silent >= lostAfter {
			part = 1
		} else if silent >= actsAfter {
			part = partActing
		}
	default:
		// Whoever asks knows other nodes than this one.
		part = partInPlace[owners-1]
	}
	if k.members.cutOff(now) {
		part *= partCutOff
	}
	return part, cmds
}

// doubtOthers asks those that come first in an upstream's order whether they are there, and
// returns for how long none of them has answered.
func (k *Keeper) doubtOthers(now clock.Millis, s *share, others []string) (clock.Millis, []AskCmd) {
	var cmds []AskCmd
	silent := lostAfter
	for _, name := range others {
		lasted, ask := k.members.doubt(now, name)
		silent = min(silent, lasted)
		if ask {
			cmds = append(cmds, AskCmd{To: name, Ask: Ask{Upstream: s.upstream, Life: k.life, Named: s.named}})
		}
	}
	return silent, cmds
}

// Granted takes an answer, and returns whether it brings news: permits, the word that there
// are none, or another limit.
func (k *Keeper) Granted(now clock.Millis, from string, grant Grant) bool {
	k.members.heard(now, from)
	s := k.shares[grant.Upstream]
	if s == nil || grant.Life != k.life {
		return false
	}
	news := grant.Named.At > s.named.At && k.learn(now, s, grant.Named)
	if !s.asking || grant.Number != s.number || from != s.to {
		return news
	}
	s.answer(now, grant)
	return true
}

// Tick repeats the questions that nobody has answered. It returns the upstreams whose
// owners all leave them unanswered.
func (k *Keeper) Tick(now clock.Millis) (cmds []AskCmd, failed []fleet.Incarnation) {
	k.owner.expire(now)
	for _, s := range k.shares {
		if !s.asking {
			cmds = append(cmds, k.reportToNext(now, s)...)
			continue
		}
		if now < s.askedAt.Add(askAgain) {
			continue
		}
		cmds = append(cmds, k.question(now, s)...)
		if !s.asking {
			failed = append(failed, s.upstream)
		}
	}
	return cmds, failed
}

// reportToNext tells a node what was sent that has come to be the one to ask.
func (k *Keeper) reportToNext(now clock.Millis, s *share) []AskCmd {
	if s.named.Rate == 0 {
		return nil
	}
	if to, found := k.answering(now, s); !found || to == s.to {
		return nil
	}
	return k.Report(now, s.upstream)
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
	}
	return s
}
