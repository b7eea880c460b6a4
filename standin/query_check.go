package standin

import (
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	// maxRows is the maximum number of rows in a response to a read.
	maxRows = 500
	// maxFeedWaitMS is the maximum time that a feed may wait for changes, in ms.
	maxFeedWaitMS = 30_000
)

// queryRule reports whether the value of a query parameter is valid.
type queryRule func(value string) bool

// Rules for the query parameters of the store's calls, from the platform's API.
var (
	readRules = map[string]queryRule{
		"table": requiredName, "part": optionalName, "from": optionalName, "targetVersion": optionalName, "limit": atMost(maxRows),
	}
	feedRules = map[string]queryRule{"table": requiredName, "part": optionalName, "after": atMost(1 << 62), "waitMs": atMost(maxFeedWaitMS)}
)

// requiredName is a queryRule for a name that must not be empty.
func requiredName(value string) bool { return value != "" && optionalName(value) }

// optionalName is a queryRule for a name that may be empty.
func optionalName(value string) bool { return len(value) <= maxNameBytes }

// atMost returns a rule for whole numbers up to bound.
func atMost(bound uint64) queryRule {
	return func(value string) bool {
		n, err := strconv.ParseUint(value, 10, 64)
		return err == nil && n <= bound
	}
}

// checkQuery returns ErrInvalidRequest if the table is missing, or if a parameter
// is unknown, repeated or out of bounds.
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

// withQueryCheck wraps a handler and responds with status 400 to calls whose
// query parameters violate the rules.
func withQueryCheck(rules map[string]queryRule, call http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := checkQuery(r.URL.Query(), rules); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		call(w, r)
	}
}
