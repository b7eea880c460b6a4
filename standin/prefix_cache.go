package standin

import (
	"github.com/hoistjunction/hoistjunction/wire"
)

// prefixBlock is how many positions are cached as one.
const prefixBlock = 16

// prefixCache remembers, in limited memory, which beginnings of prompts have
// been worked out lately. It saves time only: answers do not depend on it.
type prefixCache struct {
	capacity int
	order    []uint64
	digests  map[uint64]bool
}

func newPrefixCache(most int) prefixCache {
	return prefixCache{capacity: most, digests: make(map[uint64]bool)}
}

// lookup returns how many positions of a first step are cached, and caches
// the rest.
func (c *prefixCache) lookup(step *wire.StepRequest) int {
	inputs := step.GetInputs()
	if len(inputs) == 0 {
		inputs = embedTokens(step, 0)
	}
	digest, cached, hit := uint64(0), 0, true
	for i := 0; i+prefixBlock <= len(inputs); i += prefixBlock {
		for _, input := range inputs[i : i+prefixBlock] {
			digest = mix(digest, input)
		}
		hit = hit && c.digests[digest]
		if hit {
			cached += prefixBlock
		}
		c.add(digest)
	}
	return min(cached, len(inputs)-1)
}

func (c *prefixCache) add(digest uint64) {
	if c.digests[digest] || c.capacity == 0 {
		return
	}
	if len(c.order) >= c.capacity {
		delete(c.digests, c.order[0])
		c.order = c.order[1:]
	}
	c.order = append(c.order, digest)
	c.digests[digest] = true
}
