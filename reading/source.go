package reading

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleetwire"
	"github.com/hoistjunction/hoistjunction/follow"
	"github.com/hoistjunction/hoistjunction/moment"
	"github.com/hoistjunction/hoistjunction/momentwire"
	"github.com/hoistjunction/hoistjunction/wire"
	"github.com/hoistjunction/hoistjunction/wire/wireconnect"
)

// Source follows another node's log. It implements follow.Reader.
type Source struct {
	client wireconnect.ReadingClient
	http   *http.Client
	// vouchSoon is for how long the node may let a first question wait.
	vouchSoon clock.Millis
	// self is where this node answers questions.
	self string

	mu sync.Mutex
	// whole is the whole list that the node has told last.
	whole follow.FleetReading
}

// NewSource returns a source that follows the node at an address, which may let a first
// question wait for a time. Self is where this node answers questions.
func NewSource(client *http.Client, address, self string, vouchSoon clock.Millis) *Source {
	return &Source{client: wireconnect.NewReadingClient(client, "http://"+address), http: client, self: self, vouchSoon: vouchSoon}
}

// limit is how long a call may take. A first question to a node has no wait of its own.
func (s *Source) limit(wait clock.Millis) time.Duration {
	if wait == 0 {
		wait = s.vouchSoon
	}
	return (wait + follow.ReaderMargin).Duration()
}

// failed takes a call that failed. Where it brought no answer, other connections that
// were open may be as silent as its own, so none of them is used again.
func (s *Source) failed(err error, what string) error {
	err = errors.Wrap(err, what)
	if connect.IsWireError(err) {
		return err
	}
	s.http.CloseIdleConnections()
	return follow.MarkSilent(err)
}

// AwaitCatalog implements follow.Reader.
func (s *Source) AwaitCatalog(ctx context.Context, have catalog.Edition, wait clock.Millis) (follow.CatalogReading, error) {
	ctx, cancel := context.WithTimeout(ctx, s.limit(wait))
	defer cancel()
	resp, err := s.client.AwaitConfig(ctx, connect.NewRequest(&wire.AwaitConfigRequest{Have: momentwire.Edition(have), WaitMs: int64(wait), Address: s.self}))
	if err != nil {
		return follow.CatalogReading{}, s.failed(err, "reading: configuration")
	}
	if resp.Msg.GetEdition() == nil {
		return follow.CatalogReading{}, errNamesNoEdition
	}
	edition := momentwire.EditionOf(resp.Msg.GetEdition())
	return follow.CatalogReading{
		Raw: resp.Msg.GetConfig(), Written: edition.Written(), Edition: edition,
		Age: clock.Millis(resp.Msg.GetAgeMs()), AnsweredAge: clock.Millis(resp.Msg.GetAnsweredAgeMs()),
	}, nil
}

// AwaitUpstreams implements follow.Reader.
func (s *Source) AwaitUpstreams(ctx context.Context, after moment.Moment, wait clock.Millis) (follow.FleetReading, error) {
	ctx, cancel := context.WithTimeout(ctx, s.limit(wait))
	defer cancel()
	had := s.had()
	resp, err := s.client.AwaitFleet(ctx, connect.NewRequest(&wire.AwaitFleetRequest{After: momentwire.Moment(after), WaitMs: int64(wait), Have: had.Token}))
	if err != nil {
		return follow.FleetReading{}, s.failed(err, "reading: list of upstreams")
	}
	if resp.Msg.GetAsOf() == nil {
		return follow.FleetReading{}, errNamesNoEdition
	}
	reading := follow.FleetReading{AsOf: momentwire.MomentOf(resp.Msg.GetAsOf()), Whole: resp.Msg.GetWhole(), Token: resp.Msg.GetToken()}
	if resp.Msg.GetSame() && had.Token != 0 && reading.Token == had.Token {
		reading.Changes = had.Changes
		return reading, nil
	}
	for _, c := range resp.Msg.GetChanges() {
		reading.Changes = append(reading.Changes, fleetwire.ChangeOf(c))
	}
	s.keep(reading)
	return reading, nil
}

// had returns the whole list that the node has told last. Followers ask for the whole list
// again and again while entries may come back, and it seldom changes meanwhile.
func (s *Source) had() follow.FleetReading {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.whole
}

func (s *Source) keep(reading follow.FleetReading) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reading.Whole {
		s.whole = reading
	}
}
