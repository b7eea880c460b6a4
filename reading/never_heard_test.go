package reading_test

import (
	"fmt"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/wire"
)

// Guards against names of nodes that do not exist, of higher capacity than all that do, which keep a group
// without hubs for a time that grows with their number.
func TestNamesThatNeverSendDelayNoHub(t *testing.T) {
	const nodes = 100
	for _, silent := range []int{4, 40, 400, 1000} {
		t.Run(fmt.Sprint(silent), func(t *testing.T) {
			g := newNodeGroup(nodes)
			for i := range silent {
				name := fmt.Sprintf("a%04d", i)
				g.names = append(g.names, name)
				g.members[name] = &wire.Member{Name: name, Strength: 64}
			}
			for _, name := range g.names[:nodes] {
				g.start(name)
			}
			const bound clock.Millis = 20_000
			for g.now < bound && len(g.hubs()) == 0 {
				g.exchangeStatuses(statusInterval)
			}
			if g.now >= bound {
				t.Fatalf("got no hub in %d ms", g.now)
			}
			// The names drop out, and the nodes agree on few hubs.
			g.exchangeStatuses(5000)
			if got := g.hubs(); len(got) != 3 {
				t.Errorf("got hubs %v, want three", got)
			}
		})
	}
}
