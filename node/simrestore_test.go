package node

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hoistjunction/hoistjunction/standin"
)

const (
	// simHeartbeat is the time within which an upstream rewrites its entry after the store has
	// lost it; simExpiry is the time after which the entry of a crashed upstream is removed
	// again.
	simHeartbeat = 1200 * time.Millisecond
	simExpiry    = 3600 * time.Millisecond
)

// restoreStore makes the store unavailable and restores it from its backup. The operator and the
// upstreams rewrite the lost entries.
func (s *simSite) restoreStore(e simEvent, unavailable bool) {
	if unavailable {
		if e.mode != "" {
			s.setStoreFault(e.mode, true)
		}
		return
	}
	s.store.Restore()
	s.setStoreFault(e.mode, false)
	s.mu.Lock()
	s.restoredAt = time.Now()
	s.ignoreRestoredCrashes()
	s.mu.Unlock()
	time.AfterFunc(e.rewriteDelay, s.rewriteConfig)
	time.AfterFunc(simHeartbeat, s.rewriteEntries)
	time.AfterFunc(simExpiry, s.removeCrashedEntries)
}

// ignoreRestoredCrashes ignores crashed upstreams whose entries the restore has brought back: a
// node that has not seen the removal cannot detect it before the entry expires. A node that has
// seen it must not lose it. The caller holds the lock.
func (s *simSite) ignoreRestoredCrashes() {
	for _, c := range s.changes {
		if c.crash && s.store.Value("servers", c.upstream) != nil {
			c.restoredEntry = true
		}
	}
}

// rewriteConfig writes the newest configuration, as an operator does after finding an older one.
func (s *simSite) rewriteConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := standin.SiteConfig(s.version, "k1")
	if string(s.store.Value("op", "config")) != string(newest) {
		s.store.Put("op", "config", newest)
	}
}

// rewriteEntries writes the entry of each upstream whose entry in the store differs.
func (s *simSite) rewriteEntries() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, state := range s.states {
		if entry := s.entry(id, state); string(s.store.Value("servers", id)) != string(entry) {
			s.store.Put("servers", id, entry)
		}
	}
}

// removeCrashedEntries removes the entries of crashed upstreams, which have expired.
func (s *simSite) removeCrashedEntries() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range simUpstreams {
		id := fmt.Sprintf("u%d", i)
		if _, running := s.states[id]; !running {
			s.store.Remove("servers", id)
		}
	}
}

// checkLostState records a failure for each change that a node has lost: a process must never
// undo a confirmed change or take a running upstream as gone, whatever faults there are. The
// caller holds the lock.
func (s *simSite) checkLostState(name string, n *simNode) {
	at := time.Since(s.startedAt).Milliseconds()
	for _, c := range s.changes {
		switch {
		case n.hasApplied(c):
			c.appliedBy[name] = n
		case c.appliedBy[name] == n:
			delete(c.appliedBy, name)
			s.failures = append(s.failures, fmt.Sprintf("at %d %s has lost %s%s of %d", at, name, c.upstream, versionText(c.version), c.at.Sub(s.startedAt).Milliseconds()))
		}
	}
	if s.restoredAt.IsZero() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, state := range s.states {
		if state == "ready" && n.unavailable[id] {
			n.unavailable[id] = false
			s.failures = append(s.failures, fmt.Sprintf("at %d %s takes %s as gone", at, name, id))
		}
	}
}

// hasApplied reports whether the node has received and applied a change.
func (n *simNode) hasApplied(c *simChange) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.upstream == "" {
		return n.version >= c.version
	}
	return n.unavailable[c.upstream]
}

// seedRestores draws store restores and writes of other rows, such that the revisions which the
// store assigns again end below, at or above the revisions that nodes have read.
func seedRestores(random *rand.Rand) []simEvent {
	const maxBackupAge, maxUnavailable, maxRewriteDelay = 6 * time.Second, 3 * time.Second, 400 * time.Millisecond
	var events []simEvent
	for range 1 + random.IntN(3) {
		at := seedEventsStart + time.Duration(random.Int64N(int64(seedEventsEnd-seedEventsStart)))
		e := simEvent{at: at, kind: "returns", mode: []string{"", "down", "hang"}[random.IntN(3)]}
		if e.mode != "" {
			e.duration = time.Duration(random.Int64N(int64(maxUnavailable)))
		}
		if random.IntN(2) == 0 {
			e.rewriteDelay = time.Duration(random.Int64N(int64(maxRewriteDelay)))
		}
		events = append(events, e, simEvent{at: at - time.Duration(random.Int64N(int64(maxBackupAge))), kind: "copy"})
		if random.IntN(2) == 0 {
			events = append(events, simEvent{at: at + 10*time.Millisecond, kind: "config"})
		}
	}
	for range random.IntN(60) {
		events = append(events, simEvent{at: time.Duration(random.Int64N(int64(seedEventsEnd))), kind: "rows"})
	}
	return events
}
