package catalog_test

import (
	"errors"
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
)

func newRoute(name, host, prefix string) *catalog.Route {
	return &catalog.Route{Name: name, Host: host, Prefix: prefix}
}

func TestRoute(t *testing.T) {
	c := catalog.New(1, catalog.WithRoutes(
		newRoute("all", "h", "/"), newRoute("a", "h", "/a/"), newRoute("ab", "h", "/a/b/"), newRoute("other", "g", "/x/"),
	))
	tests := []struct{ host, path, want string }{
		{"h", "/", "all"},
		{"h", "/a/", "a"},
		{"h", "/a/c", "a"},
		{"h", "/a/b/c/d", "ab"},
		{"h", "/a", "all"},
		{"h", "/ab/c", "all"},
		{"g", "/x/1", "other"},
		{"g", "/y/1", ""},
		{"nobody", "/a/", ""},
	}
	for _, tt := range tests {
		got, err := c.Route(tt.host, tt.path)
		if tt.want == "" {
			if !errors.Is(err, catalog.ErrNoRoute) {
				t.Errorf("%s%s: got %v and error %v, want %v", tt.host, tt.path, got, err, catalog.ErrNoRoute)
			}
			continue
		}
		if err != nil || got.Name != tt.want {
			t.Errorf("%s%s: got %v and error %v, want %s", tt.host, tt.path, got, err, tt.want)
		}
	}
}

func TestAccounts(t *testing.T) {
	c := catalog.New(1, catalog.WithAccount(catalog.Account{Name: "clinic"}, "k1", "k2"))
	for _, key := range []string{"k1", "k2"} {
		if got, err := c.Account(key); err != nil || got.Name != "clinic" {
			t.Errorf("%s: got %v and error %v, want clinic", key, got, err)
		}
	}
	if _, err := c.Account("k3"); !errors.Is(err, catalog.ErrNoAccount) {
		t.Errorf("got error %v, want %v", err, catalog.ErrNoAccount)
	}
}

// Where all keys have been taken away nobody gets through; where there are no
// client accounts everybody does.
func TestHasAccounts(t *testing.T) {
	tests := []struct {
		name string
		c    *catalog.Catalog
		want bool
	}{
		{"no accounts", catalog.New(1), false},
		{"an account with a key", catalog.New(1, catalog.WithAccount(catalog.Account{Name: "a"}, "k")), true},
		{"an account whose keys are gone", catalog.New(1, catalog.WithAccount(catalog.Account{Name: "a"})), true},
	}
	for _, tt := range tests {
		if got := tt.c.HasAccounts(); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

// A split sends each its share, and always the same request the same way.
func TestPick(t *testing.T) {
	r := &catalog.Route{Targets: []catalog.Target{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}}}
	tests := []struct {
		at   float64
		want string
	}{{0, "old"}, {0.89, "old"}, {0.91, "new"}, {0.999, "new"}}
	for _, tt := range tests {
		if got := r.ServiceAt(tt.at); got != tt.want {
			t.Errorf("at %v: got %s, want %s", tt.at, got, tt.want)
		}
	}
}
