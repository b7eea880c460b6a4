package node

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hoistjunction/hoistjunction/standin"
)

const (
	// simHeartbeat is within what time an upstream writes its entry again that a store has lost,
	// and simExpiry after what time one that has ended has lapsed again.
	simHeartbeat = 1200 * time.Millisecond
	simExpiry    = 3600 * time.Millisecond
)

// restoreStore has the store be away and come back from its copy. The operator and the upstreams
// write again what it has lost.
func (s *simSite) restoreStore(e simEvent, away bool) {
	if away {
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

// ignoreRestoredCrashes leaves upstreams out of account that have ended without a word and are listed
// again: who has not seen them go cannot know it before their entries have lapsed. Who has must
// not forget. The caller holds the lock.
func (s *simSite) ignoreRestoredCrashes() {
	for _, c := range s.changes {
		if c.crash && s.store.Value("servers", c.upstream) != nil {
			c.restoredEntry = true
		}
	}
}

// rewriteConfig writes the newest configuration, as an operator does that finds an older one.
func (s *simSite) rewriteConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := standin.SiteConfig(s.version, "k1")
	if string(s.store.Value("op", "config")) != string(newest) {
		s.store.Put("op", "config", newest)
	}
}

// rewriteEntries has each upstream write its entry, which is a change only where it differs.
func (s *simSite) rewriteEntries() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, state := range s.states {
		if entry := s.entry(id, state); string(s.store.Value("servers", id)) != string(entry) {
			s.store.Put("servers", id, entry)
		}
	}
}

// removeCrashedEntries has the entries lapse of upstreams that have ended.
func (s *simSite) removeCrashedEntries() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range simUpstreams {
		id := fmt.Sprintf("u%d", i)
		if _, lives := s.states[id]; !lives {
			s.store.Remove("servers", id)
		}
	}
}

// checkLostState notes what a node has known and does not know any more, whatever happens:
// within the life of a process nothing that was confirmed is taken back, and no upstream is
// taken as gone that lives. The caller holds the lock.
func (s *simSite) checkLostState(name string, n *simNode) {
	at := time.Since(s.startedAt).Milliseconds()
	for _, c := range s.changes {
		switch {
		case n.hasApplied(c):
			c.appliedBy[name] = n
		case c.appliedBy[name] == n:
			delete(c.appliedBy, name)
			s.failures = append(s.failures, fmt.Sprintf("at %d %s has forgotten %s%s of %d", at, name, c.upstream, versionText(c.version), c.at.Sub(s.startedAt).Milliseconds()))
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

// hasApplied tells whether the node has been told a change and goes by it.
func (n *simNode) hasApplied(c *simChange) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.upstream == "" {
		return n.version >= c.version
	}
	return n.unavailable[c.upstream]
}

// seedRestores draws returns of the store from copies, beside rows that others write: the
// revisions that are given out again stop short of, at and past those that nodes know.
func seedRestores(random *rand.Rand) []simEvent {
	const longestCopy, longestAway, longestRewrite = 6 * time.Second, 3 * time.Second, 400 * time.Millisecond
	var events []simEvent
	for range 1 + random.IntN(3) {
		at := seedEventsStart + time.Duration(random.Int64N(int64(seedEventsEnd-seedEventsStart)))
		e := simEvent{at: at, kind: "returns", mode: []string{"", "down", "hang"}[random.IntN(3)]}
		if e.mode != "" {
			e.duration = time.Duration(random.Int64N(int64(longestAway)))
		}
		if random.IntN(2) == 0 {
			e.rewriteDelay = time.Duration(random.Int64N(int64(longestRewrite)))
		}
		events = append(events, e, simEvent{at: at - time.Duration(random.Int64N(int64(longestCopy))), kind: "copy"})
		if random.IntN(2) == 0 {
			events = append(events, simEvent{at: at + 10*time.Millisecond, kind: "config"})
		}
	}
	for range random.IntN(60) {
		events = append(events, simEvent{at: time.Duration(random.Int64N(int64(seedEventsEnd))), kind: "rows"})
	}
	return events
}
