package usage

import (
	"slices"
	"sync"
	"time"
)

// batchDelay is for how long news is gathered for one datagram. Many engines are lost at
// the same moment, and all nodes find them out within a probe's time; as many are ordered
// at once at a start. A datagram for each would keep the smallest VMs busy for seconds.
const batchDelay = 30 * time.Millisecond

// batcher gathers news for a moment. It is safe for concurrent use.
type batcher[T comparable] struct {
	send func([]T)
	// sendFirstAtOnce tells that the first of some news is told at once, and only what follows
	// within a moment is gathered.
	sendFirstAtOnce bool
	mu              sync.Mutex
	items           []T
	// pending tells that a moment is under way.
	pending bool
}

func newBatcher[T comparable](tell func([]T)) *batcher[T] { return &batcher[T]{send: tell} }

// newImmediateBatcher returns a gathering that tells the first news at once.
func newImmediateBatcher[T comparable](tell func([]T)) *batcher[T] {
	return &batcher[T]{send: tell, sendFirstAtOnce: true}
}

// add adds news, which is told with that of the same moment.
func (g *batcher[T]) add(news T) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slices.Contains(g.items, news) {
		return
	}
	g.items = append(g.items, news)
	if g.pending {
		return
	}
	g.pending = true
	if g.sendFirstAtOnce {
		go g.flush()
	} else {
		time.AfterFunc(batchDelay, g.flush)
	}
}

// flush tells what has been gathered.
func (g *batcher[T]) flush() {
	if news := g.take(); len(news) > 0 {
		g.send(news)
	}
}

// take ends a moment, and begins the next one where it may bring news that waits.
func (g *batcher[T]) take() []T {
	g.mu.Lock()
	defer g.mu.Unlock()
	news := g.items
	g.items = nil
	g.pending = g.sendFirstAtOnce && len(news) > 0
	if g.pending {
		time.AfterFunc(batchDelay, g.flush)
	}
	return news
}
