package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/outcome"
)

// serveService serves a call to a plain service. It returns whether the answer has ended.
func (s *callerServer) serveService(w http.ResponseWriter, r *http.Request) (ended bool) {
	msg, err := submitFromHeaders(r)
	if err != nil {
		s.writeBadRequest(w, http.StatusBadRequest, err)
		return true
	}
	msg.Body, err = s.readBody(w, r)
	if err != nil {
		s.writeBadRequest(w, bodyStatus(err), err)
		return true
	}
	msg.Route = r.PathValue("route")
	msg.Path = "/" + r.PathValue("path")
	msg.ContentType = r.Header.Get("Content-Type")
	box, ok := s.submit(w, &msg)
	if !ok {
		return true
	}
	final := s.awaitResult(r, box)
	defer s.closeMailbox(msg.Caller, final != nil)
	if final == nil {
		return false
	}
	s.writeResult(w, final)
	return true
}

// awaitResult waits for the final word. It returns nil when the caller hangs up.
func (s *callerServer) awaitResult(r *http.Request, box *mailbox) *core.FinishCmd {
	for {
		if _, final := box.take(nil); final != nil {
			return final
		}
		select {
		case <-r.Context().Done():
			return nil
		case <-box.updated:
		}
	}
}

// ticketsResponse is the JSON of a grant of tickets.
type ticketsResponse struct {
	Tickets []string `json:"tickets"`
}

// serveTickets grants keys that only this node will run, and runs without asking
// the platform. It returns whether the answer has ended.
func (s *callerServer) serveTickets(w http.ResponseWriter, r *http.Request) (ended bool) {
	caller, box := s.mailboxes.open()
	defer s.mailboxes.close(caller)
	count, _ := strconv.Atoi(r.URL.Query().Get("count"))
	ask := core.TicketsMsg{
		Caller: caller, KeyHash: core.HashKey(bearerToken(r.Header.Get("Authorization"))), Count: count,
	}
	if !s.loop.submit(ask) {
		s.writeResult(w, &core.FinishCmd{Outcome: outcome.NotExecuted, Reason: core.ReasonShed, RetryAfter: shedRetryAfter})
		return true
	}
	for {
		if t := box.grantedTickets(); t != nil {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(ticketsResponse{Tickets: t.Tickets})
			return true
		}
		if _, final := box.take(nil); final != nil {
			s.writeResult(w, final)
			return true
		}
		select {
		case <-r.Context().Done():
			return false
		case <-box.updated:
		}
	}
}
