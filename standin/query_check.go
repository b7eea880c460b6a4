package standin

import (
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	// maxRows is how many rows a reading may ask for, and maxFeedWaitMS for how long a feed
	// may wait, in ms.
	maxRows       = 500
	maxFeedWaitMS = 30_000
)

// queryRule checks a parameter of a call.
type queryRule func(value string) bool

// The parameters that calls take, by the platform's pages.
var (
	readRules = map[string]queryRule{
		"table": requiredName, "part": optionalName, "from": optionalName, "targetVersion": optionalName, "limit": atMost(maxRows),
	}
	feedRules = map[string]queryRule{"table": requiredName, "part": optionalName, "after": atMost(1 << 62), "waitMs": atMost(maxFeedWaitMS)}
)

func requiredName(value string) bool { return value != "" && optionalName(value) }

func optionalName(value string) bool { return len(value) <= maxNameBytes }

// atMost takes whole numbers up to a bound.
func atMost(most uint64) queryRule {
	return func(value string) bool {
		n, err := strconv.ParseUint(value, 10, 64)
		return err == nil && n <= most
	}
}

// checkQuery refuses a call without a table, and one with parameters that there are not or
// that are beyond their bounds.
func checkQuery(query url.Values, rules map[string]queryRule) error {
	if !query.Has("table") {
		return errors.Wrap(ErrInvalidRequest, "no table")
	}
	for name, values := range query {
		rule, known := rules[name]
		if !known || len(values) != 1 || !rule(values[0]) {
			return errors.Wrapf(ErrInvalidRequest, "%s=%q", name, values)
		}
	}
	return nil
}

// withQueryCheck refuses calls whose parameters the platform refuses.
func withQueryCheck(rules map[string]queryRule, call http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := checkQuery(r.URL.Query(), rules); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		call(w, r)
	}
}
