package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/momentwire"
	"github.com/hoistjunction/hoistjunction/platform"
	"github.com/hoistjunction/hoistjunction/standin"
)

// Guards against a revoked key that works where all nodes start after the store has returned from a backup,
// so that none remembers the configuration that revoked it: the key is refused until the operator has
// written again, and the others are served then.
func TestAllNodesStartedAfterRestoreServeNoRevokedKey(t *testing.T) {
	t.Parallel()
	// The nodes end before the return, or some time after it, when they have noticed it.
	for _, survived := range []time.Duration{0, 4 * time.Second} {
		t.Run(fmt.Sprintf("%v after the return", survived), func(t *testing.T) {
			t.Parallel()
			testNoRevokedKeyIsServed(t, survived)
		})
	}
}

func testNoRevokedKeyIsServed(t *testing.T, survived time.Duration) {
	t.Helper()
	s := newSite(t, 4)
	nodes := s.startVouchingNodes(t)
	s.store.Backup()
	s.store.Put("op", "config", standin.SiteConfig(9, "k2"))
	for _, n := range nodes {
		await(t, "new key in force", func() bool { return n.do(http.MethodPost, "/write/a", "probe", "k2").status == http.StatusOK })
	}
	if survived > 0 {
		s.store.Restore()
		time.Sleep(survived)
	}
	for _, n := range nodes {
		n.stop()
	}
	if survived == 0 {
		s.store.Restore()
	}
	started := s.startNodes(3)
	for i := range 40 {
		n := started[i%len(started)]
		if got := n.do(http.MethodPost, fmt.Sprint("/write/r", i), fmt.Sprint("r", i), "k1"); got.status == http.StatusOK {
			t.Errorf("request %d with the revoked key: got status 200, want a refusal", i)
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.store.Put("op", "config", standin.SiteConfig(9, "k2"))
	for i, n := range started {
		await(t, "key that is in force", func() bool {
			return n.do(http.MethodPost, "/write/a", fmt.Sprint("p", i), "k2").status == http.StatusOK
		})
		if got := n.do(http.MethodPost, "/write/a", fmt.Sprint("q", i), "k1"); got.status != http.StatusUnauthorized {
			t.Errorf("node %d: got status %d with the revoked key, want 401", i, got.status)
		}
	}
}

// Guards against nodes that wait after each return of the store, or for good: those that have lived through it
// vouch for their configuration, and without the operator the doubt ends.
func TestDoubtAfterRestoreEnds(t *testing.T) {
	t.Parallel()
	s := newSite(t, 4)
	nodes := s.startVouchingNodes(t)
	s.store.Backup()
	s.store.Restore()
	for _, n := range nodes {
		n.stop()
	}
	// Nobody has vouched since: k1 is refused at first, and served in the end.
	started := s.startNodes(3)
	if got := started[0].do(http.MethodPost, "/write/a", "first", "k1"); got.status != http.StatusServiceUnavailable {
		t.Errorf("got status %d, want 503 while the configuration is in doubt", got.status)
	}
	for _, n := range started {
		n.awaitServing(t)
	}
	await(t, "registrations that vouch again", func() bool { return s.registrationsVouch(t, len(nodes)) })
	for _, n := range started {
		n.stop()
	}
	for i, n := range s.startNodes(3) {
		if got := n.do(http.MethodPost, "/write/a", fmt.Sprint("again", i), "k1"); got.status != http.StatusOK {
			t.Errorf("node %d: got status %d, %v, want 200 where others have vouched", i, got.status, got.err)
		}
	}
}

// startVouchingNodes starts three nodes and waits until all serve and their registrations vouch for the era
// of the store.
func (s *site) startVouchingNodes(t *testing.T) []*testNode {
	t.Helper()
	nodes := s.startNodes(3)
	awaitDiscovery(t, nodes)
	for _, n := range nodes {
		n.awaitServing(t)
	}
	await(t, "registrations that vouch", func() bool { return s.registrationsVouch(t, len(nodes)) })
	return nodes
}

// registrationsVouch reports whether a number of registrations vouch for the present era of the store.
func (s *site) registrationsVouch(t testing.TB, count int) bool {
	t.Helper()
	store := platform.NewStore(s.storeAddress, zap.NewNop())
	defer store.Close()
	reading, err := store.Registrations(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	vouching := 0
	for _, r := range reading.List {
		if vouched := momentwire.MomentOf(r.Member.GetVouched()); !vouched.IsZero() && vouched.SameEra(store.Era()) {
			vouching++
		}
	}
	return vouching >= count
}
