package dispatch

import "github.com/hoistjunction/hoistjunction/fleet"

// watch holds the upstreams of which something is to be asked, or may soon be. Of thousands
// these are a few, and the others are not looked at ten times a second.
type watch map[fleet.Incarnation]*upstream

// attend has the upstream looked at until nothing is to be asked of it.
func (u *upstream) attend() {
	if u.watch != nil {
		u.watch[u.entry.ID] = u
	}
}

// wanting tells whether something is to be asked of the upstream, now or later.
func (u *upstream) wanting() bool {
	return u.probing || u.suspect || u.wantsReport || u.pace > usualPace
}
