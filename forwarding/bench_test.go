package forwarding_test

import (
	"fmt"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
)

// BenchmarkChoose measures the choice of a node for one request, by the number of other nodes.
func BenchmarkChoose(b *testing.B) {
	for _, others := range []int{8, 100, 330, 990} {
		b.Run(fmt.Sprint(others), func(b *testing.B) {
			n := newNodes(others)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := clock.Millis(i)
				node, ok := n.Choose(now, service, none)
				if !ok {
					b.Fatal("got no node, want one")
				}
				n.RecordServed(now, node.Name, service)
			}
		})
	}
}
