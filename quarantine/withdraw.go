package quarantine

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/work"
)

// withdrawnWindow is how long after this node has taken back that an upstream is unresponsive it may
// find it so again for what was lost there to count.
const withdrawnWindow clock.Millis = 3000

// Withdraw takes back that an upstream is unresponsive, since this node may be cut from it. What was
// lost there counts again once the upstream is found to be unresponsive or to have crashed. A verdict
// that relied on it is lifted if too few other upstreams are left.
func (t *Table) Withdraw(now clock.Millis, id fleet.Incarnation) []Event {
	u, ok := t.upstreams.Peek(id)
	if !ok || u.state != Unresponsive {
		return nil
	}
	u.state = Unknown
	for lost := range u.lostIDs() {
		t.changeLoss(lost, id, func(l *loss) { l.countsUntil = max(l.countsUntil, now.Add(withdrawnWindow)) })
	}
	culprit := u.culprit
	q, tooFew := t.dropCrash(culprit, id)
	if !tooFew {
		return nil
	}
	t.quarantined.Remove(culprit)
	for _, crash := range append(q.crashed, id) {
		t.restoreLosses(now, culprit, crash)
	}
	return q.lifted(culprit)
}

// restoreLosses makes the losses at an upstream count again, those of the ID that its crash was
// attributed to and those that it explained.
func (t *Table) restoreLosses(now clock.Millis, culprit work.ID, id fleet.Incarnation) {
	u, ok := t.upstreams.Peek(id)
	if !ok || u.culprit != culprit {
		return
	}
	u.culprit = work.ID{}
	for lost := range u.lostIDs() {
		t.changeLoss(lost, id, func(l *loss) { l.explained = false })
	}
	if !u.hasLost(culprit) {
		return
	}
	s := t.suspect(culprit)
	s.lastLossAt = now
	if _, known := s.losses[id]; !known && len(s.losses) < maxLosses {
		s.losses[id] = loss{recordedAt: now, countsUntil: now.Add(withdrawnWindow)}
	}
}
