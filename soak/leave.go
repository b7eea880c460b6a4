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

// Times of the stage in which upstreams leave after the connections to the store have
// gone silent.
const (
	// leavingBound is how long after the store has taken that an upstream leaves it
	// may still get requests; the nodes' settings say the same.
	leavingBound = 2 * time.Second
	// settleTime is how long after the last disturbance the promise holds again.
	settleTime = 3 * time.Second
	// schedulingSlack is what a busy machine may add. A wait that outlasts the promise does
	// so by several seconds.
	schedulingSlack = 1500 * time.Millisecond
	// lateWatchTime is how long after the promise holds requests that come too late are
	// looked for.
	lateWatchTime = 3 * time.Second
	// maxMutePause bounds the time between two silences, and between the last one
	// and the leaving.
	maxMutePause = 1500 * time.Millisecond
	// storePollInterval is how often the store is asked whether it has taken an entry.
	storePollInterval = 20 * time.Millisecond
)

// leavingUpstream is an upstream that leaves.
type leavingUpstream struct {
	idPrefix string
	process  *process.Process
	// deadline is when the last request may have reached it.
	deadline time.Time
}

// testLeaving has the open connections between the nodes and the store go silent for good,
// once or twice, and upstreams leave soon after. What a node knows of the list must not
// stand still for longer than the promise allows.
func (s *runner) testLeaving(random *rand.Rand) error {
	var silent time.Time
	for range 1 + random.IntN(2) {
		for _, link := range s.cluster.storeProxies {
			link.mute()
		}
		silent = time.Now()
		time.Sleep(time.Duration(random.Int64N(int64(maxMutePause))))
	}
	s.logFault("connections to the store silent for good", 0, nil)
	leavers, err := s.pickLeaving(random)
	if err != nil {
		return err
	}
	for i := range leavers {
		if err := s.announceLeaving(&leavers[i], silent); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(leavers[len(leavers)-1].deadline.Add(lateWatchTime)))
	return s.checkLateRequests(leavers)
}

// pickLeaving are the desk and an engine. Another desk takes the place of the first.
func (s *runner) pickLeaving(random *rand.Rand) ([]leavingUpstream, error) {
	desk := s.cluster.plainServices[len(s.cluster.plainServices)-1]
	if err := s.cluster.startPlainService("desk-2"); err != nil {
		return nil, err
	}
	engine := random.IntN(len(s.cluster.engines))
	id := fmt.Sprintf("engine-%d-", engine)
	return []leavingUpstream{{idPrefix: "desk-1", process: desk}, {idPrefix: id, process: s.cluster.engines[engine]}}, nil
}

// announceLeaving has an upstream leave, and waits until the store has taken that.
func (s *runner) announceLeaving(l *leavingUpstream, silent time.Time) error {
	if err := postJSON("http://"+l.process.Address()+"/leave", nil); err != nil {
		return err
	}
	for until := time.Now().Add(recoveryTime); ; time.Sleep(storePollInterval) {
		taken, err := s.cluster.listedLeaving(l.idPrefix)
		if err != nil {
			return err
		}
		if taken {
			break
		}
		if time.Now().After(until) {
			return errors.Newf("soak: the store does not show that %s leaves", l.idPrefix)
		}
	}
	bound := time.Now().Add(leavingBound)
	if settled := silent.Add(settleTime); settled.After(bound) {
		bound = settled
	}
	l.deadline = bound.Add(schedulingSlack)
	s.logFault(l.idPrefix+" leaves", 0, nil)
	return nil
}

func (s *runner) checkLateRequests(leavers []leavingUpstream) error {
	for _, l := range leavers {
		last, err := lastArrival(l.process)
		if err != nil {
			return err
		}
		if last.After(l.deadline) {
			return errors.Wrapf(ErrPromiseBroken, "a request reached %s %v after it may have", l.idPrefix, last.Sub(l.deadline))
		}
	}
	return nil
}

// lastArrival asks a stand-in when a request has reached it last.
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

// listedLeaving tells whether the store shows that a server leaves whose id begins with
// a text.
func (w *cluster) listedLeaving(id string) (bool, error) {
	store := platform.NewStore(w.store.Address(), zap.NewNop())
	defer store.Close()
	reading, err := store.ReadUpstreams(context.Background())
	if err != nil {
		return false, err
	}
	return slices.ContainsFunc(reading.Changes, func(c fleet.Change) bool {
		return strings.HasPrefix(c.ID.String(), id) && c.Upstream.Leaving
	}), nil
}
