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

// Run runs the scenario in a file and returns the report. If the context ends, it returns the
// report so far with the error. All processes are ended before it returns.
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

// playScenario generates the load while faults are injected, and evaluates the outcomes.
func playScenario(ctx context.Context, d *Deployment) (*Report, error) {
	s, o := d.scenario, d.options
	background, stop := context.WithCancel(ctx)
	defer stop()
	balancer := newBalancer(d.nodes)
	go balancer.run(background)
	generator := newLoadGenerator(s, balancer, o)
	sleep(ctx, s.Load.WarmupMS.Duration())
	startedAt := time.Now()
	sampler := &capacitySampler{upstreams: d.upstreams.Address(), client: &http.Client{Timeout: time.Second}}
	go sampler.run(background)
	go printProgress(background, o.progress, generator, startedAt)
	injector := newFaultInjector(d, generator, o.seed)
	var group sync.WaitGroup
	group.Go(func() { injector.run(ctx, startedAt) })
	generator.run(ctx, startedAt, s.Load.DurationMS.Duration())
	group.Wait()
	stop()
	r := evaluate(s, o, generator, sampler.recorded())
	r.Nodes = measureUsage(d.nodes)
	for _, err := range injector.errs {
		r.FailedFaults = append(r.FailedFaults, err.Error())
	}
	return r, ctx.Err()
}

// occupyProcessors keeps a number of processors busy until stop is called.
func occupyProcessors(processors int) (stop func()) {
	stopped := make(chan struct{})
	for range processors {
		go func() {
			for x := 0; ; x++ {
				if x%1_000_000 == 0 {
					select {
					case <-stopped:
						return
					default:
						runtime.Gosched()
					}
				}
			}
		}()
	}
	return func() { close(stopped) }
}

// printProgress writes the number of requests sent so far once a second.
func printProgress(ctx context.Context, out io.Writer, l *loadGenerator, startedAt time.Time) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			l.mu.Lock()
			sent := len(l.requests)
			l.mu.Unlock()
			// The output is informative, so a failed write is ignored.
			_, _ = fmt.Fprintf(out, "%3.0f s: %d asked\n", time.Since(startedAt).Seconds(), sent)
		}
	}
}

// sampleInterval is the interval at which the free capacity of the upstreams is sampled.
const sampleInterval = 50 * time.Millisecond

// capacitySampler records samples of the free capacity of the upstreams.
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
