package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hoistjunction/hoistjunction/standin"
)

// An engine that refused a request asked in the same answer for three seconds of rest, and
// got twenty requests from that node in the next second. What it asked for was not read: it
// was taken as full for 150 ms, and not even that once its own report said that it had room,
// after which each refused request went to it eight times in a row. The logs showed it by
// eight lines `attempt_failed cause=full` of one id at one upstream within 24 ms, right after
// a `probe` that found it all but empty. No day of ours had an upstream that asks for rest.
//
// Here upstreams turn all requests away for a while and ask for rest, and requests go on to
// come one after the other.

const (
	// rejectDuration is for how long upstreams turn requests away, and requestedBackOff the rest
	// that they ask for each time: their last one ends after that.
	rejectDuration   = 1500 * time.Millisecond
	requestedBackOff = "1.2"
	// backOffTestDuration is for how long requests come.
	backOffTestDuration = 3 * time.Second
)

// backOffRequester is a stand-in that can ask for rest.
type backOffRequester interface {
	SetBackOff(f standin.BackOffFaults)
	ReceivedRequests() []standin.ReceivedRequest
}

// onlyNode is the node of all tries where there is one.
func onlyNode(string) string { return "n1" }

func TestUpstreamThatAsksForRestGetsIt(t *testing.T) {
	for _, kind := range []struct {
		name, method, prefix string
		pause                time.Duration
	}{
		{"stream", http.MethodPost, "/write/", 10 * time.Millisecond},
		// Such that the second one comes late in the first rest.
		{"stream that comes seldom", http.MethodPost, "/write/", 600 * time.Millisecond},
		{"plain that may run once", http.MethodPost, "/once/", 10 * time.Millisecond},
		{"plain that may be repeated", http.MethodGet, "/read/", 10 * time.Millisecond},
	} {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 2)
			n := s.startNode("n1", s.storeAddress)
			n.awaitServing(t)
			upstreams := []backOffRequester{s.plainService, s.engines["e1"].engine, s.engines["e2"].engine}
			for _, u := range upstreams {
				u.SetBackOff(standin.BackOffFaults{ForMS: int(rejectDuration.Milliseconds()), RetryAfter: requestedBackOff})
			}
			i := 0
			for until := time.Now().Add(backOffTestDuration); time.Now().Before(until); i++ {
				name := fmt.Sprintf("%s%d", strings.Trim(kind.prefix, "/"), i)
				if got := n.do(kind.method, kind.prefix+name, name, "k1"); got.err != nil {
					t.Fatalf("got %v at request %d, want an answer", got.err, i)
				}
				time.Sleep(kind.pause)
			}
			turned := 0
			for _, u := range upstreams {
				for _, b := range standin.BackOffBreaches(u.ReceivedRequests(), onlyNode) {
					t.Errorf("got %d requests at an upstream in the rest that it had asked for, want none", b.Count)
				}
				turned += len(u.ReceivedRequests())
			}
			if turned == 0 {
				t.Error("got no request at any upstream, want some")
			}
			await(t, "request served after the rest", func() bool {
				i++
				name := fmt.Sprintf("after%d", i)
				return n.do(kind.method, kind.prefix+name, name, "k1").status == http.StatusOK
			})
		})
	}
}

// An upstream that is leaving says so in its answers, also where its entry says nothing of
// it yet, or where the node hears nothing of the list. Two desks serve; one of them says in
// an answer that it leaves.
func TestUpstreamThatSaysItLeavesGetsNothingNew(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	other := s.addPlainService("desk2")
	n := s.startNode("n1", s.storeAddress)
	n.awaitServing(t)
	tries := 0
	try := func() {
		tries++
		name := fmt.Sprintf("try%d", tries)
		if got := n.do(http.MethodPost, "/once/"+name, name, "k1"); got.status != http.StatusOK {
			t.Fatalf("got %d, %v at try %d, want %d", got.status, got.err, tries, http.StatusOK)
		}
	}
	for len(other.Executions()) == 0 {
		try()
	}
	other.AnnounceLeaving()
	said := len(other.Executions())
	for len(other.Executions()) == said {
		try()
	}
	heard := len(other.Executions())
	for range 40 {
		try()
	}
	if got := len(other.Executions()); got > heard {
		t.Errorf("got %d requests at an upstream after its answer had said that it leaves, want none", got-heard)
	}
}
