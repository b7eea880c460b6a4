package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/internal/process"
	"github.com/hoistjunction/hoistjunction/standin"
)

const (
	// backOffSeed selects the random stream of the upstreams that request back-off.
	backOffSeed = 62
	// maxBackOffPause bounds the pause between two back-off faults, and maxRefusalDuration how
	// long an upstream refuses requests in one of them.
	maxBackOffPause    = 1500 * time.Millisecond
	maxRefusalDuration = 2500 * time.Millisecond
	// maxDuringBackOff is how many requests a node may send to an upstream during a back-off
	// that the upstream requested from this node; the platform sets the bound.
	maxDuringBackOff = 2
	// disturbanceTail is how long after a disturbance of a node, or of the link to an upstream,
	// requests in flight may still arrive.
	disturbanceTail = time.Second
)

// retryAfterValues are the values of Retry-After. Some are unusable, to check that nodes ignore
// them.
var retryAfterValues = []string{"0.8", "1.5", "2.5", "3", "1e9", "soon", "-1", ""}

// disturbances records the spans in which a node, or the link to an engine, was disturbed, by
// its name. It is safe for concurrent use.
type disturbances struct {
	mu    sync.Mutex
	spans map[string][]span
}

type span struct{ from, to time.Time }

// record records a disturbance from a time until now, extended by disturbanceTail.
func (d *disturbances) record(name string, from time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.spans == nil {
		d.spans = make(map[string][]span)
	}
	d.spans[name] = append(d.spans[name], span{from: from, to: time.Now().Add(disturbanceTail)})
}

// overlaps reports whether a disturbance of a name overlaps a span.
func (d *disturbances) overlaps(name string, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.spans[name] {
		if s.from.Before(to) && from.Before(s.to) {
			return true
		}
	}
	return false
}

// backOffSeries has random upstreams refuse requests and request back-off, one after the other.
func (r *runner) backOffSeries(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(random.Int64N(int64(maxBackOffPause))))
		f := standin.BackOffFaults{ForMS: random.IntN(int(maxRefusalDuration.Milliseconds())), RetryAfter: retryAfterValues[random.IntN(len(retryAfterValues))]}
		index := random.IntN(len(r.cluster.engines) + 1)
		if ctx.Err() == nil {
			description, err := r.refuseRequests(index, f)
			r.logFault(fmt.Sprintf("%s refuses requests with Retry-After %q", description, f.RetryAfter), time.Duration(f.ForMS)*time.Millisecond, err)
		}
	}
}

// refuseRequests has an engine or the plain service refuse requests. It returns the name of the
// upstream.
func (r *runner) refuseRequests(index int, f standin.BackOffFaults) (string, error) {
	if f.RetryAfter == "1e9" && index < len(r.cluster.engines) {
		// A back-off of 1e9 seconds takes the engine out of use for the rest of the run.
		// Limiting it to the last engine leaves the others to serve.
		index = len(r.cluster.engines) - 1
	}
	if index == len(r.cluster.engines) {
		if f.RetryAfter == "1e9" {
			f.RetryAfter = "2"
		}
		return "desk", postJSON("http://"+r.cluster.plainServices[len(r.cluster.plainServices)-1].Address()+"/rest", f)
	}
	if !r.cluster.engineMu[index].TryLock() {
		return "nobody", nil
	}
	defer r.cluster.engineMu[index].Unlock()
	return fmt.Sprintf("engine-%d", index), postJSON("http://"+r.cluster.engines[index].Address()+"/rest", f)
}

// checkVisits returns the violations by nodes that kept sending to upstreams in back-off, above
// their advertised limit or leaving, while neither the node nor its link to the upstream was
// disturbed.
func (r *runner) checkVisits() ([]string, error) {
	var violations []string
	nodeOf := func(id string) string { return r.callers.nodeOf(id) }
	processes := append([]*process.Process{}, r.cluster.plainServices...)
	processes = append(processes, r.cluster.engines...)
	for _, p := range processes {
		list, err := fetchVisits(p)
		if err != nil {
			return nil, errors.Wrap(err, p.Name())
		}
		for _, b := range standin.BackOffBreaches(list, nodeOf) {
			if b.Count > maxDuringBackOff && !r.wasDisturbed(b, p.Name()) {
				violations = append(violations, fmt.Sprintf("%s received %d requests from %s in the %d ms of back-off that it had requested", p.Name(), b.Count, b.Node, b.ToMS-b.FromMS))
			}
		}
		violations = append(violations, r.limitBreaches(p.Name(), list)...)
		for _, b := range standin.LeavingBreaches(list, nodeOf, leavingBound+schedulingSlack) {
			if !r.wasDisturbed(b, p.Name()) {
				violations = append(violations, fmt.Sprintf("%s received %d requests from %s too long after its responses had announced that it leaves", p.Name(), b.Count, b.Node))
			}
		}
	}
	return truncated(violations), nil
}

// wasDisturbed reports whether a node, or its link to an upstream, was disturbed between
// disturbanceTail before the span of a breach and its end.
func (r *runner) wasDisturbed(b standin.SendBreach, upstream string) bool {
	from, to := time.UnixMilli(b.FromMS).Add(-disturbanceTail), time.UnixMilli(b.ToMS)
	if b.ToMS == 0 {
		to = time.Now()
	}
	return b.Node == "" || r.disturbed.overlaps(b.Node, from, to) || r.disturbed.overlaps(upstream, from, to)
}

// fetchVisits returns the requests that have reached a stand-in.
func fetchVisits(p *process.Process) ([]standin.ReceivedRequest, error) {
	resp, err := httpClient.Get("http://" + p.Address() + "/visits")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var list []standin.ReceivedRequest
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("soak: fetch visits: status %d", resp.StatusCode)
	}
	return list, json.NewDecoder(resp.Body).Decode(&list)
}
