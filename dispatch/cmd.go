package dispatch

import (
	"github.com/hoistjunction/hoistjunction/admission"
	"github.com/hoistjunction/hoistjunction/budget"
	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/chain"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fairshare"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/limit"
	"github.com/hoistjunction/hoistjunction/quarantine"
	"github.com/hoistjunction/hoistjunction/work"
)

// Cmd is an action that the caller of Update must execute.
type Cmd interface{ dispatchCmd() }

// SendCmd sends a request to an upstream, or passes it on to another node.
type SendCmd struct {
	Request RequestID
	Attempt int
	// Upstream is the target, at Address. Another upstream may have the address by now, so the
	// request carries the id.
	Upstream fleet.Incarnation
	Address  string
	// Node is the node to which the request is passed on, at Address; empty if it is sent to an
	// upstream. UpstreamsLeft is the number of upstreams that may execute the request there.
	Node          string
	UpstreamsLeft int
	// Admitted reports whether the other node takes the request without its key, which belonged to
	// Account when the request was admitted.
	Admitted bool
	// Chain is the chain of engines; nil for plain services.
	Chain []chain.Stage
	Route *catalog.Route
	// Account is the client account's name; empty without a key.
	Account string
	// Priority ranks the request in the queue of an engine; 0 is the most urgent.
	Priority int
	// ClientDeadline is when the client stops waiting, and RouteDeadline when the route's timeout
	// ends.
	ClientDeadline clock.Millis
	RouteDeadline  clock.Millis
	// AttemptTimeout bounds this attempt; zero for no bound.
	AttemptTimeout clock.Millis
	// PredictedFirstEvent is the predicted time from sending the request to the first event of the
	// answer, and PredictionInputAge the age of the oldest report that it depends on. Both are zero
	// for plain services.
	PredictedFirstEvent clock.Millis
	PredictionInputAge  clock.Millis
	// FirstEventLimit is the time without a first event after which the session reports the attempt
	// as overdue; zero for none.
	FirstEventLimit clock.Millis
	// Recovery states how a stream was resumed; nil for other attempts.
	Recovery *Recovery
	// LastUpstream reports whether no further upstream may execute the request after this one.
	LastUpstream bool
	// RequiresKey reports whether the request may be sent only while the configuration is fresh.
	RequiresKey bool
	// Work identifies the content of the request together with its client account.
	Work work.ID
	// SuspectedBy is the ID for which the request is suspected of crashing upstreams, its own or
	// that of a part of its prompt; zero if it is not suspected.
	SuspectedBy work.ID
	// Config, ConfigAge and InFlight are inputs of the decision, for the log.
	Config    catalog.Edition
	ConfigAge clock.Millis
	InFlight  int
	// Limit is the rate limit of the upstream over all nodes, in requests per second; zero for no
	// limit.
	Limit float64
}

// RespondCmd ends a request with an answer that the node generates itself.
type RespondCmd struct {
	Request RequestID
	Status  int
	Reason  Reason
	// RetryAfter is the time after which the client should retry; zero for no advice.
	RetryAfter clock.Millis
	Config     catalog.Edition
	ConfigAge  clock.Millis
	// Work identifies the content of the request together with its client account; zero if
	// unknown.
	Work work.ID
	// QuarantinedBy is the ID for which the request is in quarantine; zero if that is not the reason.
	QuarantinedBy work.ID
	// Missing is the resource that the request lacked, RateLimit the limit that refused it, HeldBack
	// the decision of admission control and OverShare that of fair shares; nil if that is not the
	// reason.
	Missing   *MissingResource
	RateLimit *LimitRefusal
	HeldBack  *admission.Decision
	OverShare *fairshare.Decision
}

// MissingResource describes why no chain could be built, for the log.
type MissingResource struct {
	chain.MissingResource
	// Source is the origin of the value of free memory, and SourceAge its age.
	Source    MemorySource
	SourceAge clock.Millis
}

// MemorySource is the origin of a value of an engine's free memory.
type MemorySource string

// Origins of a value of free memory.
const (
	// SourceOwnRequests means that only this node's own reservations were counted.
	SourceOwnRequests MemorySource = "own"
	// SourcePeerReports means that usage reports of other nodes were counted too.
	SourcePeerReports MemorySource = "nodes"
	// SourceEngineReport means that the engine's own report was used.
	SourceEngineReport MemorySource = "engine"
	// SourceRefusal means that the engine has just refused a request.
	SourceRefusal MemorySource = "refusal"
)

// RelayFailureCmd relays the upstream's error response, which the session holds. Like RespondCmd
// it is only used for requests whose answer has not begun.
type RelayFailureCmd struct {
	Request RequestID
	Attempt int
}

