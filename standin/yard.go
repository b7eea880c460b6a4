package standin

import (
	"net/http"
	"sync"
	"time"
)

// Yard holds the engines of a process by their addresses. They run the parts of a chain for each
// other without calls: thousands of events a second would otherwise cost as many calls a part.
type Yard struct {
	mu      sync.Mutex
	engines map[string]*ChainEngine
}

// NewYard returns an empty yard.
func NewYard() *Yard { return &Yard{engines: make(map[string]*ChainEngine)} }

// NewEngine returns an engine of the yard, which runs there from now on.
func (y *Yard) NewEngine(id, advertised string, model *PipelineModel, opts ...ServerOption) *ChainEngine {
	e := NewChainEngine(id, advertised, opts...)
	e.model, e.yard = model, y
	y.mu.Lock()
	defer y.mu.Unlock()
	y.engines[advertised] = e
	return e
}

// Remove takes an engine off the yard that has ended.
func (y *Yard) Remove(e *ChainEngine) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.engines[e.advertised] == e {
		delete(y.engines, e.advertised)
	}
}

func (y *Yard) at(address string) *ChainEngine {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.engines[address]
}

// SetSlow has an engine take so many times as long as usual; zero and one for as long.
func (e *ChainEngine) SetSlow(times float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = times
}

// memoryUsed is what streams take of the memory. The caller holds the lock.
func (e *ChainEngine) memoryUsed() float64 {
	if e.yard == nil {
		return streamMemory * float64(len(e.streams))
	}
	return e.used
}

// partAt is the engine of the yard that runs a part; nil for none.
func (e *ChainEngine) partAt(p enginePart) *ChainEngine {
	if e.yard == nil {
		return nil
	}
	return e.yard.at(p.address)
}

// reserve takes the memory of a stream at all parts of its chain, and returns the address of the
// first that lacks it, or whose slots are taken; empty for none.
func (e *ChainEngine) reserve(r *http.Request, parts []enginePart) string {
	if e.yard == nil {
		return ""
	}
	for i, p := range parts {
		if other := e.partAt(p); other == nil || !other.takePart(r, p, i == 0) {
			e.release(r, parts[:i])
			return p.address
		}
	}
	return ""
}

// takePart takes the memory of one part of a stream.
func (e *ChainEngine) takePart(r *http.Request, p enginePart, first bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	amount := e.model.size(r) * float64(p.layers.Len())
	if first && len(e.streams) >= e.model.slots() || e.used+amount > e.model.room(e.held.Len()) {
		return false
	}
	e.used += amount
	e.passing++
	return true
}

// release gives the memory of a stream back.
func (e *ChainEngine) release(r *http.Request, parts []enginePart) {
	for _, p := range parts {
		other := e.partAt(p)
		if other == nil {
			continue
		}
		other.mu.Lock()
		other.used = max(0, other.used-other.model.size(r)*float64(p.layers.Len()))
		other.passing = max(0, other.passing-1)
		other.mu.Unlock()
	}
}

// readTime is how long the prompt of a stream is read by all parts of its chain.
func (e *ChainEngine) readTime(r *http.Request, stream *engineStream) time.Duration {
	return e.chainTime(stream, func(part *ChainEngine, layers int) time.Duration { return part.model.read(r, layers) })
}

// stepTime is how long an event takes.
func (e *ChainEngine) stepTime(stream *engineStream) time.Duration {
	return e.chainTime(stream, func(part *ChainEngine, layers int) time.Duration { return part.model.step(layers, part.passing) })
}

// chainTime sums up the times of the parts of a chain. What a lost part would take, this engine
// takes for it: the stream finds out with the event.
func (e *ChainEngine) chainTime(stream *engineStream, of func(part *ChainEngine, layers int) time.Duration) time.Duration {
	e.mu.Lock()
	parts := stream.parts
	e.mu.Unlock()
	total := time.Duration(0)
	for _, p := range parts {
		part := e.partAt(p)
		if part == nil {
			part = e
		}
		part.mu.Lock()
		total += time.Duration(float64(of(part, p.layers.Len())) * max(part.slow, 1))
		part.mu.Unlock()
	}
	return total
}

// Serving tells which layers an engine holds, and for how many tokens it has memory left at all
// of them together; none where its slots are taken.
func (e *ChainEngine) Serving() (from, to int, tokens float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.streams) < e.model.slots() && !e.held.Empty() {
		tokens = (e.model.room(e.held.Len()) - e.used) / float64(e.held.Len())
	}
	return e.held.From, e.held.To, tokens
}
