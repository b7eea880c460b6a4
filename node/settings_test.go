package node

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const requiredSettings = `
[node]
name = n1
data_centre = a
[caller]
listen = 127.0.0.1:0
[readiness]
listen = 127.0.0.1:0
[peer]
listen = 127.0.0.1:0
[metrics]
listen = 127.0.0.1:0
[platform]
address = 127.0.0.1:1
`

// Guards against a node that starts with a misspelled value and then does the opposite of what the
// operator wrote.
func TestSwitches(t *testing.T) {
	tests := []switchTest{
		{"", true, false},
		{"[admission]\nenabled = false\n", false, false},
		{"[admission]\nenabled = true\n", true, false},
		{"[admission]\nenabled = perhaps\n", false, true},
		{"[admission]\nenabled =\n", false, true},
	}
	checkSwitch(t, tests, func(s *Settings) bool { return s.Admission })
	tests[0].want = false
	for i := range tests {
		tests[i].text = strings.Replace(tests[i].text, "[admission]", "[fair_shares]", 1)
	}
	checkSwitch(t, tests, func(s *Settings) bool { return s.FairShares })
}

// switchTest is a text of settings with the value of a switch that follows from it, or refused.
type switchTest struct {
	text    string
	want    bool
	refused bool
}

func checkSwitch(t *testing.T, tests []switchTest, value func(*Settings) bool) {
	t.Helper()
	for _, tt := range tests {
		path := filepath.Join(t.TempDir(), "relay.ini")
		if err := os.WriteFile(path, []byte(requiredSettings+tt.text), 0o600); err != nil {
			t.Fatal(err)
		}
		s, _, err := Load(path)
		if tt.refused {
			if err == nil || !strings.Contains(err.Error(), "enabled") {
				t.Errorf("%q: got error %v, want one that names the key", tt.text, err)
			}
			continue
		}
		if err != nil {
			t.Errorf("%q: got error %v, want none", tt.text, err)
			continue
		}
		if got := value(s); got != tt.want {
			t.Errorf("%q: got %v, want %v", tt.text, got, tt.want)
		}
	}
}
