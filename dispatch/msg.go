package dispatch

import (
	"github.com/hoistjunction/hoistjunction/budget"
	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fairshare"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/forwarding"
	"github.com/hoistjunction/hoistjunction/limit"
	"github.com/hoistjunction/hoistjunction/work"
)

// RequestID identifies a request within one node.
type RequestID uint64

// Msg is an event that the Model handles.
type Msg interface{ dispatchMsg() }

// CatalogMsg activates a configuration or confirms the active one, if Catalog is nil.
type CatalogMsg struct {
	Catalog *catalog.Catalog
	// ConfirmedAt is the send time of the call that returned the configuration as the newest one.
	ConfirmedAt clock.Millis
}

// FleetMsg reports changes of the list of upstreams.
type FleetMsg struct {
	Changes []fleet.Change
}

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

// PlacedMsg reports that an engine was ordered to hold the given layers or, with Completed, that
// it holds them. An engine carries out an order only after the streams through the layers that it
// drops have left.
type PlacedMsg struct {
	Upstream  fleet.Incarnation
	Layers    fleet.LayerRange
	Completed bool
}

// ArriveMsg reports a new request whose body has been read completely.
type ArriveMsg struct {
	Request RequestID
	// CallerID is the request id that the client chose.
	CallerID string
	// Work identifies the content of the request, independent of the client account.
	Work work.ID
	Host string
	Path string
	// Key is the client's key; HasKey reports whether it was sent.
	Key    string
	HasKey bool
	// Remaining is how long the client waits; zero for no bound.
	Remaining clock.Millis
	// PromptTokens and AnswerTokens are the prompt length and the maximum answer length of a
	// generation. HintTokens is the client's estimate of the answer length. Each is zero if not
	// sent.
	PromptTokens int
	AnswerTokens int
	HintTokens   int
	// BodyBytes is the size of the request's body, which the node holds while the request waits.
	BodyBytes int
	// Forwarded describes a request that another node has passed on; nil for a client's own.
	Forwarded *Forwarded
}

// AttemptFailedMsg reports that an attempt failed without a complete answer that may be relayed.
type AttemptFailedMsg struct {
	Request RequestID
	Attempt int
	Cause   Cause
	// FaultyAddress is the address of the upstream at fault; empty if the answer did not name
	// one.
	FaultyAddress string
	// Delivered is the part of the answer that the client has received, and Events the number of
	// stream events in it. LastEventAt is when the client received the last one; 0 if unknown.
	Delivered   Delivered
	Events      int
	LastEventAt clock.Millis
	// Provisional reports whether the upstream at fault has only not answered yet.
	Provisional bool
	// Refusal is the refusal of another node, for CauseNodeRefused.
	Refusal NodeRefusal
}

// Delivered classifies the part of an answer that the client has received. An answer that has
// begun can only be resumed or aborted, since any other answer would be appended to it.
type Delivered uint8

const (
	// DeliveredNothing means that the answer has not begun.
	DeliveredNothing Delivered = iota
	// DeliveredEvents means that the client has all stream events up to a known one, so that
	// another attempt can resume after it.
	DeliveredEvents
	// DeliveredPartial means that the client has a part of an answer that cannot be resumed.
	DeliveredPartial
)

// FirstEventMsg reports the first event of an attempt at a chain of engines, which have read its
// prompt by then. It is sent once for an attempt at most.
type FirstEventMsg struct {
	Request RequestID
	Attempt int
}

// AttemptDoneMsg reports that an attempt's answer was relayed completely.
type AttemptDoneMsg struct {
	Request RequestID
	Attempt int
	Took    clock.Millis
	// UpstreamFailed reports whether the answer was an error of the upstream.
	UpstreamFailed bool
}

// StalledMsg reports that an engine stalls a running stream.
type StalledMsg struct {
	Request RequestID
	Attempt int
	// FaultyAddress is the address of the engine for which the stream waits.
	FaultyAddress string
	// Slow reports whether the engine is alive and merely slow.
	Slow bool
	// Provisional reports whether the engine has only not answered yet. A LateReportMsg follows.
	Provisional bool
	// Events is the number of events that the client has received, and LastEventAt when it
	// received the last one; 0 if unknown.
	Events      int
	LastEventAt clock.Millis
}

// ReportMsg delivers an engine's report of its state.
type ReportMsg struct {
	Upstream fleet.Incarnation
	Report   Report
}

// ChainUnansweredMsg reports that none of the engines of a stalled stream's chain answered in time. One of
// them may have crashed, or this node is cut from all.
type ChainUnansweredMsg struct {
	Upstreams []fleet.Incarnation
}

// Report is an engine's report of its state. It is some hundred ms old on arrival.
type Report struct {
	// Slowdown is the ratio of the engine's token time to its normal value; zero if not reported.
	Slowdown float64
	// FreeMemory and TotalMemory are in tokens times layers. TotalMemory is zero if not reported.
	FreeMemory  float64
	TotalMemory float64
	// Queued is the number of requests that wait for a slot on the engine.
	Queued int
	// Empty reports whether the engine holds no layers and has accepted no order since its start.
	Empty bool
}

