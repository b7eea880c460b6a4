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

// proposePatience bounds an operator's wait; the core answers before.
const proposePatience = 10 * time.Second

// operatorName is where the guard leaves the operator's name for the calls.
type operatorName struct{}

// adminServer serves operators, and hoistburn.
type adminServer struct {
	log       *logging.Log
	decider   *decider
	recorder  *record.Recorder
	operators map[string]string
	proposals *proposalDesk
	wall      func() int64
}

func (s *adminServer) handler() http.Handler {
	mux := http.NewServeMux()
	path, h := wireconnect.NewAdminHandler(s)
	mux.Handle(path, s.guard(h))
	mux.Handle("GET /debug/vars", s.guard(http.HandlerFunc(s.vars)))
	mux.Handle("GET /debug/burn", s.guard(http.HandlerFunc(s.burn)))
	return mux
}

// guard lets operators through, and notes who it is.
func (s *adminServer) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, ok := operatorOf(s.operators, tokenOf(r.Header.Get("Authorization")))
		if !ok {
			http.Error(w, "credentials required", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorName{}, name)))
	})
}

func operator(ctx context.Context) string {
	name, _ := ctx.Value(operatorName{}).(string)
	return name
}

// burn answers with the counts that hoistburn reads.
func (s *adminServer) burn(w http.ResponseWriter, _ *http.Request) {
	lines := []burn.Line{}
	s.decider.ask(func(m *core.Model) { lines = append(lines, m.Burn()...) })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(lines)
}

// Propose implements the operators' protocol.
func (s *adminServer) Propose(ctx context.Context, req *connect.Request[wire.ProposeRequest]) (*connect.Response[wire.ProposeReply], error) {
	call, answer := s.proposals.open()
	defer s.proposals.close(call)
	s.decider.tell(core.ProposeMsg{
		Call: call, ChangeID: req.Msg.GetChangeId(), Base: req.Msg.GetBaseVersion(),
		Operator: operator(ctx), AtMillis: s.wall(), Changes: req.Msg.GetChanges(),
	})
	ctx, cancel := context.WithTimeout(ctx, proposePatience)
	defer cancel()
	select {
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeUnavailable, ctx.Err())
	case reply := <-answer:
		s.log.Info("proposal", zap.String("operator", operator(ctx)), zap.String("change", req.Msg.GetChangeId()),
			zap.Stringer("state", reply.GetState()), zap.Uint64("version", reply.GetVersion()))
		return connect.NewResponse(reply), nil
	}
}

// GetConfig implements the operators' protocol.
func (s *adminServer) GetConfig(_ context.Context, req *connect.Request[wire.GetConfigRequest]) (*connect.Response[wire.GetConfigReply], error) {
	reply := &wire.GetConfigReply{}
	if !s.decider.ask(func(m *core.Model) { reply.Config = m.ConfigAt(req.Msg.GetVersion()) }) {
		return nil, errStopping()
	}
	if reply.GetConfig() == nil {
		return nil, connect.NewError(connect.CodeNotFound, ErrNoVersion)
	}
	return connect.NewResponse(reply), nil
}

// History implements the operators' protocol.
func (s *adminServer) History(_ context.Context, req *connect.Request[wire.HistoryRequest]) (*connect.Response[wire.HistoryReply], error) {
	reply := &wire.HistoryReply{}
	if !s.decider.ask(func(m *core.Model) { reply.Records = m.History(int(req.Msg.GetLimit())) }) {
		return nil, errStopping()
	}
	return connect.NewResponse(reply), nil
}

// Status implements the operators' protocol.
func (s *adminServer) Status(context.Context, *connect.Request[wire.StatusRequest]) (*connect.Response[wire.StatusReply], error) {
	var reply *wire.StatusReply
	if !s.decider.ask(func(m *core.Model) { reply = m.Status() }) {
		return nil, errStopping()
	}
	return connect.NewResponse(reply), nil
}

// MarkLeaving implements the operators' protocol.
func (s *adminServer) MarkLeaving(ctx context.Context, req *connect.Request[wire.MarkLeavingRequest]) (*connect.Response[wire.MarkLeavingReply], error) {
	known := false
	if !s.decider.ask(func(m *core.Model) { known = m.HasUpstream(req.Msg.GetUpstream()) }) {
		return nil, errStopping()
	}
	if !known {
		return nil, connect.NewError(connect.CodeNotFound, ErrNoUpstream)
	}
	s.log.Info("mark_leaving", zap.String("operator", operator(ctx)), zap.String("upstream", req.Msg.GetUpstream()))
	s.decider.tell(core.MarkLeavingMsg{Upstream: req.Msg.GetUpstream()})
	return connect.NewResponse(&wire.MarkLeavingReply{}), nil
}

// Drain implements the operators' protocol.
func (s *adminServer) Drain(ctx context.Context, _ *connect.Request[wire.DrainRequest]) (*connect.Response[wire.DrainReply], error) {
	s.log.Info("drain", zap.String("operator", operator(ctx)))
	s.decider.tell(core.DrainMsg{})
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
