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

// errReaderSilent marks the errors of another node whose connection may have gone silent.
// It is asked once more before it counts as failed.
var errReaderSilent = errors.New("follow: the reader is silent")

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

// Followers is where what has been read goes for the nodes that follow this one.
type Followers interface {
	SetConfig(k Known)
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

// noReaders is for nodes that are on their own.
type noReaders struct{}

func (noReaders) First() (Reader, bool)                    { return nil, false }
func (noReaders) Reader() Reader                           { return nil }
func (noReaders) Failed(Reader)                            {}
func (noReaders) Followed() bool                           { return false }
func (noReaders) Overdue() bool                            { return false }
func (noReaders) Waits() bool                              { return false }
func (noReaders) StoreLost()                               {}
func (noReaders) StoreReturned()                           {}
func (noReaders) StoreBack()                               {}
func (noReaders) SetConfig(Known)                          {}
func (noReaders) SetFleet(moment.Moment, []fleet.Upstream) {}
func (noReaders) AddFleet(moment.Moment, []fleet.Change)   {}
func (noReaders) AddEnded([]fleet.Change)                  {}
func (noReaders) Returned()                                {}
func (noReaders) Suspend()                                 {}

// shared is what both followers of a node have in common.
type shared struct {
	clock     *clock.Clock
	log       *zap.Logger
	outage    *Outage
	readers   Readers
	followers Followers
	limits    limits
}

// Option sets up a follower.
type Option func(*shared)

// WithReaders sets which nodes may be followed in place of the store, and where
// what has been read goes for those that follow this one.
func WithReaders(r Readers, f Followers) Option {
	return func(s *shared) { s.readers, s.followers = r, f }
}

// WithChangesWithin sets within what time a change must be known.
func WithChangesWithin(within clock.Millis) Option {
	return func(s *shared) { s.limits = limitsFor(within) }
}

func newShared(c *clock.Clock, log *zap.Logger, outage *Outage, opts []Option) shared {
	s := shared{clock: c, log: log, outage: outage, readers: noReaders{}, followers: noReaders{}, limits: limitsFor(usualWithin)}
	for _, opt := range opts {
		opt(&s)
	}
	return s
}

const (
	// lookAgain is how often a node that leaves the store to others looks whether one
	// of them can be followed, and lookFirst the same for one that has read nothing yet.
	lookAgain = 100 * time.Millisecond
	lookFirst = 10 * time.Millisecond
)

// look returns how often a node looks that leaves the store to others.
func look(read bool) time.Duration {
	if read {
		return lookAgain
	}
	return lookFirst
}

// reader returns the node to follow, nil for the store. Waits tells that the store
// is to be left to others for now. A node that has read nothing yet may have to serve in a
// moment.
func (s *shared) reader(read bool) (reader Reader, waits bool) {
	if !read {
		return s.readers.First()
	}
	reader = s.readers.Reader()
	return reader, reader == nil && s.readers.Waits()
}

// doubt is how sure a follower is that whoever it asks next is there.
type doubt int

const (
	// sure: whoever is asked has answered before, or nothing is known against it.
	sure doubt = iota
	// silent: the last call brought no answer on its connection. Whoever was asked may
	// be well, so it is asked once more, on a new connection.
	silent
	// successor: another node has failed, and the next one may be as dead.
	successor
)

// after returns the doubt after a call that failed. While the store is away it is not
// asked twice in a row: every call to it costs.
func (d doubt) after(err error, failures int) doubt {
	switch {
	case errors.Is(err, errReaderFailed):
		return successor
	case errors.Is(err, errReaderSilent), errors.Is(err, ErrSilent) && d != silent && failures == 0:
		return silent
	default:
		return sure
	}
}

// wait is how long whoever is asked may hold a wait: in doubt not at all, so that it
// shows at once whether it is there.
func (d doubt) wait(usual clock.Millis) clock.Millis {
	if d == sure {
		return usual
	}
	return 0
}

// askAgain logs that the last call is made once more.
func (s *shared) askAgain(ctx context.Context, table string, err error) {
	if ctx.Err() != nil {
		return
	}
	s.log.Info("ask_again", zap.String("table", table), logging.Err(err))
}

// readerFailed notes that following another node did not work, but for a connection that
// has gone silent.
func (s *shared) readerFailed(ctx context.Context, table string, reader Reader, d doubt, err error) error {
	if d == sure && errors.Is(err, ErrSilent) {
		return errors.Mark(err, errReaderSilent)
	}
	s.readers.Failed(reader)
	if ctx.Err() == nil {
		s.log.Info("reader_failed", zap.String("table", table), logging.Err(err))
	}
	return errors.Mark(err, errReaderFailed)
}

// lost notes a call to the store that was sent at a time and failed, and logs the first of
// an outage. It returns whether the call speaks against the store: one that has outlived
// an outage does not, and is made again at once.
func (s *shared) lost(ctx context.Context, table string, sent clock.Millis, err error) bool {
	if ctx.Err() != nil {
		return true
	}
	if s.outage.Outlived(sent) {
		s.askAgain(ctx, table, err)
		return false
	}
	s.readers.StoreLost()
	if s.outage.Lost(s.clock.Now()) {
		s.log.Warn("store_lost", zap.String("table", table), logging.Err(err))
	}
	return true
}

// back notes a call that was answered, by the store or by the node that is
// followed, and logs the end of an outage.
func (s *shared) back(table string, reader Reader) {
	now := s.clock.Now()
	if reader != nil {
		if s.outage.Told(now) {
			s.readers.StoreBack()
			s.log.Info("store_lost_long_ago", zap.String("table", table))
		}
		return
	}
	if s.outage.Back(now) {
		s.readers.StoreBack()
		s.log.Info("store_back", zap.String("table", table))
	}
}

// returned takes in that the store was read in another era than before: it has come back from
// a copy, which may lack entries of upstreams that live.
func (s *shared) returned(table string, known, asOf moment.Moment) {
	if s.outage.Returned(s.clock.Now(), asOf) {
		s.readers.StoreReturned()
		s.log.Info("read_in_another_era", zap.String("table", table), zap.Stringer("as_of", asOf), zap.Stringer("known", known))
	}
}
