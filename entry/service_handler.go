package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/outcome"
)

// serveService serves a call to a plain service. It reports whether the response is
// complete.
func (s *callerServer) serveService(w http.ResponseWriter, r *http.Request) (complete bool) {
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
	result := s.awaitResult(r, box)
	defer s.closeMailbox(msg.Caller, result != nil)
	if result == nil {
		return false
	}
	s.writeResult(w, result)
	return true
}

// awaitResult waits for the result. It returns nil if the caller disconnects first.
func (s *callerServer) awaitResult(r *http.Request, box *mailbox) *core.FinishCmd {
	for {
		if _, result := box.take(nil); result != nil {
			return result
		}
		select {
		case <-r.Context().Done():
			return nil
		case <-box.updated:
		}
	}
}

// ticketsResponse is the JSON of the tickets issued for a caller.
type ticketsResponse struct {
	Tickets []string `json:"tickets"`
}

// serveTickets issues tickets. Only this node, or the node that it hands its keys over
// to, executes requests with these tickets, without a query to the platform's store.
// It reports whether the response is complete.
func (s *callerServer) serveTickets(w http.ResponseWriter, r *http.Request) (complete bool) {
	caller, box := s.mailboxes.open()
	defer s.mailboxes.close(caller)
	count, _ := strconv.Atoi(r.URL.Query().Get("count"))
	msg := core.TicketsMsg{
		Caller: caller, KeyHash: core.HashKey(bearerToken(r.Header.Get("Authorization"))), Count: count,
	}
	if !s.loop.submit(msg) {
		s.writeResult(w, &core.FinishCmd{Outcome: outcome.NotExecuted, Reason: core.ReasonShed, RetryAfter: shedRetryAfter})
		return true
	}
	for {
		if t := box.grantedTickets(); t != nil {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(ticketsResponse{Tickets: t.Tickets})
			return true
		}
		if _, result := box.take(nil); result != nil {
			s.writeResult(w, result)
			return true
		}
		select {
		case <-r.Context().Done():
			return false
		case <-box.updated:
		}
	}
}
