package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/internal/process"
	"github.com/hoistjunction/hoistjunction/platform"
	"github.com/hoistjunction/hoistjunction/standin"
)

// The times of the last stage, in which upstreams leave after the connections to the store have
// become silent.
const (
	// leavingBound bounds how long an upstream may receive requests after the store has
	// accepted its leaving entry. The nodes' settings contain the same value.
	leavingBound = 2 * time.Second
	// settleTime is how long after the last disturbance leavingBound may not hold yet.
	settleTime = 3 * time.Second
	// schedulingSlack is added to the deadline for delays of a busy machine. A node that misses
	// the bound does so by several seconds.
	schedulingSlack = 1500 * time.Millisecond
	// lateWatchTime is how long after the last deadline late requests are looked for.
	lateWatchTime = 3 * time.Second
	// maxMutePause bounds the pause between two times of muting the connections, and between
	// the last one and the first upstream that leaves.
	maxMutePause = 1500 * time.Millisecond
	// storePollInterval is the interval at which the store is polled for a leaving entry.
	storePollInterval = 20 * time.Millisecond
)

// leavingUpstream is an upstream that leaves, found in the store by the prefix of its id.
type leavingUpstream struct {
	idPrefix string
	process  *process.Process
	// deadline is the latest time at which a request may reach the upstream.
	deadline time.Time
}

// testLeaving mutes the open connections between the nodes and the store once or twice, and has
// upstreams leave soon after. It checks that no node keeps its old view of the upstreams longer
// than leavingBound allows.
func (r *runner) testLeaving(random *rand.Rand) error {
	var lastMuted time.Time
	for range 1 + random.IntN(2) {
		for _, link := range r.cluster.storeProxies {
			link.mute()
		}
		lastMuted = time.Now()
		time.Sleep(time.Duration(random.Int64N(int64(maxMutePause))))
	}
	r.logFault("mute all connections to the store", 0, nil)
	leaving, err := r.pickLeaving(random)
	if err != nil {
		return err
	}
	for i := range leaving {
		if err := r.announceLeaving(&leaving[i], lastMuted); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(leaving[len(leaving)-1].deadline.Add(lateWatchTime)))
	return r.checkLateRequests(leaving)
}

// pickLeaving returns the active plain service, after a replacement has started, and a random
// engine.
func (r *runner) pickLeaving(random *rand.Rand) ([]leavingUpstream, error) {
	service := r.cluster.plainServices[len(r.cluster.plainServices)-1]
	if err := r.cluster.startPlainService("desk-2"); err != nil {
		return nil, err
	}
	engine := random.IntN(len(r.cluster.engines))
	id := fmt.Sprintf("engine-%d-", engine)
	return []leavingUpstream{{idPrefix: "desk-1", process: service}, {idPrefix: id, process: r.cluster.engines[engine]}}, nil
}

// announceLeaving has an upstream leave, waits until the store lists it as leaving, and sets
// its deadline.
func (r *runner) announceLeaving(l *leavingUpstream, lastMuted time.Time) error {
	if err := postJSON("http://"+l.process.Address()+"/leave", nil); err != nil {
		return err
	}
	for until := time.Now().Add(recoveryTime); ; time.Sleep(storePollInterval) {
		listed, err := r.cluster.listedLeaving(l.idPrefix)
		if err != nil {
			return err
		}
		if listed {
			break
		}
		if time.Now().After(until) {
			return errors.Newf("soak: the store does not list %s as leaving", l.idPrefix)
		}
	}
	bound := time.Now().Add(leavingBound)
	if settled := lastMuted.Add(settleTime); settled.After(bound) {
		bound = settled
	}
	l.deadline = bound.Add(schedulingSlack)
	r.logFault(l.idPrefix+" leaves", 0, nil)
	return nil
}

func (r *runner) checkLateRequests(leaving []leavingUpstream) error {
	for _, l := range leaving {
		last, err := lastArrival(l.process)
		if err != nil {
			return err
		}
		if last.After(l.deadline) {
			return errors.Wrapf(ErrPromiseBroken, "a request reached %s %v after its deadline", l.idPrefix, last.Sub(l.deadline))
		}
	}
	return nil
}

// lastArrival returns the time at which the last request reached a stand-in.
func lastArrival(p *process.Process) (time.Time, error) {
	resp, err := httpClient.Get("http://" + p.Address() + "/arrival")
	if err != nil {
		return time.Time{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var arrival standin.LastRequest
	if err := json.NewDecoder(resp.Body).Decode(&arrival); err != nil {
		return time.Time{}, err
	}
	return time.UnixMilli(arrival.AtMS), nil
}

// listedLeaving reports whether the store lists a leaving upstream whose id has a prefix.
func (c *cluster) listedLeaving(id string) (bool, error) {
	store := platform.NewStore(c.store.Address(), zap.NewNop())
	defer store.Close()
	reading, err := store.ReadUpstreams(context.Background())
	if err != nil {
		return false, err
	}
	return slices.ContainsFunc(reading.Changes, func(c fleet.Change) bool {
		return strings.HasPrefix(c.ID.String(), id) && c.Upstream.Leaving
	}), nil
}
