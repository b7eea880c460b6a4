// Package fleetwire converts upstreams and upstream list changes to and from node-to-node
// messages.
package fleetwire

import (
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/wire"
)

// incarnationMessage is a message with the fields of an incarnation.
type incarnationMessage interface {
	GetId() string
	GetBorn() int64
}

// IncarnationOf returns the incarnation in a message.
func IncarnationOf(msg incarnationMessage) fleet.Incarnation {
	return fleet.NewIncarnation(fleet.ID(msg.GetId()), fleet.StartTime(msg.GetBorn()))
}

// IncarnationFields returns the message fields of an incarnation.
func IncarnationFields(i fleet.Incarnation) (id string, born int64) {
	return string(i.ID()), int64(i.StartedAt())
}

// Incarnations returns the message form of a list of incarnations.
func Incarnations(list []fleet.Incarnation) []*wire.Incarnation {
	var out []*wire.Incarnation
	for _, i := range list {
		id, born := IncarnationFields(i)
		out = append(out, &wire.Incarnation{Id: id, Born: born})
	}
	return out
}

// IncarnationsOf returns the incarnations in a list of messages.
func IncarnationsOf(msgs []*wire.Incarnation) []fleet.Incarnation {
	var list []fleet.Incarnation
	for _, i := range msgs {
		list = append(list, IncarnationOf(i))
	}
	return list
}

// UpstreamMessage returns the message form of an upstream.
func UpstreamMessage(u fleet.Upstream) *wire.ListedUpstream {
	id, born := IncarnationFields(u.ID)
	return &wire.ListedUpstream{
		Id: id, Born: born, Service: u.Service, Address: u.Address, DataCentre: u.DataCentre, Slots: int32(u.Slots),
		Leaving: u.Leaving, Accelerator: u.Accelerator, HeldFrom: int32(u.Held.From), HeldTo: int32(u.Held.To), Lapsed: u.Lapsed,
		Withheld: u.Withheld,
	}
}

// Upstream returns the upstream in a message.
func Upstream(msg *wire.ListedUpstream) fleet.Upstream {
	return fleet.Upstream{
		ID: IncarnationOf(msg), Service: msg.GetService(), Address: msg.GetAddress(), DataCentre: msg.GetDataCentre(),
		Slots: int(msg.GetSlots()), Leaving: msg.GetLeaving(), Accelerator: msg.GetAccelerator(),
		Held: fleet.LayerRange{From: int(msg.GetHeldFrom()), To: int(msg.GetHeldTo())}, Lapsed: msg.GetLapsed(),
		Withheld: msg.GetWithheld(),
	}
}

// Change returns the message form of a change of the upstream list.
func Change(c fleet.Change) *wire.ListedChange {
	id, born := IncarnationFields(c.ID)
	msg := &wire.ListedChange{Id: id, Born: born, Gone: c.Gone, Ended: c.Ended}
	if !c.Gone {
		msg.Upstream = UpstreamMessage(c.Upstream)
	}
	return msg
}

// ChangeOf returns the change of the upstream list in a message.
func ChangeOf(msg *wire.ListedChange) fleet.Change {
	if msg.GetGone() {
		return fleet.Change{ID: IncarnationOf(msg), Gone: true, Ended: msg.GetEnded()}
	}
	return fleet.Change{ID: IncarnationOf(msg), Upstream: Upstream(msg.GetUpstream())}
}
