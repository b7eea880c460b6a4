package measure

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/testbed"
)

// ErrOverhead means that a measured call failed.
var ErrOverhead = errors.New("measure: overhead call failed")

// The overhead is measured in time slices that alternate between direct calls to
// the service and calls through an entry node.
const (
	callsPerSlice = 1000
	sliceDuration = time.Second
	sliceCount    = 10
	maxMicros     = 10_000_000
)

// Overhead holds the latencies of plain service calls, in microseconds, without
// and with an entry node.
type Overhead struct {
	Direct *hdrhistogram.Histogram
	Node   *hdrhistogram.Histogram
	// HeapBefore and HeapAfter are the heap bytes in use in the whole testbed before
	// and after the measured calls.
	HeapBefore uint64
	HeapAfter  uint64
	// Calls is the number of measured calls through the node.
	Calls int
}

// RunOverhead sends a thousand calls a second to a service, alternately directly
// and through an entry node, and returns the latencies of both.
func RunOverhead() (*Overhead, error) {
	bed, err := testbed.Start(testbed.WithNodes(1), testbed.WithServices(1, 0), testbed.WithRecording(0))
	if err != nil {
		return nil, err
	}
	defer bed.Close()
	if err := bed.Configure(testbed.Changes()...); err != nil {
		return nil, err
	}
	o := &Overhead{
		Direct: hdrhistogram.New(1, maxMicros, 3), Node: hdrhistogram.New(1, maxMicros, 3),
	}
	direct := "http://" + bed.Services[0].Address() + "/confirm"
	node := "http://" + bed.Nodes[0].CallerAddress() + "/v1/services/orders/confirm"
	caller := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer caller.CloseIdleConnections()
	for slice := range sliceCount + 1 {
		if slice == 1 {
			// The first slice is a warm-up, so its results are discarded.
			o.Direct.Reset()
			o.Node.Reset()
			o.HeapBefore = heapInUse()
			o.Calls = 0
		}
		if err := o.sendCalls(caller, direct, o.Direct); err != nil {
			return nil, err
		}
		if err := o.sendCalls(caller, node, o.Node); err != nil {
			return nil, err
		}
		o.Calls += callsPerSlice
	}
	o.HeapAfter = heapInUse()
	return o, nil
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// sendCalls sends evenly spaced calls for a second and records the latency of each
// call from its scheduled time.
func (o *Overhead) sendCalls(caller *http.Client, url string, latencies *hdrhistogram.Histogram) error {
	var mu sync.Mutex
	var failed error
	var wg sync.WaitGroup
	start := time.Now()
	for i := range callsPerSlice {
		due := start.Add(time.Duration(i) * sliceDuration / callsPerSlice)
		time.Sleep(time.Until(due))
		wg.Go(func() {
			err := post(caller, url)
			mu.Lock()
			defer mu.Unlock()
			_ = latencies.RecordValue(time.Since(due).Microseconds())
			if err != nil {
				failed = err
			}
		})
	}
	wg.Wait()
	return failed
}

func post(caller *http.Client, url string) error {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader([]byte(`{"order":1}`)))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+testbed.AccountKey("clinic"))
	resp, err := caller.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrOverhead, "status %d", resp.StatusCode)
	}
	return nil
}
