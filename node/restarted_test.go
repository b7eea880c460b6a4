package node

import "testing"

// Guards against a started node that learns removed upstreams from its reader. Upstreams crashed
// while the reader was frozen. After the reader resumed, it kept their entries for a while,
// since they might have been removed falsely in an outage. A node that had started in the
// meantime and had read the store without these entries got them from the reader, and sent
// requests to upstreams that had been gone for 4 s. Nodes do not follow a reader that has just
// had an outage, but a started node has not seen the outage. A seed of the followers' simulation
// showed the fault.
func TestStartedNodeDoesNotLearnRemovedUpstreams(t *testing.T) {
	const seed = 1174
	failures, events := runSeed(t, defaultSetting(), seed)
	for _, m := range failures {
		t.Error(m)
	}
	if t.Failed() {
		t.Log(formatEvents(events))
	}
}
