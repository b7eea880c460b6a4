package relay_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// While a VM is suspended its timers stand still. A request whose route's time was up
// meanwhile was held for as long again as it had had left, and what came after the
// suspension went out on connections that had ended without a word.
func TestRequestsAfterASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBlackholeSite(t, 1)
		s.warm()
		s.network.Blackhole()
		held := s.request(http.MethodPost, "/once/a")
		time.Sleep(100 * time.Millisecond)
		s.vm.Suspend(10 * time.Second)
		s.relay.HandleVMResumed()
		began := time.Now()
		if got := <-s.request(http.MethodPost, "/once/b"); got != http.StatusOK {
			t.Errorf("got status %d after the suspension, want 200", got)
		}
		if got := <-held; got != http.StatusGatewayTimeout {
			t.Errorf("got status %d for the request whose time was up, want 504", got)
		}
		if got, want := time.Since(began), 100*time.Millisecond; got > want {
			t.Errorf("got the answers %v after the suspension, want %v at most", got, want)
		}
	})
}
