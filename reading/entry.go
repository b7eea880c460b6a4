package reading

import (
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/wire"
)

// Entry returns an upstream in the form in which nodes tell each other of it.
func Entry(u fleet.Upstream) *wire.ListedUpstream {
	return &wire.ListedUpstream{
		Id: u.ID, Service: u.Service, Address: u.Address, DataCentre: u.DataCentre, Slots: int32(u.Slots),
		Leaving: u.Leaving, Accelerator: u.Accelerator, HeldFrom: int32(u.Held.From), HeldTo: int32(u.Held.To), Lapsed: u.Lapsed,
	}
}

// Upstream is the reverse of Entry.
func Upstream(e *wire.ListedUpstream) fleet.Upstream {
	return fleet.Upstream{
		ID: e.GetId(), Service: e.GetService(), Address: e.GetAddress(), DataCentre: e.GetDataCentre(),
		Slots: int(e.GetSlots()), Leaving: e.GetLeaving(), Accelerator: e.GetAccelerator(),
		Held: fleet.Range{From: int(e.GetHeldFrom()), To: int(e.GetHeldTo())}, Lapsed: e.GetLapsed(),
	}
}