// BackOffMsg reports that an upstream refused a request and asked this node, with Retry-After, to
// send no other request for a time.
type BackOffMsg struct {
	Upstream fleet.Incarnation
	For      clock.Millis
}

// MigratedMsg reports the result of a MigrateCmd.
type MigratedMsg struct {
	Request RequestID
	Attempt int
	Result  MigrationResult
	// FaultyAddress is the address of the engine that refused; empty if the answer did not name
	// one.
	FaultyAddress string
}

// RequestEndedMsg reports that a request is over: the client disconnected, the time ran out, or
// the answer was sent.
type RequestEndedMsg struct {
	Request RequestID
}

// ProbedMsg reports the result of a ProbeCmd.
type ProbedMsg struct {
	Upstream fleet.Incarnation
	Answered bool
	// Identified reports whether the answer names the probed incarnation. An answer without that name
	// may come from the next process at the same address.
	Identified bool
	Report     Report
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
	Work     work.ID
	Upstream fleet.Incarnation
}

// PeerAnswerMsg reports that another node received an upstream's answer to a request that was
// suspected of crashing upstreams.
type PeerAnswerMsg struct {
	Work work.ID
}

// QuarantinedMsg lists quarantined requests as reported by the store or another node.
type QuarantinedMsg struct {
	Works []Quarantined
}

// Quarantined is a quarantined request. Age is the time since its quarantine began.
type Quarantined struct {
	Work work.ID
	Age  clock.Millis
	// Ended lists the upstreams that the request is suspected to have crashed; empty if the
	// crashes are confirmed.
	Ended []fleet.Incarnation
}

// VMResumedMsg reports that the VM resumed after a suspension.
type VMResumedMsg struct{}

// DrainMsg reports that a planned stop has begun. End is when the node ends the requests that are
// still in progress.
type DrainMsg struct{ End clock.Millis }

// TickMsg triggers the periodic work.
type TickMsg struct{}

// Cause classifies the failure of an attempt.
type Cause uint8

// Causes of failed attempts.
const (
	// CauseNotSent means that no byte of the request was written.
	CauseNotSent Cause = iota
	// CauseStaleConfig means that the node did not write the request, because the configuration
	// that admitted it was replaced or no longer fresh.
	CauseStaleConfig
	// CauseFull means that the upstream answered that it did not execute the request for lack of
	// capacity.
	CauseFull
	// CauseMisdirected means that the upstream answered that it is another incarnation than the
	// addressed one, or does not hold the requested layers.
	CauseMisdirected
	// CauseUnknown means that the request was sent and no valid answer arrived.
	CauseUnknown
	// CauseNoProgress means that the request was sent and the attempt was canceled because no
	// answer arrived in time.
	CauseNoProgress
	// CauseUpstreamFailed means that the upstream executed the request and answered with an
	// error.
	CauseUpstreamFailed
	// CauseNodeRefused means that another node, to which the request was passed on, answered that
	// it did not execute it.
	CauseNodeRefused
)

var causeNames = map[Cause]string{
	CauseNotSent: "not_sent", CauseStaleConfig: "held_back", CauseFull: "full", CauseMisdirected: "misdirected",
	CauseUnknown: "unknown", CauseNoProgress: "slow", CauseUpstreamFailed: "upstream_failed", CauseNodeRefused: "node_refused",
}

// String returns the name of the cause in logs.
func (c Cause) String() string { return causeNames[c] }

// MigrationResult is the result of a stream migration.
type MigrationResult uint8

// Results of a stream migration.
const (
	// MigrationDone means that the stream continues over the new engines.
	MigrationDone MigrationResult = iota
	// MigrationUnknownStream means that the first engine does not know the stream.
	MigrationUnknownStream
	// MigrationRefused means that an engine of the new chain lacks the layers or the memory.
	MigrationRefused
	// MigrationUnanswered means that the first engine did not answer.
	MigrationUnanswered
)

func (CatalogMsg) dispatchMsg()          {}
func (FleetMsg) dispatchMsg()            {}
func (PeersMsg) dispatchMsg()            {}
func (UsageMsg) dispatchMsg()            {}
func (PlacedMsg) dispatchMsg()           {}
func (ArriveMsg) dispatchMsg()           {}
func (AttemptFailedMsg) dispatchMsg()    {}
func (FirstEventMsg) dispatchMsg()       {}
func (AttemptDoneMsg) dispatchMsg()      {}
func (StalledMsg) dispatchMsg()          {}
func (ReportMsg) dispatchMsg()           {}
func (ChainUnansweredMsg) dispatchMsg()  {}
func (MigratedMsg) dispatchMsg()         {}
func (BackOffMsg) dispatchMsg()          {}
func (RequestEndedMsg) dispatchMsg()     {}
func (ProbedMsg) dispatchMsg()           {}
func (PeerUnresponsiveMsg) dispatchMsg() {}
func (PeerResponsiveMsg) dispatchMsg()   {}
func (PeerLossMsg) dispatchMsg()         {}
func (PeerAnswerMsg) dispatchMsg()       {}
func (QuarantinedMsg) dispatchMsg()      {}
func (VMResumedMsg) dispatchMsg()        {}
func (DrainMsg) dispatchMsg()            {}
func (TickMsg) dispatchMsg()             {}
