package usage

import (
	"slices"
	"sync"
	"time"
)

// gatherFor is for how long news is gathered for one datagram. Many engines are lost at
// the same moment, and all nodes find them out within a probe's time; as many are ordered
// at once at a start. A datagram for each would keep the smallest VMs busy for seconds.
const gatherFor = 30 * time.Millisecond

// gathering gathers news for a moment. It is safe for concurrent use.
type gathering[T comparable] struct {
	tell func([]T)
	// atOnce tells that the first of some news is told at once, and only what follows
	// within a moment is gathered.
	atOnce bool
	mu     sync.Mutex
	news   []T
	// gathers tells that a moment is under way.
	gathers bool
}

func newGathering[T comparable](tell func([]T)) *gathering[T] { return &gathering[T]{tell: tell} }

// newGatheringAtOnce returns a gathering that tells the first news at once.
func newGatheringAtOnce[T comparable](tell func([]T)) *gathering[T] {
	return &gathering[T]{tell: tell, atOnce: true}
}

// add adds news, which is told with that of the same moment.
func (g *gathering[T]) add(news T) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slices.Contains(g.news, news) {
		return
	}
	g.news = append(g.news, news)
	if g.gathers {
		return
	}
	g.gathers = true
	if g.atOnce {
		go g.flush()
	} else {
		time.AfterFunc(gatherFor, g.flush)
	}
}

// flush tells what has been gathered.
func (g *gathering[T]) flush() {
	if news := g.take(); len(news) > 0 {
		g.tell(news)
	}
}

// take ends a moment, and begins the next one where it may bring news that waits.
func (g *gathering[T]) take() []T {
	g.mu.Lock()
	defer g.mu.Unlock()
	news := g.news
	g.news = nil
	g.gathers = g.atOnce && len(news) > 0
	if g.gathers {
		time.AfterFunc(gatherFor, g.flush)
	}
	return news
}
