package chain

import "github.com/hoistjunction/hoistjunction/fleet"

// MissingResource describes why no chain exists for a request: the layers without a holder or, if
// all layers have one, the layers with the least free memory.
type MissingResource struct {
	// Layers are the adjacent layers with this shortage.
	Layers fleet.LayerRange
	// Holders is the number of engines that hold the first of these layers.
	Holders int
	// ID is the holder of the first of these layers with the most free memory, or zero if there is
	// no holder. FreeMemory is its free memory minus the reserve, and RequiredMemory the memory
	// that the request needs for these layers, in tokens times layers.
	ID             fleet.Incarnation
	FreeMemory     float64
	RequiredMemory float64
}

// FindMissingResource returns the missing resource of a request with the given number of tokens,
// considering the layers from the given one to the last. It explains an error of Build.
func FindMissingResource(from, layers int, tokens float64, holders []Holder) MissingResource {
	var missing MissingResource
	for layer := from; layer < layers; layer++ {
		n, id, free := mostFreeHolder(layer, holders)
		scarcer := layer == from || n == 0 && missing.Holders > 0 || (n > 0) == (missing.Holders > 0) && free < missing.FreeMemory
		switch {
		case scarcer:
			missing.Layers, missing.Holders, missing.ID, missing.FreeMemory = fleet.LayerRange{From: layer, To: layer + 1}, n, id, free
		case missing.Layers.To == layer && n == missing.Holders && id == missing.ID:
			missing.Layers.To = layer + 1
		}
	}
	missing.RequiredMemory = tokens * float64(missing.Layers.Len())
	return missing
}

// mostFreeHolder returns the number of engines that hold a layer, and the one with the most free
// memory.
func mostFreeHolder(layer int, holders []Holder) (n int, id fleet.Incarnation, free float64) {
	for i := range holders {
		h := &holders[i]
		if !h.Held.Holds(layer) {
			continue
		}
		n++
		if left := h.FreeMemory - memoryReserve*h.TotalMemory; id.IsZero() || left > free {
			id, free = h.ID, left
		}
	}
	return n, id, free
}
