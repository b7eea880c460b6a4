package recovery

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// retention is how long moved prompts are counted after the last move to an engine. Streams of a lost engine
// move within some hundred ms; after a second, usage reports and engine reports show their load.
const retention clock.Millis = 1000

// Backlog holds, by engine, the prompt tokens that this node has moved there and that have not
// been read yet. The other nodes are assumed to do the same: they lose streams through the same
// engines, and their reports arrive only after the streams must have moved. The zero value is
// empty.
type Backlog struct {
	moved map[fleet.Incarnation]movedTokens
}

// movedTokens are the unread tokens of this node as of a time.
type movedTokens struct {
	at     clock.Millis
	tokens float64
}

// Engine is an engine to which streams are moved.
type Engine struct {
	ID fleet.Incarnation
	// Rate is how many prompt tokens the engine reads per ms, for all nodes together; infinite if
	// unknown.
	Rate float64
	// Nodes is the number of nodes that move streams to the engine.
	Nodes int
}

// share returns the tokens per ms that the engine reads for one node.
func (e Engine) share() float64 { return e.Rate / float64(max(e.Nodes, 1)) }

// Add records tokens that this node has moved to an engine.
func (b *Backlog) Add(now clock.Millis, e Engine, tokens float64) {
	if b.moved == nil {
		b.moved = make(map[fleet.Incarnation]movedTokens)
	}
	b.expire(now)
	b.moved[e.ID] = movedTokens{at: now, tokens: b.unread(now, e) + tokens}
}

// Remove takes back tokens that the engine did not accept.
func (b *Backlog) Remove(now clock.Millis, e Engine, tokens float64) {
	if _, ok := b.moved[e.ID]; ok {
		b.moved[e.ID] = movedTokens{at: now, tokens: max(0, b.unread(now, e)-tokens)}
	}
}

// ReadTime returns how many ms the engine still reads the prompts that all nodes have moved to it.
func (b *Backlog) ReadTime(now clock.Millis, e Engine) float64 {
	unread := b.unread(now, e)
	if unread == 0 {
		return 0
	}
	return unread / e.share()
}

// unread returns the tokens of this node that an engine has not read yet.
func (b *Backlog) unread(now clock.Millis, e Engine) float64 {
	m, ok := b.moved[e.ID]
	if !ok || now >= m.at.Add(retention) {
		return 0
	}
	if now == m.at {
		// An infinite rate times zero is NaN.
		return m.tokens
	}
	return max(0, m.tokens-float64(now.Sub(m.at))*e.share())
}

// expire drops the engines whose moved prompts are no longer counted.
func (b *Backlog) expire(now clock.Millis) {
	for id, m := range b.moved {
		if now >= m.at.Add(retention) {
			delete(b.moved, id)
		}
	}
}
