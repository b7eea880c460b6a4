package measure

import (
	"slices"
	"strings"

	"github.com/hoistjunction/hoistjunction/core"
)

// Contender is a policy that takes part in a comparison.
type Contender struct {
	Name    string
	Policy  core.Policy
	Chooser string
}

// fixedLimit is what an operator would set by hand: the requests that an
// engine of the testbed takes at a time without being slow.
const fixedLimit = 24

// Contenders returns the policy and its baselines: what a plain proxy does,
// with and without a limit on the requests that an engine gets at a time. Only
// those whose name holds one of the given words, separated by commas, are
// returned.
func Contenders(only string) []Contender {
	plain := core.Policy{
		FixedLimit: 4096, MaxQueue: 1 << 20, MaxGenerations: 6, MaxCalls: 3, LeastStepLimit: 400, StepLimitFactor: 8, Margin: 1,
	}
	limited := plain
	limited.FixedLimit = fixedLimit
	all := []Contender{
		{Name: "policy", Policy: core.DefaultPolicy(), Chooser: "two_choices"},
		{Name: "round robin", Policy: plain, Chooser: "round_robin"},
		{Name: "least in flight", Policy: plain, Chooser: "least_in_flight"},
		{Name: "least, fixed limit", Policy: limited, Chooser: "least_in_flight"},
	}
	return slices.DeleteFunc(all, func(c Contender) bool { return !matchesAny(c.Name, only) })
}

func matchesAny(name, words string) bool {
	for word := range strings.SplitSeq(words, ",") {
		if strings.Contains(name, word) {
			return true
		}
	}
	return false
}
