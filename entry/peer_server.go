package entry

import (
	"context"
	"crypto/subtle"
	"net/http"

	"connectrpc.com/connect"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/once"
	"github.com/hoistjunction/hoistjunction/wire"
	"github.com/hoistjunction/hoistjunction/wire/wireconnect"
)

// peerServer serves the other entry nodes.
type peerServer struct {
	callers *callerServer
	secret  string
}

func (s *peerServer) handler() http.Handler {
	mux := http.NewServeMux()
	path, h := wireconnect.NewPeerHandler(s)
	mux.Handle(path, s.authenticate(h))
	return mux
}

// authenticate lets through only who knows the peers' secret.
func (s *peerServer) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token := bearerToken(r.Header.Get("Authorization"))
		if subtle.ConstantTimeCompare([]byte(token), []byte(s.secret)) != 1 {
			http.Error(w, "credentials required", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Heartbeat implements the peers' protocol.
func (s *peerServer) Heartbeat(_ context.Context, req *connect.Request[wire.HeartbeatRequest]) (*connect.Response[wire.HeartbeatReply], error) {
	m := req.Msg
	if m.GetFrom() == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, ErrBadRequest)
	}
	d := s.callers.loop
	d.post(core.HeartbeatMsg{From: m.GetFrom(), Heard: m.GetHeard(), Leaving: m.GetLeaving()})
	var reply *wire.HeartbeatReply
	if !d.query(func(m *core.Model) { reply = m.HeartbeatReply() }) {
		return nil, errStopping()
	}
	return connect.NewResponse(reply), nil
}

// Changes implements the peers' protocol.
func (s *peerServer) Changes(_ context.Context, req *connect.Request[wire.ChangesRequest]) (*connect.Response[wire.ChangesReply], error) {
	var reply *wire.ChangesReply
	if !s.callers.loop.query(func(m *core.Model) { reply = m.ChangesAfter(req.Msg.GetAfterVersion()) }) {
		return nil, errStopping()
	}
	return connect.NewResponse(reply), nil
}

// Relay implements the peers' protocol: the peer is treated as a caller.
func (s *peerServer) Relay(ctx context.Context, req *connect.Request[wire.RelayRequest], stream *connect.ServerStream[wire.RelayEvent]) error {
	caller, box := s.callers.mailboxes.open()
	if !s.callers.loop.submit(submitFromRelay(caller, req.Msg)) {
		s.callers.mailboxes.close(caller)
		return connect.NewError(connect.CodeResourceExhausted, ErrBadRequest)
	}
	final := false
	defer func() { s.callers.closeMailbox(caller, final) }()
	for {
		texts, f := box.take(nil)
		if len(texts) > 0 || f != nil {
			if err := stream.Send(relayEvent(texts, f)); err != nil {
				return err
			}
		}
		if f != nil {
			final = true
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-box.updated:
		}
	}
}

func submitFromRelay(caller uint64, r *wire.RelayRequest) core.SubmitMsg {
	return core.SubmitMsg{
		Caller:      caller,
		Relayed:     true,
		Account:     r.GetAccount(),
		Claim:       once.Claim{Owner: r.GetOwner(), Sequence: r.GetSequence()},
		Route:       r.GetRoute(),
		Key:         r.GetKey(),
		NoRepeat:    true,
		FirstTry:    r.GetFirstTry(),
		Priority:    int(r.GetPriority()),
		Deadline:    clock.Millis(r.GetDeadlineMs()),
		Prompt:      r.GetPrompt(),
		MaxTokens:   int(r.GetMaxTokens()),
		Path:        r.GetPath(),
		Body:        r.GetBody(),
		ContentType: r.GetContentType(),
	}
}

func relayEvent(texts []string, f *core.FinishCmd) *wire.RelayEvent {
	e := &wire.RelayEvent{Texts: texts}
	if f == nil {
		return e
	}
	e.Outcome = f.Outcome.String()
	e.Detail = f.Reason.String()
	e.RetryAfterMs = int64(f.RetryAfter)
	e.Tokens = uint32(f.Tokens)
	e.Status = uint32(f.Status)
	e.ContentType = f.ContentType
	e.Body = f.Body
	return e
}

func errStopping() error {
	return connect.NewError(connect.CodeUnavailable, ErrStopping)
}
