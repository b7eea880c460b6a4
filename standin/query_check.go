package standin

import (
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	// mostRows is how many rows a reading may ask for, and longestFeed for how long a feed
	// may wait, in ms.
	mostRows    = 500
	longestFeed = 30_000
)

// queryRule checks a parameter of a call.
type queryRule func(value string) bool

// The parameters that calls take, by the platform's pages.
var (
	readingRules = map[string]queryRule{
		"table": name, "part": optionalName, "from": optionalName, "targetVersion": optionalName, "limit": upTo(mostRows),
	}
	feedRules = map[string]queryRule{"table": name, "part": optionalName, "after": upTo(1 << 62), "waitMs": upTo(longestFeed)}
)

func name(value string) bool { return value != "" && optionalName(value) }

func optionalName(value string) bool { return len(value) <= mostNameBytes }

// upTo takes whole numbers up to a bound.
func upTo(most uint64) queryRule {
	return func(value string) bool {
		n, err := strconv.ParseUint(value, 10, 64)
		return err == nil && n <= most
	}
}

// checkQuery refuses a call without a table, and one with parameters that there are not or
// that are beyond their bounds.
func checkQuery(query url.Values, rules map[string]queryRule) error {
	if !query.Has("table") {
		return errors.Wrap(ErrRefused, "no table")
	}
	for name, values := range query {
		rule, known := rules[name]
		if !known || len(values) != 1 || !rule(values[0]) {
			return errors.Wrapf(ErrRefused, "%s=%q", name, values)
		}
	}
	return nil
}

// checked refuses calls whose parameters the platform refuses.
func checked(rules map[string]queryRule, call http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := checkQuery(r.URL.Query(), rules); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		call(w, r)
	}
}
