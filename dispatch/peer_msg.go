package dispatch

import (
	"github.com/hoistjunction/hoistjunction/budget"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fairshare"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/forwarding"
	"github.com/hoistjunction/hoistjunction/limit"
	"github.com/hoistjunction/hoistjunction/quarantine"
	"github.com/hoistjunction/hoistjunction/work"
)

// PeersMsg reports the number of nodes, including this one, and how their usage is shared.
type PeersMsg struct {
	// TotalNodes is the number of nodes; 0 if other nodes report it.
	TotalNodes int
	// LocalNodes is the number of nodes in this data centre, if this node adds up the counts of
	// all data centres; 0 otherwise.
	LocalNodes int
	// UsagePeers is the number of other nodes whose usage is reported to this node, one by one
	// or, with Aggregated, as one sum.
	UsagePeers int
	// Aggregated reports whether another node sends the usage of all nodes as one sum.
	Aggregated bool
	// Members lists the nodes.
	Members []limit.Member
	// Incomplete reports that neither this node nor a peer that has answered has read the registry, so
	// that any number of nodes may be missing in Members and in the counts.
	Incomplete bool
	// ForwardTargets lists the other nodes that may serve requests of this one.
	ForwardTargets []forwarding.Node
}

// UsageMsg reports how much memory and how many slots of engines the requests of another node
// use.
type UsageMsg struct {
	Node string
	// Used is the usage by engine.
	Used map[fleet.Incarnation]fleet.EngineUsage
	// WholeDataCentre reports whether Used is the sum over all nodes of another data centre. Node
	// is then derived from the name of that data centre.
	WholeDataCentre bool
	DataCentre      string
	// AllNodes reports whether Used is the sum over all nodes, including this one and the nodes
	// of IncludedDataCentres.
	AllNodes            bool
	IncludedDataCentres []string
	// Nodes is the number of nodes in the sum; 0 if unknown.
	Nodes int
	// Limits are the rate limits of upstreams as that node knows them.
	Limits map[fleet.Incarnation]limit.Advertised
	// Retries are the node's requests for retries, and its loans.
	Retries budget.Report
	// Accounts is the use by client account of the services under contention.
	Accounts []fairshare.AccountUse
}

// PeerUnresponsiveMsg reports that an engine answered neither streams nor a probe of another
// node.
type PeerUnresponsiveMsg struct {
	Upstream fleet.Incarnation
}

// PeerResponsiveMsg reports that an engine answers another node, which had been told that the engine is
// unresponsive.
type PeerResponsiveMsg struct {
	Upstream fleet.Incarnation
}

// PeerLossMsg reports that another node lost a request at an upstream that crashed.
type PeerLossMsg struct {
	Request  work.Request
	Upstream fleet.Incarnation
	// Age is the time since the attempt failed.
	Age clock.Millis
}

// PeerAnswerMsg reports that another node received an upstream's answer to a request that was
// suspected of crashing upstreams, or to one with a suspected part.
type PeerAnswerMsg struct {
	Work work.ID
}

// PartShareMsg reports how many of the requests that another node has had answered lately have a part
// that may have crashed upstreams.
type PartShareMsg struct {
	Part  work.ID
	Share quarantine.Share
}

// QuarantinedMsg lists quarantined requests as reported by the store or another node.
type QuarantinedMsg struct {
	Works []Quarantined
}

// Quarantined is a quarantined request, or a quarantined part of prompts. Age is the time since its
// quarantine began.
type Quarantined struct {
	Work work.ID
	Age  clock.Millis
	// Ended lists the upstreams that the request is suspected to have crashed; empty if the
	// crashes are confirmed.
	Ended []fleet.Incarnation
}

func (PeersMsg) dispatchMsg()            {}
func (UsageMsg) dispatchMsg()            {}
func (PeerUnresponsiveMsg) dispatchMsg() {}
func (PeerResponsiveMsg) dispatchMsg()   {}
func (PeerLossMsg) dispatchMsg()         {}
func (PeerAnswerMsg) dispatchMsg()       {}
func (PartShareMsg) dispatchMsg()        {}
func (QuarantinedMsg) dispatchMsg()      {}
