package measure

import (
	"github.com/hoistjunction/hoistjunction/standin"
	"github.com/hoistjunction/hoistjunction/testbed"
)

// degradedLinkMS is what a degraded link adds to each answer: more than the
// whole bound between tokens.
const degradedLinkMS = 60

func killEngine(b *testbed.Bed) { b.Engines[0].Kill() }

func freezeEngine(b *testbed.Bed) {
	b.Engines[0].SetFaults(standin.EngineFaults{Frozen: true})
}

func degradeLink(b *testbed.Bed) {
	b.Engines[0].SetFaults(standin.EngineFaults{LinkDelayMS: degradedLinkMS})
}

func killNode(b *testbed.Bed) { b.Nodes[0].Kill() }

func failStoreAndKillEngine(b *testbed.Bed) {
	b.Platform.SetFaults(standin.PlatformFaults{Down: true})
	killEngine(b)
}
