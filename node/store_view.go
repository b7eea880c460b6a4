package node

import "github.com/hoistjunction/hoistjunction/clock"

// storeView is what a node believes of the store, for the metrics. Ages are in ms, -1 where
// nothing has been told.
type storeView struct {
	// AsOf is up to when the list was read, as ERA:REVISION, and From the node that has told
	// it; empty for the store itself.
	AsOf string `json:"as_of"`
	From string `json:"from"`
	// AnsweredMS is how long ago the store has answered this node, or the one that it follows.
	AnsweredMS int64 `json:"answered_ms"`
	// Config is the version in force, Written when the store was told it, and ConfirmedMS how
	// long ago it was known to be the newest.
	Config      string `json:"config"`
	Written     string `json:"written"`
	ConfirmedMS int64  `json:"confirmed_ms"`
	// Eras are the newest era that answers have named to this node, the returns that it has
	// seen, and the answers that could not be placed.
	Eras any `json:"eras"`
}

func (n *Node) storeView() any {
	now, inForce := n.clock.Now(), n.local.Config()
	return storeView{
		AsOf: n.fleetFollower.AsOf().String(), From: n.readers.sourceName(),
		AnsweredMS: int64(clock.AgeOf(n.readLog.AnsweredAt(), now)),
		Config:     inForce.Edition.String(), Written: inForce.Edition.Written().String(),
		ConfirmedMS: int64(clock.AgeOf(inForce.Confirmed, now)), Eras: n.store.Eras(),
	}
}
