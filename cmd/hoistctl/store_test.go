package main

import (
	"encoding/json"
	"strings"
	"testing"
)

func TestStoresOfRelayNodes(t *testing.T) {
	var seen relayMetrics
	text := `{"store":{"as_of":"3:105","from":"n1","answered_ms":40,"config":"56","written":"2:98","confirmed_ms":600,"eras":{"newest":3,"returns":2,"refused":1}}}`
	if err := json.Unmarshal([]byte(text), &seen); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := writeStores(&out, []string{"a:1", "b:1", "c:1"}, []*relayMetrics{&seen, nil, {}}); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if got, want := len(lines), 3; got != want {
		t.Fatalf("got %d lines, want a header and %d nodes:\n%s", got, want-1, out.String())
	}
	if got, want := strings.Join(strings.Fields(lines[1]), " "), "a:1 3:105 n1 40 56 2:98 600 2 1"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got, want := lines[2], "the store"; !strings.Contains(got, want) {
		t.Errorf("got %q, want it to contain %q", got, want)
	}
}
