package entry_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/goleak"

	"github.com/hoistjunction/hoistjunction/load"
	"github.com/hoistjunction/hoistjunction/standin"
	"github.com/hoistjunction/hoistjunction/testbed"
	"github.com/hoistjunction/hoistjunction/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds every wait in the tests. It is far above the expected times, so a
// test that reaches it has a fault other than slowness.
const testTimeout = 30 * time.Second

// startTestbed starts a configured testbed that is closed at the end of the test.
func startTestbed(t *testing.T, opts ...testbed.Option) *testbed.Bed {
	t.Helper()
	return startTestbedWithin(t, testbed.FirstTokenMS, testbed.TokenMS, opts...)
}

// startTolerantTestbed is startTestbed with time limits so long that no request is
// rejected as late. It is for tests of outcomes, on machines of any speed.
func startTolerantTestbed(t *testing.T, opts ...testbed.Option) *testbed.Bed {
	t.Helper()
	return startTestbedWithin(t, 25_000, 2_000, opts...)
}

func startTestbedWithin(t *testing.T, first, token uint32, opts ...testbed.Option) *testbed.Bed {
	t.Helper()
	t.Parallel()
	bed, err := testbed.Start(opts...)
	if err != nil {
		t.Fatalf("start testbed: got error %v, want none", err)
	}
	t.Cleanup(bed.Close)
	t.Cleanup(func() { saveRecordings(t, bed) })
	if err := bed.Configure(testbed.ChangesWithBounds(first, token)...); err != nil {
		t.Fatalf("configure testbed: got error %v, want none", err)
	}
	return bed
}

// saveRecordings writes the recordings of the nodes of a test that has failed to its artifacts, which go test
// keeps with -artifacts.
func saveRecordings(t *testing.T, bed *testbed.Bed) {
	t.Helper()
	if !t.Failed() {
		return
	}
	for i, n := range bed.Nodes {
		reply, err := bed.Admin(n).Recording(context.Background(), connect.NewRequest(&wire.RecordingRequest{}))
		if err != nil {
			t.Logf("no recording of node %d: %v", i, err)
			continue
		}
		path := filepath.Join(t.ArtifactDir(), fmt.Sprintf("node%d.jsonl", i))
		if err := os.WriteFile(path, reply.Msg.GetLines(), 0o600); err != nil {
			t.Logf("recording of node %d: %v", i, err)
		}
	}
}

// slowEngine returns an engine configuration with a token time long enough for a test
// to inject a fault during a stream.
func slowEngine() standin.EngineConfig {
	c := standin.DefaultEngineConfig()
	c.Base = 3 * time.Millisecond
	return c
}

// runItems sends the items to the nodes and returns the results.
func runItems(bed *testbed.Bed, items []load.Item, opts ...load.Option) []load.Result {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	all := []load.Option{
		load.WithKeys(map[string]string{"clinic": testbed.AccountKey("clinic")}), load.WithLayers(testbed.Layers), load.WithTries(20),
	}
	return load.NewRunner(bed.Addresses(), append(all, opts...)...).Run(ctx, items)
}

// noticeRequests returns requests to the pipeline at intervals of a few milliseconds.
func noticeRequests(n, tokens int) []load.Item {
	var items []load.Item
	for i := range n {
		items = append(items, load.Item{
			ArrivalMS: int64(i * 5), Account: "clinic", Route: "notices", MaxTokens: tokens,
			Prompt: fmt.Sprintf("Expediente %d: audiencia el lunes a las 9:30", i),
		})
	}
	return items
}

// orderRequests returns calls to the plain service, each with a different key.
func orderRequests(n int) []load.Item {
	var items []load.Item
	for i := range n {
		items = append(items, load.Item{
			ArrivalMS: int64(i * 5), Account: "clinic", Route: "orders", Service: "order-desk", Path: "/confirm",
			Body: fmt.Sprintf(`{"order":%d}`, i), Key: fmt.Sprintf("order-%d", i),
		})
	}
	return items
}

// wantCorrect checks that every response is complete and correct.
func wantCorrect(t *testing.T, results []load.Result) {
	t.Helper()
	for i, r := range results {
		if !r.Correct {
			t.Errorf("request %d: got outcome %s (%s) after %d tries, want the complete response", i, r.Outcome, r.Reason, r.Tries)
		}
	}
}

// wantAtMostOneRun checks that the services executed no key more than once.
func wantAtMostOneRun(t *testing.T, bed *testbed.Bed) {
	t.Helper()
	for _, s := range bed.Services {
		for key, n := range s.Executions() {
			if n > 1 {
				t.Errorf("key %s: got %d executions, want at most 1", key, n)
			}
		}
	}
}
