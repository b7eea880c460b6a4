package entry_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/hoistjunction/hoistjunction/standin"
	"github.com/hoistjunction/hoistjunction/testbed"
	"github.com/hoistjunction/hoistjunction/wire"
)

func putAccount(name string) *wire.Change {
	return &wire.Change{Edit: &wire.Change_PutAccount{PutAccount: testbed.Account(name)}}
}

func propose(t *testing.T, bed *testbed.Bed, n *testbed.Node, req *wire.ProposeRequest) *wire.ProposeReply {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	resp, err := bed.Admin(n).Propose(ctx, connect.NewRequest(req))
	if err != nil {
		t.Fatalf("propose: got error %v, want none", err)
	}
	return resp.Msg
}

func activeConfig(t *testing.T, bed *testbed.Bed, n *testbed.Node) *wire.Config {
	t.Helper()
	resp, err := bed.Admin(n).GetConfig(context.Background(), connect.NewRequest(&wire.GetConfigRequest{}))
	if err != nil {
		t.Fatalf("get configuration: got error %v, want none", err)
	}
	return resp.Msg.GetConfig()
}

// awaitVersion waits until a version of the configuration, or a later one, is active
// at a node.
func awaitVersion(t *testing.T, bed *testbed.Bed, n *testbed.Node, want uint64) *wire.Config {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if c := activeConfig(t, bed, n); c.GetVersion() >= want {
			return c
		}
	}
	t.Fatalf("got active version %d, want at least %d", activeConfig(t, bed, n).GetVersion(), want)
	return nil
}

func TestConcurrentProposalsOneWinsEachVersion(t *testing.T) {
	bed := startTestbed(t, testbed.WithNodes(3))
	base := activeConfig(t, bed, bed.Nodes[0]).GetVersion()
	replies := make([]*wire.ProposeReply, 6)
	var wg sync.WaitGroup
	for i := range replies {
		wg.Go(func() {
			replies[i] = propose(t, bed, bed.Nodes[i%3], &wire.ProposeRequest{
				ChangeId: fmt.Sprintf("race-%d", i), BaseVersion: base, Changes: []*wire.Change{putAccount(fmt.Sprintf("racer-%d", i))},
			})
		})
	}
	wg.Wait()
	accepted := 0
	for i, r := range replies {
		switch r.GetState() {
		case wire.ProposeState_PROPOSE_STATE_ACCEPTED:
			accepted++
			c := awaitVersion(t, bed, bed.Nodes[2], r.GetVersion())
			if !hasAccount(c, fmt.Sprintf("racer-%d", i)) {
				t.Errorf("change %d: got accepted but missing from the active configuration", i)
			}
		case wire.ProposeState_PROPOSE_STATE_CONFLICT:
		default:
			t.Errorf("change %d: got state %s, want accepted or conflict", i, r.GetState())
		}
	}
	if accepted != 1 {
		t.Errorf("got %d accepted proposals, want 1", accepted)
	}
}

func hasAccount(c *wire.Config, name string) bool {
	for _, a := range c.GetAccounts() {
		if a.GetName() == name {
			return true
		}
	}
	return false
}

func TestLostCommitResponseIsNotCommittedTwice(t *testing.T) {
	bed := startTestbed(t)
	bed.Platform.SetFaults(standin.PlatformFaults{LoseResponses: true})
	testbed.AfterFunc(t, 600*time.Millisecond, func() { bed.Platform.SetFaults(standin.PlatformFaults{}) })
	base := activeConfig(t, bed, bed.Nodes[0]).GetVersion()
	r := propose(t, bed, bed.Nodes[0], &wire.ProposeRequest{ChangeId: "lost", Changes: []*wire.Change{putAccount("late")}})
	if r.GetState() != wire.ProposeState_PROPOSE_STATE_ACCEPTED || r.GetVersion() != base+1 {
		t.Errorf("got state %s at version %d, want accepted at version %d", r.GetState(), r.GetVersion(), base+1)
	}
	again := propose(t, bed, bed.Nodes[1], &wire.ProposeRequest{ChangeId: "lost", Changes: []*wire.Change{putAccount("late")}})
	if again.GetVersion() != base+1 {
		t.Errorf("got version %d for the repeated change id, want %d", again.GetVersion(), base+1)
	}
}

func TestNodeStartedInStoreOutageFetchesConfigFromPeers(t *testing.T) {
	bed := startTestbed(t)
	want := activeConfig(t, bed, bed.Nodes[0]).GetVersion()
	bed.Platform.SetFaults(standin.PlatformFaults{Down: true})
	n, err := bed.StartNode()
	if err != nil {
		t.Fatalf("start node: got error %v, want none", err)
	}
	awaitVersion(t, bed, n, want)
}

func TestNodeWithoutStoreFetchesConfigFromPeers(t *testing.T) {
	bed := startTestbed(t)
	base := activeConfig(t, bed, bed.Nodes[0]).GetVersion()
	r := propose(t, bed, bed.Nodes[0], &wire.ProposeRequest{ChangeId: "before", Changes: []*wire.Change{putAccount("early")}})
	bed.Platform.SetFaults(standin.PlatformFaults{Down: true})
	awaitVersion(t, bed, bed.Nodes[1], base+1)
	if r.GetState() != wire.ProposeState_PROPOSE_STATE_ACCEPTED {
		t.Errorf("got state %s, want accepted", r.GetState())
	}
	unknown := propose(t, bed, bed.Nodes[1], &wire.ProposeRequest{ChangeId: "during", Changes: []*wire.Change{putAccount("x")}})
	if unknown.GetState() != wire.ProposeState_PROPOSE_STATE_UNKNOWN {
		t.Errorf("got state %s during the store outage, want unknown", unknown.GetState())
	}
}

func TestInvalidConfigurationIsRejected(t *testing.T) {
	bed := startTestbed(t)
	for name, change := range map[string]*wire.Change{
		"layer gap between stages": {Edit: &wire.Change_PutPipeline{PutPipeline: &wire.Pipeline{
			Name: "bad", Layers: 8, Stages: []*wire.Stage{{Pool: "low", LastLayer: 3}, {Pool: "high", FirstLayer: 5, LastLayer: 7}},
		}}},
		"route to a missing pipeline":   {Edit: &wire.Change_PutRoute{PutRoute: &wire.Route{Name: "bad", Pipeline: "none", FirstTokenMs: 1}}},
		"deletion of a pipeline in use": {Edit: &wire.Change_DeletePipeline{DeletePipeline: "model"}},
		"account without key hash":      {Edit: &wire.Change_PutAccount{PutAccount: &wire.ClientAccount{Name: "bad", Weight: 1}}},
		"deletion of a missing account": {Edit: &wire.Change_DeleteAccount{DeleteAccount: "nobody"}},
	} {
		r := propose(t, bed, bed.Nodes[0], &wire.ProposeRequest{ChangeId: name, Changes: []*wire.Change{change}})
		if r.GetState() != wire.ProposeState_PROPOSE_STATE_INVALID || r.GetDetail() == "" {
			t.Errorf("%s: got state %s with detail %q, want invalid with a detail", name, r.GetState(), r.GetDetail())
		}
	}
}
