package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/node"
	"github.com/hoistjunction/hoistjunction/standin"
)

// A VM was suspended for some seconds, and the store could not be reached when it went on.
// The clock that ages were counted in does not go on while a VM is suspended, so all that
// the node knew looked younger by that time: it sent requests with keys that had been taken
// away meanwhile.
func TestSuspendedNodeDoesNotTrustOldKeys(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	vm := clocktest.NewVM()
	n := s.startNodeWith("n1", s.storeAddress, []node.Option{node.WithClock(clock.New(clock.WithVM(vm)))})
	i := 0
	await(t, "answer", func() bool {
		i++
		return n.do(http.MethodPost, "/once/a", fmt.Sprint("warm", i), "k1").status == http.StatusOK
	})
	s.store.SetFaults(standin.RowStoreFaults{Unresponsive: true})
	vm.Suspend(6 * time.Second)
	if got, want := n.do(http.MethodPost, "/once/a", "suspended", "k1").status, http.StatusServiceUnavailable; got != want {
		t.Errorf("got %d for a request with a key that may have been taken away, want %d", got, want)
	}
	if got := s.plainService.Executions()["suspended"].Executions; got != 0 {
		t.Errorf("got %d runs of a refused request, want 0", got)
	}
}
