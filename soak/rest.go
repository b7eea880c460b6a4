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
	// restPart is the part of the seed of the upstreams that ask for rest, which do so
	// beside the series.
	restPart = 62
	// betweenRests bounds the pause between two of them, and longestTurning for how long
	// one turns requests away.
	betweenRests   = 1500 * time.Millisecond
	longestTurning = 2500 * time.Millisecond
	// mostInRest is how many requests of a node may reach an upstream in the rest that it
	// has asked that node for, by the platform's rule.
	mostInRest = 2
	// disturbedFor is how long after a disturbance of a node, or of the way to an upstream,
	// what was on its way may still come.
	disturbedFor = time.Second
)

// asks are what upstreams ask for.
var asks = []string{"0.8", "1.5", "2.5", "3", "1e9", "soon", "-1", ""}

// disturbances are when nodes, or the ways to engines, were disturbed, by name. They are safe
// for concurrent use.
type disturbances struct {
	mu   sync.Mutex
	list map[string][]span
}

type span struct{ from, to time.Time }

// note notes that something was disturbed from a time until now.
func (d *disturbances) note(name string, from time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.list == nil {
		d.list = make(map[string][]span)
	}
	d.list[name] = append(d.list[name], span{from: from, to: time.Now().Add(disturbedFor)})
}

// within tells whether something was disturbed in a time.
func (d *disturbances) within(name string, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.list[name] {
		if s.from.Before(to) && from.Before(s.to) {
			return true
		}
	}
	return false
}

// restSeries has engines and the desk turn requests away and ask for rest, one after the other.
func (s *soak) restSeries(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(random.Int64N(int64(betweenRests))))
		f := standin.BackOffFaults{ForMS: random.IntN(int(longestTurning.Milliseconds())), RetryAfter: asks[random.IntN(len(asks))]}
		which := random.IntN(len(s.world.engines) + 1)
		if ctx.Err() == nil {
			what, err := s.turnAway(which, f)
			s.note(fmt.Sprintf("%s asks for rest %q", what, f.RetryAfter), time.Duration(f.ForMS)*time.Millisecond, err)
		}
	}
}

// turnAway has an engine turn requests away, or the desk.
func (s *soak) turnAway(which int, f standin.BackOffFaults) (string, error) {
	if f.RetryAfter == "1e9" && which < len(s.world.engines) {
		// One that asks for ever is used no more in this run: the others must do.
		which = len(s.world.engines) - 1
	}
	if which == len(s.world.engines) {
		if f.RetryAfter == "1e9" {
			f.RetryAfter = "2"
		}
		return "desk", post("http://"+s.world.desks[len(s.world.desks)-1].Address()+"/rest", f)
	}
	if !s.world.engineBusy[which].TryLock() {
		return "nobody", nil
	}
	defer s.world.engineBusy[which].Unlock()
	return fmt.Sprintf("engine-%d", which), post("http://"+s.world.engines[which].Address()+"/rest", f)
}

// checkVisits returns the nodes that went on sending to upstreams which had asked them not to,
// while neither they nor their ways there were disturbed.
func (s *soak) checkVisits() ([]string, error) {
	var broken []string
	nodeOf := func(id string) string { return s.callers.nodeOf(id) }
	processes := append([]*process.Process{}, s.world.desks...)
	processes = append(processes, s.world.engines...)
	for _, p := range processes {
		list, err := visitsOf(p)
		if err != nil {
			return nil, errors.Wrap(err, p.Name())
		}
		for _, b := range standin.BackOffBreaches(list, nodeOf) {
			if b.Count > mostInRest && !s.excused(b, p.Name()) {
				broken = append(broken, fmt.Sprintf("%s got %d requests of %s in the %d ms of rest that it had asked for", p.Name(), b.Count, b.Node, b.ToMS-b.FromMS))
			}
		}
		broken = append(broken, s.limitBreaches(p.Name(), list)...)
		for _, b := range standin.LeavingBreaches(list, nodeOf, leavingWithin+lateSlack) {
			if !s.excused(b, p.Name()) {
				broken = append(broken, fmt.Sprintf("%s got %d requests of %s late after its answers had said that it leaves", p.Name(), b.Count, b.Node))
			}
		}
	}
	return shortened(broken), nil
}

// excused tells whether a node, or its way to an upstream, was disturbed from half a second
// before the time that counts.
func (s *soak) excused(b standin.SendBreach, upstream string) bool {
	from, to := time.UnixMilli(b.FromMS).Add(-disturbedFor), time.UnixMilli(b.ToMS)
	if b.ToMS == 0 {
		to = time.Now()
	}
	return b.Node == "" || s.disturbed.within(b.Node, from, to) || s.disturbed.within(upstream, from, to)
}

// visitsOf asks a stand-in for the requests that have reached it.
func visitsOf(p *process.Process) ([]standin.ReceivedRequest, error) {
	resp, err := calls.Get("http://" + p.Address() + "/visits")
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
