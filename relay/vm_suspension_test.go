package relay_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// Timers do not advance while a VM is suspended. A request whose deadline had passed during the
// suspension was held for the time it had left before, and requests after the suspension were
// sent on connections that had died without a FIN or reset.
func TestRequestsAfterVMSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBlackholeSite(t, 1)
		s.warm()
		s.network.Blackhole()
		pending := s.request(http.MethodPost, "/once/a")
		time.Sleep(100 * time.Millisecond)
		s.vm.Suspend(10 * time.Second)
		s.relay.HandleVMResumed()
		resumedAt := time.Now()
		if got := <-s.request(http.MethodPost, "/once/b"); got != http.StatusOK {
			t.Errorf("got status %d after the suspension, want 200", got)
		}
		if got := <-pending; got != http.StatusGatewayTimeout {
			t.Errorf("got status %d for the request whose deadline had passed, want 504", got)
		}
		if got, want := time.Since(resumedAt), 100*time.Millisecond; got > want {
			t.Errorf("got the answers %v after the suspension, want them within %v", got, want)
		}
	})
}
