package lab

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
)

// Finding is a run in which a guarantee was violated.
type Finding struct {
	Seed       uint64
	Faults     []Fault
	Violations map[string]string
}

// faultDrawSeed is combined with the run's seed to draw the faults of FindViolation.
const faultDrawSeed = 4

// maxDrawnFaults bounds the number of faults that are drawn for a run.
const maxDrawnFaults = 6

// FindViolation runs a scenario with randomly drawn faults, and returns the first run that
// violates a guarantee; ok is false if none of the runs does.
func FindViolation(s *Scenario, v Variant, firstSeed uint64, runs int, runDone func()) (find Finding, ok bool) {
	for i := range runs {
		seed := firstSeed + uint64(i)
		drawn := drawFaults(rand.New(rand.NewPCG(seed, faultDrawSeed)), s.Load.DurationMS)
		r := Run(s.withFaults(drawn), v, seed)
		runDone()
		if len(r.Violations) > 0 {
			return Finding{Seed: seed, Faults: drawn, Violations: r.Violations}, true
		}
	}
	return Finding{}, false
}

// withFaults returns a copy of the scenario with other faults.
func (s *Scenario) withFaults(faults []Fault) *Scenario {
	other := *s
	other.Faults = faults
	return &other
}

// favouredRuns is the number of runs of which one has a favoured node, on average.
const favouredRuns = 3

// drawFaults draws random faults. They start within about the first two thirds of the run; the
// rest is left for recovery.
func drawFaults(source *rand.Rand, duration clock.Millis) []Fault {
	var list []Fault
	for i := range 1 + source.IntN(maxDrawnFaults) {
		f := Fault{
			Name: fmt.Sprintf("t%d", i+1), Kind: drawnKinds[source.IntN(len(drawnKinds))], At: 2000 + clock.Millis(source.Int64N(int64(duration)*2/3)),
			Duration: 500 + clock.Millis(source.IntN(6000)), Share: 0.05 + 0.6*source.Float64(), Magnitude: 1,
		}
		switch f.Kind {
		case EngineSlow:
			f.Magnitude = 2 + 6*source.Float64()
		case EngineRefuse:
			f.Magnitude = 0.1 + 0.8*source.Float64()
		case EngineBackOff:
			f.Magnitude = 0.5 + 4*source.Float64()
		case EngineLimit:
			f.Magnitude, f.MaxMagnitude = 0.2+5*source.Float64(), 6
			f.Duration += 3000
		case CrashingRequest, CrashingPart:
			f.Magnitude = 0.005 + 0.02*source.Float64()
		case LoadBurst:
			f.Magnitude = 1.5 + 2*source.Float64()
		case NodeCut:
			f.Magnitude = float64(source.IntN(2))
		case EngineCrash, NodeKill, NodeFavoured, ListFrozen, NodeFreeze, NodeRollingRestart, StoreSlow, PlainServiceFull:
		}
		list = append(list, f)
	}
	if source.IntN(favouredRuns) == 0 {
		list = append(list, Fault{Name: "favoured", Kind: NodeFavoured, At: 2000 + clock.Millis(source.Int64N(int64(duration)*2/3)), Duration: 3000 + clock.Millis(source.IntN(6000)), Share: 0.5 + 0.45*source.Float64()})
	}
	slices.SortFunc(list, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return list
}

// Shrink removes faults and makes the others weaker and shorter, as long as the run still
// violates one of the same guarantees.
func Shrink(s *Scenario, v Variant, f Finding, runDone func()) Finding {
	violates := func(faults []Fault) bool {
		r := Run(s.withFaults(faults), v, f.Seed)
		runDone()
		for guarantee := range r.Violations {
			if _, same := f.Violations[guarantee]; same {
				return true
			}
		}
		return false
	}
	for i := 0; i < len(f.Faults); {
		if fewer := slices.Delete(slices.Clone(f.Faults), i, i+1); violates(fewer) {
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
			if violates(weaker) {
				f.Faults = weaker
			}
		}
	}
	return f
}

// ScenarioLine formats the fault as a line of a scenario file.
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
