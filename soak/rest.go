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
	// backOffSeed is the part of the seed of the upstreams that ask for rest, which do so
	// beside the series.
	backOffSeed = 62
	// maxBackOffPause bounds the pause between two of them, and maxRefusalDuration for how long
	// one turns requests away.
	maxBackOffPause    = 1500 * time.Millisecond
	maxRefusalDuration = 2500 * time.Millisecond
	// maxDuringBackOff is how many requests of a node may reach an upstream in the rest that it
	// has asked that node for, by the platform's rule.
	maxDuringBackOff = 2
	// disturbanceTail is how long after a disturbance of a node, or of the way to an upstream,
	// what was on its way may still come.
	disturbanceTail = time.Second
)

// retryAfterValues are what upstreams ask for.
var retryAfterValues = []string{"0.8", "1.5", "2.5", "3", "1e9", "soon", "-1", ""}

// disturbances are when nodes, or the ways to engines, were disturbed, by name. They are safe
// for concurrent use.
type disturbances struct {
	mu    sync.Mutex
	spans map[string][]span
}

type span struct{ from, to time.Time }

// record notes that something was disturbed from a time until now.
func (d *disturbances) record(name string, from time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.spans == nil {
		d.spans = make(map[string][]span)
	}
	d.spans[name] = append(d.spans[name], span{from: from, to: time.Now().Add(disturbanceTail)})
}

// overlaps tells whether something was disturbed in a time.
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

// backOffSeries has engines and the desk turn requests away and ask for rest, one after the other.
func (s *runner) backOffSeries(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(random.Int64N(int64(maxBackOffPause))))
		f := standin.BackOffFaults{ForMS: random.IntN(int(maxRefusalDuration.Milliseconds())), RetryAfter: retryAfterValues[random.IntN(len(retryAfterValues))]}
		which := random.IntN(len(s.cluster.engines) + 1)
		if ctx.Err() == nil {
			what, err := s.refuseRequests(which, f)
			s.logFault(fmt.Sprintf("%s asks for rest %q", what, f.RetryAfter), time.Duration(f.ForMS)*time.Millisecond, err)
		}
	}
}

// refuseRequests has an engine turn requests away, or the desk.
func (s *runner) refuseRequests(which int, f standin.BackOffFaults) (string, error) {
	if f.RetryAfter == "1e9" && which < len(s.cluster.engines) {
		// One that asks for ever is used no more in this run: the others must do.
		which = len(s.cluster.engines) - 1
	}
	if which == len(s.cluster.engines) {
		if f.RetryAfter == "1e9" {
			f.RetryAfter = "2"
		}
		return "desk", postJSON("http://"+s.cluster.plainServices[len(s.cluster.plainServices)-1].Address()+"/rest", f)
	}
	if !s.cluster.engineMu[which].TryLock() {
		return "nobody", nil
	}
	defer s.cluster.engineMu[which].Unlock()
	return fmt.Sprintf("engine-%d", which), postJSON("http://"+s.cluster.engines[which].Address()+"/rest", f)
}

// checkVisits returns the nodes that went on sending to upstreams which had asked them not to,
// while neither they nor their ways there were disturbed.
func (s *runner) checkVisits() ([]string, error) {
	var broken []string
	nodeOf := func(id string) string { return s.callers.nodeOf(id) }
	processes := append([]*process.Process{}, s.cluster.plainServices...)
	processes = append(processes, s.cluster.engines...)
	for _, p := range processes {
		list, err := fetchVisits(p)
		if err != nil {
			return nil, errors.Wrap(err, p.Name())
		}
		for _, b := range standin.BackOffBreaches(list, nodeOf) {
			if b.Count > maxDuringBackOff && !s.wasDisturbed(b, p.Name()) {
				broken = append(broken, fmt.Sprintf("%s got %d requests of %s in the %d ms of rest that it had asked for", p.Name(), b.Count, b.Node, b.ToMS-b.FromMS))
			}
		}
		broken = append(broken, s.limitBreaches(p.Name(), list)...)
		for _, b := range standin.LeavingBreaches(list, nodeOf, leavingBound+schedulingSlack) {
			if !s.wasDisturbed(b, p.Name()) {
				broken = append(broken, fmt.Sprintf("%s got %d requests of %s late after its answers had said that it leaves", p.Name(), b.Count, b.Node))
			}
		}
	}
	return truncated(broken), nil
}

// wasDisturbed tells whether a node, or its way to an upstream, was disturbed from half a second
// before the time that counts.
func (s *runner) wasDisturbed(b standin.SendBreach, upstream string) bool {
	from, to := time.UnixMilli(b.FromMS).Add(-disturbanceTail), time.UnixMilli(b.ToMS)
	if b.ToMS == 0 {
		to = time.Now()
	}
	return b.Node == "" || s.disturbed.overlaps(b.Node, from, to) || s.disturbed.overlaps(upstream, from, to)
}

// fetchVisits asks a stand-in for the requests that have reached it.
func fetchVisits(p *process.Process) ([]standin.ReceivedRequest, error) {
	resp, err := httpClient.Get("http://" + p.Address() + "/visits")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var list []standin.ReceivedRequest
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("soak: visits: status %d", resp.StatusCode)
	}
	return list, json.NewDecoder(resp.Body).Decode(&list)
}
