package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/outcome"
)

// service serves a call to a plain service. It returns whether the answer has ended.
func (s *callerServer) service(w http.ResponseWriter, r *http.Request) (ended bool) {
	msg, err := message(r)
	if err != nil {
		s.refuseRequest(w, http.StatusBadRequest, err)
		return true
	}
	msg.Body, err = s.readBody(w, r)
	if err != nil {
		s.refuseRequest(w, bodyStatus(err), err)
		return true
	}
	msg.Route = r.PathValue("route")
	msg.Path = "/" + r.PathValue("path")
	msg.ContentType = r.Header.Get("Content-Type")
	box, ok := s.submit(w, &msg)
	if !ok {
		return true
	}
	final := s.await(r, box)
	defer s.leave(msg.Caller, final != nil)
	if final == nil {
		return false
	}
	s.writeFinal(w, final)
	return true
}

// await waits for the final word. It returns nil when the caller hangs up.
func (s *callerServer) await(r *http.Request, box *mailbox) *core.FinishCmd {
	for {
		if _, final := box.take(nil); final != nil {
			return final
		}
		select {
		case <-r.Context().Done():
			return nil
		case <-box.wake:
		}
	}
}

// ticketsAnswer is the JSON of a grant of tickets.
type ticketsAnswer struct {
	Tickets []string `json:"tickets"`
}

// tickets grants keys that only this node will run, and runs without asking
// the platform. It returns whether the answer has ended.
func (s *callerServer) tickets(w http.ResponseWriter, r *http.Request) (ended bool) {
	caller, box := s.mail.open()
	defer s.mail.close(caller)
	count, _ := strconv.Atoi(r.URL.Query().Get("count"))
	ask := core.TicketsMsg{
		Caller: caller, KeyHash: core.HashKey(tokenOf(r.Header.Get("Authorization"))), Count: count,
	}
	if !s.decider.submit(ask) {
		s.writeFinal(w, &core.FinishCmd{Outcome: outcome.NotExecuted, Reason: core.ReasonShed, RetryAfter: shedPause})
		return true
	}
	for {
		if t := box.granted(); t != nil {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(ticketsAnswer{Tickets: t.Tickets})
			return true
		}
		if _, final := box.take(nil); final != nil {
			s.writeFinal(w, final)
			return true
		}
		select {
		case <-r.Context().Done():
			return false
		case <-box.wake:
		}
	}
}
