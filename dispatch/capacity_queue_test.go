package dispatch_test

import (
	"net/http"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/dispatch"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/internal/script"
)

const (
	maxTestWaiting      = 6
	maxTestWaitingBytes = 2000
	// streamPatience is how long the client of the test's streaming route waits for an event.
	streamPatience clock.Millis = 2000
	reviewInterval clock.Millis = 100
)

// waitSim drives a model with random messages and follows each request.
type waitSim struct {
	t       *rapid.T
	model   *dispatch.Model
	now     clock.Millis
	version int
	clients []*waitingClient
}

// waitingClient is a request as its client and the log show it.
type waitingClient struct {
	arrivedAt clock.Millis
	attempt   int
	executed  bool
	// waiting reports whether a wait has begun and not ended; over whether the request has ended.
	waiting, over bool
}

func (s *waitSim) update(msg dispatch.Msg) {
	for _, cmd := range s.model.Update(s.now, msg) {
		s.apply(cmd)
	}
	waits := s.model.CapacityWaits()
	if waits.Waiting > maxTestWaiting || waits.BodyBytes > maxTestWaitingBytes || waits.Waiting != s.waiting() {
		s.t.Fatalf("got %d waiting requests with %d bytes, want %d, at most %d with %d", waits.Waiting, waits.BodyBytes, s.waiting(), maxTestWaiting, maxTestWaitingBytes)
	}
}

func (s *waitSim) waiting() int {
	n := 0
	for _, c := range s.clients {
		if c.waiting {
			n++
		}
	}
	return n
}

func (s *waitSim) client(id dispatch.RequestID) *waitingClient { return s.clients[id-1] }

func (s *waitSim) apply(cmd dispatch.Cmd) {
	switch cmd := cmd.(type) {
	case dispatch.SendCmd:
		c := s.client(cmd.Request)
		if c.over || c.waiting || c.attempt != 0 {
			s.t.Fatalf("got %s, want none: over=%v waiting=%v attempt=%d", show(cmd), c.over, c.waiting, c.attempt)
		}
		c.attempt = cmd.Attempt
	case dispatch.CapacityWaitCmd:
		c := s.client(cmd.Request)
		if c.over || c.waiting || c.attempt != 0 {
			s.t.Fatalf("got %s, want none: over=%v waiting=%v attempt=%d", show(cmd), c.over, c.waiting, c.attempt)
		}
		c.waiting = true
	case dispatch.CapacityWaitEndCmd:
		c := s.client(cmd.Request)
		if !c.waiting {
			s.t.Fatalf("got %s, want none for a request that does not wait", show(cmd))
		}
		if s.now > c.arrivedAt.Add(streamPatience) {
			s.t.Fatalf("got %s %d ms after the arrival, want it before the client leaves", show(cmd), s.now.Sub(c.arrivedAt))
		}
		c.waiting = false
	case dispatch.RespondCmd:
		c := s.client(cmd.Request)
		if c.over || c.waiting || c.executed && cmd.Status == http.StatusServiceUnavailable {
			s.t.Fatalf("got %s, want none: over=%v waiting=%v executed=%v", show(cmd), c.over, c.waiting, c.executed)
		}
		c.over = true
	case dispatch.RelayFailureCmd:
		s.client(cmd.Request).over = true
	}
}

// arrive adds a request of a random client account and size.
func (s *waitSim) arrive() {
	c := &waitingClient{arrivedAt: s.now}
	s.clients = append(s.clients, c)
	id := dispatch.RequestID(len(s.clients))
	s.update(dispatch.ArriveMsg{
		Request: id, CallerID: strconv.Itoa(int(id)), Work: requestedWork(script.Step{Args: []string{strconv.Itoa(rapid.IntRange(0, 5).Draw(s.t, "work"))}}),
		Host: "h", Path: "/write/a", Key: rapid.SampledFrom([]string{"k", "shop", "radio"}).Draw(s.t, "key"), HasKey: true,
		PromptTokens: rapid.SampledFrom([]int{20, 60, 200}).Draw(s.t, "tokens"), Remaining: clock.Millis(rapid.SampledFrom([]int{150, 20_000}).Draw(s.t, "remaining")),
		BodyBytes: rapid.IntRange(0, 900).Draw(s.t, "body"),
	})
}

