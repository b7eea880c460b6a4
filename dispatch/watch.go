package dispatch

import "github.com/hoistjunction/hoistjunction/fleet"

// probeSet holds the upstreams of which something is to be asked, or may soon be. Of thousands
// these are a few, and the others are not looked at ten times a second.
type probeSet map[fleet.Incarnation]*upstream

// addProbeCandidate has the upstream looked at until nothing is to be asked of it.
func (u *upstream) addProbeCandidate() {
	if u.probeCandidates != nil {
		u.probeCandidates[u.entry.ID] = u
	}
}

// mayNeedProbe tells whether something is to be asked of the upstream, now or later.
func (u *upstream) mayNeedProbe() bool {
	return u.probeInFlight || u.suspected || u.reportWanted || u.slowdown > normalSlowdown
}
