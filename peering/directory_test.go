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

// A registration that is not renewed runs out, whatever other nodes still say of
// it. One that is renewed, or that speaks itself, counts again.
func TestRegistrationsRunOut(t *testing.T) {
	d := newDirectory(member("me"), nil)
	const later = registrationTTL / 2
	steps := []struct {
		name        string
		at          clock.Millis
		list        []Registration
		wantNews    bool
		wantExpired int
		want        string
	}{
		{"all are new", 0, []Registration{registration("a", 1), registration("b", 2), registration("me", 3)}, true, 0, "a b "},
		{"b renews", later, []Registration{registration("a", 1), registration("b", 4), registration("me", 3)}, false, 0, "a b "},
		{"a runs out", registrationTTL, []Registration{registration("a", 1), registration("b", 4), registration("me", 3)}, true, 1, "b "},
		{"and goes on being listed", registrationTTL + 1, []Registration{registration("a", 1), registration("b", 4), registration("me", 3)}, false, 1, "b "},
	}
	for _, s := range steps {
		news, expired := d.applyRegistrations(s.at, s.list)
		if news != s.wantNews || len(expired) != s.wantExpired {
			t.Errorf("%s: got news=%v and %d expired, want %v and %d", s.name, news, len(expired), s.wantNews, s.wantExpired)
		}
		if got := names(d.others()); got != s.want {
			t.Errorf("%s: got nodes %q, want %q", s.name, got, s.want)
		}
	}
	if d.addReported(member("a")) {
		t.Error("got a node back by hearsay, want it gone")
	}
	if !d.addSender(registrationTTL+1, member("a")) {
		t.Error("got a node that speaks itself ignored, want it back")
	}
	if news, expired := d.applyRegistrations(registrationTTL+2, []Registration{registration("a", 9), registration("b", 4)}); news || len(expired) != 0 {
		t.Errorf("got news=%v and %d expired after a renewal, want neither", news, len(expired))
	}
	stronger := member("a")
	stronger.Strength = 8
	if !d.addSender(registrationTTL+1, stronger) || d.byName["a"].GetStrength() != 8 {
		t.Error("got a node's word that it can do more ignored")
	}
	if d.addReported(member("a")) || d.byName["a"].GetStrength() != 8 {
		t.Error("got hearsay on what a node can do taken")
	}
}

// A node that comes back under its name at another address is told of.
func TestMovedNode(t *testing.T) {
	d := newDirectory(member("me"), []string{"a:1", "seed:1"})
	if got, want := names(d.others()), "  "; got != want {
		t.Errorf("got %q, want two seeds without names", got)
	}
	d.addReported(member("a"))
	if !d.addReported(&wire.Member{Name: "a", Address: "a:2"}) {
		t.Error("got a moved node ignored")
	}
	if d.addReported(member("me")) || d.addReported(&wire.Member{Address: "x:1"}) {
		t.Error("got the node itself or a nameless one taken in")
	}
	if got, want := d.rank(), 1; got != want {
		t.Errorf("got rank %d, want %d", got, want)
	}
}
