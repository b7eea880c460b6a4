package reading

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleetwire"
	"github.com/hoistjunction/hoistjunction/follow"
	"github.com/hoistjunction/hoistjunction/wire"
	"github.com/hoistjunction/hoistjunction/wire/wireconnect"
)

// Source follows another node's log. It implements follow.Reader.
type Source struct {
	client wireconnect.ReadingClient
	http   *http.Client
	// vouchSoon is for how long the node may let a first question wait.
	vouchSoon clock.Millis

	mu sync.Mutex
	// whole is the whole list that the node has told last.
	whole follow.FleetReading
}

// NewSource returns a source that follows the node at an address, which may let a first
// question wait for a time.
func NewSource(client *http.Client, address string, vouchSoon clock.Millis) *Source {
	return &Source{client: wireconnect.NewReadingClient(client, "http://"+address), http: client, vouchSoon: vouchSoon}
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
func (s *Source) AwaitCatalog(ctx context.Context, after uint64, wait clock.Millis) (follow.CatalogReading, error) {
	ctx, cancel := context.WithTimeout(ctx, s.limit(wait))
	defer cancel()
	resp, err := s.client.AwaitConfig(ctx, connect.NewRequest(&wire.AwaitConfigRequest{After: after, WaitMs: int64(wait)}))
	if err != nil {
		return follow.CatalogReading{}, s.failed(err, "reading: configuration")
	}
	return follow.CatalogReading{
		Raw: resp.Msg.GetConfig(), Revision: resp.Msg.GetRevision(), Age: clock.Millis(resp.Msg.GetAgeMs()),
	}, nil
}

// AwaitUpstreams implements follow.Reader.
func (s *Source) AwaitUpstreams(ctx context.Context, after uint64, wait clock.Millis) (follow.FleetReading, error) {
	ctx, cancel := context.WithTimeout(ctx, s.limit(wait))
	defer cancel()
	had := s.had()
	resp, err := s.client.AwaitFleet(ctx, connect.NewRequest(&wire.AwaitFleetRequest{After: after, WaitMs: int64(wait), Have: had.Token}))
	if err != nil {
		return follow.FleetReading{}, s.failed(err, "reading: list of upstreams")
	}
	reading := follow.FleetReading{Revision: resp.Msg.GetRevision(), Whole: resp.Msg.GetWhole(), Token: resp.Msg.GetToken()}
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
