package core

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/pool"
)

// Limits of the affinity hints. The prefix caches of engines are small, and cache events arrive
// late and incompletely, so a hint expires after a short time.
const (
	affinityPrefixBytes              = 64
	affinityTTL         clock.Millis = 30_000
	maxAffinityHints                 = 4096
)

// affinity maps the hash of a prompt prefix to the upstreams that last executed a prompt with that
// prefix.
type affinity struct {
	hints map[uint64]affinityHint
}

type affinityHint struct {
	chain     []*pool.Upstream
	expiresAt clock.Millis
}

func newAffinity() affinity { return affinity{hints: make(map[uint64]affinityHint)} }

func prefixHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), affinityPrefixBytes)])
}

// put records that a chain of upstreams has a prompt's prefix cached. When the map is full, all
// hints are dropped; they would expire soon in any case.
func (a *affinity) put(now clock.Millis, prompt string, chain []*pool.Upstream) {
	if len(a.hints) >= maxAffinityHints {
		clear(a.hints)
	}
	a.hints[prefixHash(prompt)] = affinityHint{chain: chain, expiresAt: now.Add(affinityTTL)}
}

// get returns the chain of upstreams that may have a prompt's prefix cached, or nil.
func (a *affinity) get(now clock.Millis, prompt string) []*pool.Upstream {
	h, ok := a.hints[prefixHash(prompt)]
	if !ok || now >= h.expiresAt {
		return nil
	}
	return h.chain
}
