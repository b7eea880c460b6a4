package reading

import (
	"sync"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/wire"
)

const (
	// heardWithin is how recently a node must have been heard to count: nodes
	// tell what they have in use each 0.3 s, and some datagrams are lost.
	heardWithin clock.Millis = 1000
	// FewestNodes is how many nodes must be there for one to read for the others.
	// With fewer it saves next to nothing.
	FewestNodes = 5
	// settle is for how long a node reads the store itself after its reader has
	// failed it, and after its own start.
	settle clock.Millis = 2500
)

// Roster knows the nodes of a group, most often those of a data centre, and which
// of them reads the store for the others. It is safe for concurrent use; times are
// handed in.
type Roster struct {
	self string
	mu   sync.Mutex
	// group holds the other nodes by name, and heard when each last said that it
	// may be followed.
	group map[string]*wire.Member
	heard map[string]clock.Millis
	// alone is until when the node reads the store itself.
	alone clock.Millis
}

// NewRoster returns a node's roster as of a time.
func NewRoster(self string, now clock.Millis) *Roster {
	return &Roster{
		self: self, group: make(map[string]*wire.Member), heard: make(map[string]clock.Millis),
		alone: now.Add(settle),
	}
}

// SetGroup sets the other nodes of the group.
func (r *Roster) SetGroup(members []*wire.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.group)
	for _, m := range members {
		r.group[m.GetName()] = m
	}
}

// Heard notes a node's word on whether it may be followed.
func (r *Roster) Heard(now clock.Millis, name string, followable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if followable {
		r.heard[name] = now
		return
	}
	delete(r.heard, name)
}

// Failed notes that following another node did not work.
func (r *Roster) Failed(now clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.alone = now.Add(settle)
}

// Reader returns the node that reads the store for this one; nil where this one
// reads it itself.
func (r *Roster) Reader(now clock.Millis) *wire.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now < r.alone {
		return nil
	}
	return r.group[r.first(now)]
}

// Reads tells whether this node reads the store for the others.
func (r *Roster) Reads(now clock.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.first(now) == r.self
}

// first returns the name of the node that reads for all; empty where each reads
// for itself. The caller holds the lock.
func (r *Roster) first(now clock.Millis) string {
	first, nodes := r.self, 1
	for name, at := range r.heard {
		if now > at.Add(heardWithin) {
			delete(r.heard, name)
			continue
		}
		if r.group[name] == nil {
			continue
		}
		nodes++
		first = min(first, name)
	}
	if nodes < FewestNodes {
		return ""
	}
	return first
}
