package standin

import (
	"fmt"
	"net/url"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// removeRows returns the JSON of n rows to remove, each in its own partition if
// distinct is true and all in one otherwise.
func removeRows(n int, distinct bool) string {
	rows := make([]string, n)
	for i := range rows {
		partition := "p"
		if distinct {
			partition = fmt.Sprint("p", i)
		}
		rows[i] = fmt.Sprintf(`{"table":"t","part":%q,"privateKey":"k%d"}`, partition, i)
	}
	return strings.Join(rows, ",")
}

func TestCheckTransaction(t *testing.T) {
	long := strings.Repeat("x", maxNameBytes+1)
	tests := []struct {
		name, body string
		rejected   bool
	}{
		{"conditions, puts and removes", `{"expectedRevision":[{"table":"own","part":"","privateKey":"lead","ver":0}],"put":[{"table":"own","part":"","privateKey":"lead","value":"YQ=="}],"remove":[{"table":"own","part":"","privateKey":"old"}]}`, false},
		{"condition on a version", `{"expectedRevision":[{"table":"own","privateKey":"lead","ver":98}]}`, false},
		{"empty transaction", `{}`, false},
		{"empty value", `{"put":[{"table":"own","privateKey":"k","value":""}]}`, false},
		{"missing version", `{"expectedRevision":[{"table":"own","privateKey":"lead"}]}`, true},
		{"version in quotes", `{"expectedRevision":[{"table":"own","privateKey":"lead","ver":"98"}]}`, true},
		{"negative version", `{"expectedRevision":[{"table":"own","privateKey":"lead","ver":-1}]}`, true},
		{"fractional version", `{"expectedRevision":[{"table":"own","privateKey":"lead","ver":1.5}]}`, true},
		{"missing table", `{"put":[{"privateKey":"k","value":""}]}`, true},
		{"empty table", `{"put":[{"table":"","privateKey":"k","value":""}]}`, true},
		{"missing key", `{"remove":[{"table":"own"}]}`, true},
		{"empty key", `{"remove":[{"table":"own","privateKey":""}]}`, true},
		{"missing value", `{"put":[{"table":"own","privateKey":"k"}]}`, true},
		{"value that is a number", `{"put":[{"table":"own","privateKey":"k","value":7}]}`, true},
		{"value that is not base64", `{"put":[{"table":"own","privateKey":"k","value":"a b"}]}`, true},
		{"value too long", `{"put":[{"table":"own","privateKey":"k","value":"` + strings.Repeat("AAAA", maxValueBytes/3+1) + `"}]}`, true},
		{"key too long", `{"remove":[{"table":"own","privateKey":"` + long + `"}]}`, true},
		{"table name too long", `{"remove":[{"table":"` + long + `","privateKey":"k"}]}`, true},
		{"partition name too long", `{"remove":[{"table":"own","part":"` + long + `","privateKey":"k"}]}`, true},
		{"null as partition and a number as key", `{"remove":[{"table":"own","part":null,"privateKey":3}]}`, true},
		{"unknown field of a row", `{"remove":[{"table":"own","privateKey":"k","key":"k"}]}`, true},
		{"unknown list", `{"puts":[]}`, true},
		{"list that is an object", `{"put":{}}`, true},
		{"transaction that is an array", `[]`, true},
		{"maximum number of entries", `{"remove":[` + removeRows(maxTransactionEntries, false) + `]}`, false},
		{"one entry too many", `{"remove":[` + removeRows(maxTransactionEntries+1, false) + `]}`, true},
		{"two partitions", `{"remove":[` + removeRows(2, true) + `]}`, true},
		{"two partitions with the across field", `{"across":true,"remove":[` + removeRows(2, true) + `]}`, false},
		{"body too long", `{"remove":[],"across":` + strings.Repeat(" ", maxTransactionBytes) + `true}`, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := errors.Is(CheckTransaction([]byte(tt.body)), ErrInvalidRequest); got != tt.rejected {
				t.Errorf("got rejected %v, want %v", got, tt.rejected)
			}
		})
	}
}

func TestCheckOrder(t *testing.T) {
	tests := []struct {
		name, body string
		rejected   bool
	}{
		{"place", `{"op":"place","from":8,"targetVersion":12,"how":"wait"}`, false},
		{"place with an order count", `{"op":"place","from":8,"targetVersion":12,"how":"cut","expectedRevision":3}`, false},
		{"place with an order count in quotes", `{"op":"place","from":8,"targetVersion":12,"how":"wait","expectedRevision":"3"}`, true},
		{"place from layer 0", `{"op":"place","from":0,"targetVersion":12,"how":"wait"}`, false},
		{"place without a first layer", `{"op":"place","targetVersion":12,"how":"wait"}`, true},
		{"place without a mode", `{"op":"place","from":8,"targetVersion":12}`, true},
		{"migration", `{"op":"repath","id":"try","path":"10.0.0.1:1=0-8"}`, false},
		{"migration without a stream id", `{"op":"repath","path":"10.0.0.1:1=0-8"}`, true},
		{"unknown operation", `{"op":"sleep"}`, true},
		{"unknown field", `{"op":"place","from":8,"to":12,"how":"wait"}`, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := errors.Is(CheckOrder([]byte(tt.body)), ErrInvalidRequest); got != tt.rejected {
				t.Errorf("got rejected %v, want %v", got, tt.rejected)
			}
		})
	}
}

func TestCheckQuery(t *testing.T) {
	tests := []struct {
		query    string
		rules    map[string]queryRule
		rejected bool
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
		if got := errors.Is(checkQuery(query, tt.rules), ErrInvalidRequest); got != tt.rejected {
			t.Errorf("%s: got rejected %v, want %v", tt.query, got, tt.rejected)
		}
	}
}
