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
	// statusTimeout is how long after its last status a node counts as present. Nodes send
	// their status every 0.3 s, and some datagrams are lost.
	statusTimeout clock.Millis = 1000
	// MinNodes is the smallest group in which one node reads for the others. With fewer nodes
	// this saves almost no calls to the store.
	MinNodes = 5
	// settleTime is how long a node does not follow a reader that has failed it, and how long
	// after its start it waits for statuses of other nodes before it calls the store. Its
	// initial reading is valid for 4.3 s.
	settleTime clock.Millis = 2500
	// backoffStoreLost replaces settleTime after a failed reader while this node cannot reach
	// the store: it depends on the other nodes, and one whose proof is too old usually reaches
	// the store again within about a second.
	backoffStoreLost clock.Millis = 500
	// claimDelay is how long a node waits, once enough others are present, before it becomes
	// the reader: statuses of higher-ranked nodes arrive every 0.3 s.
	claimDelay clock.Millis = 350
	// maxFailedReaders is how many readers may fail a node within settleTime. The node then
	// follows none and probes the store at its own probe time: either the store is unreachable
	// for all, or the node is disconnected from the others.
	maxFailedReaders = 2
	// recoveryPeriod is how long a node that has recovered from a store outage is followed only
	// if no other node can be. It holds removed entries until fleet.RemovalGrace after the
	// outage, and needs a little longer to report their removal.
	recoveryPeriod = fleet.RemovalGrace + 500
)

// If no node can be followed, the store is unreachable for some nodes or for all of them. Since
// calls to the store are expensive, only the first nodes by rank probe it immediately.
const (
	// probingNodes is how many nodes probe the store one after the other, probeInterval apart
	// and at most the failover wait later. The store may reject a third of the nodes while it
	// serves the others; the probability that it rejects all of the first four is one in
	// seventy. The remaining nodes probe after the full failover wait.
	probingNodes               = 4
	probeInterval clock.Millis = 250
	// failedProbePause is how long one of the remaining nodes waits after a failed probe.
	failedProbePause clock.Millis = 3000
)

// nodeStatus is the last status that another node has sent.
type nodeStatus struct {
	receivedAt clock.Millis
	followable bool
	// recoveringUntil is when the node's recoveryPeriod ends. Until then it is followed only if
	// no other node can be.
	recoveringUntil clock.Millis
}

// Roster tracks the nodes of a group, usually a data centre: which nodes are present, which are
// the hubs, and which reads the store for the others. It is safe for concurrent use. Callers
// pass the current time.
type Roster struct {
	self *wire.Member

	mu sync.Mutex
	// group holds the other nodes by name, ranks the rank of each node including this one, and
	// ranked the names ordered by rank.
	group  map[string]*wire.Member
	ranks  map[string]int
	ranked []string
	// statuses holds the last status of each node. lastSeen is when its last status arrived, or
	// when it was first considered as a hub.
	statuses map[string]nodeStatus
	lastSeen map[string]clock.Millis
	// wasFollowable has an entry for each node that ever sent a status, which is true if it was
	// followable in any of them. Right after a start no node is. firstStatusAt is when the
	// first status arrived.
	wasFollowable map[string]bool
	firstStatusAt clock.Millis
	// backoffUntil is until when a node that has failed this one as its reader is not followed.
	backoffUntil map[string]clock.Millis
	startedAt    clock.Millis
	// startWait is how long after its start a node without an initial reading may wait for the
	// nodes of its group to become known. groupKnown reports whether they are.
	startWait  clock.Millis
	groupKnown bool
	// nameHash selects the initial reader among several candidates, and skippedReaders counts the
	// candidates that were unreachable. initialReadSince is when the first one was selected;
	// clock.Never before.
	nameHash         uint64
	skippedReaders   uint64
	initialReadSince clock.Millis
	// failoverWait is the longest time that a node may wait for another one to reach the store.
	failoverWait clock.Millis
	// failedSince is when the first reader failed in a series of failures less than settleTime
	// apart; clock.Never if there is none.
	failedSince clock.Millis
	// enoughSince is since when at least MinNodes nodes have been present; clock.Never if they
	// are not.
	enoughSince clock.Millis
	// storeLost reports whether this node's last call to the store failed.
	storeLost bool
	// recoveringUntil is when this node's recoveryPeriod ends. Until then it prefers to follow
	// nodes that did not lose the store.
	recoveringUntil clock.Millis
	// noReaderSince is since when no other node could be followed; clock.Never while one can.
	noReaderSince clock.Millis
	// pausedUntil is until when this node does not probe the store.
	pausedUntil clock.Millis
	// extend returns how long to wait for a status that is due within a limit.
	extend func(limit clock.Millis) clock.Millis
}

