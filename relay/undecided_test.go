package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/dispatch"
)

// briefProtocol is sealedProtocol with callers that wait for a short time.
type briefProtocol struct{ sealedProtocol }

// CallerHead implements Protocol.
func (p briefProtocol) CallerHead(h http.Header) CallerHead {
	head := p.sealedProtocol.CallerHead(h)
	head.Remaining = 50
	return head
}

// Guards against a request that stays open without an answer because no decision on it is ever made: its
// caller must learn that it was not executed. The decider of this relay does not run.
func TestUndecidedRequestIsRefused(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := New(ctx, briefProtocol{}, dispatch.New(), clocktest.NewClock(), zap.NewNop())
	front := httptest.NewServer(r)
	defer front.Close()
	if got := statusOf(t, "http://"+front.Listener.Addr().String()+"/once/a"); got != http.StatusServiceUnavailable {
		t.Errorf("got status %d, want %d", got, http.StatusServiceUnavailable)
	}
}
