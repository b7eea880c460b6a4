package placement

import (
	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Msg is something that has happened.
type Msg interface{ placementMsg() }

// CatalogMsg brings a version of the configuration.
type CatalogMsg struct{ Catalog *catalog.Catalog }

// FleetMsg brings changes of the list of upstreams.
type FleetMsg struct{ Changes []fleet.Change }

// RankMsg changes how long the planner leaves orders to others first, when the
// node has learnt of them.
type RankMsg struct {
	Delay clock.Millis
	// Standby tells that other nodes plan and this one does not.
	Standby bool
	// ExcludedDataCentres are the data centres whose engines their own nodes plan for.
	ExcludedDataCentres []string
}

// ResponsivenessMsg tells that an engine does not answer this node, or does again.
type ResponsivenessMsg struct {
	Upstream     fleet.Incarnation
	Unresponsive bool
	// Confirmed tells that another node has found it silent too.
	Confirmed bool
}

// OrderResultMsg tells what came of an OrderCmd.
type OrderResultMsg struct {
	Upstream fleet.Incarnation
	Result   Result
	Held     fleet.LayerRange
}

// PlacedMsg tells of an order that another node has given, or, with Holds, that
// an engine has carried one out.
type PlacedMsg struct {
	Upstream  fleet.Incarnation
	Layers    fleet.LayerRange
	Completed bool
}

// TickMsg drives what depends on time alone.
type TickMsg struct {
	// ListAge is how long ago the list of upstreams was last confirmed.
	ListAge clock.Millis
}

func (CatalogMsg) placementMsg()        {}
func (FleetMsg) placementMsg()          {}
func (RankMsg) placementMsg()           {}
func (ResponsivenessMsg) placementMsg() {}
func (OrderResultMsg) placementMsg()    {}
func (PlacedMsg) placementMsg()         {}
func (TickMsg) placementMsg()           {}

// Result is what came of an order.
type Result uint8

// The results of an order.
const (
	// Taken: the engine has begun, or holds the layers already.
	Taken Result = iota
	// Refused: it does not fit the engine's state, or another order came first.
	Refused
	// Busy: the engine carries out another order.
	Busy
	// Unanswered: the order may have been taken, or may yet be.
	Unanswered
	// Rejected: the engine cannot read the order. It would say the same of the next one.
	Rejected
)

var resultNames = [...]string{"taken", "refused", "busy", "unanswered", "rejected"}

// String names the result for logs.
func (r Result) String() string { return resultNames[r] }

// OrderCmd has an engine hold a range of layers.
type OrderCmd struct {
	Upstream fleet.Incarnation
	Address  string
	Layers   fleet.LayerRange
	// ExpectedHeld is what the list says that the engine holds.
	ExpectedHeld fleet.LayerRange
	// Missing is how many of them have no holder in the data centre.
	Missing int
}
