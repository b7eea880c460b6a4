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

// ErrRequest means that a caller's request cannot be read.
var ErrRequest = errors.New("entry: bad request")

// shedPause is when to come back after the ring before the decisions was
// full.
const shedPause clock.Millis = 250

// callerServer serves callers over HTTP.
type callerServer struct {
	log     *logging.Log
	decider *decider
	mail    *mailroom
	maxBody int64
	// open has an item for each request that is open.
	open chan struct{}
}

// handler routes the callers' paths.
func (s *callerServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.bounded(ending(s.completions)))
	mux.HandleFunc("POST /v1/chat/completions", s.bounded(ending(s.completions)))
	mux.HandleFunc("POST /v1/services/{route}/{path...}", s.bounded(ending(s.service)))
	mux.HandleFunc("POST /v1/tickets", ending(s.tickets))
	mux.HandleFunc("GET /ready", s.ready)
	return mux
}

// ending makes a handler that tells whether it has ended its answer into one that
// breaks the answer off if not. net/http would end it in good order: as an empty 200
// where nothing is out, and as a whole stream where some is.
func ending(answer func(http.ResponseWriter, *http.Request) (ended bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !answer(w, r) {
			panic(http.ErrAbortHandler)
		}
	}
}

// bounded sheds a request, before its body is read, when too many are open.
func (s *callerServer) bounded(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.open <- struct{}{}:
			defer func() { <-s.open }()
			next(w, r)
		default:
			msg, _ := message(r)
			s.writeFinal(w, shedAnswer(&msg))
		}
	}
}

// ready tells the balancer whether to send requests here.
func (s *callerServer) ready(w http.ResponseWriter, _ *http.Request) {
	ready := false
	s.decider.ask(func(m *core.Model) { ready = m.Ready() })
	if !ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// message reads what all requests have in their headers.
func message(r *http.Request) (core.SubmitMsg, error) {
	msg := core.SubmitMsg{
		KeyHash:  core.HashKey(tokenOf(r.Header.Get("Authorization"))),
		Key:      r.Header.Get(callkey.Idempotency),
		NoRepeat: r.Header.Get(callkey.NoRepeat) == "true",
		FirstTry: r.Header.Get(callkey.Try) == "1",
	}
	priority, err := number(r, callkey.Priority)
	if err != nil {
		return msg, err
	}
	deadline, err := number(r, callkey.Deadline)
	if err != nil {
		return msg, err
	}
	msg.Priority = int(priority)
	msg.Deadline = clock.Millis(deadline)
	return msg, nil
}

func number(r *http.Request, header string) (int64, error) {
	text := r.Header.Get(header)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 32)
	if err != nil || n < 0 {
		return 0, errors.Wrapf(ErrRequest, "%s must be a whole number, not %q", header, text)
	}
	return n, nil
}

// submit opens a mailbox and hands the message over. It returns false after
// answering the caller itself, when there was no room.
func (s *callerServer) submit(w http.ResponseWriter, msg *core.SubmitMsg) (*mailbox, bool) {
	caller, box := s.mail.open()
	msg.Caller = caller
	w.Header().Set(callkey.Request, strconv.FormatUint(caller, 10))
	if s.decider.submit(*msg) {
		return box, true
	}
	s.mail.close(caller)
	s.writeFinal(w, shedAnswer(msg))
	return nil, false
}

// shedAnswer is the answer to a request that the decisions never saw.
func shedAnswer(msg *core.SubmitMsg) *core.FinishCmd {
	f := &core.FinishCmd{Outcome: outcome.NotExecuted, Reason: core.ReasonShed, RetryAfter: shedPause}
	if msg.Key != "" && !msg.FirstTry {
		f.Outcome = outcome.Unknown
	}
	return f
}

// leave closes a mailbox, and tells the core that the caller has gone if it
// left before its final word.
func (s *callerServer) leave(caller uint64, final bool) {
	s.mail.close(caller)
	if !final {
		s.decider.tell(core.CancelMsg{Caller: caller})
	}
}

// writeFinal answers with a final word that is not the answer itself.
func (s *callerServer) writeFinal(w http.ResponseWriter, f *core.FinishCmd) {
	setOutcome(w.Header(), f)
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
	_ = json.NewEncoder(w).Encode(errorAnswer{Error: errorBody{
		Outcome: f.Outcome.String(), Reason: f.Reason.String(), RetryAfterMS: int64(f.RetryAfter),
	}})
}

// refuseRequest answers a request that cannot be read.
func (s *callerServer) refuseRequest(w http.ResponseWriter, status int, err error) {
	s.log.Debug("bad_request", zap.Error(err))
	w.Header().Set(callkey.Outcome, outcome.Failed.String())
	w.Header().Set(callkey.Reason, core.ReasonBadRequest.String())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorAnswer{Error: errorBody{
		Outcome: outcome.Failed.String(), Reason: core.ReasonBadRequest.String(),
		Detail: strings.TrimSuffix(err.Error(), ": "+ErrRequest.Error()),
	}})
}

func setOutcome(h http.Header, f *core.FinishCmd) {
	h.Set(callkey.Outcome, f.Outcome.String())
	if f.Reason != core.ReasonNone {
		h.Set(callkey.Reason, f.Reason.String())
	}
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(f.RetryAfter.Seconds(), 10))
		h.Set(callkey.RetryAfter, strconv.FormatInt(int64(f.RetryAfter), 10))
	}
}

// errorAnswer is the JSON of a refusal or failure.
type errorAnswer struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	Detail       string `json:"detail,omitempty"`
}
