package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/burn"
	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/record"
	"github.com/hoistjunction/hoistjunction/wire"
	"github.com/hoistjunction/hoistjunction/wire/wireconnect"
)

// proposeTimeout bounds an operator's wait; the core answers before.
const proposeTimeout = 10 * time.Second

// operatorKey is where the guard leaves the operator's name for the calls.
type operatorKey struct{}

// adminServer serves operators, and hoistburn.
type adminServer struct {
	log       *logging.Log
	loop      *modelLoop
	recorder  *record.Recorder
	operators map[string]string
	proposals *proposalWaiters
	wallTime  func() int64
}

func (s *adminServer) handler() http.Handler {
	mux := http.NewServeMux()
	path, h := wireconnect.NewAdminHandler(s)
	mux.Handle(path, s.authenticate(h))
	mux.Handle("GET /debug/vars", s.authenticate(http.HandlerFunc(s.serveVars)))
	mux.Handle("GET /debug/burn", s.authenticate(http.HandlerFunc(s.burn)))
	return mux
}

// authenticate lets operators through, and notes who it is.
func (s *adminServer) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, ok := operatorByToken(s.operators, bearerToken(r.Header.Get("Authorization")))
		if !ok {
			http.Error(w, "credentials required", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, name)))
	})
}

func operatorFrom(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// burn answers with the counts that hoistburn reads.
func (s *adminServer) burn(w http.ResponseWriter, _ *http.Request) {
	lines := []burn.Line{}
	s.loop.query(func(m *core.Model) { lines = append(lines, m.Burn()...) })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(lines)
}

// Propose implements the operators' protocol.
func (s *adminServer) Propose(ctx context.Context, req *connect.Request[wire.ProposeRequest]) (*connect.Response[wire.ProposeReply], error) {
	call, answer := s.proposals.open()
	defer s.proposals.close(call)
	s.loop.post(core.ProposeMsg{
		Call: call, ChangeID: req.Msg.GetChangeId(), Base: req.Msg.GetBaseVersion(),
		Operator: operatorFrom(ctx), AtMillis: s.wallTime(), Changes: req.Msg.GetChanges(),
	})
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	select {
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeUnavailable, ctx.Err())
	case reply := <-answer:
		s.log.Info("proposal", zap.String("operator", operatorFrom(ctx)), zap.String("change", req.Msg.GetChangeId()),
			zap.Stringer("state", reply.GetState()), zap.Uint64("version", reply.GetVersion()))
		return connect.NewResponse(reply), nil
	}
}

// GetConfig implements the operators' protocol.
func (s *adminServer) GetConfig(_ context.Context, req *connect.Request[wire.GetConfigRequest]) (*connect.Response[wire.GetConfigReply], error) {
	reply := &wire.GetConfigReply{}
	if !s.loop.query(func(m *core.Model) { reply.Config = m.ConfigAt(req.Msg.GetVersion()) }) {
		return nil, errStopping()
	}
	if reply.GetConfig() == nil {
		return nil, connect.NewError(connect.CodeNotFound, ErrVersionNotFound)
	}
	return connect.NewResponse(reply), nil
}

// History implements the operators' protocol.
func (s *adminServer) History(_ context.Context, req *connect.Request[wire.HistoryRequest]) (*connect.Response[wire.HistoryReply], error) {
	reply := &wire.HistoryReply{}
	if !s.loop.query(func(m *core.Model) { reply.Records = m.History(int(req.Msg.GetLimit())) }) {
		return nil, errStopping()
	}
	return connect.NewResponse(reply), nil
}

// Status implements the operators' protocol.
func (s *adminServer) Status(context.Context, *connect.Request[wire.StatusRequest]) (*connect.Response[wire.StatusReply], error) {
	var reply *wire.StatusReply
	if !s.loop.query(func(m *core.Model) { reply = m.Status() }) {
		return nil, errStopping()
	}
	return connect.NewResponse(reply), nil
}

// MarkLeaving implements the operators' protocol.
func (s *adminServer) MarkLeaving(ctx context.Context, req *connect.Request[wire.MarkLeavingRequest]) (*connect.Response[wire.MarkLeavingReply], error) {
	known := false
	if !s.loop.query(func(m *core.Model) { known = m.HasUpstream(req.Msg.GetUpstream()) }) {
		return nil, errStopping()
	}
	if !known {
		return nil, connect.NewError(connect.CodeNotFound, ErrUpstreamNotFound)
	}
	s.log.Info("mark_leaving", zap.String("operator", operatorFrom(ctx)), zap.String("upstream", req.Msg.GetUpstream()))
	s.loop.post(core.MarkLeavingMsg{Upstream: req.Msg.GetUpstream()})
	return connect.NewResponse(&wire.MarkLeavingReply{}), nil
}

// Drain implements the operators' protocol.
func (s *adminServer) Drain(ctx context.Context, _ *connect.Request[wire.DrainRequest]) (*connect.Response[wire.DrainReply], error) {
	s.log.Info("drain", zap.String("operator", operatorFrom(ctx)))
	s.loop.post(core.DrainMsg{})
	return connect.NewResponse(&wire.DrainReply{}), nil
}

// SetLogLevel implements the operators' protocol.
func (s *adminServer) SetLogLevel(_ context.Context, req *connect.Request[wire.SetLogLevelRequest]) (*connect.Response[wire.SetLogLevelReply], error) {
	if err := s.log.SetLevel(req.Msg.GetLevel()); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(&wire.SetLogLevelReply{}), nil
}

// Recording implements the operators' protocol.
func (s *adminServer) Recording(context.Context, *connect.Request[wire.RecordingRequest]) (*connect.Response[wire.RecordingReply], error) {
	lines, dropped, err := s.recorder.Lines()
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&wire.RecordingReply{Lines: lines, Dropped: dropped}), nil
}
