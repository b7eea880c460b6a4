package dispatch

import (
	"fmt"
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
)

// Guards against holding back requests of services whose requests all have the same priority, which
// would refuse requests without serving any other one better, and against overlooking a difference
// that comes from accounts alone.
func TestServicePriorities(t *testing.T) {
	route := func(name, service string, priority int, weight float64, anonymous bool) *catalog.Route {
		return &catalog.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Priority: priority, Anonymous: anonymous,
			Targets: []catalog.Target{{Service: service, Weight: weight}}}
	}
	services := catalog.WithServices(&catalog.Service{Name: "writer", Pipeline: &catalog.Pipeline{Layers: 8}}, &catalog.Service{Name: "desk"})
	account := func(name string, priority int, keys ...string) catalog.Option {
		return catalog.WithAccount(catalog.Account{Name: name, Priority: priority, HasPriority: priority >= 0}, keys...)
	}
	const none = -1
	tests := []struct {
		name string
		opts []catalog.Option
		want string
	}{
		{"one route", []catalog.Option{catalog.WithRoutes(route("a", "writer", 1, 1, false))}, "map[writer:[1]]"},
		{"two routes", []catalog.Option{catalog.WithRoutes(route("a", "writer", 2, 1, false), route("b", "writer", 0, 1, false))}, "map[writer:[0 2]]"},
		{"plain service", []catalog.Option{catalog.WithRoutes(route("a", "desk", 2, 1, false), route("b", "desk", 0, 1, false))}, "map[]"},
		{"unknown service", []catalog.Option{catalog.WithRoutes(route("a", "nobody", 2, 1, false))}, "map[]"},
		{"route without traffic", []catalog.Option{catalog.WithRoutes(route("a", "writer", 2, 0, false), route("b", "writer", 0, 1, false))}, "map[writer:[0]]"},
		{"accounts", []catalog.Option{catalog.WithRoutes(route("a", "writer", 1, 1, false)), account("x", 0, "k"), account("y", 3, "l")}, "map[writer:[0 3]]"},
		{"account without priority", []catalog.Option{catalog.WithRoutes(route("a", "writer", 1, 1, false)), account("x", 0, "k"), account("y", none, "l")}, "map[writer:[0 1]]"},
		{"account without keys", []catalog.Option{catalog.WithRoutes(route("a", "writer", 1, 1, false)), account("x", 0, "k"), account("y", 3)}, "map[writer:[0]]"},
		{"anonymous route", []catalog.Option{catalog.WithRoutes(route("a", "writer", 1, 1, true)), account("x", 0, "k")}, "map[writer:[1]]"},
	}
	for _, tt := range tests {
		if got := fmt.Sprint(servicePriorities(catalog.New(1, append(tt.opts, services)...))); got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.name, got, tt.want)
		}
	}
}
