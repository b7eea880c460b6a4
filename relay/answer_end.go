package relay

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/logging"
)

// errUnframedByNode is the error of an answer of another node that ends with its connection. Nodes send a
// length or chunks with each answer, whatever their upstreams do.
var errUnframedByNode = errors.New("relay: answer of another node has neither a length nor chunks")

// endsWithConnection reports whether nothing but the end of the connection marks the end of an answer. An
// answer to HEAD may have neither a length nor chunks too, but has no body.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// confirmEnd decides whether an answer whose body has been read to its end is complete. An upstream that
// is killed closes its connections like one that has finished, so the end of a connection counts only if
// the upstream's process outlives it: an upstream that breaks an answer off resets the connection. A
// probe tells that at the cost of one small request. Asking an upstream for what follows the last event
// would execute the request again, is charged to the retry budget, is impossible where a request may not
// be repeated, and its answer may end with its connection too. The first result is the address of the
// upstream that may have ended.
func (a *attempt) confirmEnd(ctx context.Context, resp *http.Response) (faultyAddress string, err error) {
	if !endsWithConnection(resp) {
		return "", nil
	}
	if a.cmd.Node != "" {
		return "", errUnframedByNode
	}
	return a.checkEnd(ctx, a)
}

// checkEnd checks whether all upstreams of an attempt still run.
func (s *session) checkEnd(ctx context.Context, a *attempt) (faultyAddress string, err error) {
	began := s.relay.clock.Now()
	faultyAddress, err = s.relay.checkAlive(ctx, livenessTargets(a))
	if ctx.Err() != nil {
		return faultyAddress, err
	}
	event := "end_confirmed"
	if err != nil {
		event = "end_unconfirmed"
		err = errors.Wrap(err, "relay: answer ends with its connection, and its upstream may have ended too")
	}
	s.relay.stats.count(event)
	s.log.Info(event, zap.String("id", s.head.ID), zap.Int("attempt", a.cmd.Attempt), zap.Stringer("upstream", a.upstream()),
		zap.String("at", faultyAddress), zap.Int64("wait_ms", int64(s.relay.clock.Now().Sub(began))), logging.Err(err))
	return faultyAddress, err
}

// livenessTargets returns the upstreams that take part in an attempt. The first engine of a chain may end
// a stream because it has lost a later one.
func livenessTargets(a *attempt) []livenessTarget {
	parts := *a.chain.Load()
	if len(parts) == 0 {
		return []livenessTarget{{upstream: a.cmd.Upstream, address: a.cmd.Address}}
	}
	targets := make([]livenessTarget, 0, len(parts))
	for _, p := range parts {
		targets = append(targets, livenessTarget{upstream: p.ID, address: p.Address})
	}
	return targets
}

// checkAlive checks several upstreams at the same time and returns the address of the first one that may
// have ended, with the error of its check.
func (r *Relay) checkAlive(ctx context.Context, targets []livenessTarget) (address string, err error) {
	checks := make([]chan error, len(targets))
	for i, target := range targets {
		checks[i] = make(chan error, 1)
		go r.guard("liveness_check", func() { checks[i] <- r.liveness.check(ctx, target) })
	}
	for i, target := range targets {
		if err := <-checks[i]; err != nil {
			return target.address, err
		}
	}
	return "", nil
}
