package relay

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/forwardwire"
	"github.com/hoistjunction/hoistjunction/logging"
)

// Errors that end an attempt at another node.
var (
	errNodeRefused = errors.New("relay: node did not execute the request")
	errNodeFailed  = errors.New("relay: node lost the request")
)

// reasonNoForwarding is the reason for which a node that knows no forwarded requests refuses them.
const reasonNoForwarding dispatch.Reason = "node_takes_no_requests"

// WithForwarding sets this node's name and the function that connects to other nodes, for requests
// that another node serves.
func WithForwarding(name string, dial dialFunc) Option {
	return func(r *Relay) { r.nodeName, r.nodeConns = name, newUpstreamConns(dial, r.clock) }
}

// newForward returns an attempt that passes the request on to another node.
func (s *session) newForward(ctx context.Context, cmd dispatch.SendCmd, remaining clock.Millis) (*attempt, error) {
	a := s.newAttempt(cmd, s.relay.nodeConns)
	a.blocked, a.ownConnection = func() bool { return false }, s.unanswered
	a.req = outgoing(ctx, s.request, cmd.Address, s.body)
	s.relay.protocol.SetForwarded(a.req.Header, ForwardHead{Remaining: remaining, LastEventID: s.lastEventID})
	err := forwardwire.SetRequest(a.req.Header, forwardwire.Request{From: s.relay.nodeName, UpstreamsLeft: cmd.UpstreamsLeft, Admitted: cmd.Admitted, Account: cmd.Account})
	return a, err
}

// checkForward waits for a stalled stream at another node, which has its own means against stalls,
// and abandons it if that node seems lost.
func (s *session) checkForward() {
	if !s.postpone(s.stallTimer, s.lastUpdateAt, abandonAfter) {
		s.abandon("", "node_sends_no_event", false)
	}
}

// watchesForward reports whether the current attempt is a stream at another node.
func (s *session) watchesForward() bool {
	return s.attempt.cmd.Node != "" && s.route.Kind == catalog.Streaming
}

// acceptForwarded checks what another node says of its answer, and reports whether an upstream's
// answer follows.
func (a *attempt) acceptForwarded(ctx context.Context, resp *http.Response) bool {
	answer, err := forwardwire.TakeAnswer(resp.Header)
	switch {
	case errors.Is(err, forwardwire.ErrMissing) && resp.StatusCode == http.StatusNotFound:
		a.refuse(ctx, dispatch.NodeRefusal{Reason: reasonNoForwarding}, err)
	case err != nil:
		a.fail(ctx, dispatch.CauseUnknown, "", err)
	case answer.Outcome == forwardwire.Refused:
		a.refuse(ctx, dispatch.NodeRefusal{Reason: dispatch.Reason(answer.Reason), RetryAfter: answer.RetryAfter}, errors.Wrap(errNodeRefused, answer.Reason))
	case answer.Outcome == forwardwire.Failed:
		a.fail(ctx, dispatch.CauseUnknown, "", errors.Wrap(errNodeFailed, answer.Reason))
	default:
		a.servedBy = answer.Upstream
		return true
	}
	return false
}

// refuse ends an attempt that another node did not execute.
func (a *attempt) refuse(ctx context.Context, refusal dispatch.NodeRefusal, err error) {
	a.emit(ctx, attemptUpdate{failed: true, cause: dispatch.CauseNodeRefused, refusal: refusal, err: err})
}

func (s *session) logForward(cmd dispatch.SendCmd, remaining clock.Millis) {
	s.relay.stats.count("forwarded")
	s.log.Info("forwarded", zap.String("id", s.head.ID), zap.Stringer("work", cmd.Work), zap.Int("attempt", cmd.Attempt), zap.String("route", cmd.Route.Name),
		zap.String("account", cmd.Account), zap.String("node", cmd.Node), zap.String("address", cmd.Address), zap.Int("upstreams_left", cmd.UpstreamsLeft), zap.Bool("admitted", cmd.Admitted),
		zap.Int64("remaining_ms", int64(remaining)), zap.String("resume_after", s.lastEventID))
}

// ServeForwarded handles a request that another node has passed on.
func (r *Relay) ServeForwarded(w http.ResponseWriter, req *http.Request) {
	forwarded, err := forwardwire.TakeRequest(req.Header)
	if err != nil {
		r.refuseMalformed(w, req, err)
		return
	}
	r.stats.count("taken_over")
	r.log.Info("taken_over", zap.String("id", r.protocol.CallerHead(req.Header).ID), zap.String("from", forwarded.From),
		zap.Int("upstreams_left", forwarded.UpstreamsLeft), zap.Bool("admitted", forwarded.Admitted), zap.Int64("open", r.openRequests.Load()))
	r.handle(w, req, &dispatch.Forwarded{From: forwarded.From, UpstreamsLeft: forwarded.UpstreamsLeft, Admitted: forwarded.Admitted, Account: forwarded.Account, Overloaded: r.overloaded()})
}

// refuseMalformed refuses a forwarded request whose header can't be used.
func (r *Relay) refuseMalformed(w http.ResponseWriter, req *http.Request, err error) {
	r.stats.count("forwarded_malformed")
	r.log.Warn("forwarded_malformed", zap.String("id", r.protocol.CallerHead(req.Header).ID), zap.String("by", req.RemoteAddr), logging.Err(err))
	answer := newAnswerWriter(w, &r.stopping)
	answer.forwarded = true
	if err := answer.writeError(http.StatusBadRequest, string(reasonNoForwarding), 0); err != nil {
		r.log.Info("caller_lost", logging.Err(err))
	}
}
