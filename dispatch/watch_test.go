package dispatch

import (
	"fmt"
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// Ten times a second each node looked at each upstream for one that is to be asked: two fifths
// of what 300 nodes and 855 engines took in the emulator. Only those are looked at of which
// something is to be asked.
func TestFewUpstreamsAreLookedAt(t *testing.T) {
	for _, upstreams := range []int{30, 3000} {
		m := New()
		m.Update(0, CatalogMsg{Catalog: catalog.New(1, catalog.WithServices(&catalog.Service{Name: "s", Pipeline: &catalog.Pipeline{Layers: 8}}))})
		var changes []fleet.Change
		for i := range upstreams {
			id := fleet.IncarnationByID(fleet.ID(fmt.Sprint("e", i)))
			changes = append(changes, fleet.Change{ID: id, Upstream: fleet.Upstream{ID: id, Service: "s", Address: fmt.Sprint("e", i, ":1")}})
		}
		m.Update(0, FleetMsg{Changes: changes})
		m.Update(100, TickMsg{})
		if got, want := len(m.probeCandidates), 0; got != want {
			t.Errorf("%d upstreams: got %d looked at, want %d", upstreams, got, want)
		}
		m.Update(150, PeerUnresponsiveMsg{Upstream: changes[3].ID})
		cmds := m.Update(200, TickMsg{})
		if len(cmds) != 1 || len(m.probeCandidates) != 1 {
			t.Errorf("%d upstreams: got %v and %d looked at, want a probe of the one that is suspected", upstreams, cmds, len(m.probeCandidates))
		}
		m.Update(210, ProbedMsg{Upstream: changes[3].ID, Answered: true})
		m.Update(300, TickMsg{})
		if got, want := len(m.probeCandidates), 0; got != want {
			t.Errorf("%d upstreams: got %d looked at after a good answer, want %d", upstreams, got, want)
		}
	}
}
