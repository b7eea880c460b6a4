package rehearse

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/hoistjunction/hoistjunction/lab"
	"github.com/hoistjunction/hoistjunction/standin"
)

// Run plays a scenario file, and judges it. The report holds what was seen also where an error
// ended it early; all that was started is ended.
func Run(ctx context.Context, path string, opts ...Option) (*Report, error) {
	o := newOptions(opts)
	s, err := lab.LoadScenario(path)
	if err != nil {
		return nil, err
	}
	if o.scale <= 0 {
		return nil, ErrScale
	}
	if o.loadDuration > 0 {
		s.Load.DurationMS = o.loadDuration
	}
	o.scenario = path
	stopBusy := occupyProcessors(o.busyProcessors)
	defer stopBusy()
	d, err := startDeployment(s, o)
	defer d.close()
	if err != nil {
		return nil, err
	}
	return playScenario(ctx, d)
}

// playScenario has callers ask while troubles are done, and judges what they got.
func playScenario(ctx context.Context, d *Deployment) (*Report, error) {
	s, o := d.scenario, d.options
	watching, stop := context.WithCancel(ctx)
	defer stop()
	balancer := newBalancer(d.nodes)
	go balancer.run(watching)
	load := newLoadGenerator(s, balancer, o)
	sleep(ctx, s.Load.WarmupMS.Duration())
	began := time.Now()
	watch := &capacitySampler{upstreams: d.upstreams.Address(), client: &http.Client{Timeout: time.Second}}
	go watch.run(watching)
	go printProgress(watching, o.progress, load, began)
	harm := newFaultInjector(d, load, o.seed)
	var group sync.WaitGroup
	group.Go(func() { harm.run(ctx, began) })
	load.run(ctx, began, s.Load.DurationMS.Duration())
	group.Wait()
	stop()
	r := evaluate(s, o, load, watch.recorded())
	r.Nodes = measureUsage(d.nodes)
	for _, err := range harm.errs {
		r.FailedFaults = append(r.FailedFaults, err.Error())
	}
	return r, ctx.Err()
}

// occupyProcessors keeps so many processors busy until it is stopped.
func occupyProcessors(processors int) (stop func()) {
	over := make(chan struct{})
	for range processors {
		go func() {
			for x := 0; ; x++ {
				if x%1_000_000 == 0 {
					select {
					case <-over:
						return
					default:
						runtime.Gosched()
					}
				}
			}
		}()
	}
	return func() { close(over) }
}

// printProgress writes a line a second: how many requests were asked for.
func printProgress(ctx context.Context, out io.Writer, l *loadGenerator, began time.Time) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			l.mu.Lock()
			asked := len(l.requests)
			l.mu.Unlock()
			// A lost line of progress harms nothing.
			_, _ = fmt.Fprintf(out, "%3.0f s: %d asked\n", time.Since(began).Seconds(), asked)
		}
	}
}

// sampleInterval is how often it is noted what upstreams could take.
const sampleInterval = 50 * time.Millisecond

// capacitySampler notes what upstreams could have taken, and when.
type capacitySampler struct {
	upstreams string
	client    *http.Client
	mu        sync.Mutex
	samples   []standin.FreeCapacity
}

func (w *capacitySampler) run(ctx context.Context) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if o, ok := w.sample(); ok {
			w.mu.Lock()
			w.samples = append(w.samples, o)
			w.mu.Unlock()
		}
	}
}

func (w *capacitySampler) sample() (standin.FreeCapacity, bool) {
	var o standin.FreeCapacity
	resp, err := w.client.Get("http://" + w.upstreams + "/open")
	if err != nil {
		return o, false
	}
	defer func() { _ = resp.Body.Close() }()
	return o, json.NewDecoder(resp.Body).Decode(&o) == nil
}

func (w *capacitySampler) recorded() []standin.FreeCapacity {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.samples
}
