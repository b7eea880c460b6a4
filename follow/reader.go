package follow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/internal/contain"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/moment"
)

// errReaderFailed marks errors of calls to a reader that has failed, so that the next call goes
// to another reader or to the store.
var errReaderFailed = errors.New("follow: reader failed")

// errReaderUnresponsive marks errors of calls to a reader whose connection may be unresponsive.
// Such a call is repeated once before the reader counts as failed.
var errReaderUnresponsive = errors.New("follow: reader is unresponsive")

// Reader is another node that reads the store.
type Reader interface {
	// AwaitCatalog waits for a configuration that supersedes an edition, or for a later proof
	// that there is none.
	AwaitCatalog(ctx context.Context, have catalog.Edition, wait clock.Millis) (CatalogReading, error)
	// AwaitUpstreams waits for changes of the list after a moment.
	AwaitUpstreams(ctx context.Context, after moment.Moment, wait clock.Millis) (FleetReading, error)
}

// Readers selects the node that reads the store for this one.
type Readers interface {
	// InitialReader returns the node from which this node fetches its initial reading, or nil to read
	// the store. pending reports whether the caller should ask again because the other nodes
	// are not known yet.
	InitialReader() (reader Reader, pending bool)
	// Reader returns the node that reads the store for this one, or nil if there is none.
	Reader() Reader
	// ReaderFailed records that a call to a reader failed.
	ReaderFailed(r Reader)
	// HasFollowers reports whether other nodes follow this one.
	HasFollowers() bool
	// NeedsProof reports whether followers wait for a proof that this node does not have.
	NeedsProof() bool
	// ShouldWait reports whether this node, which has no reader, should not call the store yet.
	ShouldWait() bool
	// StoreLost records that a call of this node to the store failed, and StoreRecovered that the
	// store has answered again.
	StoreLost()
	StoreRecovered()
	// StoreRestored records a store restore. It is called once for each restore.
	StoreRestored()
}

// Publisher publishes readings to the nodes that follow this one.
type Publisher interface {
	// SetConfig publishes the active configuration.
	SetConfig(config PublishedConfig)
	// SetFleet publishes the full list, and AddFleet changes of it.
	SetFleet(asOf moment.Moment, list []fleet.Upstream)
	AddFleet(asOf moment.Moment, changes []fleet.Change)
	// AddEnded publishes the removal of upstreams without a change at the store.
	AddEnded(ended []fleet.Change)
	// MarkRestored records a store restore, after which this node may know more than the store
	// contains.
	MarkRestored()
	// Suspend stops publishing the list until the next SetFleet.
	Suspend()
}

// standalone implements Readers and Publisher for a node without other nodes.
type standalone struct{}

func (standalone) InitialReader() (Reader, bool)            { return nil, false }
func (standalone) Reader() Reader                           { return nil }
func (standalone) ReaderFailed(Reader)                      {}
func (standalone) HasFollowers() bool                       { return false }
func (standalone) NeedsProof() bool                         { return false }
func (standalone) ShouldWait() bool                         { return false }
func (standalone) StoreLost()                               {}
func (standalone) StoreRestored()                           {}
func (standalone) StoreRecovered()                          {}
func (standalone) SetConfig(PublishedConfig)                {}
func (standalone) SetFleet(moment.Moment, []fleet.Upstream) {}
func (standalone) AddFleet(moment.Moment, []fleet.Change)   {}
func (standalone) AddEnded([]fleet.Change)                  {}
func (standalone) MarkRestored()                            {}
func (standalone) Suspend()                                 {}

// base is the common part of both followers of a node.
type base struct {
	clock     *clock.Clock
	log       *zap.Logger
	outage    *Outage
	readers   Readers
	publisher Publisher
	limits    limits
	guard     contain.GuardFunc
}

// Option configures a follower.
type Option func(*base)

// WithReaders sets which nodes may be followed instead of the store, and the publisher for the
// followers of this node.
func WithReaders(r Readers, p Publisher) Option {
	return func(s *base) { s.readers, s.publisher = r, p }
}

// WithChangeDeadline sets the deadline within which changes must arrive at this node.
func WithChangeDeadline(deadline clock.Millis) Option {
	return func(s *base) { s.limits = limitsFor(deadline) }
}

// WithGuard sets the function that runs goroutines which are not loops of the node.
func WithGuard(guard contain.GuardFunc) Option { return func(s *base) { s.guard = guard } }

