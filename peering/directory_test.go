package peering

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/moment"
	"github.com/hoistjunction/hoistjunction/wire"
)

func member(name string) *wire.Member { return &wire.Member{Name: name, Address: name + ":1"} }

func registration(name string, revision uint64) Registration {
	return Registration{Member: member(name), Renewed: moment.At(0, revision)}
}

func names(members []*wire.Member) string {
	text := ""
	for _, m := range members {
		text += m.GetName() + " "
	}
	return text
}

// A registration that is not renewed expires, even if other nodes still report it. A node that
// renews it or sends a message is added again.
func TestRegistrationsExpire(t *testing.T) {
	d := newDirectory(member("me"), nil)
	const later = registrationTTL / 2
	steps := []struct {
		name        string
		at          clock.Millis
		list        []Registration
		wantChanged bool
		wantExpired int
		want        string
	}{
		{"all nodes are new", 0, []Registration{registration("a", 1), registration("b", 2), registration("me", 3)}, true, 0, "a b "},
		{"b renews", later, []Registration{registration("a", 1), registration("b", 4), registration("me", 3)}, false, 0, "a b "},
		{"a expires", registrationTTL, []Registration{registration("a", 1), registration("b", 4), registration("me", 3)}, true, 1, "b "},
		{"a is still listed", registrationTTL + 1, []Registration{registration("a", 1), registration("b", 4), registration("me", 3)}, false, 1, "b "},
	}
	for _, s := range steps {
		changed, expired := d.applyRegistrations(s.at, s.list)
		if changed != s.wantChanged || len(expired) != s.wantExpired {
			t.Errorf("%s: got changed=%v and %d expired, want %v and %d", s.name, changed, len(expired), s.wantChanged, s.wantExpired)
		}
		if got := names(d.others()); got != s.want {
			t.Errorf("%s: got nodes %q, want %q", s.name, got, s.want)
		}
	}
	if d.addReported(member("a")) {
		t.Error("expired node was added again by a report of another node")
	}
	if !d.addSender(registrationTTL+1, member("a")) {
		t.Error("expired node was not added again by its own message")
	}
	if changed, expired := d.applyRegistrations(registrationTTL+2, []Registration{registration("a", 9), registration("b", 4)}); changed || len(expired) != 0 {
		t.Errorf("got changed=%v and %d expired after a renewal, want neither", changed, len(expired))
	}
	stronger := member("a")
	stronger.Strength = 8
	if !d.addSender(registrationTTL+1, stronger) || d.byName["a"].GetStrength() != 8 {
		t.Error("changed capacity in a node's own message was ignored")
	}
	if d.addReported(member("a")) || d.byName["a"].GetStrength() != 8 {
		t.Error("capacity was changed by a report of another node")
	}
}

// A node that restarts under its name at another address counts as changed.
func TestMovedNode(t *testing.T) {
	d := newDirectory(member("me"), []string{"a:1", "seed:1"})
	if got, want := names(d.others()), "  "; got != want {
		t.Errorf("got %q, want two seeds without names", got)
	}
	d.addReported(member("a"))
	if !d.addReported(&wire.Member{Name: "a", Address: "a:2"}) {
		t.Error("new address of a node was ignored")
	}
	if d.addReported(member("me")) || d.addReported(&wire.Member{Address: "x:1"}) {
		t.Error("the node itself or a node without a name was added")
	}
	if got, want := d.rank(), 1; got != want {
		t.Errorf("got rank %d, want %d", got, want)
	}
}
