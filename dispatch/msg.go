package dispatch

import (
	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
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
	// PromptParts are the parts of the prompt that other requests may share.
	PromptParts []work.ID
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

// VMResumedMsg reports that the VM resumed after a suspension.
type VMResumedMsg struct{}

// DrainMsg reports that a planned stop has begun.
type DrainMsg struct {
	// LateFrom is when the platform has deregistered the node: a request that comes later does so on
	// an older connection, and its client's next connection leads to another node.
	LateFrom clock.Millis
	// End is when the node ends the requests that are still in progress.
	End clock.Millis
}

// NodeEndMsg reports that the node ends: a planned stop has no time left.
type NodeEndMsg struct{}

// TickMsg triggers the periodic work.
type TickMsg struct{}

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

func (CatalogMsg) dispatchMsg()         {}
func (ConfigComparedMsg) dispatchMsg()  {}
func (FleetMsg) dispatchMsg()           {}
func (PlacedMsg) dispatchMsg()          {}
func (ArriveMsg) dispatchMsg()          {}
func (AttemptFailedMsg) dispatchMsg()   {}
func (FirstEventMsg) dispatchMsg()      {}
func (AttemptDoneMsg) dispatchMsg()     {}
func (StalledMsg) dispatchMsg()         {}
func (ReportMsg) dispatchMsg()          {}
func (ChainUnansweredMsg) dispatchMsg() {}
func (MigratedMsg) dispatchMsg()        {}
func (BackOffMsg) dispatchMsg()         {}
func (RequestEndedMsg) dispatchMsg()    {}
func (ProbedMsg) dispatchMsg()          {}
func (VMResumedMsg) dispatchMsg()       {}
func (DrainMsg) dispatchMsg()           {}
func (NodeEndMsg) dispatchMsg()         {}
func (TickMsg) dispatchMsg()            {}
