package lab

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of fault. X is the magnitude that a scenario sets with x=.
const (
	// EngineCrash crashes engines. New processes start at their addresses, without layers and
	// under other IDs.
	EngineCrash FaultKind = "crash"
	// EngineSlow multiplies the execution times of engines by x.
	EngineSlow FaultKind = "slow"
	// EngineRefuse makes engines refuse a share x of the requests that begin at them, although
	// they have capacity.
	EngineRefuse FaultKind = "refuse"
	// EngineBackOff makes engines refuse all requests that begin at them and request a back-off
	// of x seconds.
	EngineBackOff FaultKind = "rest"
	// EngineLimit makes engines advertise a limit of x requests a second from all nodes
	// together.
	EngineLimit FaultKind = "limit"
	// CrashingRequest makes a share x of all requests crash the engine that begins to
	// execute them. All of these requests have the same work ID.
	CrashingRequest FaultKind = "deadly"
	// CrashingPart makes a share x of all requests crash the engine that begins to execute them.
	// These requests have one part of their prompts in common, and differ in all else.
	CrashingPart FaultKind = "deadly_part"
	// LoadBurst multiplies the request rate by x.
	LoadBurst FaultKind = "burst"
	// NodeKill kills nodes, which then restart.
	NodeKill FaultKind = "node_kill"
	// NodeCut cuts nodes from all engines, while callers, the list and other nodes still reach them:
	// nothing passes the links or, with x=1, only what the nodes send.
	NodeCut FaultKind = "node_cut"
	// NodeFavoured sends a share of all first tries to one node.
	NodeFavoured FaultKind = "favoured"
	// ListFrozen stops updates of the engine list; in a rehearsal the store stops answering.
	ListFrozen FaultKind = "list_away"
	// NodeFreeze suspends nodes, NodeRollingRestart restarts nodes one after the other,
	// StoreSlow makes the store take x ms for an answer, and PlainServiceFull makes the plain
	// service refuse all requests. Only rehearsals with real processes support them.
	NodeFreeze         FaultKind = "node_freeze"
	NodeRollingRestart FaultKind = "node_roll"
	StoreSlow          FaultKind = "store_slow"
	PlainServiceFull   FaultKind = "plain_full"
)

// drawnKinds are the kinds that the emulator draws, emulatedKinds those that it supports, and
// rehearsalKinds those that only rehearsals support.
var (
	drawnKinds     = []FaultKind{EngineCrash, EngineSlow, EngineRefuse, EngineBackOff, EngineLimit, CrashingRequest, LoadBurst, NodeKill, NodeCut, ListFrozen, CrashingPart}
	emulatedKinds  = append(slices.Clone(drawnKinds), NodeFavoured)
	rehearsalKinds = []FaultKind{NodeFreeze, NodeRollingRestart, StoreSlow, PlainServiceFull}
)

// Emulated reports whether the emulator supports a kind of fault.
func (k FaultKind) Emulated() bool { return slices.Contains(emulatedKinds, k) }

// Fault is a fault with its times and strength.
type Fault struct {
	Name string
	Kind FaultKind
	// At is the start, counted from the first request, and Duration how long the fault lasts.
	At, Duration clock.Millis
	// Share is the share of the engines or nodes that are affected.
	Share float64
	// Magnitude is the x of the kind. If MaxMagnitude is greater, a number between the two is
	// drawn for each affected engine.
	Magnitude, MaxMagnitude float64
	// Interval repeats the fault, each time on other targets, up to Until; zero means no
	// repetition.
	Interval, Until clock.Millis
}

// parseFault parses "5.0 crash share=0.2 for=3 every=4 until=30".
func parseFault(name, text string) (Fault, error) {
	f := Fault{Name: name, Duration: 5000, Share: 0.15, Magnitude: 1}
	fields := strings.Fields(text)
	if len(fields) < 2 {
		return f, faultError(name, text, "write its time in seconds and its kind first")
	}
	at, err := strconv.ParseFloat(fields[0], 64)
	if err != nil || at < 0 {
		return f, faultError(name, text, "write its time in seconds first")
	}
	f.At, f.Kind = fromSeconds(at), FaultKind(fields[1])
	if !f.Kind.Emulated() && !slices.Contains(rehearsalKinds, f.Kind) {
		return f, faultError(name, text, "there is no such kind of trouble")
	}
	for _, field := range fields[2:] {
		key, value, _ := strings.Cut(field, "=")
		if low, high, isRange := strings.Cut(value, ".."); isRange && key == "x" {
			if f.MaxMagnitude, err = strconv.ParseFloat(high, 64); err != nil {
				return f, faultError(name, text, "write x= and a number, or two numbers with .. between")
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

// StartTimes returns the times at which the fault starts.
func (f Fault) StartTimes() []clock.Millis {
	starts := []clock.Millis{f.At}
	if f.Interval <= 0 {
		return starts
	}
	for next := f.At.Add(f.Interval); next <= f.Until; next = next.Add(f.Interval) {
		starts = append(starts, next)
	}
	return starts
}

// drawMagnitude returns the magnitude for one affected engine.
func (f Fault) drawMagnitude(source *rand.Rand) float64 {
	if f.MaxMagnitude <= f.Magnitude {
		return f.Magnitude
	}
	return f.Magnitude + source.Float64()*(f.MaxMagnitude-f.Magnitude)
}

func faultError(name, text, remedy string) error {
	return errors.Wrapf(ErrScenario, "[faults] %s = %q: %s, as in 5.0 crash share=0.2 for=3", name, text, remedy)
}

// fromSeconds converts seconds, the unit of scenario files.
func fromSeconds(s float64) clock.Millis {
	return clock.Millis(s * msPerSecond)
}
