package node

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hoistjunction/hoistjunction/standin"
)

const (
	// simBeat is within what time an upstream writes its entry again that a store has lost,
	// and simLapse after what time one that has ended has lapsed again.
	simBeat  = 1200 * time.Millisecond
	simLapse = 3600 * time.Millisecond
)

// returns has the store be away and come back from its copy. The operator and the upstreams
// write again what it has lost.
func (s *simSite) returns(e simEvent, away bool) {
	if away {
		if e.how != "" {
			s.fail(e.how, true)
		}
		return
	}
	s.store.Restore()
	s.fail(e.how, false)
	s.mu.Lock()
	s.returned = time.Now()
	s.forgetUndone()
	s.mu.Unlock()
	time.AfterFunc(e.rewrites, s.rewriteConfig)
	time.AfterFunc(simBeat, s.rewriteEntries)
	time.AfterFunc(simLapse, s.lapseEntries)
}

// forgetUndone leaves upstreams out of account that have ended without a word and are listed
// again: who has not seen them go cannot know it before their entries have lapsed. Who has must
// not forget. The caller holds the lock.
func (s *simSite) forgetUndone() {
	for _, c := range s.changes {
		if c.ends && s.store.Value("servers", c.upstream) != nil {
			c.undone = true
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

// lapseEntries has the entries lapse of upstreams that have ended.
func (s *simSite) lapseEntries() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range simUpstreams {
		id := fmt.Sprintf("u%d", i)
		if _, lives := s.states[id]; !lives {
			s.store.Remove("servers", id)
		}
	}
}

// judgeForgotten notes what a node has known and does not know any more, whatever happens:
// within the life of a process nothing that was confirmed is taken back, and no upstream is
// taken as gone that lives. The caller holds the lock.
func (s *simSite) judgeForgotten(name string, n *simNode) {
	at := time.Since(s.began).Milliseconds()
	for _, c := range s.changes {
		switch {
		case n.hasTaken(c):
			c.known[name] = n
		case c.known[name] == n:
			delete(c.known, name)
			s.missed = append(s.missed, fmt.Sprintf("at %d %s has forgotten %s%s of %d", at, name, c.upstream, versionText(c.version), c.at.Sub(s.began).Milliseconds()))
		}
	}
	if s.returned.IsZero() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, state := range s.states {
		if state == "ready" && n.left[id] {
			n.left[id] = false
			s.missed = append(s.missed, fmt.Sprintf("at %d %s takes %s as gone", at, name, id))
		}
	}
}

// hasTaken tells whether the node has been told a change and goes by it.
func (n *simNode) hasTaken(c *simChange) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.upstream == "" {
		return n.version >= c.version
	}
	return n.left[c.upstream]
}

// seedReturns draws returns of the store from copies, beside rows that others write: the
// revisions that are given out again stop short of, at and past those that nodes know.
func seedReturns(random *rand.Rand) []simEvent {
	const longestCopy, longestAway, longestRewrite = 6 * time.Second, 3 * time.Second, 400 * time.Millisecond
	var events []simEvent
	for range 1 + random.IntN(3) {
		at := seedBegins + time.Duration(random.Int64N(int64(seedEnds-seedBegins)))
		e := simEvent{at: at, what: "returns", how: []string{"", "down", "hang"}[random.IntN(3)]}
		if e.how != "" {
			e.lasts = time.Duration(random.Int64N(int64(longestAway)))
		}
		if random.IntN(2) == 0 {
			e.rewrites = time.Duration(random.Int64N(int64(longestRewrite)))
		}
		events = append(events, e, simEvent{at: at - time.Duration(random.Int64N(int64(longestCopy))), what: "copy"})
		if random.IntN(2) == 0 {
			events = append(events, simEvent{at: at + 10*time.Millisecond, what: "config"})
		}
	}
	for range random.IntN(60) {
		events = append(events, simEvent{at: time.Duration(random.Int64N(int64(seedEnds))), what: "rows"})
	}
	return events
}
