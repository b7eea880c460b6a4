// Package fleet holds what a node believes about upstreams: which there are,
// which are leaving, and which layers each engine holds.
//
// The list comes from the store. While the store is away entries may lapse
// although the upstream lives, so the View keeps the last known and waits for
// a short while after the store's return before it takes "missing" for "gone".
package fleet

// Upstream is what an incarnation of an upstream says of itself.
type Upstream struct {
	ID      Incarnation
	Service string
	Address string
	// DataCentre is where it stands.
	DataCentre string
	// Slots is how many requests it works on at a time.
	Slots int
	// Leaving upstreams get no new work.
	Leaving bool
	// Accelerator names its kind of accelerator; empty for plain services.
	Accelerator string
	// Held is the range of layers that it holds; empty for none.
	Held LayerRange
	// Lapsed upstreams had an entry before an outage of the store, and have had none since
	// its return. Who knows one keeps it for a while; who does not must not learn it.
	Lapsed bool
	// Withheld upstreams get no new work until their entry is whole again: it cannot be
	// read, or names a service that nobody has. What they are working on goes on.
	Withheld bool
}

// LayerRange is a run of layers, From included and To not.
type LayerRange struct {
	From int
	To   int
}

// Len returns how many layers the range has.
func (r LayerRange) Len() int { return max(0, r.To-r.From) }

// Empty tells whether the range has no layers.
func (r LayerRange) Empty() bool { return r.To <= r.From }

// Holds tells whether a layer is in the range.
func (r LayerRange) Holds(layer int) bool { return r.From <= layer && layer < r.To }

// Covers tells whether all of another range is in this one.
func (r LayerRange) Covers(o LayerRange) bool { return o.Empty() || r.From <= o.From && o.To <= r.To }

// Overlap returns the layers that two ranges share.
func (r LayerRange) Overlap(o LayerRange) LayerRange {
	shared := LayerRange{From: max(r.From, o.From), To: min(r.To, o.To)}
	if shared.Empty() {
		return LayerRange{}
	}
	return shared
}

// Change is a change of the list: an upstream's new entry, or that it has
// none any more.
type Change struct {
	ID   Incarnation
	Gone bool
	// Ended tells of an upstream that is gone that its process has ended for certain.
	Ended bool
	// Unreadable tells that an entry is there and cannot be read.
	Unreadable bool
	Upstream   Upstream
}
