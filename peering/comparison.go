package peering

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/moment"
)

const (
	// comparisonInterval is how often a node that has just started checks whether to query its
	// peers. A peer answers within a few ms.
	comparisonInterval = 25 * time.Millisecond
	// maxComparison bounds the time from a node's first configuration to the end of its comparison, so
	// that nodes serve that have all started, or whose peers are all gone. All nodes that were killed
	// together must serve again within 2 s.
	maxComparison clock.Millis = 600
	// comparisonPause is the pause between two rounds of queries for the comparison.
	comparisonPause clock.Millis = 100
)

const (
	// comparisonPeers is how many peers are queried in a round of the comparison.
	comparisonPeers = 9
	// startedRounds is the number of rounds in a row in which all queried peers must have answered that
	// they have just started too, where a round does not reach all peers: with nine in ten nodes
	// started, all of 27 are such in one case of 17.
	startedRounds = 3
	// noRound is the round of a query that is not part of a comparison.
	noRound = 0
)

// answerKind is what the answer to a query was.
type answerKind uint8

const (
	noAnswer answerKind = iota
	// answeredStarted is the answer of a peer that has not compared its own configuration or has none,
	// and answeredCompared that of any other.
	answeredStarted
	answeredCompared
)

// comparison is the comparison of the configuration that a node has first after its start with
// those of its peers. The store may have been restored from a backup that is older than what peers
// remember. It ends with the answer of a peer that has ended its own, for a node without peers, where
// all peers have just started too so that nobody remembers more, or after maxComparison. A node whose
// system starts for the first time makes none.
type comparison struct {
	// registryRead reports whether the registry has been read, so that a node that knows no peers has
	// none.
	registryRead atomic.Bool
	done         atomic.Bool
	// began is when the node had its first configuration, as a clock.Millis; 0 before.
	began atomic.Int64
	mu    sync.Mutex
	// round is the current round of queries, asked how many peers it queries, covers whether these are all
	// and started how many have answered that they have just started.
	round, asked, started int
	covers                bool
	// inRow is the number of rounds in a row in which all have.
	inRow int
	// first is the configuration that the node had first. requested reports whether a reading of the registry
	// was requested, and requestedIn for which era last. Only Run uses them.
	first       catalog.Edition
	requested   bool
	requestedIn moment.Moment
	// doubt is how long the configuration may be in doubt, and whether it is.
	doubt doubt
	// onEnd is called at the end; nil for nobody.
	onEnd func()
}

// WithComparison sets the function that is called once the configuration that the node has first has
// been compared with those of its peers.
func WithComparison(onEnd func()) Option {
	return func(p *Peering) { p.comparison.onEnd = onEnd }
}

// needsComparison reports whether peers must be queried for the comparison.
func (p *Peering) needsComparison(have catalog.Edition) bool {
	return !p.comparison.done.Load() && !have.IsZero()
}

// beginRound begins a round that queries some of the known peers, and returns its number.
func (c *comparison) beginRound(asked, peers int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.started < c.asked {
		c.inRow = 0
	}
	c.round++
	c.asked, c.started, c.covers = asked, 0, asked == peers
	return c.round
}

// recordStarted records that a peer queried in a round has just started, and reports whether all have.
func (c *comparison) recordStarted(round int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if round != c.round || round == noRound {
		return false
	}
	if c.started++; c.started < c.asked {
		return false
	}
	c.inRow++
	return c.registryRead.Load() && (c.covers || c.inRow >= startedRounds)
}

// reviewComparison ends a comparison that needs no answer or has waited for too long.
func (p *Peering) reviewComparison() {
	c := &p.comparison
	if !p.needsComparison(p.local.Config().Edition) {
		return
	}
	now := p.clock.Now()
	if c.began.Load() == 0 {
		c.began.Store(int64(max(now, 1)))
		c.first = p.local.Config().Edition
	}
	p.requestRegistry()
	switch {
	case p.inDoubt(now):
		if p.local.Config().Edition.Supersedes(c.first) {
			p.endComparison("written_again")
		}
	case c.registryRead.Load() && len(p.directory.others()) == 0:
		p.endComparison("no_peers")
	case now >= clock.Millis(c.began.Load()).Add(maxComparison):
		p.endComparison("time_is_up")
	}
}

// inDoubt reports whether the first configuration of the node is in doubt.
func (p *Peering) inDoubt(now clock.Millis) bool {
	return p.comparison.doubt.holds(now, clock.Millis(p.comparison.began.Load()), p.storeEra())
}

// storeEra returns the newest known era of the store. A node that has its configuration from a reader may
// not have reached the store itself.
func (p *Peering) storeEra() moment.Moment {
	return moment.Latest(p.local.StoreEra(), p.local.ProvenIn())
}

// requestRegistry has the registry read at once if it has not been read in the present era of the store,
// one time for each era. Further readings after a failed one have their pauses.
func (p *Peering) requestRegistry() {
	c, era := &p.comparison, p.storeEra()
	if c.doubt.isRead(era) || c.requested && !era.InLaterEra(c.requestedIn) {
		return
	}
	c.requested, c.requestedIn = true, era
	select {
	case p.registryRequested <- struct{}{}:
	default:
	}
}

// endComparison ends the comparison, for a reason.
func (p *Peering) endComparison(reason string) {
	if p.comparison.done.Swap(true) {
		return
	}
	p.Vouch()
	p.log.Info("config_compared", zap.String("by", reason), zap.Stringer("version", p.local.Config().Edition), zap.Int64("after_ms", int64(p.clock.Now())))
	if p.comparison.onEnd != nil {
		p.comparison.onEnd()
	}
}
