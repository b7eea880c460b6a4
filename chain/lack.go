package chain

import "github.com/hoistjunction/hoistjunction/fleet"

// Lack says what keeps a request from being served: the layers that run shortest
// of memory, or have no holder.
type Lack struct {
	// Layers are the scarcest ones.
	Layers fleet.LayerRange
	// Holders is how many engines hold the first of them.
	Holders int
	// ID names the one of them with the most memory left; zero for none. Room is
	// what it has left beside what is kept free, and Need what the request takes for
	// these layers, in tokens times layers.
	ID   fleet.Incarnation
	Room float64
	Need float64
}

// WhatLacks returns what a request of so many tokens lacks at the layers from a
// given one on. It is for telling why Build has failed.
func WhatLacks(from, layers int, tokens float64, holders []Holder) Lack {
	var lack Lack
	for layer := from; layer < layers; layer++ {
		n, id, room := roomiest(layer, holders)
		scarcer := layer == from || n == 0 && lack.Holders > 0 || (n > 0) == (lack.Holders > 0) && room < lack.Room
		switch {
		case scarcer:
			lack.Layers, lack.Holders, lack.ID, lack.Room = fleet.LayerRange{From: layer, To: layer + 1}, n, id, room
		case lack.Layers.To == layer && n == lack.Holders && id == lack.ID:
			lack.Layers.To = layer + 1
		}
	}
	lack.Need = tokens * float64(lack.Layers.Len())
	return lack
}

// roomiest returns how many engines hold a layer, and which of them has the most
// memory left.
func roomiest(layer int, holders []Holder) (n int, id fleet.Incarnation, room float64) {
	for i := range holders {
		h := &holders[i]
		if !h.Held.Holds(layer) {
			continue
		}
		n++
		if left := h.Room - spareRoom*h.Total; id.IsZero() || left > room {
			id, room = h.ID, left
		}
	}
	return n, id, room
}
