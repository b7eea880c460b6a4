package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

func TestLimitsOfRelayNode(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"memstats":{},"hoistrelay":{"open":3,"orders":{"taken":2,"rejected":1},"limits":[{"upstream":"e1","per_second":4.5,"age_ms":120,"owner":"n2","sent_in_4s":9,"given_in_4s":0,"queue":7}]}}`))
	}))
	defer server.Close()
	metrics, err := fetchMetrics(context.Background(), server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := metrics.write(&out, "n1"); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"n1: orders map[rejected:1 taken:2], 1 upstreams with a limit", "e1        4.5         120     n2     9            0             7"} {
		if got := out.String(); !strings.Contains(got, want) {
			t.Errorf("got %q, want it to contain %q", got, want)
		}
	}
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"memstats":{}}`)) }))
	defer other.Close()
	if _, err := fetchMetrics(context.Background(), other.Listener.Addr().String()); !errors.Is(err, errNoRelay) {
		t.Errorf("got error %v for another program's metrics, want %v", err, errNoRelay)
	}
	if _, err := fetchMetrics(context.Background(), "127.0.0.1:1"); err == nil {
		t.Error("got no error for an address without a listener, want one")
	}
}
