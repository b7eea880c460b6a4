package lab

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

// Finding is a run in which a promise was broken.
type Finding struct {
	Seed       uint64
	Faults     []Fault
	Violations map[string]string
}

// faultDrawSeed draws the troubles of hunted runs, beside the run's seed.
const faultDrawSeed = 4

// maxDrawnFaults bounds the troubles of a hunted run.
const maxDrawnFaults = 6

// FindViolation plays a scenario with troubles drawn at random, and returns the first run that breaks a
// promise; ok is false where none of so many does.
func FindViolation(s *Scenario, v Variant, first uint64, runs int, step func()) (find Finding, ok bool) {
	for i := range runs {
		seed := first + uint64(i)
		drawn := drawFaults(rand.New(rand.NewPCG(seed, faultDrawSeed)), s.Load.DurationMS)
		r := Run(s.withFaults(drawn), v, seed)
		step()
		if len(r.Violations) > 0 {
			return Finding{Seed: seed, Faults: drawn, Violations: r.Violations}, true
		}
	}
	return Finding{}, false
}

// withFaults is the scenario with other troubles.
func (s *Scenario) withFaults(faults []Fault) *Scenario {
	other := *s
	other.Faults = faults
	return &other
}

// drawFaults draws some troubles. The last third of the time is left to recover.
func drawFaults(random *rand.Rand, lasts clock.Millis) []Fault {
	var list []Fault
	for i := range 1 + random.IntN(maxDrawnFaults) {
		f := Fault{
			Name: fmt.Sprintf("t%d", i+1), Kind: emulatedKinds[random.IntN(len(emulatedKinds))], At: 2000 + clock.Millis(random.Int64N(int64(lasts)*2/3)),
			Duration: 500 + clock.Millis(random.IntN(6000)), Share: 0.05 + 0.6*random.Float64(), Magnitude: 1,
		}
		switch f.Kind {
		case EngineSlow:
			f.Magnitude = 2 + 6*random.Float64()
		case EngineRefuse:
			f.Magnitude = 0.1 + 0.8*random.Float64()
		case EngineBackOff:
			f.Magnitude = 0.5 + 4*random.Float64()
		case EngineLimit:
			f.Magnitude, f.MaxMagnitude = 0.2+5*random.Float64(), 6
			f.Duration += 3000
		case CrashingRequest:
			f.Magnitude = 0.005 + 0.02*random.Float64()
		case LoadBurst:
			f.Magnitude = 1.5 + 2*random.Float64()
		case EngineCrash, NodeKill, ListFrozen, NodeFreeze, NodeRollingRestart, StoreSlow, PlainServiceFull:
		}
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return list
}

// Shrink takes troubles away, and makes the others weaker and shorter, as long as one of the
// same promises is still broken.
func Shrink(s *Scenario, v Variant, f Finding, step func()) Finding {
	breaks := func(faults []Fault) bool {
		r := Run(s.withFaults(faults), v, f.Seed)
		step()
		for promise := range r.Violations {
			if _, same := f.Violations[promise]; same {
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
			func(f *Fault) { f.Duration /= 2 },
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

// ScenarioLine is the trouble as a scenario file has it.
func (f Fault) ScenarioLine() string {
	line := fmt.Sprintf("%s = %.2f %s share=%.3g for=%.3g x=%.3g", f.Name, float64(f.At)/msPerSecond, f.Kind, f.Share, float64(f.Duration)/msPerSecond, f.Magnitude)
	if f.MaxMagnitude > f.Magnitude {
		line += fmt.Sprintf("..%.3g", f.MaxMagnitude)
	}
	if f.Interval > 0 {
		line += fmt.Sprintf(" every=%.3g until=%.3g", float64(f.Interval)/msPerSecond, float64(f.Until)/msPerSecond)
	}
	return line
}
