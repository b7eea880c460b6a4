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
	// NoBackOff: what upstreams ask for beside a refusal is not read.
	NoBackOff bool
	// NoAdvertisedLimits: what upstreams take from all nodes together is not read.
	NoAdvertisedLimits bool
	// NoUsageSharing: nodes do not tell each other what they have in use.
	NoUsageSharing bool
	// NoUnresponsiveReports: nodes do not tell each other of engines that do not answer.
	NoUnresponsiveReports bool
	// NoMemoryReports: engines' words on their memory are not taken in.
	NoMemoryReports bool
	// NoMigration: streams stay on their chains, and are sent again where these fail.
	NoMigration bool
	// NoReplacement: no layers are ordered after the first plan.
	NoReplacement bool
	// NoQuarantineSharing: nodes do not tell each other what they lose, and know nothing at a start.
	NoQuarantineSharing bool
	// IgnoreRetryAfter: callers come back after 300 ms, whatever they are told.
	IgnoreRetryAfter bool
	// NoRetries: requests are not repeated.
	NoRetries bool
}

// disablers are the mechanisms by name.
var disablers = map[string]func(*Variant){
	"rest":        func(v *Variant) { v.NoBackOff = true },
	"limits":      func(v *Variant) { v.NoAdvertisedLimits = true },
	"usage":       func(v *Variant) { v.NoUsageSharing = true },
	"silence":     func(v *Variant) { v.NoUnresponsiveReports = true },
	"reports":     func(v *Variant) { v.NoMemoryReports = true },
	"moves":       func(v *Variant) { v.NoMigration = true },
	"healing":     func(v *Variant) { v.NoReplacement = true },
	"verdicts":    func(v *Variant) { v.NoQuarantineSharing = true },
	"return_time": func(v *Variant) { v.IgnoreRetryAfter = true },
	"repeats":     func(v *Variant) { v.NoRetries = true },
}

// Without returns the product without some mechanisms, named with commas between.
func Without(names string) (Variant, error) {
	v := Variant{Name: "without " + names}
	for name := range strings.SplitSeq(names, ",") {
		turn, known := disablers[name]
		if !known {
			return v, errors.Wrapf(ErrScenario, "there is no mechanism %q; there are %s", name, strings.Join(Mechanisms(), ", "))
		}
		turn(&v)
	}
	return v, nil
}

// Mechanisms returns the names of all mechanisms, sorted.
func Mechanisms() []string { return sortedKeys(disablers) }
