package follow

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/logging"
)

// errReaderFailed marks the errors of another node that is followed in place of
// the store. The store is asked next.
var errReaderFailed = errors.New("follow: the reader failed")

// Reader is another node that reads the store.
type Reader interface {
	AwaitCatalog(ctx context.Context, after uint64, wait clock.Millis) (CatalogReading, error)
	AwaitUpstreams(ctx context.Context, after uint64, wait clock.Millis) (FleetReading, error)
}

// Readers says which node reads the store for this one.
type Readers interface {
	// Reader returns that node; nil where this one reads the store itself.
	Reader() Reader
	// Failed notes that following it did not work.
	Failed()
	// Followed tells whether other nodes follow this one.
	Followed() bool
}

// Followers is where what has been read goes for the nodes that follow this one.
type Followers interface {
	SetConfig(raw []byte, revision uint64, confirmed clock.Millis)
	AddFleet(revision uint64, changes []fleet.Change)
	// Suspend notes that the list cannot be passed on for now.
	Suspend()
}

// noReaders is for nodes that are on their own.
type noReaders struct{}

func (noReaders) Reader() Reader                         { return nil }
func (noReaders) Failed()                                {}
func (noReaders) Followed() bool                         { return false }
func (noReaders) SetConfig([]byte, uint64, clock.Millis) {}
func (noReaders) AddFleet(uint64, []fleet.Change)        {}
func (noReaders) Suspend()                               {}

// shared is what both followers of a node have in common.
type shared struct {
	clock     *clock.Clock
	log       *zap.Logger
	outage    *Outage
	readers   Readers
	followers Followers
}

// Option sets up a follower.
type Option func(*shared)

// WithReaders sets which nodes may be followed in place of the store, and where
// what has been read goes for those that follow this one.
func WithReaders(r Readers, f Followers) Option {
	return func(s *shared) { s.readers, s.followers = r, f }
}

func newShared(c *clock.Clock, log *zap.Logger, outage *Outage, opts []Option) shared {
	s := shared{clock: c, log: log, outage: outage, readers: noReaders{}, followers: noReaders{}}
	for _, opt := range opts {
		opt(&s)
	}
	return s
}

// reader returns the node to follow; nil where the whole is to be read, which
// only the store tells, and right after the store's return, when each node reads
// it itself. While this node alone has lost the store it follows another.
func (s *shared) reader(whole bool) Reader {
	if whole || !s.outage.Away() && s.outage.Lapsing(s.clock.Now()) {
		return nil
	}
	return s.readers.Reader()
}

// readerFailed notes that following another node did not work.
func (s *shared) readerFailed(ctx context.Context, table string, err error) error {
	s.readers.Failed()
	if ctx.Err() == nil {
		s.log.Info("reader_failed", zap.String("table", table), logging.Err(err))
	}
	return errors.Mark(err, errReaderFailed)
}
