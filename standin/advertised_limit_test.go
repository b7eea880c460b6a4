package standin

import (
	"strings"
	"testing"
	"time"
)

// received returns requests of a node that a server received at regular intervals, with the limit that it
// advertised.
func received(node string, fromMS, stepMS int64, count int, limit float64) []ReceivedRequest {
	list := make([]ReceivedRequest, count)
	for i := range list {
		list[i] = ReceivedRequest{ID: node + "-", AtMS: fromMS + stepMS*int64(i), Limit: limit}
	}
	return list
}

// Guards against a check that counts what a node sent before it knew of a limit, or passes over what it sent
// afterwards.
func TestLimitBreaches(t *testing.T) {
	const limit, contact = 0.25, 500 * time.Millisecond
	before := received("a", 10_000, 100, 30, 0)
	learnt := received("a", 13_100, 0, 1, limit)
	for _, tt := range []struct {
		name string
		list []ReceivedRequest
		want int
	}{
		{"many before the limit, one of another node after it", append(append(before, learnt...), received("b", 14_000, 0, 1, limit)...), 0},
		{"many before the limit, as many as it allows after it", append(append(before, learnt...), received("a", 14_000, 500, 6, limit)...), 0},
		{"more than it allows after it", append(append(before, learnt...), received("a", 14_000, 500, 7, limit)...), 1},
		{"many while the node learns of it", append(learnt, received("a", 13_101, 10, 45, limit)...), 0},
		{"many of two nodes that know it", append(append(learnt, received("b", 13_100, 0, 1, limit)...), append(received("a", 14_000, 100, 4, limit), received("b", 14_500, 100, 4, limit)...)...), 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			nodeOf := func(id string) string { return strings.TrimSuffix(id, "-") }
			got := LimitBreaches(tt.list, nodeOf, contact, func(string, int64, int64) bool { return false })
			if len(got) != tt.want {
				t.Errorf("got breaches %+v, want %d", got, tt.want)
			}
		})
	}
}
