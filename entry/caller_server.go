package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/callkey"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/logging"
	"github.com/hoistjunction/hoistjunction/outcome"
)

// ErrBadRequest means that a request cannot be parsed.
var ErrBadRequest = errors.New("entry: bad request")

// shedRetryAfter is the time to wait before a retry after the ring of submissions was
// full.
const shedRetryAfter clock.Millis = 250

// callerServer serves callers over HTTP.
type callerServer struct {
	log          *logging.Log
	loop         *modelLoop
	mailboxes    *mailboxRegistry
	maxBodyBytes int64
	// openRequests is a semaphore with one item for each open request.
	openRequests chan struct{}
}

// handler returns the handler for all paths of the caller port.
func (s *callerServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.limitOpenRequests(abortUnlessComplete(s.serveCompletions)))
	mux.HandleFunc("POST /v1/chat/completions", s.limitOpenRequests(abortUnlessComplete(s.serveCompletions)))
	mux.HandleFunc("POST /v1/services/{route}/{path...}", s.limitOpenRequests(abortUnlessComplete(s.serveService)))
	mux.HandleFunc("POST /v1/tickets", abortUnlessComplete(s.serveTickets))
	mux.HandleFunc("GET /ready", s.serveReady)
	return mux
}

// abortUnlessComplete wraps a handler that reports whether its response is complete,
// and aborts the connection if it is not. net/http would end the response normally: as
// an empty 200 if nothing was written, or as a complete stream if part of it was.
func abortUnlessComplete(serve func(http.ResponseWriter, *http.Request) (complete bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !serve(w, r) {
			panic(http.ErrAbortHandler)
		}
	}
}

// limitOpenRequests rejects a request before reading its body when the maximum number
// of requests is open.
func (s *callerServer) limitOpenRequests(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.openRequests <- struct{}{}:
			defer func() { <-s.openRequests }()
			next(w, r)
		default:
			msg, _ := submitFromHeaders(r)
			s.writeResult(w, shedResult(&msg))
		}
	}
}

// serveReady reports to the load balancer whether the node accepts requests.
func (s *callerServer) serveReady(w http.ResponseWriter, _ *http.Request) {
	ready := false
	s.loop.query(func(m *core.Model) { ready = m.Ready() })
	if !ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// submitFromHeaders returns a submission with the fields that come from the request's
// headers.
func submitFromHeaders(r *http.Request) (core.SubmitMsg, error) {
	msg := core.SubmitMsg{
		KeyHash:  core.HashKey(bearerToken(r.Header.Get("Authorization"))),
		Key:      r.Header.Get(callkey.IdempotencyKey),
		NoRepeat: r.Header.Get(callkey.NoRepeat) == "true",
		FirstTry: r.Header.Get(callkey.Try) == "1",
	}
	priority, err := headerNumber(r, callkey.Priority)
	if err != nil {
		return msg, err
	}
	deadline, err := headerNumber(r, callkey.Deadline)
	if err != nil {
		return msg, err
	}
	msg.Priority = int(priority)
	msg.Deadline = clock.Millis(deadline)
	return msg, nil
}

func headerNumber(r *http.Request, header string) (int64, error) {
	text := r.Header.Get(header)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 32)
	if err != nil || n < 0 {
		return 0, errors.Wrapf(ErrBadRequest, "%s must be a whole number, not %q", header, text)
	}
	return n, nil
}

// submit opens a mailbox and submits the message to the model loop. If the ring of
// submissions is full, it writes the response and returns false.
func (s *callerServer) submit(w http.ResponseWriter, msg *core.SubmitMsg) (*mailbox, bool) {
	caller, box := s.mailboxes.open()
	msg.Caller = caller
	w.Header().Set(callkey.RequestID, strconv.FormatUint(caller, 10))
	if s.loop.submit(*msg) {
		return box, true
	}
	s.mailboxes.close(caller)
	s.writeResult(w, shedResult(msg))
	return nil, false
}

// shedResult is the result of a request that was rejected before it reached the model.
func shedResult(msg *core.SubmitMsg) *core.FinishCmd {
	f := &core.FinishCmd{Outcome: outcome.NotExecuted, Reason: core.ReasonShed, RetryAfter: shedRetryAfter}
	if msg.Key != "" && !msg.FirstTry {
		f.Outcome = outcome.Unknown
	}
	return f
}

// closeMailbox closes the mailbox of a caller. If the caller disconnected before the
// result arrived, it posts a cancellation to the model loop.
func (s *callerServer) closeMailbox(caller uint64, finished bool) {
	s.mailboxes.close(caller)
	if !finished {
		s.loop.post(core.CancelMsg{Caller: caller})
	}
}

// writeResult writes a result as the response: the response of a plain service if
// there is one, otherwise an error.
func (s *callerServer) writeResult(w http.ResponseWriter, f *core.FinishCmd) {
	setOutcomeHeaders(w.Header(), f)
	if f.Status != 0 {
		if f.ContentType != "" {
			w.Header().Set("Content-Type", f.ContentType)
		}
		w.WriteHeader(f.Status)
		_, _ = w.Write(f.Body)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(f.Reason.HTTPStatus())
	_ = json.NewEncoder(w).Encode(errorResponse{Error: errorBody{
		Outcome: f.Outcome.String(), Reason: f.Reason.String(), RetryAfterMS: int64(f.RetryAfter),
	}})
}

// writeBadRequest writes the response to a request that cannot be parsed.
func (s *callerServer) writeBadRequest(w http.ResponseWriter, status int, err error) {
	s.log.Debug("bad_request", zap.Error(err))
	w.Header().Set(callkey.Outcome, outcome.Failed.String())
	w.Header().Set(callkey.Reason, core.ReasonBadRequest.String())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorResponse{Error: errorBody{
		Outcome: outcome.Failed.String(), Reason: core.ReasonBadRequest.String(),
		Detail: strings.TrimSuffix(err.Error(), ": "+ErrBadRequest.Error()),
	}})
}

func setOutcomeHeaders(h http.Header, f *core.FinishCmd) {
	h.Set(callkey.Outcome, f.Outcome.String())
	if f.Reason != core.ReasonNone {
		h.Set(callkey.Reason, f.Reason.String())
	}
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(f.RetryAfter.Seconds(), 10))
		h.Set(callkey.RetryAfter, strconv.FormatInt(int64(f.RetryAfter), 10))
	}
}

// errorResponse is the JSON of a rejected or failed request.
type errorResponse struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	Detail       string `json:"detail,omitempty"`
}
