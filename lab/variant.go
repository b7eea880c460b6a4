package lab

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// Variant switches mechanisms of the nodes off. The zero value is the product unchanged. The
// models are the same in all variants; a mechanism is switched off by withholding messages from
// them or by their settings.
type Variant struct {
	Name string
	// NoBackOff ignores the back-off that upstreams request with a refusal.
	NoBackOff bool
	// NoAdvertisedLimits ignores the rate limits that upstreams advertise.
	NoAdvertisedLimits bool
	// NoUsageSharing stops nodes from sending each other their usage.
	NoUsageSharing bool
	// NoUnresponsiveReports stops nodes from reporting unresponsive engines to each other.
	NoUnresponsiveReports bool
	// NoMemoryReports ignores the free memory that engines report.
	NoMemoryReports bool
	// NoMigration keeps streams on their chains; if a chain fails, the request is sent again.
	NoMigration bool
	// NoReplacement gives no placement orders after the initial placement.
	NoReplacement bool
	// NoQuarantineSharing stops nodes from sharing crashes and quarantine entries.
	NoQuarantineSharing bool
	// IgnoreRetryAfter makes callers retry after 300 ms, whatever Retry-After requests.
	IgnoreRetryAfter bool
	// NoRetries stops nodes from repeating requests.
	NoRetries bool
	// NoAdmission admits requests of all priorities under pressure.
	NoAdmission bool
	// NoFairShares admits requests of accounts above their fair share.
	NoFairShares bool
	// NoForwarding stops nodes from passing requests on to each other.
	NoForwarding bool
	// NoOwnDelay makes nodes take the time for which they have not read an answer for the silence of
	// engines.
	NoOwnDelay bool
	// NoConnectionLimit makes nodes take all connections, however late they run.
	NoConnectionLimit bool
}

// disablers switch off the mechanisms, by their names.
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
	"admission":   func(v *Variant) { v.NoAdmission = true },
	"fair_shares": func(v *Variant) { v.NoFairShares = true },
	"forwarding":  func(v *Variant) { v.NoForwarding = true },
	"own_delay":   func(v *Variant) { v.NoOwnDelay = true },
	"conn_limit":  func(v *Variant) { v.NoConnectionLimit = true },
}

// Without returns the variant with the given mechanisms switched off, separated by commas.
func Without(names string) (Variant, error) {
	v := Variant{Name: "without " + names}
	for name := range strings.SplitSeq(names, ",") {
		disable, known := disablers[name]
		if !known {
			return v, errors.Wrapf(ErrScenario, "there is no mechanism %q; there are %s", name, strings.Join(Mechanisms(), ", "))
		}
		disable(&v)
	}
	return v, nil
}

// Mechanisms returns the names of all mechanisms, sorted.
func Mechanisms() []string { return sortedKeys(disablers) }
