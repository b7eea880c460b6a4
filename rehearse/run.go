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
	if o.lasts > 0 {
		s.Load.DurationMS = o.lasts
	}
	o.scenario = path
	stopBusy := keepBusy(o.busy)
	defer stopBusy()
	d, err := start(s, o)
	defer d.close()
	if err != nil {
		return nil, err
	}
	return play(ctx, d)
}

// play has callers ask while troubles are done, and judges what they got.
func play(ctx context.Context, d *Deployment) (*Report, error) {
	s, o := d.scenario, d.options
	watching, stop := context.WithCancel(ctx)
	defer stop()
	balancer := newBalancer(d.nodes)
	go balancer.run(watching)
	load := newLoad(s, balancer, o)
	sleep(ctx, s.Load.WarmupMS.Duration())
	began := time.Now()
	watch := &watch{upstreams: d.upstreams.Address(), client: &http.Client{Timeout: time.Second}}
	go watch.run(watching)
	go tellProgress(watching, o.progress, load, began)
	harm := newHarm(d, load, o.seed)
	var group sync.WaitGroup
	group.Go(func() { harm.run(ctx, began) })
	load.run(ctx, began, s.Load.DurationMS.Duration())
	group.Wait()
	stop()
	r := judge(s, o, load, watch.taken())
	r.Nodes = measureNodes(d.nodes)
	for _, err := range harm.failed {
		r.NotDone = append(r.NotDone, err.Error())
	}
	return r, ctx.Err()
}

// keepBusy keeps so many processors busy until it is stopped.
func keepBusy(processors int) (stop func()) {
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

// tellProgress writes a line a second: how many requests were asked for.
func tellProgress(ctx context.Context, out io.Writer, l *load, began time.Time) {
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

// sampledEvery is how often it is noted what upstreams could take.
const sampledEvery = 50 * time.Millisecond

// watch notes what upstreams could have taken, and when.
type watch struct {
	upstreams string
	client    *http.Client
	mu        sync.Mutex
	samples   []standin.Openness
}

func (w *watch) run(ctx context.Context) {
	tick := time.NewTicker(sampledEvery)
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

func (w *watch) sample() (standin.Openness, bool) {
	var o standin.Openness
	resp, err := w.client.Get("http://" + w.upstreams + "/open")
	if err != nil {
		return o, false
	}
	defer func() { _ = resp.Body.Close() }()
	return o, json.NewDecoder(resp.Body).Decode(&o) == nil
}

func (w *watch) taken() []standin.Openness {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.samples
}
