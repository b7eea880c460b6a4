package standin

import (
	"net/http"
	"sync"
	"time"
)

// EngineRegistry holds the engines of a process by their addresses. They run the parts of a chain for each
// other without calls: thousands of events a second would otherwise cost as many calls a part.
type EngineRegistry struct {
	mu      sync.Mutex
	engines map[string]*ChainEngine
}

// NewEngineRegistry returns an empty yard.
func NewEngineRegistry() *EngineRegistry {
	return &EngineRegistry{engines: make(map[string]*ChainEngine)}
}

// NewEngine returns an engine of the yard, which runs there from now on.
func (y *EngineRegistry) NewEngine(id, advertised string, model *PipelineModel, opts ...ServerOption) *ChainEngine {
	e := NewChainEngine(id, advertised, opts...)
	e.model, e.registry = model, y
	y.mu.Lock()
	defer y.mu.Unlock()
	y.engines[advertised] = e
	return e
}

// Remove takes an engine off the yard that has ended.
func (y *EngineRegistry) Remove(e *ChainEngine) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.engines[e.ownAddress] == e {
		delete(y.engines, e.ownAddress)
	}
}

func (y *EngineRegistry) engineAt(address string) *ChainEngine {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.engines[address]
}

// SetSlowdown has an engine take so many times as long as usual; zero and one for as long.
func (e *ChainEngine) SetSlowdown(times float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = times
}

// memoryUsed is what streams take of the memory. The caller holds the lock.
func (e *ChainEngine) memoryUsed() float64 {
	if e.registry == nil {
		return streamMemory * float64(len(e.streams))
	}
	return e.usedMemory
}

// stageEngine is the engine of the yard that runs a part; nil for none.
func (e *ChainEngine) stageEngine(p chainStage) *ChainEngine {
	if e.registry == nil {
		return nil
	}
	return e.registry.engineAt(p.address)
}

// reserve takes the memory of a stream at all parts of its chain, and returns the address of the
// first that lacks it, or whose slots are taken; empty for none.
func (e *ChainEngine) reserve(r *http.Request, parts []chainStage) string {
	if e.registry == nil {
		return ""
	}
	for i, p := range parts {
		if other := e.stageEngine(p); other == nil || !other.reserveStage(r, p, i == 0) {
			e.release(r, parts[:i])
			return p.address
		}
	}
	return ""
}

// reserveStage takes the memory of one part of a stream.
func (e *ChainEngine) reserveStage(r *http.Request, p chainStage, first bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	amount := e.model.streamTokens(r) * float64(p.layers.Len())
	if first && len(e.streams) >= e.model.slots() || e.usedMemory+amount > e.model.streamCapacity(e.heldLayers.Len()) {
		return false
	}
	e.usedMemory += amount
	e.passingStreams++
	return true
}

// release gives the memory of a stream back.
func (e *ChainEngine) release(r *http.Request, parts []chainStage) {
	for _, p := range parts {
		other := e.stageEngine(p)
		if other == nil {
			continue
		}
		other.mu.Lock()
		other.usedMemory = max(0, other.usedMemory-other.model.streamTokens(r)*float64(p.layers.Len()))
		other.passingStreams = max(0, other.passingStreams-1)
		other.mu.Unlock()
	}
}

// promptTime is how long the prompt of a stream is read by all parts of its chain.
func (e *ChainEngine) promptTime(r *http.Request, stream *engineStream) time.Duration {
	return e.chainTime(stream, func(part *ChainEngine, layers int) time.Duration { return part.model.promptTime(r, layers) })
}

// eventTime is how long an event takes.
func (e *ChainEngine) eventTime(stream *engineStream) time.Duration {
	return e.chainTime(stream, func(part *ChainEngine, layers int) time.Duration {
		return part.model.eventTime(layers, part.passingStreams)
	})
}

// chainTime sums up the times of the parts of a chain. What a lost part would take, this engine
// takes for it: the stream finds out with the event.
func (e *ChainEngine) chainTime(stream *engineStream, of func(part *ChainEngine, layers int) time.Duration) time.Duration {
	e.mu.Lock()
	parts := stream.stages
	e.mu.Unlock()
	total := time.Duration(0)
	for _, p := range parts {
		part := e.stageEngine(p)
		if part == nil {
			part = e
		}
		part.mu.Lock()
		total += time.Duration(float64(of(part, p.layers.Len())) * max(part.slowdown, 1))
		part.mu.Unlock()
	}
	return total
}

// FreeMemory tells which layers an engine holds, and for how many tokens it has memory left at all
// of them together; none where its slots are taken.
func (e *ChainEngine) FreeMemory() (from, to int, tokens float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.streams) < e.model.slots() && !e.heldLayers.Empty() {
		tokens = (e.model.streamCapacity(e.heldLayers.Len()) - e.usedMemory) / float64(e.heldLayers.Len())
	}
	return e.heldLayers.From, e.heldLayers.To, tokens
}
