package lab

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
)

// FaultKind is a kind of trouble.
type FaultKind string

// The kinds of trouble.
const (
	// EngineCrash ends engines; they start again, empty and under other ids, at their addresses.
	EngineCrash FaultKind = "crash"
	// EngineSlow has engines work x times as long.
	EngineSlow FaultKind = "slow"
	// EngineRefuse has engines turn a part x of the requests away that begin there, with room
	// left.
	EngineRefuse FaultKind = "refuse"
	// EngineBackOff has engines turn all requests away that begin there, and ask for x seconds of
	// rest.
	EngineBackOff FaultKind = "rest"
	// EngineLimit has engines name x requests a second that they take from all nodes together.
	EngineLimit FaultKind = "limit"
	// CrashingRequest has a part x of all requests end the engine that begins to run them; one such
	// request comes again and again.
	CrashingRequest FaultKind = "deadly"
	// LoadBurst has x times as many requests come.
	LoadBurst FaultKind = "burst"
	// NodeKill ends nodes, which start again.
	NodeKill FaultKind = "node_kill"
	// ListFrozen has the list stand still; in a rehearsal the store answers nobody.
	ListFrozen FaultKind = "list_away"
	// NodeFreeze has nodes stand still, NodeRollingRestart has them stopped and started one after the
	// other, StoreSlow has the store take x ms for an answer, and PlainServiceFull has the plain
	// service run nothing. They are for rehearsals with real processes.
	NodeFreeze         FaultKind = "node_freeze"
	NodeRollingRestart FaultKind = "node_roll"
	StoreSlow          FaultKind = "store_slow"
	PlainServiceFull   FaultKind = "plain_full"
)

// emulated are those that the emulator plays, and rehearsed those that only rehearsals do.
var (
	emulatedKinds  = []FaultKind{EngineCrash, EngineSlow, EngineRefuse, EngineBackOff, EngineLimit, CrashingRequest, LoadBurst, NodeKill, ListFrozen}
	rehearsalKinds = []FaultKind{NodeFreeze, NodeRollingRestart, StoreSlow, PlainServiceFull}
)

// Emulated tells whether the emulator plays a kind of trouble.
func (k FaultKind) Emulated() bool { return slices.Contains(emulatedKinds, k) }

// Fault is a trouble at a time.
type Fault struct {
	Name string
	Kind FaultKind
	// At is when it begins, from the first request on, and For how long it lasts.
	At, Duration clock.Millis
	// Share is the part of the engines or nodes that it strikes.
	Share float64
	// Magnitude is how strong it is. Where MaxMagnitude is more, each that it strikes draws a number between
	// the two.
	Magnitude, MaxMagnitude float64
	// Interval repeats it, each time on others; zero for once. Until bounds that.
	Interval, Until clock.Millis
}

// parseFault reads "5.0 crash share=0.2 for=3 every=4 until=30".
func parseFault(name, text string) (Fault, error) {
	f := Fault{Name: name, Duration: 5000, Share: 0.15, Magnitude: 1}
	words := strings.Fields(text)
	if len(words) < 2 {
		return f, faultError(name, text, "write its time in seconds and its kind first")
	}
	at, err := strconv.ParseFloat(words[0], 64)
	if err != nil || at < 0 {
		return f, faultError(name, text, "write its time in seconds first")
	}
	f.At, f.Kind = fromSeconds(at), FaultKind(words[1])
	if !f.Kind.Emulated() && !slices.Contains(rehearsalKinds, f.Kind) {
		return f, faultError(name, text, "there is no such kind of trouble")
	}
	for _, word := range words[2:] {
		key, value, _ := strings.Cut(word, "=")
		if low, high, isRange := strings.Cut(value, ".."); isRange && key == "x" {
			if f.MaxMagnitude, err = strconv.ParseFloat(high, 64); err != nil {
				return f, faultError(name, text, "write x= and a number, or two with .. between")
			}
			value = low
		}
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || n < 0 {
			return f, faultError(name, text, "write "+key+"= and a number that is not negative")
		}
		switch key {
		case "for":
			f.Duration = fromSeconds(n)
		case "share":
			f.Share = min(n, 1)
		case "x":
			f.Magnitude = n
		case "every":
			f.Interval = fromSeconds(n)
		case "until":
			f.Until = fromSeconds(n)
		default:
			return f, faultError(name, text, "there is no "+key+"=")
		}
	}
	return f, nil
}

// StartTimes are the times at which it begins: once, or again and again.
func (f Fault) StartTimes() []clock.Millis {
	begins := []clock.Millis{f.At}
	if f.Interval <= 0 {
		return begins
	}
	for next := f.At.Add(f.Interval); next <= f.Until; next = next.Add(f.Interval) {
		begins = append(begins, next)
	}
	return begins
}

// drawMagnitude is how strong it is for one that it strikes.
func (f Fault) drawMagnitude(random *rand.Rand) float64 {
	if f.MaxMagnitude <= f.Magnitude {
		return f.Magnitude
	}
	return f.Magnitude + random.Float64()*(f.MaxMagnitude-f.Magnitude)
}

func faultError(name, text, remedy string) error {
	return errors.Wrapf(ErrScenario, "[faults] %s = %q: %s, as in 5.0 crash share=0.2 for=3", name, text, remedy)
}

// fromSeconds converts what a scenario says.
func fromSeconds(s float64) clock.Millis {
	return clock.Millis(s * msPerSecond)
}
