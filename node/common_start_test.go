package node

import (
	"expvar"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// startMeasure is the result of a common start: by node the time from its start until it has the
// configuration and the list, and the calls to the store of all nodes by purpose.
type startMeasure struct {
	delays     []time.Duration
	unfinished int
	calls      map[string]int64
}

// startSpread is the time over which the nodes of a data centre start after a power failure, and
// startTimeout bounds the run.
const (
	startSpread  = 500 * time.Millisecond
	startTimeout = 8 * time.Second
)

// defaultReaderStart is when the first of the two readers of a data centre starts; the second one
// starts readerStartGap later.
const (
	defaultReaderStart = 140 * time.Millisecond
	readerStartGap     = 200 * time.Millisecond
)

// commonStart starts all nodes of a data centre within startSpread, and its two readers from a
// time on.
func commonStart(t *testing.T, nodes, upstreams int, readerStart time.Duration) (result startMeasure) {
	t.Helper()
	setting := defaultSetting()
	setting.hubs, setting.upstreams, setting.decodeTime = 2, upstreams, 57*time.Microsecond
	setting.startOffset = func(name string) time.Duration {
		switch name {
		case "n01":
			return readerStart
		case "n02":
			return readerStart + readerStartGap
		}
		return time.Duration(rand.New(rand.NewPCG(hash(name), 0)).Int64N(int64(startSpread)))
	}
	synctest.Test(t, func(t *testing.T) {
		s := newSimSite(t, setting, 1, nodes)
		defer s.close()
		ready := make(map[string]bool)
		for range startTimeout / simCheckInterval {
			time.Sleep(simCheckInterval)
			s.mu.Lock()
			for name, n := range s.nodes {
				if !ready[name] && n.hasInitialReading() {
					ready[name] = true
					result.delays = append(result.delays, n.clock.Now().Duration())
				}
			}
			s.mu.Unlock()
			if len(ready) == nodes {
				break
			}
		}
		result.unfinished, result.calls = nodes-len(ready), s.storeCalls()
	})
	slices.Sort(result.delays)
	return result
}

// hasInitialReading reports whether a node has a configuration and a list of upstreams.
func (n *simNode) hasInitialReading() bool {
	return !n.local.Config().Edition.IsZero() && n.fleetFollower.HasList()
}

// storeCalls returns the store calls of all nodes by purpose.
func (s *simSite) storeCalls() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]int64)
	for _, n := range s.nodes {
		n.store.Calls().Do(func(kv expvar.KeyValue) {
			count, _ := strconv.ParseInt(kv.Value.String(), 10, 64)
			calls[kv.Key] += count
		})
	}
	return calls
}

func (m startMeasure) String() string {
	n := len(m.delays)
	if n == 0 {
		return "no node is ready"
	}
	return fmt.Sprintf("ready after: median %v, 9 in 10 %v, last %v; not ready %d; calls %v", m.delays[n/2], m.delays[n*9/10], m.delays[n-1], m.unfinished, m.calls)
}

// Measures a common start at several sizes; it is started manually.
func TestCommonStartManualSizes(t *testing.T) {
	sizes := os.Getenv("START_SIZES")
	if sizes == "" {
		t.Skip("START_SIZES is not set to NODES:UPSTREAMS or NODES:UPSTREAMS:READER_START_MS, separated by spaces")
	}
	for size := range strings.FieldsSeq(sizes) {
		var nodes, upstreams int
		readerStart := int(defaultReaderStart.Milliseconds())
		if n, err := fmt.Sscanf(size, "%d:%d:%d", &nodes, &upstreams, &readerStart); n < 2 {
			t.Fatal(err)
		}
		t.Logf("%d nodes, %d upstreams, readers from %d ms: %v", nodes, upstreams, readerStart, commonStart(t, nodes, upstreams, millis(readerStart)))
	}
}

// Guards against start-up work that grows with the number of nodes. When the readers of a data
// centre had not finished reading the list, each other node read all of it from the store: 300
// pages for 100 nodes with 3,000 upstreams, of which the last node had its list after 1.5 s, and
// in reality after 2.4 s. A node whose reader started after it waited for 400 ms to connect to it,
// although the other reader was running: its first packet had been lost.
func TestStoreCallsAtCommonStartDoNotGrow(t *testing.T) {
	const upstreams, pages, readers = 1500, 3, 2
	for _, nodes := range []int{10, 30, 90} {
		got := commonStart(t, nodes, upstreams, defaultReaderStart)
		if got.unfinished > 0 {
			t.Errorf("%d nodes: got %d nodes without a configuration or a list, want none", nodes, got.unfinished)
		}
		if got, want := got.calls["list_read"], int64(pages*readers); got != want {
			t.Errorf("%d nodes: got %d reads of the list, want %d", nodes, got, want)
		}
		if got, want := got.calls["config_read"], int64(readers); got > want+1 {
			t.Errorf("%d nodes: got %d reads of the configuration, want at most %d", nodes, got, want+1)
		}
		if last := got.delays[len(got.delays)-1]; last > maxReadyDelay {
			t.Errorf("%d nodes: got the last node ready after %v, want at most %v", nodes, last, maxReadyDelay)
		}
	}
}

// maxReadyDelay bounds the time from a node's start until it has the configuration and the list.
// The first reader starts 140 ms after the first node, decodes 1,500 entries in 134 ms, and may be
// the second of the two readers that a node tries for 100 ms each.
const maxReadyDelay = 400 * time.Millisecond
