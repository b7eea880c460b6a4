package pool

// Group is the upstreams that hold the same thing and can stand in for each
// other.
type Group struct {
	name     string
	members  []*Upstream
	limit    float64
	inFlight int
	ejected  int
}

// Name returns the group's name, as the configuration spells it.
func (g *Group) Name() string { return g.name }

// Len returns the number of upstreams, open or not.
func (g *Group) Len() int { return len(g.members) }

// Limit returns the sum of the limits of all upstreams that may get work.
func (g *Group) Limit() float64 { return g.limit }

// InFlight returns the work that this node has at the group.
func (g *Group) InFlight() int { return g.inFlight }
