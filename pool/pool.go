// Package pool knows the upstreams: which there are, which may get new work,
// how much each can take, and which to choose.
//
// What the platform's list says is joined with what calls show. The list
// lags, so an upstream that it no longer names is not dead and one that it
// names is not alive: an upstream is taken out of the choice when calls to it
// fail, and put back slowly. A leaving mark holds for one incarnation and is
// never taken back.
//
//	p := pool.New()
//	p.Update(0, []pool.Listing{{Name: "e1", Group: "low", Address: "127.0.0.1:9"}})
//	u, ok := p.Pick(now, "low", rng)
package pool

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/hoistjunction/hoistjunction/clock"
)

// Pool holds all upstreams by name and by group. It is not safe for
// concurrent use.
type Pool struct {
	byName  map[string]*Upstream
	groups  map[string]*Group
	ejected []*Upstream
	chooser Chooser
	limits  Limits
}

// Option sets up a Pool.
type Option func(*Pool)

// WithChooser sets how one upstream is chosen among those with room.
func WithChooser(c Chooser) Option { return func(p *Pool) { p.chooser = c } }

// WithLimits sets the constants of the limits, ejection and slow start.
func WithLimits(l Limits) Option { return func(p *Pool) { p.limits = l } }

// New returns a pool without upstreams.
func New(opts ...Option) *Pool {
	p := &Pool{
		byName:  make(map[string]*Upstream),
		groups:  make(map[string]*Group),
		chooser: TwoChoices{},
		limits:  DefaultLimits(),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Len returns the number of upstreams known.
func (p *Pool) Len() int { return len(p.byName) }

// Get returns an upstream by name, or nil.
func (p *Pool) Get(name string) *Upstream { return p.byName[name] }

// Group returns a group by name. An unknown group is empty.
func (p *Pool) Group(name string) *Group {
	g := p.groups[name]
	if g == nil {
		g = &Group{name: name}
		p.groups[name] = g
	}
	return g
}

// All returns every upstream in the order of their names.
func (p *Pool) All() []*Upstream {
	all := make([]*Upstream, 0, len(p.byName))
	for _, g := range p.groups {
		all = append(all, g.members...)
	}
	slices.SortFunc(all, func(a, b *Upstream) int { return strings.Compare(a.name, b.name) })
	return all
}

// Update joins the platform's list with what is known. An upstream that the
// list has not named for Limits.Unlisted is forgotten, once it is idle.
func (p *Pool) Update(now clock.Millis, list []Listing) {
	for _, l := range list {
		u := p.byName[l.Name]
		if u == nil || u.listing.Group != l.Group {
			u = p.add(now, l)
		}
		if u.listing.Incarnation != l.Incarnation {
			p.reset(now, u)
		}
		u.listing = l
		u.listedAt = now
		if l.Leaving {
			p.markLeaving(u)
		}
	}
	p.removeUnlisted(now)
}

func (p *Pool) add(now clock.Millis, l Listing) *Upstream {
	if old := p.byName[l.Name]; old != nil {
		p.remove(old)
	}
	g := p.Group(l.Group)
	u := &Upstream{name: l.Name, listing: l, group: g}
	p.byName[l.Name] = u
	at, _ := slices.BinarySearchFunc(g.members, l.Name, func(m *Upstream, name string) int {
		return strings.Compare(m.name, name)
	})
	g.members = slices.Insert(g.members, at, u)
	p.reset(now, u)
	return u
}

// reset starts an upstream afresh: a new incarnation knows nothing of the
// marks and measurements of the one before.
func (p *Pool) reset(now clock.Millis, u *Upstream) {
	u.leaving = false
	u.ejectedUntil = 0
	u.failures = 0
	u.stepTime = movingAverage{}
	u.otherLoad = 0
	u.limit = p.limits.Start
	u.slowStart = true
	u.limitAdjustedAt = now
	u.updateGroupLimit()
}

func (p *Pool) remove(u *Upstream) {
	u.removed = true
	u.updateGroupLimit()
	delete(p.byName, u.name)
	g := u.group
	g.members = slices.DeleteFunc(g.members, func(m *Upstream) bool { return m == u })
}

func (p *Pool) removeUnlisted(now clock.Millis) {
	for _, g := range p.groups {
		for _, u := range slices.Clone(g.members) {
			if u.inFlight == 0 && now.Sub(u.listedAt) > p.limits.UnlistedTimeout {
				p.remove(u)
			}
		}
	}
}

// MarkLeaving marks an upstream as leaving, if it still runs as that incarnation.
// An empty incarnation stands for the present one. It returns whether the
// mark is new.
func (p *Pool) MarkLeaving(name, incarnation string) bool {
	u := p.byName[name]
	if u == nil || (incarnation != "" && u.listing.Incarnation != incarnation) {
		return false
	}
	return p.markLeaving(u)
}

func (p *Pool) markLeaving(u *Upstream) bool {
	if u.leaving {
		return false
	}
	u.leaving = true
	u.updateGroupLimit()
	return true
}

// Pick chooses an upstream of a group that has room for one more piece of
// work, and is none of the excluded. It returns false when there is none.
func (p *Pool) Pick(group string, rng *rand.Rand, exclude ...*Upstream) (*Upstream, bool) {
	return p.pick(group, rng, 1, exclude)
}

// PickOverLimit is Pick for work that is half done and waits elsewhere: it may go
// over the limits by Limits.Over, which a short crowding costs less than the
// wait for room.
func (p *Pool) PickOverLimit(group string, rng *rand.Rand, exclude ...*Upstream) (*Upstream, bool) {
	return p.pick(group, rng, p.limits.OverLimitFactor, exclude)
}

func (p *Pool) pick(group string, rng *rand.Rand, over float64, exclude []*Upstream) (*Upstream, bool) {
	g := p.groups[group]
	if g == nil || len(g.members) == 0 {
		return nil, false
	}
	u := p.chooser.Choose(g, rng, func(u *Upstream) bool {
		return u.hasCapacity(over) && !slices.Contains(exclude, u)
	})
	return u, u != nil
}

// Begin counts a piece of work at an upstream.
func (p *Pool) Begin(u *Upstream) {
	u.inFlight++
	u.group.inFlight++
}

// End takes a piece of work off an upstream's count.
func (p *Pool) End(u *Upstream) {
	u.inFlight--
	u.group.inFlight--
}

// RecordSuccess learns from an answer: it took span for the given number of
// positions.
func (p *Pool) RecordSuccess(u *Upstream, span clock.Millis, positions int) {
	if positions <= p.limits.MaxDecodePositions {
		u.stepTime.add(float64(span))
	} else {
		u.positionTime.add(float64(span) / float64(positions))
	}
	u.failures = 0
	if u.ejectedUntil != 0 {
		p.endEjection(u)
	}
}

// RecordLoad takes in the number of generations that an engine says it holds for
// everybody. What is not this node's is taken to be the other nodes'.
func (p *Pool) RecordLoad(u *Upstream, load int) {
	others := float64(max(load-u.inFlight, 0))
	u.otherLoad += (others - u.otherLoad) / 8
}
