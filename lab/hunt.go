package lab

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

// Find is a run in which a promise was broken.
type Find struct {
	Seed   uint64
	Faults []Fault
	Broken map[string]string
}

// huntSeed draws the troubles of hunted runs, beside the run's seed.
const huntSeed = 4

// mostDrawn bounds the troubles of a hunted run.
const mostDrawn = 6

// Hunt plays a scenario with troubles drawn at random, and returns the first run that breaks a
// promise; ok is false where none of so many does.
func Hunt(s *Scenario, v Variant, first uint64, runs int, step func()) (find Find, ok bool) {
	for i := range runs {
		seed := first + uint64(i)
		drawn := drawFaults(rand.New(rand.NewPCG(seed, huntSeed)), s.Load.ForMS)
		r := Run(s.with(drawn), v, seed)
		step()
		if len(r.Broken) > 0 {
			return Find{Seed: seed, Faults: drawn, Broken: r.Broken}, true
		}
	}
	return Find{}, false
}

// with is the scenario with other troubles.
func (s *Scenario) with(faults []Fault) *Scenario {
	other := *s
	other.Faults = faults
	return &other
}

// drawFaults draws some troubles. The last third of the time is left to recover.
func drawFaults(random *rand.Rand, lasts clock.Millis) []Fault {
	var list []Fault
	for i := range 1 + random.IntN(mostDrawn) {
		f := Fault{
			Name: fmt.Sprintf("t%d", i+1), Kind: emulated[random.IntN(len(emulated))], At: 2000 + clock.Millis(random.Int64N(int64(lasts)*2/3)),
			For: 500 + clock.Millis(random.IntN(6000)), Share: 0.05 + 0.6*random.Float64(), X: 1,
		}
		switch f.Kind {
		case Slow:
			f.X = 2 + 6*random.Float64()
		case Refuse:
			f.X = 0.1 + 0.8*random.Float64()
		case Rest:
			f.X = 0.5 + 4*random.Float64()
		case Limit:
			f.X, f.XMost = 0.2+5*random.Float64(), 6
			f.For += 3000
		case Deadly:
			f.X = 0.005 + 0.02*random.Float64()
		case Burst:
			f.X = 1.5 + 2*random.Float64()
		case Crash, NodeKill, ListAway, NodeFreeze, NodeRoll, StoreSlow, PlainFull:
		}
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return list
}

// Shrink takes troubles away, and makes the others weaker and shorter, as long as one of the
// same promises is still broken.
func Shrink(s *Scenario, v Variant, f Find, step func()) Find {
	breaks := func(faults []Fault) bool {
		r := Run(s.with(faults), v, f.Seed)
		step()
		for promise := range r.Broken {
			if _, same := f.Broken[promise]; same {
				return true
			}
		}
		return false
	}
	for i := 0; i < len(f.Faults); {
		if fewer := slices.Delete(slices.Clone(f.Faults), i, i+1); breaks(fewer) {
			f.Faults = fewer
			continue
		}
		i++
	}
	for i := range f.Faults {
		for _, weaken := range []func(*Fault){
			func(f *Fault) { f.Share /= 2 },
			func(f *Fault) { f.For /= 2 },
		} {
			weaker := slices.Clone(f.Faults)
			weaken(&weaker[i])
			if breaks(weaker) {
				f.Faults = weaker
			}
		}
	}
	return f
}

// Line is the trouble as a scenario file has it.
func (f Fault) Line() string {
	line := fmt.Sprintf("%s = %.2f %s share=%.3g for=%.3g x=%.3g", f.Name, float64(f.At)/msPerSecond, f.Kind, f.Share, float64(f.For)/msPerSecond, f.X)
	if f.XMost > f.X {
		line += fmt.Sprintf("..%.3g", f.XMost)
	}
	if f.Every > 0 {
		line += fmt.Sprintf(" every=%.3g until=%.3g", float64(f.Every)/msPerSecond, float64(f.Until)/msPerSecond)
	}
	return line
}
