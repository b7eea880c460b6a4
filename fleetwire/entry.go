// Package fleetwire translates what nodes tell each other of upstreams.
package fleetwire

import (
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/wire"
)

// incarnationMessage is a message that names an incarnation.
type incarnationMessage interface {
	GetId() string
	GetBorn() int64
}

// IncarnationOf returns the incarnation that a message names.
func IncarnationOf(msg incarnationMessage) fleet.Incarnation {
	return fleet.NewIncarnation(fleet.ID(msg.GetId()), fleet.StartTime(msg.GetBorn()))
}

// IncarnationFields is the reverse of IncarnationOf, for the fields of a message.
func IncarnationFields(i fleet.Incarnation) (id string, born int64) {
	return string(i.ID()), int64(i.StartedAt())
}

// Incarnations returns incarnations in the form in which nodes tell each other of them.
func Incarnations(list []fleet.Incarnation) []*wire.Incarnation {
	var out []*wire.Incarnation
	for _, i := range list {
		id, born := IncarnationFields(i)
		out = append(out, &wire.Incarnation{Id: id, Born: born})
	}
	return out
}

// IncarnationsOf is the reverse of Names.
func IncarnationsOf(told []*wire.Incarnation) []fleet.Incarnation {
	var list []fleet.Incarnation
	for _, i := range told {
		list = append(list, IncarnationOf(i))
	}
	return list
}

// UpstreamMessage returns an upstream in the form in which nodes tell each other of it.
func UpstreamMessage(u fleet.Upstream) *wire.ListedUpstream {
	id, born := IncarnationFields(u.ID)
	return &wire.ListedUpstream{
		Id: id, Born: born, Service: u.Service, Address: u.Address, DataCentre: u.DataCentre, Slots: int32(u.Slots),
		Leaving: u.Leaving, Accelerator: u.Accelerator, HeldFrom: int32(u.Held.From), HeldTo: int32(u.Held.To), Lapsed: u.Lapsed,
		Withheld: u.Withheld,
	}
}

// Upstream is the reverse of Entry.
func Upstream(e *wire.ListedUpstream) fleet.Upstream {
	return fleet.Upstream{
		ID: IncarnationOf(e), Service: e.GetService(), Address: e.GetAddress(), DataCentre: e.GetDataCentre(),
		Slots: int(e.GetSlots()), Leaving: e.GetLeaving(), Accelerator: e.GetAccelerator(),
		Held: fleet.LayerRange{From: int(e.GetHeldFrom()), To: int(e.GetHeldTo())}, Lapsed: e.GetLapsed(),
		Withheld: e.GetWithheld(),
	}
}

// Change returns a change of the list in the form in which nodes tell each other of it.
func Change(c fleet.Change) *wire.ListedChange {
	id, born := IncarnationFields(c.ID)
	told := &wire.ListedChange{Id: id, Born: born, Gone: c.Gone, Ended: c.Ended}
	if !c.Gone {
		told.Upstream = UpstreamMessage(c.Upstream)
	}
	return told
}

// ChangeOf is the reverse of Change.
func ChangeOf(told *wire.ListedChange) fleet.Change {
	if told.GetGone() {
		return fleet.Change{ID: IncarnationOf(told), Gone: true, Ended: told.GetEnded()}
	}
	return fleet.Change{ID: IncarnationOf(told), Upstream: Upstream(told.GetUpstream())}
}
