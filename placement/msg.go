package placement

import (
	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Msg is an input of the planner.
type Msg interface{ placementMsg() }

// CatalogMsg contains a new version of the configuration.
type CatalogMsg struct{ Catalog *catalog.Catalog }

// FleetMsg contains changes of the upstream list.
type FleetMsg struct{ Changes []fleet.Change }

// RankMsg sets the delay and the role of this node in planning. It is sent when the set of known
// nodes changes.
type RankMsg struct {
	Delay clock.Millis
	// Standby is set if other nodes plan and this node does not.
	Standby bool
	// ExcludedDataCentres are the data centres that are planned by nodes of their own.
	ExcludedDataCentres []string
}

// ResponsivenessMsg reports that an engine became unresponsive to this node, or answers again.
type ResponsivenessMsg struct {
	Upstream     fleet.Incarnation
	Unresponsive bool
	// Confirmed is set if another node also found the engine unresponsive, or if it has never answered
	// this one: an engine that does not exist has an entry for as long as another writer leaves it there.
	Confirmed bool
}

// OrderResultMsg reports the result of an OrderCmd.
type OrderResultMsg struct {
	Upstream fleet.Incarnation
	Result   Result
	Held     fleet.LayerRange
}

// PlacedMsg reports an order that a node has given or, if Completed is set, that the engine now
// holds the ordered layers.
type PlacedMsg struct {
	Upstream  fleet.Incarnation
	Layers    fleet.LayerRange
	Completed bool
}

// TickMsg is sent at regular intervals.
type TickMsg struct {
	// ListAge is the time since the last confirmation that the upstream list is current.
	ListAge clock.Millis
}

func (CatalogMsg) placementMsg()        {}
func (FleetMsg) placementMsg()          {}
func (RankMsg) placementMsg()           {}
func (ResponsivenessMsg) placementMsg() {}
func (OrderResultMsg) placementMsg()    {}
func (PlacedMsg) placementMsg()         {}
func (TickMsg) placementMsg()           {}

// Result is the result of an order.
type Result uint8

// Results of an order.
const (
	// Taken means that the engine has accepted the order or already holds the layers.
	Taken Result = iota
	// Refused means that the order does not match the engine's state, or that another order was
	// accepted first.
	Refused
	// Busy means that the engine is executing another order.
	Busy
	// Unanswered means that the order may or may not have been accepted, or may still be.
	Unanswered
	// Rejected means that the engine could not decode the order. It would reject a repeated order
	// too.
	Rejected
)

var resultNames = [...]string{"taken", "refused", "busy", "unanswered", "rejected"}

// String returns the name of the result in logs and metrics.
func (r Result) String() string { return resultNames[r] }

// OrderCmd orders an engine to hold a range of layers.
type OrderCmd struct {
	Upstream fleet.Incarnation
	Address  string
	Layers   fleet.LayerRange
	// ExpectedHeld is the range that the engine holds according to the list.
	ExpectedHeld fleet.LayerRange
	// Missing is the number of ordered layers that had no holder in the data centre.
	Missing int
}
