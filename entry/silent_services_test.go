package entry

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hoistjunction/hoistjunction/core"
	"github.com/hoistjunction/hoistjunction/internal/pipenet"
	"github.com/hoistjunction/hoistjunction/logging"
)

// The kept connections to the upstreams of a plain service went silent for good. A
// request that was tried elsewhere went out on the next silent connection, and was lost
// although every upstream would have answered on a new one.
func TestCallElsewhereAfterASilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := pipenet.New()
		for _, address := range []string{"a:80", "b:80"} {
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { time.Sleep(time.Millisecond) })}
			listener := network.Listen(address)
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
		}
		told := make(chan core.Msg, 8)
		caller := newServiceCaller(logging.Nop(), func(m core.Msg) { told <- m }, withServiceDialer(network.DialContext))
		defer caller.close()
		call := func(attempt uint32, address string) core.Msg {
			caller.call(&core.CallCmd{Attempt: attempt, Address: address, Path: "/x", Timeout: 400})
			return <-told
		}
		for _, address := range []string{"a:80", "b:80"} {
			if _, ok := call(1, address).(core.CallDoneMsg); !ok {
				t.Fatalf("got no answer of %s before any connection went silent", address)
			}
		}
		network.Blackhole()
		if _, ok := call(1, "a:80").(core.CallFailedMsg); !ok {
			t.Error("got an answer on a silent connection, want none")
		}
		if msg, ok := call(2, "b:80").(core.CallDoneMsg); !ok || msg.Status != http.StatusOK {
			t.Errorf("got %v from the next upstream, want its answer", msg)
		}
	})
}
