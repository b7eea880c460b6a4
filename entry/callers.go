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

// ErrBadRequest means that a caller's request cannot be read.
var ErrBadRequest = errors.New("entry: bad request")

// shedRetryAfter is when to come back after the ring before the decisions was
// full.
const shedRetryAfter clock.Millis = 250

// callerServer serves callers over HTTP.
type callerServer struct {
	log          *logging.Log
	loop         *modelLoop
	mailboxes    *mailboxRegistry
	maxBodyBytes int64
	// openRequests has an item for each request that is open.
	openRequests chan struct{}
}

// handler routes the callers' paths.
func (s *callerServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.limitOpenRequests(abortUnlessComplete(s.serveCompletions)))
	mux.HandleFunc("POST /v1/chat/completions", s.limitOpenRequests(abortUnlessComplete(s.serveCompletions)))
	mux.HandleFunc("POST /v1/services/{route}/{path...}", s.limitOpenRequests(abortUnlessComplete(s.serveService)))
	mux.HandleFunc("POST /v1/tickets", abortUnlessComplete(s.serveTickets))
	mux.HandleFunc("GET /ready", s.serveReady)
	return mux
}

// abortUnlessComplete makes a handler that tells whether it has ended its answer into one that
// breaks the answer off if not. net/http would end it in good order: as an empty 200
// where nothing is out, and as a whole stream where some is.
func abortUnlessComplete(answer func(http.ResponseWriter, *http.Request) (ended bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !answer(w, r) {
			panic(http.ErrAbortHandler)
		}
	}
}

// limitOpenRequests sheds a request, before its body is read, when too many are open.
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

// serveReady tells the balancer whether to send requests here.
func (s *callerServer) serveReady(w http.ResponseWriter, _ *http.Request) {
	ready := false
	s.loop.query(func(m *core.Model) { ready = m.Ready() })
	if !ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// submitFromHeaders reads what all requests have in their headers.
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

// submit opens a mailbox and hands the message over. It returns false after
// answering the caller itself, when there was no room.
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

// shedResult is the answer to a request that the decisions never saw.
func shedResult(msg *core.SubmitMsg) *core.FinishCmd {
	f := &core.FinishCmd{Outcome: outcome.NotExecuted, Reason: core.ReasonShed, RetryAfter: shedRetryAfter}
	if msg.Key != "" && !msg.FirstTry {
		f.Outcome = outcome.Unknown
	}
	return f
}

// closeMailbox closes a mailbox, and tells the core that the caller has gone if it
// left before its final word.
func (s *callerServer) closeMailbox(caller uint64, final bool) {
	s.mailboxes.close(caller)
	if !final {
		s.loop.post(core.CancelMsg{Caller: caller})
	}
}

// writeResult answers with a final word that is not the answer itself.
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

// writeBadRequest answers a request that cannot be read.
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

// errorResponse is the JSON of a refusal or failure.
type errorResponse struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	Detail       string `json:"detail,omitempty"`
}