// AbortResponseCmd aborts a response that has begun and cannot be resumed, so that the client
// recognizes it as incomplete.
type AbortResponseCmd struct {
	Request RequestID
	Reason  Reason
}

// MigrateCmd migrates a running stream to other engines. The first engine of the chain stays.
type MigrateCmd struct {
	Request RequestID
	Attempt int
	Chain   []chain.Stage
	// FromEngine is the engine that the stream leaves.
	FromEngine fleet.Incarnation
	// Recovery states how the stream was scheduled; nil if its route does not bound pauses.
	Recovery *Recovery
}

// ShareUsageCmd sends the engine usage of requests to other nodes.
type ShareUsageCmd struct {
	// Used is the usage of this node's requests by engine.
	Used map[fleet.Incarnation]fleet.EngineUsage
	// WholeDataCentre is the sum over this data centre's nodes, restricted to engines with enough
	// usage to matter to other data centres.
	WholeDataCentre map[fleet.Incarnation]fleet.EngineUsage
	// AllNodes is the sum over all known nodes, including those of IncludedDataCentres,
	// restricted to the engines that matter to nodes which receive sums.
	AllNodes            map[fleet.Incarnation]fleet.EngineUsage
	IncludedDataCentres []string
	// Nodes is the number of nodes; 0 while unknown.
	Nodes int
	// Limits are the known rate limits of upstreams.
	Limits map[fleet.Incarnation]limit.Advertised
	// Retries are the requests for retries and the loans of this node, and LeafRetries those of a
	// hub for its leaves.
	Retries     budget.Report
	LeafRetries budget.Report
	// Accounts is the use by client account of the services under contention by this node's
	// requests, DataCentreAccounts that of all nodes of this data centre and AllAccounts that of
	// all known nodes. Each is empty if no service is under contention.
	Accounts           []fairshare.AccountUse
	DataCentreAccounts []fairshare.AccountUse
	AllAccounts        []fairshare.AccountUse
}

// ResponsivenessCmd notifies the placement planner that an engine became unresponsive or
// responsive again.
type ResponsivenessCmd struct {
	Upstream     fleet.Incarnation
	Unresponsive bool
	// Confirmed reports whether another node had found the engine unresponsive before.
	Confirmed bool
	// NeverAnswered reports whether the engine has never answered this node.
	NeverAnswered bool
}

// Certain reports whether the finding holds however many engines this node finds unresponsive.
func (c ResponsivenessCmd) Certain() bool { return c.Confirmed || c.NeverAnswered }

// RecheckAttemptCmd makes a request check the progress of its attempt, because an upstream on its
// path is suspected.
type RecheckAttemptCmd struct {
	Request RequestID
	Attempt int
	// SuspectedAddress is the address of the suspected upstream.
	SuspectedAddress string
	// Crashed reports whether the upstream's process is known to have ended.
	Crashed bool
}

// ProbeCmd probes the health of an upstream.
type ProbeCmd struct {
	Upstream fleet.Incarnation
	Address  string
	Engine   bool
	Reason   ProbeReason
}

// SuspectCmd logs that an upstream is suspected and gets no work for a while.
type SuspectCmd struct {
	Upstream fleet.Incarnation
	Until    clock.Millis
	Failures int
	Cause    Cause
}

// BackOffCmd logs that this node sends nothing to an upstream until a time, because the upstream
// asked for it with Retry-After.
type BackOffCmd struct {
	Upstream fleet.Incarnation
	Until    clock.Millis
	// Requested is the duration that the upstream asked for.
	Requested clock.Millis
}

// QuarantineCmd reports a change in the quarantine of requests that crash upstreams.
type QuarantineCmd struct{ Event quarantine.Event }

// RecheckDeadlineCmd resets the timers of a request after a suspension of the VM, during which
// they did not run.
type RecheckDeadlineCmd struct {
	Request RequestID
	// Deadline is when the request must be answered.
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

// Reason is why a request ended without an upstream's answer.
type Reason string

// Reasons for ending a request.
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
	ReasonHeldBack      Reason = "held_back_for_priority"
	ReasonOverFairShare Reason = "over_fair_share"
	ReasonRefused       Reason = "refused_by_upstreams"
	ReasonNoRetryBudget Reason = "retry_budget_spent"
	ReasonAnswerLost    Reason = "answer_lost"
	ReasonTimeout       Reason = "time_is_up"
	ReasonStopping      Reason = "node_is_stopping"
	ReasonNodeFailed    Reason = "node_has_failed"
	ReasonQuarantined   Reason = "request_ends_upstreams"
	ReasonNoPath        Reason = "no_path_to_upstreams"
	ReasonNodeBusy      Reason = "node_is_busy"
)
