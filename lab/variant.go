package lab

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// Variant is what is switched off of the nodes, or set otherwise. The zero value is the
// product as it is. What is switched off is what shells tell the models, so the models
// themselves are the same in all variants.
type Variant struct {
	Name string
	// NoRest: what upstreams ask for beside a refusal is not read.
	NoRest bool
	// NoLimits: what upstreams take from all nodes together is not read.
	NoLimits bool
	// NoUsage: nodes do not tell each other what they have in use.
	NoUsage bool
	// NoSilence: nodes do not tell each other of engines that do not answer.
	NoSilence bool
	// NoReports: engines' words on their memory are not taken in.
	NoReports bool
	// NoMoves: streams stay on their chains, and are sent again where these fail.
	NoMoves bool
	// NoHealing: no layers are ordered after the first plan.
	NoHealing bool
	// NoVerdicts: nodes do not tell each other what they lose, and know nothing at a start.
	NoVerdicts bool
	// NoReturnTime: callers come back after 300 ms, whatever they are told.
	NoReturnTime bool
	// NoRepeats: requests are not repeated.
	NoRepeats bool
}

// switches are the mechanisms by name.
var switches = map[string]func(*Variant){
	"rest":        func(v *Variant) { v.NoRest = true },
	"limits":      func(v *Variant) { v.NoLimits = true },
	"usage":       func(v *Variant) { v.NoUsage = true },
	"silence":     func(v *Variant) { v.NoSilence = true },
	"reports":     func(v *Variant) { v.NoReports = true },
	"moves":       func(v *Variant) { v.NoMoves = true },
	"healing":     func(v *Variant) { v.NoHealing = true },
	"verdicts":    func(v *Variant) { v.NoVerdicts = true },
	"return_time": func(v *Variant) { v.NoReturnTime = true },
	"repeats":     func(v *Variant) { v.NoRepeats = true },
}

// Without returns the product without some mechanisms, named with commas between.
func Without(names string) (Variant, error) {
	v := Variant{Name: "without " + names}
	for name := range strings.SplitSeq(names, ",") {
		turn, known := switches[name]
		if !known {
			return v, errors.Wrapf(ErrScenario, "there is no mechanism %q; there are %s", name, strings.Join(Mechanisms(), ", "))
		}
		turn(&v)
	}
	return v, nil
}

// Mechanisms returns the names of all mechanisms, sorted.
func Mechanisms() []string { return sortedNames(switches) }
