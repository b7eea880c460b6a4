package entry_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/hoistjunction/hoistjunction/load"
	"github.com/hoistjunction/hoistjunction/standin"
	"github.com/hoistjunction/hoistjunction/testbed"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds every wait of the tests. It is no measurement: a test that
// reaches it has failed for another reason.
const testTimeout = 30 * time.Second

// startTestbed brings up a configured testbed that ends with the test.
func startTestbed(t *testing.T, opts ...testbed.Option) *testbed.Bed {
	t.Helper()
	return startTestbedWithin(t, testbed.FirstTokenMS, testbed.TokenMS, opts...)
}

// startTolerantTestbed is start with bounds so wide that nothing is refused for being
// late: for tests of what becomes of requests, on machines of any speed.
func startTolerantTestbed(t *testing.T, opts ...testbed.Option) *testbed.Bed {
	t.Helper()
	return startTestbedWithin(t, 25_000, 2_000, opts...)
}

func startTestbedWithin(t *testing.T, first, token uint32, opts ...testbed.Option) *testbed.Bed {
	t.Helper()
	t.Parallel()
	bed, err := testbed.Start(opts...)
	if err != nil {
		t.Fatalf("got %v, want a testbed", err)
	}
	t.Cleanup(bed.Close)
	if err := bed.Configure(testbed.ChangesWithBounds(first, token)...); err != nil {
		t.Fatalf("got %v, want a configuration in force", err)
	}
	return bed
}

// slowEngine takes long enough for a token that a test can step in between.
func slowEngine() standin.EngineConfig {
	c := standin.DefaultEngineConfig()
	c.Base = 3 * time.Millisecond
	return c
}

// runItems sends items to the nodes and returns the results.
func runItems(bed *testbed.Bed, items []load.Item, opts ...load.Option) []load.Result {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	all := []load.Option{
		load.WithKeys(map[string]string{"clinic": testbed.AccountKey("clinic")}), load.WithLayers(testbed.Layers), load.WithTries(20),
	}
	return load.NewRunner(bed.Addresses(), append(all, opts...)...).Run(ctx, items)
}

// noticeRequests returns requests to the pipeline, one each few milliseconds.
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

// orderRequests returns calls to the plain service, each with a key of its own.
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

// wantCorrect checks that every answer is whole and right.
func wantCorrect(t *testing.T, results []load.Result) {
	t.Helper()
	for i, r := range results {
		if !r.Correct {
			t.Errorf("request %d: got outcome %s (%s) after %d tries, want its whole answer", i, r.Outcome, r.Reason, r.Tries)
		}
	}
}

// wantAtMostOneRun checks that no key has run more than once at the services.
func wantAtMostOneRun(t *testing.T, bed *testbed.Bed) {
	t.Helper()
	for _, s := range bed.Services {
		for key, n := range s.Executions() {
			if n > 1 {
				t.Errorf("key %s: got %d runs, want at most 1", key, n)
			}
		}
	}
}
