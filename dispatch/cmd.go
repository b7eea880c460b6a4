package dispatch

import (
	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/limit"
	"github.com/hoistjunction/hoistjunction/quarantine"
	"github.com/hoistjunction/hoistjunction/work"
)

// Cmd is something to be done.
type Cmd interface{ dispatchCmd() }

// SendCmd sends a request to an upstream.
type SendCmd struct {
	Request RequestID
	Attempt int
	// Upstream and Address say where; the address may belong to another
	// upstream by now, so the id is sent along.
	Upstream fleet.Incarnation
	Address  string
	// Chain is the way through the engines; nil for plain services.
	Chain []chain.Stage
	Route *catalog.Route
	// Account is the client account's name; empty without a key.
	Account string
	// Priority is the request's rank at an engine, 0 being the first.
	Priority int
	// ClientDeadline is when the caller stops waiting, and Deadline when the route's
	// time is up.
	ClientDeadline clock.Millis
	RouteDeadline  clock.Millis
	// AttemptTimeout bounds this attempt alone; zero for no such bound.
	AttemptTimeout clock.Millis
	// LastUpstream tells that no further upstream may run the request once this one has.
	LastUpstream bool
	// RequiresKey requests may be sent only while the configuration is fresh.
	RequiresKey bool
	// Work names what is asked for by its client account.
	Work work.ID
	// WorkSuspected tells that an upstream has ended under it.
	WorkSuspected bool
	// Inputs of the decision, for the log.
	Config    catalog.Edition
	ConfigAge clock.Millis
	InFlight  int
	// Limit is what the upstream takes from all nodes together, in requests a second; zero
	// for no limit.
	Limit float64
}

// RespondCmd ends a request with an answer of the node's own.
type RespondCmd struct {
	Request RequestID
	Status  int
	Reason  Reason
	// RetryAfter tells the caller when to come back; zero for nothing.
	RetryAfter clock.Millis
	Config     catalog.Edition
	ConfigAge  clock.Millis
	// Work names what is asked for by its client account; zero where that is not known.
	Work work.ID
	// Missing says what ran short, and Limited whose limit it was; nil where that is not it.
	Missing   *MissingResource
	RateLimit *LimitRefusal
}

// MissingResource says what ran short when no chain could be built, for the log.
type MissingResource struct {
	chain.MissingResource
	// Source says whose word on the memory left counted, and Age how old it was.
	Source    MemorySource
	SourceAge clock.Millis
}

// MemorySource says whose word on an engine's memory counts.
type MemorySource string

// The words on an engine's memory.
const (
	// SourceOwnRequests: what this node alone has in use there.
	SourceOwnRequests MemorySource = "own"
	// SourcePeerReports: what other nodes have told that they use there too.
	SourcePeerReports MemorySource = "nodes"
	// SourceEngineReport: the engine's own report.
	SourceEngineReport MemorySource = "engine"
	// SourceRefusal: the engine has refused a request just now.
	SourceRefusal MemorySource = "refusal"
)

// RelayFailureCmd passes on the upstream's own failure, which the shell holds. Like RespondCmd
// it is only for requests whose answer has not begun.
type RelayFailureCmd struct {
	Request RequestID
	Attempt int
}

// AbortResponseCmd ends an answer that has begun and cannot go on, so that it looks cut off.
type AbortResponseCmd struct {
	Request RequestID
	Reason  Reason
}

// MigrateCmd moves a running stream to other engines. The first part stays.
type MigrateCmd struct {
	Request RequestID
	Attempt int
	Chain   []chain.Stage
	// FromEngine is the engine that the stream leaves.
	FromEngine fleet.Incarnation
}

