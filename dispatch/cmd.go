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
	// Deadline is when the caller stops waiting, and GiveUp when the route's
	// time is up.
	Deadline clock.Millis
	GiveUp   clock.Millis
	// TryFor bounds this attempt alone; zero for no such bound.
	TryFor clock.Millis
	// Last tells that no further upstream may run the request once this one has.
	Last bool
	// Keyed requests may be sent only while the configuration is fresh.
	Keyed bool
	// Work names what is asked for by its client account.
	Work work.ID
	// Suspected tells that an upstream has ended under it.
	Suspected bool
	// Inputs of the decision, for the log.
	Config    catalog.Edition
	ConfigAge clock.Millis
	InFlight  int
	// Limit is what the upstream takes from all nodes together, in requests a second; zero
	// for no limit.
	Limit float64
}

// FinishCmd ends a request with an answer of the node's own.
type FinishCmd struct {
	Request RequestID
	Status  int
	Reason  Reason
	// RetryAfter tells the caller when to come back; zero for nothing.
	RetryAfter clock.Millis
	Config     catalog.Edition
	ConfigAge  clock.Millis
	// Work names what is asked for by its client account; zero where that is not known.
	Work work.ID
	// Lack says what ran short, and Limited whose limit it was; nil where that is not it.
	Lack    *Lack
	Limited *Limited
}

// Lack says what ran short when no chain could be built, for the log.
type Lack struct {
	chain.MissingResource
	// Word says whose word on the memory left counted, and Age how old it was.
	Word Word
	Age  clock.Millis
}

// Word says whose word on an engine's memory counts.
type Word string

// The words on an engine's memory.
const (
	// WordOwn: what this node alone has in use there.
	WordOwn Word = "own"
	// WordNodes: what other nodes have told that they use there too.
	WordNodes Word = "nodes"
	// WordEngine: the engine's own report.
	WordEngine Word = "engine"
	// WordRefusal: the engine has refused a request just now.
	WordRefusal Word = "refusal"
)

// RelayCmd passes on the upstream's own failure, which the shell holds. Like FinishCmd
// it is only for requests whose answer has not begun.
type RelayCmd struct {
	Request RequestID
	Attempt int
}

// CutCmd ends an answer that has begun and cannot go on, so that it looks cut off.
type CutCmd struct {
	Request RequestID
	Reason  Reason
}

// MoveCmd moves a running stream to other engines. The first part stays.
type MoveCmd struct {
	Request RequestID
	Attempt int
	Chain   []chain.Stage
	// Away is the engine that the stream leaves.
	Away fleet.Incarnation
}

// ShareCmd tells other nodes what requests take at engines.
type ShareCmd struct {
	// Used is what this node's requests take.
	Used map[fleet.Incarnation]fleet.EngineUsage
	// Total is what those of all nodes that tell each other take, at engines that
	// are worth telling others of.
	Total map[fleet.Incarnation]fleet.EngineUsage
	// Whole is what those of all nodes take that are known of, in other data centres those
	// of HeardOf, at engines of which a node that is told sums is to know.
	Whole   map[fleet.Incarnation]fleet.EngineUsage
	HeardOf []string
	// Nodes is how many nodes there are; 0 while that is not known.
	Nodes int
	// Limits are what is known of the limits that upstreams name.
	Limits map[fleet.Incarnation]limit.Named
}

// SilentCmd tells the planner of layers that an engine does not answer, or does
// again.
type SilentCmd struct {
	Upstream fleet.Incarnation
	Silent   bool
	// Agreed tells that another node has found it silent before.
	Agreed bool
}

// ReconsiderCmd tells a request that an upstream on its way is under suspicion.
type ReconsiderCmd struct {
	Request RequestID
	Attempt int
	// At is the upstream's address.
	At string
	// Ended tells that its process has ended for certain.
	Ended bool
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
	Strikes  int
	Cause    Cause
}

// RestCmd is for the log: an upstream gets nothing until a time, since it has asked for
// that.
type RestCmd struct {
	Upstream fleet.Incarnation
	Until    clock.Millis
	// Asked is for how long it has asked.
	Asked clock.Millis
}

// QuarantineCmd tells what has become known of requests that end upstreams.
type QuarantineCmd struct{ News quarantine.News }

// WakeCmd tells a request that more time has passed than its timers count.
type WakeCmd struct {
	Request RequestID
	// GiveUp is when it must be answered.
	GiveUp clock.Millis
}

func (SendCmd) dispatchCmd()       {}
func (FinishCmd) dispatchCmd()     {}
func (RelayCmd) dispatchCmd()      {}
func (CutCmd) dispatchCmd()        {}
func (MoveCmd) dispatchCmd()       {}
func (ReconsiderCmd) dispatchCmd() {}
func (ShareCmd) dispatchCmd()      {}
func (SilentCmd) dispatchCmd()     {}
func (ProbeCmd) dispatchCmd()      {}
func (SuspectCmd) dispatchCmd()    {}
func (RestCmd) dispatchCmd()       {}
func (QuarantineCmd) dispatchCmd() {}
func (WakeCmd) dispatchCmd()       {}

// Reason says why a request ended without an upstream's answer.
type Reason string

// The reasons.
const (
	ReasonNoConfig    Reason = "no_configuration_yet"
	ReasonStaleConfig Reason = "configuration_too_old"
	ReasonNoRoute     Reason = "no_such_route"
	ReasonNoAccount   Reason = "no_such_key"
	ReasonNoUpstream  Reason = "no_upstream"
	ReasonNoPlace     Reason = "no_place_free"
	ReasonNoHolder    Reason = "a_layer_has_no_engine"
	ReasonNoRoom      Reason = "no_memory_left"
	ReasonRest        Reason = "upstreams_asked_for_rest"
	ReasonLimit       Reason = "upstreams_are_limited"
	ReasonRefused     Reason = "refused_by_upstreams"
	ReasonNoBudget    Reason = "retry_budget_spent"
	ReasonUnknown     Reason = "answer_lost"
	ReasonTimeout     Reason = "time_is_up"
	ReasonStopping    Reason = "node_is_stopping"
	ReasonQuarantined Reason = "request_ends_upstreams"
)