func newBase(c *clock.Clock, log *zap.Logger, outage *Outage, opts []Option) base {
	s := base{clock: c, log: log, outage: outage, readers: standalone{}, publisher: standalone{}, limits: limitsFor(defaultChangeDeadline), guard: contain.Unguarded}
	for _, opt := range opts {
		opt(&s)
	}
	return s
}

const (
	// readerPollInterval is how often a node that waits checks for a reader, and
	// startPollInterval the same before its initial reading.
	readerPollInterval = 100 * time.Millisecond
	startPollInterval  = 10 * time.Millisecond
)

// pollInterval returns how often a node that waits checks for a reader.
func pollInterval(hasRead bool) time.Duration {
	if hasRead {
		return readerPollInterval
	}
	return startPollInterval
}

// selectReader returns the node to follow, or nil for the store. pending reports whether the
// node should wait instead of calling the store. hasRead reports whether the node has its
// initial reading; without it, the initial reader is selected, since the node may have to serve
// requests soon.
func (s *base) selectReader(hasRead bool) (reader Reader, pending bool) {
	if !hasRead {
		return s.readers.InitialReader()
	}
	reader = s.readers.Reader()
	return reader, reader == nil && s.readers.ShouldWait()
}

// targetState is the assumed state of the store or the reader that gets the next call.
type targetState int

const (
	// trusted means that the target has answered before, or that nothing indicates a failure.
	trusted targetState = iota
	// unresponsive means that the last call got no answer. The target may be healthy, so the
	// call is repeated once on a new connection.
	unresponsive
	// unverified means that another reader has failed, and that the target, the next one, may
	// have failed as well.
	unverified
)

// next returns the state after a failed call. During an outage, failed calls to the store are
// not repeated immediately, since every call is expensive.
func (state targetState) next(err error, failures int) targetState {
	switch {
	case errors.Is(err, errReaderFailed):
		return unverified
	case errors.Is(err, errReaderUnresponsive), errors.Is(err, ErrNoAnswer) && state != unresponsive && failures == 0:
		return unresponsive
	default:
		return trusted
	}
}

// nextWait returns how long the target may hold a call. A target that is not trusted gets no
// wait, so that the call shows immediately whether it responds.
func (state targetState) nextWait(usual clock.Millis) clock.Millis {
	if state == trusted {
		return usual
	}
	return 0
}

// logRetry logs that the last call is repeated.
func (s *base) logRetry(ctx context.Context, table string, err error) {
	if ctx.Err() != nil {
		return
	}
	s.log.Info("ask_again", zap.String("table", table), logging.Err(err))
}

// readerFailed records that a call to a reader failed, unless its connection may be
// unresponsive and the call is repeated.
func (s *base) readerFailed(ctx context.Context, table string, reader Reader, state targetState, err error) error {
	if state == trusted && errors.Is(err, ErrNoAnswer) {
		return errors.Mark(err, errReaderUnresponsive)
	}
	s.readers.ReaderFailed(reader)
	if ctx.Err() == nil {
		s.log.Info("reader_failed", zap.String("table", table), logging.Err(err))
	}
	return errors.Mark(err, errReaderFailed)
}

// recordFailure records a failed call to the store that was sent at a time, and logs the first
// one of an outage. It reports whether the store counts as unreachable. A call that was sent
// before the end of the last outage is no sign of another one and is repeated immediately.
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

// recordAnswer records an answer of the store or the reader, and logs the end of an outage.
func (s *base) recordAnswer(table string, reader Reader) {
	now := s.clock.Now()
	if reader != nil {
		if s.outage.RecordReaderAnswer(now) {
			s.readers.StoreRecovered()
			s.log.Info("store_lost_long_ago", zap.String("table", table))
		}
		return
	}
	if s.outage.RecordAnswer(now) {
		s.readers.StoreRecovered()
		s.log.Info("store_back", zap.String("table", table))
	}
}

// checkRestore handles a reading of another era than the previous one: the store was restored
// from a backup, which may lack entries of running upstreams.
func (s *base) checkRestore(table string, previous, asOf moment.Moment) {
	if s.outage.RecordEra(s.clock.Now(), asOf) {
		s.readers.StoreRestored()
		s.log.Info("read_in_another_era", zap.String("table", table), zap.Stringer("as_of", asOf), zap.Stringer("known", previous))
	}
}
