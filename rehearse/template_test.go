package rehearse

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/hoistjunction/hoistjunction/lab"
	"github.com/hoistjunction/hoistjunction/node"
	"github.com/hoistjunction/hoistjunction/standin"
)

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
	place := standin.NodeAddresses{Name: "n", Centre: "c", IP: "127.1.1.1", Front: "1", Readiness: "2", Peers: "3", Metrics: "4"}
	text, err := standin.FillTemplate(string(template), standin.NodeFields(place, s, "127.0.0.1:5", []string{place.HostPort(place.Peers)}))
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
	if got.MemoryMB != s.Deployment.NodeMemoryMB || got.RetrySlack != s.Nodes.RetrySlack || got.UsageListen != "127.1.1.1:0" {
		t.Errorf("got %+v, want the scenario's figures", got)
	}
}
