package follow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/moment"
)

// errReaderFailed marks the errors of another node that is followed in place of
// the store. The store is asked next.
var errReaderFailed = errors.New("follow: the reader failed")

// errReaderUnresponsive marks the errors of another node whose connection may have gone silent.
// It is asked once more before it counts as failed.
var errReaderUnresponsive = errors.New("follow: the reader is silent")

// Reader is another node that reads the store.
type Reader interface {
	// AwaitCatalog waits for a configuration that supersedes one, or for a later proof that
	// there is none.
	AwaitCatalog(ctx context.Context, have catalog.Edition, wait clock.Millis) (CatalogReading, error)
	AwaitUpstreams(ctx context.Context, after moment.Moment, wait clock.Millis) (FleetReading, error)
}

// Readers says which node reads the store for this one.
type Readers interface {
	// First returns the node from which this one reads first that has read nothing yet; nil
	// for the store. Waits tells that it may be known soon.
	First() (reader Reader, waits bool)
	// Reader returns the node that reads the store for this one; nil where there is none.
	Reader() Reader
	// Failed notes that following a node did not work.
	Failed(r Reader)
	// Followed tells whether other nodes follow this one.
	Followed() bool
	// Overdue tells whether they wait for a proof that this node does not have.
	Overdue() bool
	// Waits tells whether this node, which has nobody to follow, is to leave the
	// store to others for now.
	Waits() bool
	// StoreLost notes that this node has tried the store in vain, and StoreBack that
	// it has it.
	StoreLost()
	StoreBack()
	// StoreReturned notes, once, that the store has come back from a copy.
	StoreReturned()
}

// Publisher is where what has been read goes for the nodes that follow this one.
type Publisher interface {
	SetConfig(k PublishedConfig)
	SetFleet(asOf moment.Moment, list []fleet.Upstream)
	AddFleet(asOf moment.Moment, changes []fleet.Change)
	// AddEnded notes upstreams that have turned out to be gone although nothing has
	// changed at the store meanwhile.
	AddEnded(ended []fleet.Change)
	// Returned notes that the store has come back from a copy: this node may remember more
	// than the store shows.
	Returned()
	// Suspend notes that the list cannot be passed on for now.
	Suspend()
}

// standalone is for nodes that are on their own.
type standalone struct{}

func (standalone) First() (Reader, bool)                    { return nil, false }
func (standalone) Reader() Reader                           { return nil }
func (standalone) Failed(Reader)                            {}
func (standalone) Followed() bool                           { return false }
func (standalone) Overdue() bool                            { return false }
func (standalone) Waits() bool                              { return false }
func (standalone) StoreLost()                               {}
func (standalone) StoreReturned()                           {}
func (standalone) StoreBack()                               {}
func (standalone) SetConfig(PublishedConfig)                {}
func (standalone) SetFleet(moment.Moment, []fleet.Upstream) {}
func (standalone) AddFleet(moment.Moment, []fleet.Change)   {}
func (standalone) AddEnded([]fleet.Change)                  {}
func (standalone) Returned()                                {}
func (standalone) Suspend()                                 {}

// base is what both followers of a node have in common.
type base struct {
	clock     *clock.Clock
	log       *zap.Logger
	outage    *Outage
	readers   Readers
	publisher Publisher
	limits    limits
}

// Option sets up a follower.
type Option func(*base)

// WithReaders sets which nodes may be followed in place of the store, and where
// what has been read goes for those that follow this one.
func WithReaders(r Readers, f Publisher) Option {
	return func(s *base) { s.readers, s.publisher = r, f }
}

// WithChangeDeadline sets within what time a change must be known.
func WithChangeDeadline(within clock.Millis) Option {
	return func(s *base) { s.limits = limitsFor(within) }
}

func newBase(c *clock.Clock, log *zap.Logger, outage *Outage, opts []Option) base {
	s := base{clock: c, log: log, outage: outage, readers: standalone{}, publisher: standalone{}, limits: limitsFor(defaultChangeDeadline)}
	for _, opt := range opts {
		opt(&s)
	}
	return s
}

