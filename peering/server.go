package peering

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/fleetwire"
	"github.com/hoistjunction/hoistjunction/momentwire"
	"github.com/hoistjunction/hoistjunction/wire"
	"github.com/hoistjunction/hoistjunction/wire/wireconnect"
)

// Ask answers a peer. It implements wireconnect.FreshnessHandler.
func (p *Peering) Ask(_ context.Context, req *connect.Request[wire.AskRequest]) (*connect.Response[wire.AskResponse], error) {
	p.Heard(req.Msg.GetAsker())
	if req.Msg.GetWantQuarantined() {
		return connect.NewResponse(&wire.AskResponse{AgeMs: -1, Quarantined: p.encodeQuarantined()}), nil
	}
	inForce := p.local.Config()
	answer := &wire.AskResponse{
		Edition: momentwire.Edition(inForce.Edition), AgeMs: int64(p.clock.Now().Sub(inForce.Confirmed)),
		Members: append(p.directory.shared(), p.directory.self),
	}
	if inForce.Edition.IsZero() {
		answer.AgeMs = -1
	}
	if inForce.Edition.Supersedes(momentwire.EditionOf(req.Msg.GetHave())) {
		answer.Config = inForce.Raw
	}
	if req.Msg.GetWantFleet() {
		answer.Fleet, answer.HasFleet = p.encodeList()
	}
	return connect.NewResponse(answer), nil
}

// Handler serves the peers' questions, at the path that it returns.
func (p *Peering) Handler() (path string, handler http.Handler) {
	return wireconnect.NewFreshnessHandler(p)
}

func (p *Peering) encodeList() ([]*wire.ListedUpstream, bool) {
	list, ok := p.local.Fleet()
	if !ok {
		return nil, false
	}
	out := make([]*wire.ListedUpstream, 0, len(list))
	for _, u := range list {
		out = append(out, fleetwire.UpstreamMessage(u))
	}
	return out, true
}

func decodeList(list []*wire.ListedUpstream) []fleet.Upstream {
	out := make([]fleet.Upstream, 0, len(list))
	for _, u := range list {
		out = append(out, fleetwire.Upstream(u))
	}
	return out
}

// confirmedAt works out since when an answer shows the asker's configuration
// to be the newest. The answer was made after the question was sent, so
// counting its age from the sending errs on the safe side.
func confirmedAt(sent clock.Millis, answer *wire.AskResponse) clock.Millis {
	return sent.Sub(clock.Millis(answer.GetAgeMs()))
}