// ShareUsageCmd tells other nodes what requests take at engines.
type ShareUsageCmd struct {
	// Used is what this node's requests take.
	Used map[fleet.Incarnation]fleet.EngineUsage
	// WholeDataCentre is what those of all nodes that tell each other take, at engines that
	// are worth telling others of.
	WholeDataCentre map[fleet.Incarnation]fleet.EngineUsage
	// AllNodes is what those of all nodes take that are known of, in other data centres those
	// of IncludedDataCentres, at engines of which a node that is told sums is to know.
	AllNodes            map[fleet.Incarnation]fleet.EngineUsage
	IncludedDataCentres []string
	// Nodes is how many nodes there are; 0 while that is not known.
	Nodes int
	// Limits are what is known of the limits that upstreams name.
	Limits map[fleet.Incarnation]limit.Named
}

// ResponsivenessCmd tells the planner of layers that an engine does not answer, or does
// again.
type ResponsivenessCmd struct {
	Upstream     fleet.Incarnation
	Unresponsive bool
	// Confirmed tells that another node has found it silent before.
	Confirmed bool
}

// RecheckAttemptCmd tells a request that an upstream on its way is under suspicion.
type RecheckAttemptCmd struct {
	Request RequestID
	Attempt int
	// SuspectedAddress is the upstream's address.
	SuspectedAddress string
	// Crashed tells that its process has ended for certain.
	Crashed bool
}

// ProbeCmd asks an upstream whether it is well.
type ProbeCmd struct {
	Upstream fleet.Incarnation
	Address  string
	Engine   bool
}

// SuspectCmd is for the log: an upstream gets no work for a while.
type SuspectCmd struct {
	Upstream fleet.Incarnation
	Until    clock.Millis
	Failures int
	Cause    Cause
}

// BackOffCmd is for the log: an upstream gets nothing until a time, since it has asked for
// that.
type BackOffCmd struct {
	Upstream fleet.Incarnation
	Until    clock.Millis
	// Requested is for how long it has asked.
	Requested clock.Millis
}

// QuarantineCmd tells what has become known of requests that end upstreams.
type QuarantineCmd struct{ News quarantine.News }

// RecheckDeadlineCmd tells a request that more time has passed than its timers count.
type RecheckDeadlineCmd struct {
	Request RequestID
	// Deadline is when it must be answered.
	Deadline clock.Millis
}

func (SendCmd) dispatchCmd()            {}
func (RespondCmd) dispatchCmd()         {}
func (RelayFailureCmd) dispatchCmd()    {}
func (AbortResponseCmd) dispatchCmd()   {}
func (MigrateCmd) dispatchCmd()         {}
func (RecheckAttemptCmd) dispatchCmd()  {}
func (ShareUsageCmd) dispatchCmd()      {}
func (ResponsivenessCmd) dispatchCmd()  {}
func (ProbeCmd) dispatchCmd()           {}
func (SuspectCmd) dispatchCmd()         {}
func (BackOffCmd) dispatchCmd()         {}
func (QuarantineCmd) dispatchCmd()      {}
func (RecheckDeadlineCmd) dispatchCmd() {}

// Reason says why a request ended without an upstream's answer.
type Reason string

// The reasons.
const (
	ReasonNoConfig      Reason = "no_configuration_yet"
	ReasonStaleConfig   Reason = "configuration_too_old"
	ReasonNoRoute       Reason = "no_such_route"
	ReasonUnknownKey    Reason = "no_such_key"
	ReasonNoUpstream    Reason = "no_upstream"
	ReasonNoSlot        Reason = "no_place_free"
	ReasonNoHolder      Reason = "a_layer_has_no_engine"
	ReasonNoMemory      Reason = "no_memory_left"
	ReasonBackOff       Reason = "upstreams_asked_for_rest"
	ReasonRateLimit     Reason = "upstreams_are_limited"
	ReasonRefused       Reason = "refused_by_upstreams"
	ReasonNoRetryBudget Reason = "retry_budget_spent"
	ReasonAnswerLost    Reason = "answer_lost"
	ReasonTimeout       Reason = "time_is_up"
	ReasonStopping      Reason = "node_is_stopping"
	ReasonQuarantined   Reason = "request_ends_upstreams"
)
