package reading

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleetwire"
	"github.com/hoistjunction/hoistjunction/momentwire"
	"github.com/hoistjunction/hoistjunction/wire"
	"github.com/hoistjunction/hoistjunction/wire/wireconnect"
)

// maxWait bounds a wait that another node asks for.
const maxWait clock.Millis = 10_000

// server answers other nodes from a log. It implements
// wireconnect.ReadingHandler.
type server struct {
	log      *Log
	onBehind func(address string)
}

// Handler serves a log to other nodes, at the path that it returns. Behind is told the address
// of a node that has asked and knows a newer configuration.
func Handler(l *Log, behind func(address string)) (path string, handler http.Handler) {
	return wireconnect.NewReadingHandler(server{log: l, onBehind: behind}, connect.WithConditionalHandlerOptions(listHandlerOptions))
}

// listHandlerOptions leaves the list of upstreams as it is: it goes to hundreds of nodes that start
// together, and to compress it takes ten times the processor that it takes to encode it.
func listHandlerOptions(spec connect.Spec) []connect.HandlerOption {
	if spec.Procedure == wireconnect.ReadingAwaitFleetProcedure {
		return []connect.HandlerOption{connect.WithCompression("gzip", nil, nil)}
	}
	return nil
}

// errMissingEdition means that who asks counts changes in revisions alone, which stand for
// something else once the store has come back from a copy.
var errMissingEdition = errors.Wrap(ErrStale, "reading: a question without an edition")

// AwaitConfig implements wireconnect.ReadingHandler.
func (s server) AwaitConfig(ctx context.Context, req *connect.Request[wire.AwaitConfigRequest]) (*connect.Response[wire.AwaitConfigResponse], error) {
	if req.Msg.GetHave() == nil {
		return nil, toConnectError(errMissingEdition)
	}
	reading, err := s.log.AwaitConfig(ctx, momentwire.EditionOf(req.Msg.GetHave()), clampWait(req.Msg.GetWaitMs()))
	if errors.Is(err, ErrBehind) {
		s.onBehind(req.Msg.GetAddress())
	}
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&wire.AwaitConfigResponse{
		Edition: momentwire.Edition(reading.Edition), AgeMs: int64(reading.Age), AnsweredAgeMs: int64(reading.AnsweredAge), Config: reading.Raw,
	}), nil
}

// AwaitFleet implements wireconnect.ReadingHandler.
func (s server) AwaitFleet(ctx context.Context, req *connect.Request[wire.AwaitFleetRequest]) (*connect.Response[wire.AwaitFleetResponse], error) {
	reading, err := s.log.AwaitFleet(ctx, momentwire.MomentOf(req.Msg.GetAfter()), req.Msg.GetHave(), clampWait(req.Msg.GetWaitMs()))
	if err != nil {
		return nil, toConnectError(err)
	}
	answer := &wire.AwaitFleetResponse{AsOf: momentwire.Moment(reading.AsOf), Whole: reading.Whole, Token: reading.Token}
	if reading.Whole && reading.Token == req.Msg.GetHave() {
		answer.Same = true
		return connect.NewResponse(answer), nil
	}
	for _, c := range reading.Changes {
		answer.Changes = append(answer.Changes, fleetwire.Change(c))
	}
	return connect.NewResponse(answer), nil
}

func clampWait(ms int64) clock.Millis { return min(max(clock.Millis(ms), 0), maxWait) }

func toConnectError(err error) error {
	switch {
	case errors.Is(err, ErrStale), errors.Is(err, ErrBehind):
		return connect.NewError(connect.CodeUnavailable, err)
	default:
		return err
	}
}
