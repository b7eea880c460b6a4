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

// ErrOverhead means that a call of the comparison was not answered.
var ErrOverhead = errors.New("measure: overhead")

// How the overhead is measured: in slices that alternate between the service
// itself and an entry node before it.
const (
	callsPerSlice = 1000
	sliceDuration = time.Second
	sliceCount    = 10
	maxMicros     = 10_000_000
)

// Overhead is what an entry node adds to a plain call.
type Overhead struct {
	Direct *hdrhistogram.Histogram
	Node   *hdrhistogram.Histogram
	// HeapBefore and HeapAfter are the bytes in use, all of the testbed's,
	// before and after the calls through the node.
	HeapBefore uint64
	HeapAfter  uint64
	Calls      int
}

// RunOverhead sends the same calls to a service, straight and through a
// node, a thousand a second, in one run.
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
			// The first slice warms up and is not counted.
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

// sendCalls sends calls at their times for a second and records each from the
// moment it was due.
func (o *Overhead) sendCalls(caller *http.Client, url string, into *hdrhistogram.Histogram) error {
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
			_ = into.RecordValue(time.Since(due).Microseconds())
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
