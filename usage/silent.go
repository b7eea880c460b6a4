package usage

import (
	"slices"
	"sync"
	"time"

	"github.com/hoistjunction/hoistjunction/wire"
)

const (
	// gatherFor is for how long silent engines are gathered for one datagram. Many
	// are lost at the same moment, and all nodes find them out within a probe's time;
	// a datagram for each would keep the smallest VMs busy for a fifth of a second.
	gatherFor = 30 * time.Millisecond
	// tellAgain is when a datagram on silent engines is repeated: one in thirty is
	// lost on a bad link, and each node finds out by itself a little later.
	tellAgain = 50 * time.Millisecond
)

// gathering gathers names for a moment. It is safe for concurrent use.
type gathering struct {
	tell  func(names []string)
	mu    sync.Mutex
	names []string
}

func newGathering(tell func(names []string)) *gathering { return &gathering{tell: tell} }

// add adds a name, which is told with those of the next moment.
func (g *gathering) add(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slices.Contains(g.names, name) {
		return
	}
	g.names = append(g.names, name)
	if len(g.names) == 1 {
		time.AfterFunc(gatherFor, g.flush)
	}
}

func (g *gathering) flush() {
	g.mu.Lock()
	names := g.names
	g.names = nil
	g.mu.Unlock()
	g.tell(names)
}

// Silent tells the near peers soon that this node has found an engine silent.
func (s *Sharing) Silent(upstream string) { s.silent.add(upstream) }

func (s *Sharing) tellSilent(upstreams []string) {
	msg := &wire.Usage{From: s.self, Silent: upstreams}
	s.send(msg, s.near.Load())
	time.Sleep(tellAgain)
	s.send(msg, s.near.Load())
}
