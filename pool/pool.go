// Package pool tracks the upstreams of a node: which exist, which may get new
// work, how much work each can take, and which one to choose for a request.
//
// It combines the platform's list of VMs with the results of calls. The list
// lags behind, so it does not decide whether an upstream is alive: an upstream is
// ejected when calls to it fail, and gets work again gradually. A leaving mark
// applies to one incarnation and is never removed.
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

// Pool indexes all upstreams by name and by group. It is not safe for concurrent
// use.
type Pool struct {
	byName  map[string]*Upstream
	groups  map[string]*Group
	ejected []*Upstream
	chooser Chooser
	limits  Limits
}

// Option configures a Pool.
type Option func(*Pool)

// WithChooser sets how one upstream is chosen among those with free capacity.
func WithChooser(c Chooser) Option { return func(p *Pool) { p.chooser = c } }

// WithLimits sets the parameters of the limits, ejection and slow start.
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

// Len returns the number of tracked upstreams.
func (p *Pool) Len() int { return len(p.byName) }

// Get returns the upstream with the given name, or nil.
func (p *Pool) Get(name string) *Upstream { return p.byName[name] }

// Group returns the group with the given name, and creates an empty one if it is
// missing.
func (p *Pool) Group(name string) *Group {
	g := p.groups[name]
	if g == nil {
		g = &Group{name: name}
		p.groups[name] = g
	}
	return g
}

// All returns all upstreams, sorted by name.
func (p *Pool) All() []*Upstream {
	all := make([]*Upstream, 0, len(p.byName))
	for _, g := range p.groups {
		all = append(all, g.members...)
	}
	slices.SortFunc(all, func(a, b *Upstream) int { return strings.Compare(a.name, b.name) })
	return all
}

// Update merges a new list of VMs into the tracked upstreams. An upstream that
// has been missing from the list for Limits.UnlistedTimeout is removed once it
// is idle.
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
	index, _ := slices.BinarySearchFunc(g.members, l.Name, func(m *Upstream, name string) int {
		return strings.Compare(m.name, name)
	})
	g.members = slices.Insert(g.members, index, u)
	p.reset(now, u)
	return u
}

// reset clears the state that applies to one incarnation of an upstream: leaving
// mark, ejection, failures, step time, load and limit.
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

// MarkLeaving marks an upstream as leaving if its current incarnation is the
// given one; an empty incarnation matches any. It reports whether the mark is
// new.
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

// Pick chooses an upstream of the group with free capacity for one more request,
// except the excluded ones. It returns false if there is none.
func (p *Pool) Pick(group string, rng *rand.Rand, exclude ...*Upstream) (*Upstream, bool) {
	return p.pick(group, rng, 1, exclude)
}

// PickOverLimit is like Pick, for a request that is already in progress at other
// upstreams. It may exceed a limit by Limits.OverLimitFactor, because a brief
// overload costs less than making the request wait for free capacity.
func (p *Pool) PickOverLimit(group string, rng *rand.Rand, exclude ...*Upstream) (*Upstream, bool) {
	return p.pick(group, rng, p.limits.OverLimitFactor, exclude)
}

func (p *Pool) pick(group string, rng *rand.Rand, limitFactor float64, exclude []*Upstream) (*Upstream, bool) {
	g := p.groups[group]
	if g == nil || len(g.members) == 0 {
		return nil, false
	}
	u := p.chooser.Choose(g, rng, func(u *Upstream) bool {
		return u.hasCapacity(limitFactor) && !slices.Contains(exclude, u)
	})
	return u, u != nil
}

// Begin adds a request to the in-flight count of an upstream.
func (p *Pool) Begin(u *Upstream) {
	u.inFlight++
	u.group.inFlight++
}

// End removes a request from the in-flight count of an upstream.
func (p *Pool) End(u *Upstream) {
	u.inFlight--
	u.group.inFlight--
}

// RecordSuccess records a response that took span for the given number of
// positions. It resets the consecutive failures and ends an ejection.
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

// RecordLoad records the number of generations that an engine reports for all
// nodes. The number beyond this node's requests in flight is attributed to the
// other nodes and averaged.
func (p *Pool) RecordLoad(u *Upstream, load int) {
	others := float64(max(load-u.inFlight, 0))
	u.otherLoad += (others - u.otherLoad) / 8
}
