package reading

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/momentwire"
	"github.com/hoistjunction/hoistjunction/wire"
	"github.com/hoistjunction/hoistjunction/wire/wireconnect"
)

// maxWait bounds the wait that another node may request.
const maxWait clock.Millis = 10_000

// server answers requests of other nodes from a log. It implements wireconnect.ReadingHandler.
type server struct {
	log      *Log
	onBehind func(address string)
	lists    listEncoder
}

// Handler returns the handler that serves a log to other nodes, and its path. It calls onBehind
// with the address of each requester that has a newer configuration than the log.
func Handler(l *Log, onBehind func(address string)) (path string, handler http.Handler) {
	return wireconnect.NewReadingHandler(&server{log: l, onBehind: onBehind}, connect.WithConditionalHandlerOptions(listHandlerOptions))
}

// listHandlerOptions disables compression for the list of upstreams. Hundreds of nodes that
// start together request it, and compressing it takes ten times the processor time of encoding
// it.
func listHandlerOptions(spec connect.Spec) []connect.HandlerOption {
	if spec.Procedure == wireconnect.ReadingAwaitFleetProcedure {
		return []connect.HandlerOption{connect.WithCompression("gzip", nil, nil)}
	}
	return nil
}

// errMissingEdition means that a message has no edition or no moment. Its sender identifies
// changes by revision alone, and after a store restore a revision can mean another change.
var errMissingEdition = errors.Wrap(ErrStale, "reading: a question without an edition")

// AwaitConfig implements wireconnect.ReadingHandler.
func (s *server) AwaitConfig(ctx context.Context, req *connect.Request[wire.AwaitConfigRequest]) (*connect.Response[wire.AwaitConfigResponse], error) {
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
func (s *server) AwaitFleet(ctx context.Context, req *connect.Request[wire.AwaitFleetRequest]) (*connect.Response[wire.AwaitFleetResponse], error) {
	reading, err := s.log.AwaitFleet(ctx, momentwire.MomentOf(req.Msg.GetAfter()), req.Msg.GetHave(), clampWait(req.Msg.GetWaitMs()))
	if err != nil {
		return nil, toConnectError(err)
	}
	response := &wire.AwaitFleetResponse{AsOf: momentwire.Moment(reading.AsOf), Whole: reading.Whole, Token: reading.Token}
	switch {
	case reading.Whole && reading.Token == req.Msg.GetHave():
		response.Same = true
	case reading.Whole:
		encoded, err := s.lists.encode(reading.Token, reading.Changes)
		if err != nil {
			return nil, err
		}
		// Unknown fields are appended to the encoded message as they are, and the requester
		// decodes them as the field changes.
		response.ProtoReflect().SetUnknown(encoded)
	default:
		response.Changes = changeMessages(reading.Changes)
	}
	return connect.NewResponse(response), nil
}

func clampWait(ms int64) clock.Millis { return min(max(clock.Millis(ms), 0), maxWait) }

func toConnectError(err error) error {
	switch {
	case errors.Is(err, ErrStarting):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	case errors.Is(err, ErrStale), errors.Is(err, ErrBehind):
		return connect.NewError(connect.CodeUnavailable, err)
	default:
		return err
	}
}
