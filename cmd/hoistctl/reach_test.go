package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against a view that leaves out nodes: one that does not answer is an error, and the others are
// printed.
func TestReachOfRelayNodes(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"hoistrelay":{"requests":{"forwarded":7,"taken_over":2},"reachability":[{"data_centre":"dc-1","state":"cut","failed":4,"answer_age_ms":900},{"data_centre":"dc-2","state":"reached","failed":0,"answer_age_ms":5}]}}`))
	}))
	defer server.Close()
	addresses := []string{"127.0.0.1:1", server.Listener.Addr().String()}
	views, err := fetchAllMetrics(context.Background(), addresses)
	if err == nil {
		t.Error("got no error for an address without a listener, want one")
	}
	var out strings.Builder
	if err := writeReach(&out, []string{"n1", "n2"}, views); err != nil {
		t.Fatal(err)
	}
	want := "node  data centre  state    upstreams failed  answered ms ago  passed on  taken over\n" +
		"n2    dc-1         cut      4                 900              7          2\n" +
		"n2    dc-2         reached  0                 5                7          2\n"
	if got := out.String(); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
