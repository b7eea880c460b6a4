package reading

import (
	"context"
	"net/http"
	"sync"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleetwire"
	"github.com/hoistjunction/hoistjunction/follow"
	"github.com/hoistjunction/hoistjunction/internal/boundedhttp"
	"github.com/hoistjunction/hoistjunction/moment"
	"github.com/hoistjunction/hoistjunction/momentwire"
	"github.com/hoistjunction/hoistjunction/wire"
	"github.com/hoistjunction/hoistjunction/wire/wireconnect"
)

// maxAnswerBytes bounds an answer of the followed node, as it is sent and after decompression. A
// configuration has at most 4 MiB, and the entry of an upstream some 200 bytes.
const maxAnswerBytes = 16 << 20

// Source follows the log of another node. It implements follow.Reader.
type Source struct {
	client     wireconnect.ReadingClient
	httpClient *http.Client
	// firstRequestWait is how long the other node may hold the first request.
	firstRequestWait clock.Millis
	// selfAddress is the address at which this node serves requests.
	selfAddress string
	// timeout bounds the calls.
	timeout clock.TimeoutFunc

	mu sync.Mutex
	// lastFullList is the last full list that the other node sent.
	lastFullList follow.FleetReading
}

// SourceOption configures a Source.
type SourceOption func(*Source)

// WithTimeouts sets the function that bounds the calls to the other node.
func WithTimeouts(timeout clock.TimeoutFunc) SourceOption {
	return func(s *Source) { s.timeout = timeout }
}

// NewSource returns a source that follows the node at address. firstRequestWait is how long
// that node may hold the first request, and selfAddress the address at which this node serves
// requests.
func NewSource(client *http.Client, address, selfAddress string, firstRequestWait clock.Millis, opts ...SourceOption) *Source {
	bounded := &http.Client{Transport: boundedhttp.NewTransport(client.Transport, maxAnswerBytes)}
	s := &Source{client: wireconnect.NewReadingClient(bounded, "http://"+address, connect.WithReadMaxBytes(maxAnswerBytes)), httpClient: client, selfAddress: selfAddress, firstRequestWait: firstRequestWait, timeout: clock.WithTimeout}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// callTimeout returns the timeout of a call. A first request has no wait of its own, but the
// other node may hold it.
func (s *Source) callTimeout(wait clock.Millis) clock.Millis {
	if wait == 0 {
		wait = s.firstRequestWait
	}
	return wait + follow.ReaderMargin
}

// handleError wraps the error of a failed call. If no response arrived, it closes all idle
// connections, because they may be as unresponsive as the one of the call.
func (s *Source) handleError(err error, operation string) error {
	code, isAnswer := connect.CodeOf(err), connect.IsWireError(err)
	err = errors.Wrap(err, operation)
	switch {
	case isAnswer && code == connect.CodeFailedPrecondition:
		return errors.Mark(err, ErrStarting)
	case isAnswer:
		return err
	}
	s.httpClient.CloseIdleConnections()
	return follow.MarkNoAnswer(err)
}

// AwaitCatalog implements follow.Reader.
func (s *Source) AwaitCatalog(ctx context.Context, have catalog.Edition, wait clock.Millis) (follow.CatalogReading, error) {
	ctx, cancel := s.timeout(ctx, s.callTimeout(wait))
	defer cancel()
	resp, err := s.client.AwaitConfig(ctx, connect.NewRequest(&wire.AwaitConfigRequest{Have: momentwire.Edition(have), WaitMs: int64(wait), Address: s.selfAddress}))
	if err != nil {
		return follow.CatalogReading{}, s.handleError(err, "reading: await configuration")
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
	ctx, cancel := s.timeout(ctx, s.callTimeout(wait))
	defer cancel()
	previous := s.previousList()
	resp, err := s.client.AwaitFleet(ctx, connect.NewRequest(&wire.AwaitFleetRequest{After: momentwire.Moment(after), WaitMs: int64(wait), Have: previous.Token}))
	if err != nil {
		return follow.FleetReading{}, s.handleError(err, "reading: await list of upstreams")
	}
	if resp.Msg.GetAsOf() == nil {
		return follow.FleetReading{}, errMissingEdition
	}
	reading := follow.FleetReading{AsOf: momentwire.MomentOf(resp.Msg.GetAsOf()), Whole: resp.Msg.GetWhole(), Token: resp.Msg.GetToken()}
	if resp.Msg.GetSame() && previous.Token != 0 && reading.Token == previous.Token {
		reading.Changes = previous.Changes
		return reading, nil
	}
	for _, c := range resp.Msg.GetChanges() {
		reading.Changes = append(reading.Changes, fleetwire.ChangeOf(c))
	}
	s.storeFullList(reading)
	return reading, nil
}

// previousList returns the last full list that the other node sent. Followers request the full
// list repeatedly while entries may be falsely removed, and it seldom changes meanwhile.
func (s *Source) previousList() follow.FleetReading {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastFullList
}

// storeFullList keeps a reading that is a full list, to be reused if the next response reports
// it unchanged.
func (s *Source) storeFullList(reading follow.FleetReading) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reading.Whole {
		s.lastFullList = reading
	}
}