const (
	// readerPollInterval is how often a node that leaves the store to others looks whether one
	// of them can be followed, and startPollInterval the same for one that has read nothing yet.
	readerPollInterval = 100 * time.Millisecond
	startPollInterval  = 10 * time.Millisecond
)

// pollInterval returns how often a node looks that leaves the store to others.
func pollInterval(read bool) time.Duration {
	if read {
		return readerPollInterval
	}
	return startPollInterval
}

// selectReader returns the node to follow, nil for the store. Waits tells that the store
// is to be left to others for now. A node that has read nothing yet may have to serve in a
// moment.
func (s *base) selectReader(read bool) (reader Reader, waits bool) {
	if !read {
		return s.readers.First()
	}
	reader = s.readers.Reader()
	return reader, reader == nil && s.readers.Waits()
}

// targetState is how sure a follower is that whoever it asks next is there.
type targetState int

const (
	// sure: whoever is asked has answered before, or nothing is known against it.
	trusted targetState = iota
	// silent: the last call brought no answer on its connection. Whoever was asked may
	// be well, so it is asked once more, on a new connection.
	unresponsive
	// successor: another node has failed, and the next one may be as dead.
	unverified
)

// next returns the doubt after a call that failed. While the store is away it is not
// asked twice in a row: every call to it costs.
func (d targetState) next(err error, failures int) targetState {
	switch {
	case errors.Is(err, errReaderFailed):
		return unverified
	case errors.Is(err, errReaderUnresponsive), errors.Is(err, ErrNoAnswer) && d != unresponsive && failures == 0:
		return unresponsive
	default:
		return trusted
	}
}

// nextWait is how long whoever is asked may hold a wait: in doubt not at all, so that it
// shows at once whether it is there.
func (d targetState) nextWait(usual clock.Millis) clock.Millis {
	if d == trusted {
		return usual
	}
	return 0
}

// logRetry logs that the last call is made once more.
func (s *base) logRetry(ctx context.Context, table string, err error) {
	if ctx.Err() != nil {
		return
	}
	s.log.Info("ask_again", zap.String("table", table), logging.Err(err))
}

// readerFailed notes that following another node did not work, but for a connection that
// has gone silent.
func (s *base) readerFailed(ctx context.Context, table string, reader Reader, d targetState, err error) error {
	if d == trusted && errors.Is(err, ErrNoAnswer) {
		return errors.Mark(err, errReaderUnresponsive)
	}
	s.readers.Failed(reader)
	if ctx.Err() == nil {
		s.log.Info("reader_failed", zap.String("table", table), logging.Err(err))
	}
	return errors.Mark(err, errReaderFailed)
}

// recordFailure notes a call to the store that was sent at a time and failed, and logs the first of
// an outage. It returns whether the call speaks against the store: one that has outlived
// an outage does not, and is made again at once.
func (s *base) recordFailure(ctx context.Context, table string, sent clock.Millis, err error) bool {
	if ctx.Err() != nil {
		return true
	}
	if s.outage.SentBeforeRecovery(sent) {
		s.logRetry(ctx, table, err)
		return false
	}
	s.readers.StoreLost()
	if s.outage.RecordFailure(s.clock.Now()) {
		s.log.Warn("store_lost", zap.String("table", table), logging.Err(err))
	}
	return true
}

// recordAnswer notes a call that was answered, by the store or by the node that is
// followed, and logs the end of an outage.
func (s *base) recordAnswer(table string, reader Reader) {
	now := s.clock.Now()
	if reader != nil {
		if s.outage.RecordReaderAnswer(now) {
			s.readers.StoreBack()
			s.log.Info("store_lost_long_ago", zap.String("table", table))
		}
		return
	}
	if s.outage.RecordAnswer(now) {
		s.readers.StoreBack()
		s.log.Info("store_back", zap.String("table", table))
	}
}

// checkRestore takes in that the store was read in another era than before: it has come back from
// a copy, which may lack entries of upstreams that live.
func (s *base) checkRestore(table string, known, asOf moment.Moment) {
	if s.outage.RecordEra(s.clock.Now(), asOf) {
		s.readers.StoreReturned()
		s.log.Info("read_in_another_era", zap.String("table", table), zap.Stringer("as_of", asOf), zap.Stringer("known", known))
	}
}
