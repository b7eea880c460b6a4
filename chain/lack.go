package chain

import "github.com/hoistjunction/hoistjunction/fleet"

// MissingResource says what keeps a request from being served: the layers that run shortest
// of memory, or have no holder.
type MissingResource struct {
	// Layers are the scarcest ones.
	Layers fleet.LayerRange
	// Holders is how many engines hold the first of them.
	Holders int
	// ID names the one of them with the most memory left; zero for none. Room is
	// what it has left beside what is kept free, and Need what the request takes for
	// these layers, in tokens times layers.
	ID             fleet.Incarnation
	FreeMemory     float64
	RequiredMemory float64
}

// FindMissingResource returns what a request of so many tokens lacks at the layers from a
// given one on. It is for telling why Build has failed.
func FindMissingResource(from, layers int, tokens float64, holders []Holder) MissingResource {
	var lack MissingResource
	for layer := from; layer < layers; layer++ {
		n, id, room := mostFreeHolder(layer, holders)
		scarcer := layer == from || n == 0 && lack.Holders > 0 || (n > 0) == (lack.Holders > 0) && room < lack.FreeMemory
		switch {
		case scarcer:
			lack.Layers, lack.Holders, lack.ID, lack.FreeMemory = fleet.LayerRange{From: layer, To: layer + 1}, n, id, room
		case lack.Layers.To == layer && n == lack.Holders && id == lack.ID:
			lack.Layers.To = layer + 1
		}
	}
	lack.RequiredMemory = tokens * float64(lack.Layers.Len())
	return lack
}

// mostFreeHolder returns how many engines hold a layer, and which of them has the most
// memory left.
func mostFreeHolder(layer int, holders []Holder) (n int, id fleet.Incarnation, room float64) {
	for i := range holders {
		h := &holders[i]
		if !h.Held.Holds(layer) {
			continue
		}
		n++
		if left := h.FreeMemory - memoryReserve*h.TotalMemory; id.IsZero() || left > room {
			id, room = h.ID, left
		}
	}
	return n, id, room
}
