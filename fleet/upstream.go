// Package fleet holds a node's view of the upstreams: which exist, which are leaving, and which
// layers each engine holds.
//
// The list of upstreams comes from the store. While the store is down, entries of upstreams
// that are alive may disappear. View therefore keeps the last known entries, and applies
// removals only after a grace period that starts when the store recovers.
package fleet

// Upstream is the status that an incarnation of an upstream reports in its entry.
type Upstream struct {
	ID      Incarnation
	Service string
	Address string
	// DataCentre is the data centre that the upstream is in.
	DataCentre string
	// Slots is how many requests the upstream processes concurrently.
	Slots int
	// Leaving is set while the upstream shuts down. It gets no new requests.
	Leaving bool
	// Accelerator is the kind of accelerator; empty for plain services.
	Accelerator string
	// Model is the name of the engine's model; empty if its entry names none, and in lists of other nodes.
	Model string
	// Held is the range of layers that the entry names; empty for none. Nothing says that the model has them:
	// EngineOf checks that.
	Held LayerRange
	// Lapsed is set if the upstream had an entry before an outage of the store and has
	// had none since the recovery. A view that contains the upstream keeps it for a grace
	// period; other views must not add it.
	Lapsed bool
	// Withheld is set while the entry cannot be read or names an unknown service. The
	// upstream gets no new requests until the entry is valid again; requests in progress
	// continue.
	Withheld bool
}

// LayerRange is a range of consecutive layers, including From and excluding To.
type LayerRange struct {
	From int
	To   int
}

// Len returns how many layers the range has.
func (r LayerRange) Len() int { return max(0, r.To-r.From) }

// Empty reports whether the range contains no layers.
func (r LayerRange) Empty() bool { return r.To <= r.From }

// Holds reports whether a layer is in the range.
func (r LayerRange) Holds(layer int) bool { return r.From <= layer && layer < r.To }

// Covers reports whether all of another range is in this one.
func (r LayerRange) Covers(other LayerRange) bool {
	return other.Empty() || r.From <= other.From && other.To <= r.To
}

// Overlap returns the layers that both ranges contain.
func (r LayerRange) Overlap(other LayerRange) LayerRange {
	shared := LayerRange{From: max(r.From, other.From), To: min(r.To, other.To)}
	if shared.Empty() {
		return LayerRange{}
	}
	return shared
}

// Change is a change of the list of upstreams: a new or updated entry, or a removal.
type Change struct {
	ID   Incarnation
	Gone bool
	// Ended is set for a removed upstream whose process is known to have terminated.
	Ended bool
	// Unreadable is set if the entry exists but cannot be read.
	Unreadable bool
	Upstream   Upstream
}
