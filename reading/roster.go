package reading

import (
	"maps"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/wire"
)

const (
	// heardWithin is how recently a node must have been heard to count: nodes
	// tell what they have in use each 0.3 s, and some datagrams are lost.
	heardWithin clock.Millis = 1000
	// FewestNodes is how many nodes must be there for one to read for the others.
	// With fewer it saves next to nothing.
	FewestNodes = 5
	// settle is for how long a node does not follow another one that has failed
	// it, and how long it leaves the store alone after its start until it has
	// heard of others. What it has read at its start counts for 4.3 s.
	settle clock.Millis = 2500
	// refusedAway is the same for a node that has lost the store: it has nobody else, and
	// one that cannot vouch now finds the store again within about a second.
	refusedAway clock.Millis = 500
	// claimAfter is how long a node that has begun to hear enough others waits
	// before it takes itself for their first: each tells of itself every 0.3 s.
	claimAfter clock.Millis = 350
	// mostRefused is how many readers may fail a node in the time of settle. It
	// then follows nobody, and tries the store when its turn comes: either the store
	// is away for all, or the node is cut off from others.
	mostRefused = 2
	// doubted is for how long a node that has the store again is followed only where
	// nobody else may be: what vanishes from its list counts on until fleet.RemovalGrace
	// after its outage, and a little longer until it has told so.
	doubted = fleet.RemovalGrace + 500
)

// When nobody can be followed the store is away for some nodes or for all. The
// first nodes by name find out which, and each call to it costs.
const (
	// firstToTry is how many nodes try the store one after the other, turnEvery
	// apart, as far as the patience goes. A third of the nodes may be turned away
	// while the others are served; that all of the first four are happens in one case
	// of seventy. The rest wait for the whole of the patience.
	firstToTry              = 4
	turnEvery  clock.Millis = 250
	// restPause is for how long one of the rest leaves the store alone after it
	// has tried in vain.
	restPause clock.Millis = 3000
)

// hearing is what another node has said last of itself.
type hearing struct {
	at         clock.Millis
	followable bool
	// doubtedUntil is until when it is followed only where nobody else may be.
	doubtedUntil clock.Millis
}

// Roster knows the nodes of a group, most often those of a data centre, which of them
// are its hubs, and which reads the store for the others. It is safe for concurrent use;
// times are handed in.
type Roster struct {
	self *wire.Member

	mu sync.Mutex
	// group holds the other nodes by name, ranks the rank of each and of this one, and
	// ranked their names by rank.
	group  map[string]*wire.Member
	ranks  map[string]int
	ranked []string
	// heard is what each has said last, and awaited when a node was last heard, or first
	// counted as a hub.
	heard   map[string]hearing
	awaited map[string]clock.Millis
	// led tells of each node that was ever heard whether it could ever be followed. At
	// a start none can at first. heardFirst is when the first of them was heard.
	led        map[string]bool
	heardFirst clock.Millis
	// refused is until when a node is not followed that has failed this one.
	refused map[string]clock.Millis
	started clock.Millis
	// startWait is how long after its start a node that has read nothing may wait to know the
	// others of its group, and known tells that it does.
	startWait clock.Millis
	known     bool
	// draw is which of several nodes it chooses.
	draw uint64
	// patience is how long a node may wait for another one to have the store.
	patience clock.Millis
	// failedSince is when a reader has failed this node first, in a run of failures
	// that are less than settle apart; clock.Never for none.
	failedSince clock.Millis
	// grouped is since when enough others have been heard, clock.Never while they
	// have not.
	grouped clock.Millis
	// away tells that this node has lost the store.
	away bool
	// doubtedUntil is until when this node, which has the store again, follows others
	// that have not lost it.
	doubtedUntil clock.Millis
	// unledSince is since when there has been nobody to follow, clock.Never
	// while there is.
	unledSince clock.Millis
	// restUntil is until when this node leaves the store to others.
	restUntil clock.Millis
}

// Option sets up a Roster.
type Option func(*Roster)

// WithStartWait sets how long after its start the node may wait to know the others, if it has
// read nothing yet.
func WithStartWait(d clock.Millis) Option { return func(r *Roster) { r.startWait = d } }

// NewRoster returns a node's roster as of a time. Patience is how long the node may
// wait for another one to have the store, when its reader has failed it.
func NewRoster(self *wire.Member, now, patience clock.Millis, opts ...Option) *Roster {
	r := &Roster{
		patience: patience, failedSince: clock.Never,
		self: self, group: make(map[string]*wire.Member), heard: make(map[string]hearing), led: make(map[string]bool),
		awaited: make(map[string]clock.Millis),
		refused: make(map[string]clock.Millis), started: now,
		grouped: clock.Never, unledSince: clock.Never, doubtedUntil: clock.Never,
	}
	for _, opt := range opts {
		opt(r)
	}
	r.draw = xxhash.Sum64String(self.GetName())
	r.rank()
	return r
}

// Self returns this node.
func (r *Roster) Self() *wire.Member { return r.self }

// SetGroup sets the other nodes of the group.
func (r *Roster) SetGroup(members []*wire.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.group)
	for _, m := range members {
		r.group[m.GetName()] = m
	}
	r.known = true
	r.rank()
}

// Heard notes a node's word on whether it may be followed.
func (r *Roster) Heard(now clock.Millis, name string, followable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.heard[name]
	if len(r.led) == 0 {
		r.heardFirst = now
	}
	led, met := r.led[name]
	// One that is heard for the first time long after others was frozen, or has started.
	late := !met && now > r.heardFirst.Add(heardWithin)
	if followable && !h.followable && (led || late) {
		h.doubtedUntil = now.Add(doubted)
	}
	h.at, h.followable = now, followable
	r.heard[name], r.led[name], r.awaited[name] = h, followable || led, now
}

// Failed notes that following a node did not work.
func (r *Roster) Failed(now clock.Millis, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetRefused(now)
	if len(r.refused) == 0 {
		r.failedSince = now
	}
	r.refused[name] = now.Add(settle)
}

// forgetRefused lets nodes be followed again that have failed this one a while ago.
func (r *Roster) forgetRefused(now clock.Millis) {
	maps.DeleteFunc(r.refused, func(_ string, until clock.Millis) bool { return now >= until })
}

// StoreLost notes that this node has tried the store in vain.
func (r *Roster) StoreLost(now clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away = true
	if r.view(now).before >= firstToTry {
		r.restUntil = now.Add(restPause)
	}
}

// StoreBack notes that this node has the store again.
func (r *Roster) StoreBack(now clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away, r.doubtedUntil = false, now.Add(doubted)
}

// Reader returns the node that reads the store for this one; nil where there is
// none.
func (r *Roster) Reader(now clock.Millis) *wire.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.view(now)
	if r.alone(v) {
		return nil
	}
	return r.group[v.first]
}

// Reads tells whether this node reads the store for the others.
func (r *Roster) Reads(now clock.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.view(now)
	return !r.alone(v) && v.first == r.self.GetName() && now >= r.turn(v)
}

// Waits tells whether this node, which has nobody to follow, is to leave the
// store to others for now. Asked tells that others already follow it.
func (r *Roster) Waits(now clock.Millis, asked bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.view(now)
	switch {
	case r.alone(v):
		return now < r.started.Add(settle)
	case v.first == r.self.GetName() && asked:
		return false
	case v.first == r.self.GetName() || v.first == "":
		return now < max(r.turn(v), r.restUntil)
	default:
		return false
	}
}
