package lab

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
)

// Kind is a kind of trouble.
type Kind string

// The kinds of trouble.
const (
	// Crash ends engines; they start again, empty and under other ids, at their addresses.
	Crash Kind = "crash"
	// Slow has engines work x times as long.
	Slow Kind = "slow"
	// Refuse has engines turn a part x of the requests away that begin there, with room
	// left.
	Refuse Kind = "refuse"
	// Rest has engines turn all requests away that begin there, and ask for x seconds of
	// rest.
	Rest Kind = "rest"
	// Limit has engines name x requests a second that they take from all nodes together.
	Limit Kind = "limit"
	// Deadly has a part x of all requests end the engine that begins to run them; one such
	// request comes again and again.
	Deadly Kind = "deadly"
	// Burst has x times as many requests come.
	Burst Kind = "burst"
	// NodeKill ends nodes, which start again.
	NodeKill Kind = "node_kill"
	// ListAway has the list stand still; in a rehearsal the store answers nobody.
	ListAway Kind = "list_away"
	// NodeFreeze has nodes stand still, NodeRoll has them stopped and started one after the
	// other, StoreSlow has the store take x ms for an answer, and PlainFull has the plain
	// service run nothing. They are for rehearsals with real processes.
	NodeFreeze Kind = "node_freeze"
	NodeRoll   Kind = "node_roll"
	StoreSlow  Kind = "store_slow"
	PlainFull  Kind = "plain_full"
)

// emulated are those that the emulator plays, and rehearsed those that only rehearsals do.
var (
	emulated  = []Kind{Crash, Slow, Refuse, Rest, Limit, Deadly, Burst, NodeKill, ListAway}
	rehearsed = []Kind{NodeFreeze, NodeRoll, StoreSlow, PlainFull}
)

// Emulated tells whether the emulator plays a kind of trouble.
func (k Kind) Emulated() bool { return slices.Contains(emulated, k) }

// Fault is a trouble at a time.
type Fault struct {
	Name string
	Kind Kind
	// At is when it begins, from the first request on, and For how long it lasts.
	At, For clock.Millis
	// Share is the part of the engines or nodes that it strikes.
	Share float64
	// X is how strong it is. Where XMost is more, each that it strikes draws a number between
	// the two.
	X, XMost float64
	// Every repeats it, each time on others; zero for once. Until bounds that.
	Every, Until clock.Millis
}

// parseFault reads "5.0 crash share=0.2 for=3 every=4 until=30".
func parseFault(name, text string) (Fault, error) {
	f := Fault{Name: name, For: 5000, Share: 0.15, X: 1}
	words := strings.Fields(text)
	if len(words) < 2 {
		return f, faultError(name, text, "write its time in seconds and its kind first")
	}
	at, err := strconv.ParseFloat(words[0], 64)
	if err != nil || at < 0 {
		return f, faultError(name, text, "write its time in seconds first")
	}
	f.At, f.Kind = seconds(at), Kind(words[1])
	if !f.Kind.Emulated() && !slices.Contains(rehearsed, f.Kind) {
		return f, faultError(name, text, "there is no such kind of trouble")
	}
	for _, word := range words[2:] {
		key, value, _ := strings.Cut(word, "=")
		if low, high, isRange := strings.Cut(value, ".."); isRange && key == "x" {
			if f.XMost, err = strconv.ParseFloat(high, 64); err != nil {
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
			f.For = seconds(n)
		case "share":
			f.Share = min(n, 1)
		case "x":
			f.X = n
		case "every":
			f.Every = seconds(n)
		case "until":
			f.Until = seconds(n)
		default:
			return f, faultError(name, text, "there is no "+key+"=")
		}
	}
	return f, nil
}

// Begins are the times at which it begins: once, or again and again.
func (f Fault) Begins() []clock.Millis {
	begins := []clock.Millis{f.At}
	if f.Every <= 0 {
		return begins
	}
	for next := f.At.Add(f.Every); next <= f.Until; next = next.Add(f.Every) {
		begins = append(begins, next)
	}
	return begins
}

// drawX is how strong it is for one that it strikes.
func (f Fault) drawX(random *rand.Rand) float64 {
	if f.XMost <= f.X {
		return f.X
	}
	return f.X + random.Float64()*(f.XMost-f.X)
}

func faultError(name, text, remedy string) error {
	return errors.Wrapf(ErrScenario, "[faults] %s = %q: %s, as in 5.0 crash share=0.2 for=3", name, text, remedy)
}

// seconds converts what a scenario says.
func seconds(s float64) clock.Millis {
	return clock.Millis(s * msPerSecond)
}
