package rehearse

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/lab"
	"github.com/hoistjunction/hoistjunction/node"
)

func TestFill(t *testing.T) {
	fields := Fields{"a": 1, "list": []string{"x", "y"}, "in": Fields{"b": true}}
	for _, tt := range []struct {
		template, want string
		bad            bool
	}{
		{"a = {{a}}", "a = 1", false},
		{"{{in.b}} {{list}} {{list.1}}", "true x,y y", false},
		{"{{gone}}", "", true},
		{"{{list.2}}", "", true},
		{"{{in}}", "", true},
		{"{{a.b}}", "", true},
	} {
		got, err := Fill(tt.template, fields)
		if errors.Is(err, ErrTemplate) != tt.bad || got != tt.want {
			t.Errorf("%q: got %q, %v, want %q", tt.template, got, err, tt.want)
		}
	}
}

// The settings that a rehearsal gives a node are those that the deployment's template gives it: each
// of its gaps has a field, and a node takes what comes of it.
func TestNodesHaveAllSettingsOfTheTemplate(t *testing.T) {
	template, err := os.ReadFile("../deploy/relay.ini.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	s, err := lab.LoadScenario("../examples/rehearse/stalls.ini")
	if err != nil {
		t.Fatal(err)
	}
	place := &place{name: "n", centre: "c", ip: "127.1.1.1", ports: map[string]string{"front": "1", "readiness": "2", "control": "3", "metrics": "4"}}
	fields := place.fields(s, "127.0.0.1:5", []string{place.at("control")})
	text, err := Fill(string(template), fields)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "node.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	got, _, err := node.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if got.MemoryMB != s.Deployment.NodeMB || got.RetrySlack != s.Nodes.RetrySlack || got.UsageListen != "127.1.1.1:0" {
		t.Errorf("got %+v, want the scenario's figures", got)
	}
}
