package dispatch

import (
	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/limit"
	"github.com/hoistjunction/hoistjunction/work"
)

// RequestID names a request inside one node.
type RequestID uint64

// Msg is something that has happened.
type Msg interface{ dispatchMsg() }

// CatalogMsg brings the configuration that is in force from now on, and when it was known to
// be the newest. Catalog is nil where only the time is new.
type CatalogMsg struct {
	Catalog *catalog.Catalog
	// ConfirmedAt is when the call that showed it was sent.
	ConfirmedAt clock.Millis
}

// FleetMsg brings changes of the list of upstreams.
type FleetMsg struct {
	Changes []fleet.Change
}

// PeersMsg tells how many nodes there are, this one included.
type PeersMsg struct {
	// TotalNodes is how many there are; 0 where others tell that.
	TotalNodes int
	// LocalNodes is how many there are in the data centre, at a node that adds up how many others
	// tell of theirs; 0 at all others.
	LocalNodes int
	// UsagePeers is how many others' use is to be known here one by one or, with Summed, in one sum.
	UsagePeers int
	// Aggregated tells that one node tells this one what all have in use.
	Aggregated bool
	// Members are the nodes.
	Members []limit.Member
}

// UsageMsg brings what another node's requests take at engines.
type UsageMsg struct {
	Node string
	// Used is by engine.
	Used map[fleet.Incarnation]fleet.EngineUsage
	// WholeDataCentre tells that it is that of all nodes of another data centre, whose name Node is
	// made of.
	WholeDataCentre bool
	DataCentre      string
	// AllNodes tells that it is that of all nodes, this one included, in other data centres
	// those of IncludedDataCentres.
	AllNodes            bool
	IncludedDataCentres []string
	// Nodes is how many nodes these are; 0 where that is not told.
	Nodes int
	// Limits are what the node knows of the limits that upstreams name.
	Limits map[fleet.Incarnation]limit.Named
}

// PlacedMsg tells that an engine has been ordered to hold other layers, or, with
// Holds, that it does. It waits for what passes through those that it gives up.
type PlacedMsg struct {
	Upstream  fleet.Incarnation
	Layers    fleet.LayerRange
	Completed bool
}

// ArriveMsg brings a request that has been read whole.
type ArriveMsg struct {
	Request RequestID
	// CallerID is the name that the caller gave this try.
	CallerID string
	// Work names what is asked for, whoever asks.
	Work work.ID
	Host string
	Path string
	// Key is the caller's key; HasKey tells that one was sent.
	Key    string
	HasKey bool
	// Remaining is how long the caller will wait; zero for no bound.
	Remaining clock.Millis
	// PromptTokens and AnswerTokens are the sizes of a generation: the prompt
	// and the most that may come out. HintTokens is the caller's guess of what
	// will come out. Zero where they were not sent.
	PromptTokens int
	AnswerTokens int
	HintTokens   int
}

// AttemptFailedMsg tells that an attempt has brought no answer that may be
// passed on.
type AttemptFailedMsg struct {
	Request RequestID
	Attempt int
	Cause   Cause
	// FaultyAddress is the address of the upstream at fault, if the answer named one.
	FaultyAddress string
	// Delivered says what the caller has of the answer, and Events how many events
	// of a stream that is.
	Delivered Delivered
	Events    int
}

// Delivered says what a caller has of its answer. One that has begun can only be gone
// on with or broken off: any other answer would be written into it.
type Delivered uint8

const (
	// DeliveredNothing means that the answer has not begun.
	DeliveredNothing Delivered = iota
	// DeliveredEvents means that the caller has the events of a stream up to one that
	// can be named, so another attempt may go on after it.
	DeliveredEvents
	// DeliveredPartial means that the caller has some of an answer that nothing can go on
	// with.
	DeliveredPartial
)

// AttemptDoneMsg tells that an attempt's answer was passed on whole.
type AttemptDoneMsg struct {
	Request RequestID
	Attempt int
	Took    clock.Millis
	// UpstreamFailed tells that the answer was a failure of the upstream's own.
	UpstreamFailed bool
}

// StalledMsg tells that engines hold a running stream up.
type StalledMsg struct {
	Request RequestID
	Attempt int
	// FaultyAddress is the address of the engine that it waits for.
	FaultyAddress string
	// Slow tells that the engine is alive, and only slow.
	Slow bool
}

// ReportMsg brings what an engine says of itself.
type ReportMsg struct {
	Upstream fleet.Incarnation
	Report   Report
}

// Report is what an engine says of itself, some hundred ms late.
type Report struct {
	// Slowdown is how many times slower than usual it is; zero if it does not say.
	Slowdown float64
	// FreeMemory is the memory that it has left, in tokens times layers, and All what
	// it has in all; All is zero if it does not say.
	FreeMemory  float64
	TotalMemory float64
	// Queued is how many requests wait there for a slot.
	Queued int
	// Empty tells that it holds no layers and has taken no order since its start.
	Empty bool
}

