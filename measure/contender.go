package measure

import (
	"slices"
	"strings"

	"github.com/hoistjunction/hoistjunction/core"
)

// Contender is a routing policy to measure, with its upstream chooser.
type Contender struct {
	Name    string
	Policy  core.Policy
	Chooser string
}

// fixedLimit is the limit that an operator would set by hand: the number of
// concurrent requests that an engine of the testbed handles without slowing down.
const fixedLimit = 24

// Contenders returns the default policy and its baselines, which act like a plain
// proxy with or without a fixed limit on the concurrent requests of an engine.
// Only contenders whose names contain one of the comma-separated words are
// returned.
func Contenders(words string) []Contender {
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
	return slices.DeleteFunc(all, func(c Contender) bool { return !matchesAny(c.Name, words) })
}

func matchesAny(name, words string) bool {
	for word := range strings.SplitSeq(words, ",") {
		if strings.Contains(name, word) {
			return true
		}
	}
	return false
}
