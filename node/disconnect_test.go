package node_test

import (
	"context"
	"io"
	"net/http"
	"testing"
)

// Guards against upstreams that go on working for a client that has disconnected: the node must
// close the connection to the upstream and must not retry the request.
func TestClientDisconnectCancelsRequest(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0)
	cancelled := make(chan struct{})
	service := s.replacePlainService(func(_ http.ResponseWriter, r *http.Request) {
		// The server notices a closed connection only after the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		close(cancelled)
	})
	n := s.startNode("n1", s.storeAddress)
	await(t, "readiness", n.ready)
	await(t, "upstream", func() bool { return s.hasEntry("bad1") })
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for service.requests.Load() == 0 {
		ctx, disconnect := context.WithCancel(context.Background())
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
			// The node has not read the entry of the upstream yet and has refused the request.
		case <-service.firstRequest:
		}
		disconnect()
		<-answered
	}
	<-cancelled
	if got, want := service.requests.Load(), int64(1); got != want {
		t.Errorf("got %d requests, want %d", got, want)
	}
}
