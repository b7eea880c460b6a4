package reading

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/follow"
	"github.com/hoistjunction/hoistjunction/wire"
	"github.com/hoistjunction/hoistjunction/wire/wireconnect"
)

// waitMargin is how much longer than asked another node may take to answer. It
// stands in the same data centre and answers in a few ms, but one that does not yet
// know that it reads for others may take a second in all (vouchSoon).
const waitMargin = 500 * time.Millisecond

// Source follows another node's log. It implements follow.Reader.
type Source struct {
	client wireconnect.ReadingClient
}

// NewSource returns a source that follows the node at an address.
func NewSource(client *http.Client, address string) *Source {
	return &Source{client: wireconnect.NewReadingClient(client, "http://"+address)}
}

// AwaitCatalog implements follow.Reader.
func (s *Source) AwaitCatalog(ctx context.Context, after uint64, wait clock.Millis) (follow.CatalogReading, error) {
	ctx, cancel := context.WithTimeout(ctx, wait.Duration()+waitMargin)
	defer cancel()
	resp, err := s.client.AwaitConfig(ctx, connect.NewRequest(&wire.AwaitConfigRequest{After: after, WaitMs: int64(wait)}))
	if err != nil {
		return follow.CatalogReading{}, errors.Wrap(err, "reading: configuration")
	}
	return follow.CatalogReading{
		Raw: resp.Msg.GetConfig(), Revision: resp.Msg.GetRevision(), Age: clock.Millis(resp.Msg.GetAgeMs()),
	}, nil
}

// AwaitUpstreams implements follow.Reader.
func (s *Source) AwaitUpstreams(ctx context.Context, after uint64, wait clock.Millis) (follow.FleetReading, error) {
	ctx, cancel := context.WithTimeout(ctx, wait.Duration()+waitMargin)
	defer cancel()
	resp, err := s.client.AwaitFleet(ctx, connect.NewRequest(&wire.AwaitFleetRequest{After: after, WaitMs: int64(wait)}))
	if err != nil {
		return follow.FleetReading{}, errors.Wrap(err, "reading: list of upstreams")
	}
	reading := follow.FleetReading{Revision: resp.Msg.GetRevision(), Whole: resp.Msg.GetWhole()}
	for _, c := range resp.Msg.GetChanges() {
		reading.Changes = append(reading.Changes, changeOf(c))
	}
	return reading, nil
}

func changeOf(c *wire.ListedChange) fleet.Change {
	if c.GetGone() {
		return fleet.Change{ID: c.GetId(), Gone: true}
	}
	return fleet.Change{ID: c.GetId(), Upstream: Upstream(c.GetUpstream())}
}
