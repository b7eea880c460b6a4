package pool

import "slices"

// Group is a set of interchangeable upstreams: engines of the same stage or
// instances of the same plain service.
type Group struct {
	name     string
	members  []*Upstream
	limit    float64
	inFlight int
	ejected  int
}

// Name returns the group name from the configuration.
func (g *Group) Name() string { return g.name }

// Len returns the number of upstreams, whether or not they are available.
func (g *Group) Len() int { return len(g.members) }

// Limit returns the sum of the limits of all available upstreams.
func (g *Group) Limit() float64 { return g.limit }

// InFlight returns the number of requests that this node has in flight at the group.
func (g *Group) InFlight() int { return g.inFlight }

// HasAvailable reports whether an upstream besides the excluded ones may get work, now or when it is no longer
// full.
func (g *Group) HasAvailable(exclude ...*Upstream) bool {
	return slices.ContainsFunc(g.members, func(u *Upstream) bool { return u.available() && !slices.Contains(exclude, u) })
}
