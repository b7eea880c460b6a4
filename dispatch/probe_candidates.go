package dispatch

import "github.com/hoistjunction/hoistjunction/fleet"

// probeSet holds the upstreams that need a probe or may need one soon. They are few among
// thousands, so a tick does not visit the others.
type probeSet map[fleet.Incarnation]*upstream

// addProbeCandidate adds the upstream to the set. It stays there until it needs no probe.
func (u *upstream) addProbeCandidate() {
	if u.probeCandidates != nil {
		u.probeCandidates[u.entry.ID] = u
	}
}

// mayNeedProbe reports whether the upstream needs a probe now or may need one later.
func (u *upstream) mayNeedProbe() bool {
	return u.probeInFlight || u.suspected || u.reportWanted || u.reachProbeWanted || u.slowdown > normalSlowdown
}
