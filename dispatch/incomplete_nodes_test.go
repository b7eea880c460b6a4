package dispatch

import "testing"

// Guards against nodes that take more than their parts of the retry slack because they have not read the
// registry: each divides the slack by the few nodes that have sent it a message so far.
func TestNoSlackWhileNodesAreIncomplete(t *testing.T) {
	const nodes = 7
	for _, tt := range []struct {
		name string
		msg  PeersMsg
		want int
	}{
		{"one other known so far", PeersMsg{TotalNodes: 2, UsagePeers: 1, Incomplete: true}, 0},
		{"hub that knows a part so far", PeersMsg{LocalNodes: 2, UsagePeers: 1, Incomplete: true}, 0},
		{"all known", PeersMsg{TotalNodes: nodes, UsagePeers: nodes - 1}, nodes},
	} {
		m := New(WithPolicy(Policy{RetryWindow: 10_000, RetryShare: 0.2, RetrySlack: 200}))
		m.Update(0, tt.msg)
		m.Update(countDelay+1, TickMsg{})
		if got := m.nodeCount.total; got != tt.want {
			t.Errorf("%s: got %d nodes, want %d", tt.name, got, tt.want)
		}
		if _, slack := m.retryAllowance(); (slack > 0) != (tt.want > 0) {
			t.Errorf("%s: got a slack of %v", tt.name, slack)
		}
	}
}
