package peering

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/fleetwire"
	"github.com/hoistjunction/hoistjunction/momentwire"
	"github.com/hoistjunction/hoistjunction/wire"
	"github.com/hoistjunction/hoistjunction/wire/wireconnect"
)

// Ask answers a peer's query. It implements wireconnect.FreshnessHandler.
func (p *Peering) Ask(_ context.Context, req *connect.Request[wire.AskRequest]) (*connect.Response[wire.AskResponse], error) {
	p.AddSender(req.Msg.GetAsker())
	if req.Msg.GetWantQuarantined() {
		return connect.NewResponse(&wire.AskResponse{AgeMs: -1, Quarantined: p.encodeQuarantined()}), nil
	}
	active := p.local.Config()
	answer := &wire.AskResponse{
		Edition: momentwire.Edition(active.Edition), AgeMs: int64(p.clock.Now().Sub(active.Confirmed)),
		Members: append(p.directory.shared(), p.answeringMember()),
	}
	if active.Edition.IsZero() || !p.comparison.done.Load() {
		answer.AgeMs = -1
	}
	if active.Edition.Supersedes(momentwire.EditionOf(req.Msg.GetHave())) {
		answer.Config = active.Raw
	}
	if req.Msg.GetWantFleet() {
		answer.Fleet, answer.HasFleet = p.encodeList()
	}
	return connect.NewResponse(answer), nil
}

// answeringMember returns this node as an answer names it: with the era that its registration names, if it
// names one. Such a node has read the registry, so the nodes in its answer are all that are registered.
func (p *Peering) answeringMember() *wire.Member {
	own := p.comparison.doubt.ownEra()
	if own.IsZero() || !p.comparison.registryRead.Load() {
		return p.directory.self
	}
	m := proto.CloneOf(p.directory.self)
	m.Vouched = momentwire.Moment(own)
	return m
}

// takeMembers adds the nodes that a peer's answer names, and records whether the peer has read the registry.
func (p *Peering) takeMembers(answer *wire.AskResponse) {
	complete := false
	for _, m := range answer.GetMembers() {
		complete = complete || answer.GetAgeMs() >= 0 && m.GetVouched() != nil
		m.Vouched = nil
	}
	p.addMembers(answer.GetMembers()...)
	if complete && !p.toldMembers.Swap(true) {
		p.memberUpdates.trigger()
	}
}

// knowsMembers reports whether the other nodes are known, by the registry or by a peer that has read it. At
// the first start of a system nobody is registered, and the nodes learn of each other by messages.
func (p *Peering) knowsMembers() bool {
	return p.firstStart || p.comparison.registryRead.Load() || p.toldMembers.Load()
}

// Handler returns the handler of peers' queries, and the path that it serves.
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

// confirmedAt returns the time at which, according to an answer, the configuration was
// confirmed as the newest. The peer answered after the query was sent, so counting the age in
// the answer from the sending time never makes the configuration look fresher than it is.
func confirmedAt(sent clock.Millis, answer *wire.AskResponse) clock.Millis {
	return sent.Sub(clock.Millis(answer.GetAgeMs()))
}
