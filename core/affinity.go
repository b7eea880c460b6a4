package core

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/pool"
)

// Constants of the affinity. Engines' caches are small and their events come
// late and with gaps, so a hint is only believed for a while.
const (
	affinityPrefixBytes              = 64
	affinityTTL         clock.Millis = 30_000
	maxAffinityHints                 = 4096
)

// affinity remembers which upstreams last ran a prompt that began alike.
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

// put notes that a chain has a prompt's prefix cached. When there is no room
// for more, all hints are dropped: they would be stale soon in any case.
func (a *affinity) put(now clock.Millis, prompt string, chain []*pool.Upstream) {
	if len(a.hints) >= maxAffinityHints {
		clear(a.hints)
	}
	a.hints[prefixHash(prompt)] = affinityHint{chain: chain, expiresAt: now.Add(affinityTTL)}
}

// get returns the chain that may have a prompt's prefix cached, or nil.
func (a *affinity) get(now clock.Millis, prompt string) []*pool.Upstream {
	h, ok := a.hints[prefixHash(prompt)]
	if !ok || now >= h.expiresAt {
		return nil
	}
	return h.chain
}
