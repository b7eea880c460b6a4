package peering

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/wire"
)

// Guards against one member update for each new node. When a thousand nodes started together,
// each sorted all known nodes and resolved their addresses for every node that became known.
func TestMemberUpdatesAreCoalesced(t *testing.T) {
	for _, nodes := range []int{10, 100, 1000} {
		synctest.Test(t, func(t *testing.T) {
			node := &fakeNode{}
			p := New(member("me"), nil, nil, node, node, clocktest.NewClock(), zap.NewNop(), http.DefaultTransport, 1)
			for i := range nodes {
				p.AddSender(&wire.Member{Name: fmt.Sprint("n", i), Address: fmt.Sprint("n", i, ":1")})
			}
			time.Sleep(2 * memberUpdatePause)
			synctest.Wait()
			if got, want := node.memberReports, 2; got != want {
				t.Errorf("got %d nodes reported in %d updates, want %d", nodes, got, want)
			}
			if got, want := node.others, nodes; got != want {
				t.Errorf("got %d other nodes, want %d", got, want)
			}
		})
	}
}
