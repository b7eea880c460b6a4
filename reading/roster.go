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
	// statusTimeout is how recently a node must have been heard to count: nodes
	// tell what they have in use each 0.3 s, and some datagrams are lost.
	statusTimeout clock.Millis = 1000
	// MinNodes is how many nodes must be there for one to read for the others.
	// With fewer it saves next to nothing.
	MinNodes = 5
	// settleTime is for how long a node does not follow another one that has failed
	// it, and how long it leaves the store alone after its start until it has
	// heard of others. What it has read at its start counts for 4.3 s.
	settleTime clock.Millis = 2500
	// backoffStoreLost is the same for a node that has lost the store: it has nobody else, and
	// one that cannot vouch now finds the store again within about a second.
	backoffStoreLost clock.Millis = 500
	// claimDelay is how long a node that has begun to hear enough others waits
	// before it takes itself for their first: each tells of itself every 0.3 s.
	claimDelay clock.Millis = 350
	// maxFailedReaders is how many readers may fail a node in the time of settle. It
	// then follows nobody, and tries the store when its turn comes: either the store
	// is away for all, or the node is cut off from others.
	maxFailedReaders = 2
	// recoveryPeriod is for how long a node that has the store again is followed only where
	// nobody else may be: what vanishes from its list counts on until fleet.RemovalGrace
	// after its outage, and a little longer until it has told so.
	recoveryPeriod = fleet.RemovalGrace + 500
)

// When nobody can be followed the store is away for some nodes or for all. The
// first nodes by name find out which, and each call to it costs.
const (
	// probingNodes is how many nodes try the store one after the other, probeInterval
	// apart, as far as the patience goes. A third of the nodes may be turned away
	// while the others are served; that all of the first four are happens in one case
	// of seventy. The rest wait for the whole of the patience.
	probingNodes               = 4
	probeInterval clock.Millis = 250
	// failedProbePause is for how long one of the rest leaves the store alone after it
	// has tried in vain.
	failedProbePause clock.Millis = 3000
)

// nodeStatus is what another node has said last of itself.
type nodeStatus struct {
	receivedAt clock.Millis
	followable bool
	// recoveringUntil is until when it is followed only where nobody else may be.
	recoveringUntil clock.Millis
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
	// statuses is what each has said last, and awaited when a node was last heard, or first
	// counted as a hub.
	statuses map[string]nodeStatus
	lastSeen map[string]clock.Millis
	// wasFollowable tells of each node that was ever heard whether it could ever be followed. At
	// a start none can at first. firstStatusAt is when the first of them was heard.
	wasFollowable map[string]bool
	firstStatusAt clock.Millis
	// backoffUntil is until when a node is not followed that has failed this one.
	backoffUntil map[string]clock.Millis
	startedAt    clock.Millis
	// startWait is how long after its start a node that has read nothing may wait to know the
	// others of its group, and known tells that it does.
	startWait  clock.Millis
	groupKnown bool
	// nameHash is which of several nodes it chooses.
	nameHash uint64
	// failoverWait is how long a node may wait for another one to have the store.
	failoverWait clock.Millis
	// failedSince is when a reader has failed this node first, in a run of failures
	// that are less than settle apart; clock.Never for none.
	failedSince clock.Millis
	// enoughSince is since when enough others have been heard, clock.Never while they
	// have not.
	enoughSince clock.Millis
	// storeLost tells that this node has lost the store.
	storeLost bool
	// recoveringUntil is until when this node, which has the store again, follows others
	// that have not lost it.
	recoveringUntil clock.Millis
	// noReaderSince is since when there has been nobody to follow, clock.Never
	// while there is.
	noReaderSince clock.Millis
	// pausedUntil is until when this node leaves the store to others.
	pausedUntil clock.Millis
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
		failoverWait: patience, failedSince: clock.Never,
		self: self, group: make(map[string]*wire.Member), statuses: make(map[string]nodeStatus), wasFollowable: make(map[string]bool),
		lastSeen:     make(map[string]clock.Millis),
		backoffUntil: make(map[string]clock.Millis), startedAt: now,
		enoughSince: clock.Never, noReaderSince: clock.Never, recoveringUntil: clock.Never,
	}
	for _, opt := range opts {
		opt(r)
	}
	r.nameHash = xxhash.Sum64String(self.GetName())
	r.updateRanks()
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
	r.groupKnown = true
	r.updateRanks()
}

// Heard notes a node's word on whether it may be followed.
func (r *Roster) Heard(now clock.Millis, name string, followable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.statuses[name]
	if len(r.wasFollowable) == 0 {
		r.firstStatusAt = now
	}
	led, met := r.wasFollowable[name]
	// One that is heard for the first time long after others was frozen, or has started.
	late := !met && now > r.firstStatusAt.Add(statusTimeout)
	if followable && !h.followable && (led || late) {
		h.recoveringUntil = now.Add(recoveryPeriod)
	}
	h.receivedAt, h.followable = now, followable
	r.statuses[name], r.wasFollowable[name], r.lastSeen[name] = h, followable || led, now
}

// ReaderFailed notes that following a node did not work.
func (r *Roster) ReaderFailed(now clock.Millis, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireBackoffs(now)
	if len(r.backoffUntil) == 0 {
		r.failedSince = now
	}
	r.backoffUntil[name] = now.Add(settleTime)
}

// expireBackoffs lets nodes be followed again that have failed this one a while ago.
func (r *Roster) expireBackoffs(now clock.Millis) {
	maps.DeleteFunc(r.backoffUntil, func(_ string, until clock.Millis) bool { return now >= until })
}

// StoreLost notes that this node has tried the store in vain.
func (r *Roster) StoreLost(now clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeLost = true
	if r.groupState(now).nodesAhead >= probingNodes {
		r.pausedUntil = now.Add(failedProbePause)
	}
}

// StoreRecovered notes that this node has the store again.
func (r *Roster) StoreRecovered(now clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeLost, r.recoveringUntil = false, now.Add(recoveryPeriod)
}

// Reader returns the node that reads the store for this one; nil where there is
// none.
func (r *Roster) Reader(now clock.Millis) *wire.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.groupState(now)
	if r.tooFewNodes(v) {
		return nil
	}
	return r.group[v.reader]
}

// IsReader tells whether this node reads the store for the others.
func (r *Roster) IsReader(now clock.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.groupState(now)
	return !r.tooFewNodes(v) && v.reader == r.self.GetName() && now >= r.probeTime(v)
}

// ShouldWait tells whether this node, which has nobody to follow, is to leave the
// store to others for now. Asked tells that others already follow it.
func (r *Roster) ShouldWait(now clock.Millis, asked bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.groupState(now)
	switch {
	case r.tooFewNodes(v):
		return now < r.startedAt.Add(settleTime)
	case v.reader == r.self.GetName() && asked:
		return false
	case v.reader == r.self.GetName() || v.reader == "":
		return now < max(r.probeTime(v), r.pausedUntil)
	default:
		return false
	}
}
