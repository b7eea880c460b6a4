package standin

import (
	"fmt"
	"net/url"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// removeRows are n removals, in parts of their own if they have different ones.
func removeRows(n int, apart bool) string {
	rows := make([]string, n)
	for i := range rows {
		part := "p"
		if apart {
			part = fmt.Sprint("p", i)
		}
		rows[i] = fmt.Sprintf(`{"table":"t","part":%q,"privateKey":"k%d"}`, part, i)
	}
	return strings.Join(rows, ",")
}

func TestTransactionsAreChecked(t *testing.T) {
	long := strings.Repeat("x", maxNameBytes+1)
	tests := []struct {
		name, body string
		refused    bool
	}{
		{"all at once", `{"expectedRevision":[{"table":"own","part":"","privateKey":"lead","ver":0}],"put":[{"table":"own","part":"","privateKey":"lead","value":"YQ=="}],"remove":[{"table":"own","part":"","privateKey":"old"}]}`, false},
		{"a version", `{"expectedRevision":[{"table":"own","privateKey":"lead","ver":98}]}`, false},
		{"nothing", `{}`, false},
		{"an empty value", `{"put":[{"table":"own","privateKey":"k","value":""}]}`, false},
		{"no version", `{"expectedRevision":[{"table":"own","privateKey":"lead"}]}`, true},
		{"a version in quotes", `{"expectedRevision":[{"table":"own","privateKey":"lead","ver":"98"}]}`, true},
		{"a version that is none", `{"expectedRevision":[{"table":"own","privateKey":"lead","ver":-1}]}`, true},
		{"a version that is no whole number", `{"expectedRevision":[{"table":"own","privateKey":"lead","ver":1.5}]}`, true},
		{"no table", `{"put":[{"privateKey":"k","value":""}]}`, true},
		{"an empty table", `{"put":[{"table":"","privateKey":"k","value":""}]}`, true},
		{"no key", `{"remove":[{"table":"own"}]}`, true},
		{"an empty key", `{"remove":[{"table":"own","privateKey":""}]}`, true},
		{"no value", `{"put":[{"table":"own","privateKey":"k"}]}`, true},
		{"a value that is no text", `{"put":[{"table":"own","privateKey":"k","value":7}]}`, true},
		{"a value that is not encoded", `{"put":[{"table":"own","privateKey":"k","value":"a b"}]}`, true},
		{"a value that is too long", `{"put":[{"table":"own","privateKey":"k","value":"` + strings.Repeat("AAAA", maxValueBytes/3+1) + `"}]}`, true},
		{"a key that is too long", `{"remove":[{"table":"own","privateKey":"` + long + `"}]}`, true},
		{"a table that is too long", `{"remove":[{"table":"` + long + `","privateKey":"k"}]}`, true},
		{"a part that is too long", `{"remove":[{"table":"own","part":"` + long + `","privateKey":"k"}]}`, true},
		{"a part that is no text", `{"remove":[{"table":"own","part":null,"privateKey":3}]}`, true},
		{"an unknown field of a row", `{"remove":[{"table":"own","privateKey":"k","key":"k"}]}`, true},
		{"an unknown field", `{"puts":[]}`, true},
		{"no list", `{"put":{}}`, true},
		{"no object", `[]`, true},
		{"as many as it takes", `{"remove":[` + removeRows(maxTransactionEntries, false) + `]}`, false},
		{"one more", `{"remove":[` + removeRows(maxTransactionEntries+1, false) + `]}`, true},
		{"two parts", `{"remove":[` + removeRows(2, true) + `]}`, true},
		{"two parts, as it says", `{"across":true,"remove":[` + removeRows(2, true) + `]}`, false},
		{"too much", `{"remove":[],"across":` + strings.Repeat(" ", maxTransactionBytes) + `true}`, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := errors.Is(CheckTransaction([]byte(tt.body)), ErrInvalidRequest); got != tt.refused {
				t.Errorf("got refused %v, want %v", got, tt.refused)
			}
		})
	}
}

func TestOrdersAreChecked(t *testing.T) {
	tests := []struct {
		name, body string
		refused    bool
	}{
		{"place", `{"op":"place","from":8,"targetVersion":12,"how":"wait"}`, false},
		{"place after so many orders", `{"op":"place","from":8,"targetVersion":12,"how":"cut","expectedRevision":3}`, false},
		{"place after so many orders, in quotes", `{"op":"place","from":8,"targetVersion":12,"how":"wait","expectedRevision":"3"}`, true},
		{"place from the first layer", `{"op":"place","from":0,"targetVersion":12,"how":"wait"}`, false},
		{"place without its first layer", `{"op":"place","targetVersion":12,"how":"wait"}`, true},
		{"place without a way", `{"op":"place","from":8,"targetVersion":12}`, true},
		{"repath", `{"op":"repath","id":"try","path":"10.0.0.1:1=0-8"}`, false},
		{"repath of nothing", `{"op":"repath","path":"10.0.0.1:1=0-8"}`, true},
		{"another order", `{"op":"sleep"}`, true},
		{"an unknown field", `{"op":"place","from":8,"to":12,"how":"wait"}`, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := errors.Is(CheckOrder([]byte(tt.body)), ErrInvalidRequest); got != tt.refused {
				t.Errorf("got refused %v, want %v", got, tt.refused)
			}
		})
	}
}

func TestQueriesAreChecked(t *testing.T) {
	tests := []struct {
		query   string
		rules   map[string]queryRule
		refused bool
	}{
		{"table=own&part=&from=a&targetVersion=b&limit=500", readRules, false},
		{"table=own", readRules, false},
		{"part=", readRules, true},
		{"table=", readRules, true},
		{"table=own&limit=501", readRules, true},
		{"table=own&to=b", readRules, true},
		{"table=own&after=7&waitMs=30000", feedRules, false},
		{"table=own&after=7&waitMs=30001", feedRules, true},
		{"table=own&after=-1", feedRules, true},
		{"table=own&table=other", feedRules, true},
	}
	for _, tt := range tests {
		query, err := url.ParseQuery(tt.query)
		if err != nil {
			t.Fatal(err)
		}
		if got := errors.Is(checkQuery(query, tt.rules), ErrInvalidRequest); got != tt.refused {
			t.Errorf("%s: got refused %v, want %v", tt.query, got, tt.refused)
		}
	}
}
