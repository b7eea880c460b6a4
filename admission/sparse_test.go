package admission_test

import (
	"math/rand/v2"
	"testing"

	"github.com/hoistjunction/hoistjunction/admission"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Guards against holding requests back without a shortage: a service with room for few streams, less
// than half of which are in use on average, must hold nothing back.
func TestSparseServiceHoldsNothingBack(t *testing.T) {
	const seeds = 50
	for seed := uint64(1); seed <= seeds; seed++ {
		if heldBack := playSparseService(seed); heldBack > 0 {
			t.Errorf("seed %d: got %d of 6000 requests held back, want none", seed, heldBack)
		}
	}
}

// playSparseService offers a minute of requests to a service with room for 20 streams, and returns how
// many are held back.
func playSparseService(seed uint64) (heldBack int) {
	const room, arrivals, duration = 20, 0.2, 45
	random := rand.New(rand.NewPCG(seed, 1))
	c := admission.New()
	c.SetPriorities(map[string][]int{"writer": {0, 2}})
	ends := make(map[clock.Millis]int)
	inUse := 0
	for now := clock.Millis(0); now < 60_000; now += 10 {
		inUse -= ends[now]
		if random.Float64() < arrivals {
			inUse++
			ends[now.Add(10*(1+clock.Millis(random.IntN(2*duration))))]++
		}
		if now%reportInterval == 0 {
			load := admission.Load{Layers: 8, NewestReport: now, OldestReport: now, Engines: []admission.Engine{
				{Held: fleet.LayerRange{From: 0, To: 8}, Memory: room, UsedMemory: float64(inUse), UsedSlots: float64(inUse)},
			}}
			c.Observe(now, "writer", load)
		}
		if !c.Admit(now, "writer", 2, random.Float64()).Admitted {
			heldBack++
		}
	}
	return heldBack
}
