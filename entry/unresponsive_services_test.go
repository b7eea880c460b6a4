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

// Guards against a request that is lost when all pooled connections to a plain service
// become unresponsive. The second attempt used the pooled connection of another
// upstream and failed as well, although every upstream would have answered on a new
// connection.
func TestSecondAttemptUsesNewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := pipenet.New()
		for _, address := range []string{"a:80", "b:80"} {
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { time.Sleep(time.Millisecond) })}
			listener := network.Listen(address)
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
		}
		messages := make(chan core.Msg, 8)
		caller := newServiceCaller(logging.Nop(), func(m core.Msg) { messages <- m }, withServiceDialer(network.DialContext))
		defer caller.close()
		call := func(attempt uint32, address string) core.Msg {
			caller.call(&core.CallCmd{Attempt: attempt, Address: address, Path: "/x", Timeout: 400})
			return <-messages
		}
		for _, address := range []string{"a:80", "b:80"} {
			if _, ok := call(1, address).(core.CallDoneMsg); !ok {
				t.Fatalf("got no response from %s while its connection worked, want one", address)
			}
		}
		network.Blackhole()
		if _, ok := call(1, "a:80").(core.CallFailedMsg); !ok {
			t.Error("got a response on an unresponsive connection, want a failure")
		}
		if msg, ok := call(2, "b:80").(core.CallDoneMsg); !ok || msg.Status != http.StatusOK {
			t.Errorf("got %v from the second upstream, want its response with status 200", msg)
		}
	})
}