// endAttempt ends the attempt of a random request, or the request itself.
func (s *waitSim) endAttempt() {
	if len(s.clients) == 0 {
		return
	}
	id := rapid.IntRange(1, len(s.clients)).Draw(s.t, "request")
	c, request := s.clients[id-1], dispatch.RequestID(id)
	switch {
	case c.over:
	case c.attempt == 0 || rapid.IntRange(0, 5).Draw(s.t, "leaves") == 0:
		c.over = true
		s.update(dispatch.RequestEndedMsg{Request: request})
	case rapid.Bool().Draw(s.t, "answered"):
		c.over = true
		s.update(dispatch.AttemptDoneMsg{Request: request, Attempt: c.attempt, Took: 50})
	default:
		cause := dispatch.Cause(rapid.IntRange(int(dispatch.CauseNotSent), int(dispatch.CauseUpstreamFailed)).Draw(s.t, "cause"))
		c.executed = c.executed || cause >= dispatch.CauseUnknown
		failed := c.attempt
		c.attempt = 0
		s.update(dispatch.AttemptFailedMsg{Request: request, Attempt: failed, Cause: cause})
	}
}

// change changes what the node knows about engines, other nodes or the configuration.
func (s *waitSim) change() {
	switch rapid.IntRange(0, 5).Draw(s.t, "change") {
	case 0:
		s.update(dispatch.FleetMsg{Changes: randomFleet(s.t)})
	case 1:
		s.update(dispatch.PlacedMsg{Upstream: fleet.IncarnationByID("u1"), Layers: fleet.LayerRange{To: 8}, Completed: rapid.Bool().Draw(s.t, "completed")})
	case 2:
		s.update(dispatch.UsageMsg{Node: "n2", Used: map[fleet.Incarnation]fleet.EngineUsage{
			fleet.IncarnationByID("u1"): {Memory: float64(rapid.SampledFrom([]int{0, 900}).Draw(s.t, "used"))},
		}})
	case 3:
		s.update(dispatch.PeersMsg{TotalNodes: rapid.SampledFrom([]int{1, 1000}).Draw(s.t, "nodes")})
	case 4:
		s.version++
		params := map[string]string{"version": strconv.Itoa(s.version), "keys": rapid.SampledFrom([]string{"all", "all", "none"}).Draw(s.t, "keys"), "radio": strconv.Itoa(rapid.IntRange(0, 3).Draw(s.t, "priority")), "load": "1000"}
		s.update(dispatch.CatalogMsg{Catalog: testCatalog(script.Step{Params: params}), ConfirmedAt: s.now})
	case 5:
		s.update(dispatch.CatalogMsg{ConfirmedAt: s.now})
	}
}

// Guards against losing a waiting request, whose client would wait for nothing, and against
// handling it twice. Whatever happens to engines, keys, priorities, budgets and the node, each
// wait ends exactly once: the request is sent, refused or its client leaves. A refusal reaches the
// client before it leaves, and none states that a request has not run if it may have.
func TestEachWaitEndsOnce(t *testing.T) {
	begun := 0
	rapid.Check(t, func(rt *rapid.T) {
		s := &waitSim{t: rt, now: 1000, version: 1, model: dispatch.New(dispatch.WithDataCentre("a"), dispatch.WithPolicy(dispatch.Policy{
			MaxConfigAge: 5000, RetryWindow: 10_000, RetryShare: 0.2, RetrySlack: 100, MaxWaiting: maxTestWaiting, MaxWaitingBytes: maxTestWaitingBytes,
		}))}
		s.update(dispatch.PeersMsg{TotalNodes: 1})
		s.update(dispatch.CatalogMsg{Catalog: testCatalog(script.Step{}), ConfirmedAt: s.now})
		s.update(dispatch.FleetMsg{Changes: randomFleet(rt)})
		nextTick := s.now.Add(reviewInterval)
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			s.now = s.now.Add(clock.Millis(rapid.IntRange(0, 60).Draw(rt, "pause")))
			if s.now >= nextTick {
				s.now, nextTick = nextTick, nextTick.Add(reviewInterval)
				s.update(dispatch.TickMsg{})
			}
			switch rapid.IntRange(0, 9).Draw(rt, "what") {
			case 0, 1, 2, 3, 4:
				s.arrive()
			case 5, 6, 7:
				s.endAttempt()
			default:
				s.change()
			}
		}
		if rapid.IntRange(0, 3).Draw(rt, "drains") == 0 {
			s.update(dispatch.DrainMsg{End: s.now.Add(4000)})
		}
		for end := s.now.Add(streamPatience); s.now < end; {
			s.now = s.now.Add(reviewInterval)
			s.update(dispatch.TickMsg{})
		}
		waits := s.model.CapacityWaits()
		if ended := waits.Sent + waits.Refused + waits.Left; waits.Waiting != 0 || waits.BodyBytes != 0 || ended != waits.Begun {
			rt.Fatalf("got %+v, want no waiting request and as many ends as waits", waits)
		}
		begun += waits.Begun
	})
	if begun == 0 {
		t.Error("got no wait in any run, want some")
	}
	t.Logf("%d waits", begun)
}
