package follow

import (
	"context"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock/clocktest"
	"github.com/hoistjunction/hoistjunction/fleet"
)

// plainServices returns a configuration with plain services.
func plainServices(names ...string) *catalog.Catalog {
	var services []*catalog.Service
	for _, name := range names {
		services = append(services, &catalog.Service{Name: name})
	}
	return catalog.New(1, catalog.WithServices(services...))
}

// Guards against thousands of entries of other writers that hide the upstreams of a service which is
// configured later: the list is read again then, and only then.
func TestManyForeignEntriesHideNoLaterService(t *testing.T) {
	entry := func(id, service string) fleet.Change {
		i := fleet.IncarnationByID(fleet.ID(id))
		return fleet.Change{ID: i, Upstream: fleet.Upstream{ID: i, Service: service, Address: id + ":1"}}
	}
	list := []fleet.Change{entry("d1", "desk")}
	for i := range 5000 {
		list = append(list, entry(fmt.Sprint("x", i), "billing"))
	}
	list = append(list, entry("z1", "chess"))
	ctx, cancel := context.WithCancel(context.Background())
	source := &scriptedStore{t: t, end: cancel, answers: []scriptedAnswer{{changes: list}, {}, {changes: []fleet.Change{entry("d2", "desk")}}, {changes: list}, {}, {}}}
	var f *Fleet
	known := make(map[fleet.ID]bool)
	f = NewFleet(source, clocktest.NewClock(), zap.NewNop(), &Outage{}, func(changes []fleet.Change) {
		for _, c := range changes {
			known[c.ID.ID()] = !c.Gone && !c.Upstream.Withheld
			if c.ID.ID() == "d2" {
				go f.SetCatalog(plainServices("desk", "chess"))
			}
		}
	})
	f.SetCatalog(plainServices("desk"))
	if err := f.Run(ctx); !errors.Is(err, context.Canceled) {
		t.Fatalf("got error %v, want %v", err, context.Canceled)
	}
	checkCalls(t, source.calls, []string{"read", "await", "await", "read", "await"})
	if !known["z1"] {
		t.Error("got no upstream of the service that was added, want z1")
	}
}