// BackOffMsg tells that an upstream has turned a request away and wants no other from this
// node for a time.
type BackOffMsg struct {
	Upstream fleet.Incarnation
	For      clock.Millis
}

// MigratedMsg tells what came of a MigrateCmd.
type MigratedMsg struct {
	Request RequestID
	Attempt int
	Result  MigrationResult
	// FaultyAddress is the address of the engine that refused, if the answer named one.
	FaultyAddress string
}

// RequestEndedMsg tells that a request is over: its caller has left, its time is up,
// or its answer is out.
type RequestEndedMsg struct {
	Request RequestID
}

// ProbedMsg tells what came of a ProbeCmd.
type ProbedMsg struct {
	Upstream fleet.Incarnation
	Answered bool
	// Named tells that the answer says that it is of the run that was asked. Without that
	// it may be of the next process at the address.
	Named  bool
	Report Report
}

// PeerUnresponsiveMsg tells that another node has found an engine that answers neither
// streams nor a probe.
type PeerUnresponsiveMsg struct {
	Upstream fleet.Incarnation
}

// PeerLossMsg tells that another node has lost a request at an upstream that has ended.
type PeerLossMsg struct {
	Work     work.ID
	Upstream fleet.Incarnation
}

// PeerAnswerMsg tells that another node has brought an upstream's answer to a request
// that was under suspicion.
type PeerAnswerMsg struct {
	Work work.ID
}

// QuarantinedMsg brings requests that are quarantined, from the store or another node.
type QuarantinedMsg struct {
	Works []Quarantined
}

// Quarantined is a request that was quarantined some time ago.
type Quarantined struct {
	Work work.ID
	Age  clock.Millis
	// Ended are the upstreams that are thought to have ended under it; none where that is
	// certain.
	Ended []fleet.Incarnation
}

// VMResumedMsg tells that the VM goes on after it was suspended.
type VMResumedMsg struct{}

// TickMsg drives what depends on time alone.
type TickMsg struct{}

// Cause says why an attempt failed, as far as it matters for what comes next.
type Cause uint8

// The causes.
const (
	// CauseNotSent: no byte of the request was written.
	CauseNotSent Cause = iota
	// CauseStaleConfig: the node itself did not write it, since the configuration that
	// decided it was no longer in force or fresh.
	CauseStaleConfig
	// CauseFull: the upstream says that it did not run it for want of room.
	CauseFull
	// CauseMisdirected: the upstream says that it is not the one meant, or does
	// not hold what was asked of it.
	CauseMisdirected
	// Unknown: the request was sent, and there is no answer to trust.
	CauseUnknown
	// Slow: the request was sent, and was taken back for want of an answer.
	CauseNoProgress
	// Failed: the upstream ran it and answered with a failure of its own.
	CauseUpstreamFailed
)

var causeNames = map[Cause]string{
	CauseNotSent: "not_sent", CauseStaleConfig: "held_back", CauseFull: "full", CauseMisdirected: "misdirected",
	CauseUnknown: "unknown", CauseNoProgress: "slow", CauseUpstreamFailed: "upstream_failed",
}

// String names the cause for logs.
func (c Cause) String() string { return causeNames[c] }

// MigrationResult is what came of moving a stream.
type MigrationResult uint8

// The results of a move.
const (
	// Moved: the stream goes on over the new engines.
	MigrationDone MigrationResult = iota
	// MigrationUnknownStream: the first engine does not know the stream.
	MigrationUnknownStream
	// MigrationRefused: an engine of the new chain lacks the layers or room.
	MigrationRefused
	// MigrationUnanswered: the first engine did not answer.
	MigrationUnanswered
)

func (CatalogMsg) dispatchMsg()          {}
func (FleetMsg) dispatchMsg()            {}
func (PeersMsg) dispatchMsg()            {}
func (UsageMsg) dispatchMsg()            {}
func (PlacedMsg) dispatchMsg()           {}
func (ArriveMsg) dispatchMsg()           {}
func (AttemptFailedMsg) dispatchMsg()    {}
func (AttemptDoneMsg) dispatchMsg()      {}
func (StalledMsg) dispatchMsg()          {}
func (ReportMsg) dispatchMsg()           {}
func (MigratedMsg) dispatchMsg()         {}
func (BackOffMsg) dispatchMsg()          {}
func (RequestEndedMsg) dispatchMsg()     {}
func (ProbedMsg) dispatchMsg()           {}
func (PeerUnresponsiveMsg) dispatchMsg() {}
func (PeerLossMsg) dispatchMsg()         {}
func (PeerAnswerMsg) dispatchMsg()       {}
func (QuarantinedMsg) dispatchMsg()      {}
func (VMResumedMsg) dispatchMsg()        {}
func (TickMsg) dispatchMsg()             {}
