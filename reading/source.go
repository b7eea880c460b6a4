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
	client     wireconnect.ReadingClient
	httpClient *http.Client
	// firstRequestWait is for how long the node may let a first question wait.
	firstRequestWait clock.Millis
	// selfAddress is where this node answers questions.
	selfAddress string

	mu sync.Mutex
	// lastFullList is the whole list that the node has told last.
	lastFullList follow.FleetReading
}

// NewSource returns a source that follows the node at an address, which may let a first
// question wait for a time. Self is where this node answers questions.
func NewSource(client *http.Client, address, self string, vouchSoon clock.Millis) *Source {
	return &Source{client: wireconnect.NewReadingClient(client, "http://"+address), httpClient: client, selfAddress: self, firstRequestWait: vouchSoon}
}

// callTimeout is how long a call may take. A first question to a node has no wait of its own.
func (s *Source) callTimeout(wait clock.Millis) time.Duration {
	if wait == 0 {
		wait = s.firstRequestWait
	}
	return (wait + follow.ReaderMargin).Duration()
}

// handleError takes a call that failed. Where it brought no answer, other connections that
// were open may be as silent as its own, so none of them is used again.
func (s *Source) handleError(err error, what string) error {
	err = errors.Wrap(err, what)
	if connect.IsWireError(err) {
		return err
	}
	s.httpClient.CloseIdleConnections()
	return follow.MarkNoAnswer(err)
}

// AwaitCatalog implements follow.Reader.
func (s *Source) AwaitCatalog(ctx context.Context, have catalog.Edition, wait clock.Millis) (follow.CatalogReading, error) {
	ctx, cancel := context.WithTimeout(ctx, s.callTimeout(wait))
	defer cancel()
	resp, err := s.client.AwaitConfig(ctx, connect.NewRequest(&wire.AwaitConfigRequest{Have: momentwire.Edition(have), WaitMs: int64(wait), Address: s.selfAddress}))
	if err != nil {
		return follow.CatalogReading{}, s.handleError(err, "reading: configuration")
	}
	if resp.Msg.GetEdition() == nil {
		return follow.CatalogReading{}, errMissingEdition
	}
	edition := momentwire.EditionOf(resp.Msg.GetEdition())
	return follow.CatalogReading{
		Raw: resp.Msg.GetConfig(), Written: edition.Written(), Edition: edition,
		Age: clock.Millis(resp.Msg.GetAgeMs()), AnsweredAge: clock.Millis(resp.Msg.GetAnsweredAgeMs()),
	}, nil
}

// AwaitUpstreams implements follow.Reader.
func (s *Source) AwaitUpstreams(ctx context.Context, after moment.Moment, wait clock.Millis) (follow.FleetReading, error) {
	ctx, cancel := context.WithTimeout(ctx, s.callTimeout(wait))
	defer cancel()
	had := s.previousList()
	resp, err := s.client.AwaitFleet(ctx, connect.NewRequest(&wire.AwaitFleetRequest{After: momentwire.Moment(after), WaitMs: int64(wait), Have: had.Token}))
	if err != nil {
		return follow.FleetReading{}, s.handleError(err, "reading: list of upstreams")
	}
	if resp.Msg.GetAsOf() == nil {
		return follow.FleetReading{}, errMissingEdition
	}
	reading := follow.FleetReading{AsOf: momentwire.MomentOf(resp.Msg.GetAsOf()), Whole: resp.Msg.GetWhole(), Token: resp.Msg.GetToken()}
	if resp.Msg.GetSame() && had.Token != 0 && reading.Token == had.Token {
		reading.Changes = had.Changes
		return reading, nil
	}
	for _, c := range resp.Msg.GetChanges() {
		reading.Changes = append(reading.Changes, fleetwire.ChangeOf(c))
	}
	s.storeFullList(reading)
	return reading, nil
}

// previousList returns the whole list that the node has told last. Followers ask for the whole list
// again and again while entries may come back, and it seldom changes meanwhile.
func (s *Source) previousList() follow.FleetReading {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastFullList
}

func (s *Source) storeFullList(reading follow.FleetReading) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reading.Whole {
		s.lastFullList = reading
	}
}
