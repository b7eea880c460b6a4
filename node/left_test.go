package node_test

import (
	"context"
	"io"
	"net/http"
	"testing"
)

// A caller that leaves is heard of at the upstream that works for it: the connection
// there is closed, and the request is not sent anywhere else.
func TestLeavingCallerEndsTheWork(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0)
	ended := make(chan struct{})
	desk := s.replacePlainService(func(_ http.ResponseWriter, r *http.Request) {
		// Only once the body is read does the server look whether the connection ends.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		close(ended)
	})
	n := s.startNode("n1", s.storeAddress)
	await(t, "readiness", n.ready)
	await(t, "upstream", func() bool { return s.hasEntry("bad1") })
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for desk.requests.Load() == 0 {
		ctx, leave := context.WithCancel(context.Background())
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			resp, err := transport.RoundTrip(n.request(http.MethodPost, "/once/a", "left", "k1").WithContext(ctx))
			if err == nil {
				_ = resp.Body.Close()
			}
		}()
		select {
		case <-answered:
			// The node does not know the upstream yet, and has refused.
		case <-desk.firstRequest:
		}
		leave()
		<-answered
	}
	<-ended
	if got, want := desk.requests.Load(), int64(1); got != want {
		t.Errorf("got %d askings, want %d", got, want)
	}
}