// Option configures a Roster.
type Option func(*Roster)

// WithStartWait sets how long after its start a node without an initial reading may wait for
// the other nodes of its group to become known.
func WithStartWait(d clock.Millis) Option { return func(r *Roster) { r.startWait = d } }

// WithExtendedLimits sets the function that returns how long to wait for a status that is due within a
// limit.
func WithExtendedLimits(extend func(limit clock.Millis) clock.Millis) Option {
	return func(r *Roster) { r.extend = extend }
}

// NewRoster returns the roster of a node that starts now. failoverWait is the longest time that
// the node may wait for another one to reach the store after its reader has failed.
func NewRoster(self *wire.Member, now, failoverWait clock.Millis, opts ...Option) *Roster {
	r := &Roster{
		failoverWait: failoverWait, failedSince: clock.Never,
		self: self, group: make(map[string]*wire.Member), statuses: make(map[string]nodeStatus), wasFollowable: make(map[string]bool),
		lastSeen:     make(map[string]clock.Millis),
		backoffUntil: make(map[string]clock.Millis), startedAt: now,
		initialReadSince: clock.Never,
		extend:           func(limit clock.Millis) clock.Millis { return limit },
		enoughSince:      clock.Never, noReaderSince: clock.Never, recoveringUntil: clock.Never,
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

// UpdateStatus records a status of another node and whether that node can be followed.
func (r *Roster) UpdateStatus(now clock.Millis, name string, followable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	status := r.statuses[name]
	if len(r.wasFollowable) == 0 {
		r.firstStatusAt = now
	}
	wasFollowable, seen := r.wasFollowable[name]
	// A node whose first status arrives long after those of others was frozen, or has just
	// started.
	late := !seen && now > r.firstStatusAt.Add(statusTimeout)
	if followable && !status.followable && (wasFollowable || late) {
		status.recoveringUntil = now.Add(recoveryPeriod)
	}
	status.receivedAt, status.followable = now, followable
	r.statuses[name], r.wasFollowable[name], r.lastSeen[name] = status, followable || wasFollowable, now
}

// ReaderFailed records that a request to another node as the reader failed.
func (r *Roster) ReaderFailed(now clock.Millis, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readerFailed(now, name)
}

// readerFailed is ReaderFailed for a caller that holds the lock.
func (r *Roster) readerFailed(now clock.Millis, name string) {
	r.expireBackoffs(now)
	if len(r.backoffUntil) == 0 {
		r.failedSince = now
	}
	r.backoffUntil[name] = now.Add(settleTime)
}

// expireBackoffs makes readers that failed long enough ago followable again.
func (r *Roster) expireBackoffs(now clock.Millis) {
	maps.DeleteFunc(r.backoffUntil, func(_ string, until clock.Millis) bool { return now >= until })
}

// StoreLost records that a call of this node to the store failed.
func (r *Roster) StoreLost(now clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeLost = true
	if r.groupState(now).nodesAhead >= probingNodes {
		r.pausedUntil = now.Add(failedProbePause)
	}
}

// StoreRecovered records that this node reaches the store again.
func (r *Roster) StoreRecovered(now clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeLost, r.recoveringUntil = false, now.Add(recoveryPeriod)
}

// Reader returns the node that reads the store for this node, or nil if there is none.
func (r *Roster) Reader(now clock.Millis) *wire.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.groupState(now)
	if r.tooFewNodes(s) {
		return nil
	}
	return r.group[s.reader]
}

// IsReader reports whether this node reads the store for the others.
func (r *Roster) IsReader(now clock.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.groupState(now)
	return !r.tooFewNodes(s) && s.reader == r.self.GetName() && now >= r.probeTime(s)
}

// ShouldWait reports whether this node, which has no reader, should not call the store yet.
// followed reports whether others already follow this node.
func (r *Roster) ShouldWait(now clock.Millis, followed bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.groupState(now)
	switch {
	case r.tooFewNodes(s):
		return now < r.startedAt.Add(settleTime)
	case s.reader == r.self.GetName() && followed:
		return false
	case s.reader == r.self.GetName() || s.reader == "":
		return now < max(r.probeTime(s), r.pausedUntil)
	default:
		return false
	}
}
